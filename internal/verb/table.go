// Package verb implements the command line: one file for each verb, and the list
// of verbs that Main dispatches on and that the help text is generated from.
//
// # Usage
//
//	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/settings"
	"hickoryhook.example/platform"
)

const (
	// ExitOK is the exit code of a verb that succeeded.
	ExitOK = 0
	// ExitFailed is the exit code of a verb that failed or whose checks failed.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid command line or invalid settings.
	ExitUsage = 2
)

type (
	// command is one verb.
	command struct {
		name    string
		summary string
		usage   string
		// parse parses the arguments and returns the runner of the verb, or
		// flag.ErrHelp if they ask for help.
		parse func(args []string, streams ioStreams) (runner, error)
	}

	// reloader is a runner that reloads its settings at SIGHUP. Main catches the signal from
	// before the settings are read until the process exits.
	reloader interface {
		reloadAt(hangups <-chan os.Signal)
	}

	// reloads is embedded in reloaders.
	reloads struct {
		hangups <-chan os.Signal
	}

	// ioStreams holds the writers for the output of a verb.
	ioStreams struct {
		stdout io.Writer
		stderr io.Writer
	}

	// runner runs a verb with its parsed arguments.
	runner interface {
		run(ctx context.Context) error
	}

	// usageError is an invalid command line. Its exit code is ExitUsage.
	usageError struct {
		err error
	}
)

// verbs returns all verbs, in the order of the help text.
func verbs() []command {
	return []command{
		entryVerb(),
		agentVerb(),
		platformVerb(),
		demoVerb(),
		benchVerb(),
		standInVerb(),
		checkSettingsVerb(),
		explainVerb(),
		statusVerb(),
		versionVerb(),
	}
}

// Error returns the message of the wrapped error.
func (e *usageError) Error() string { return e.err.Error() }

// Main runs the verb that the arguments name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	streams := ioStreams{stdout: stdout, stderr: stderr}
	if len(args) == 0 {
		printHelp(stderr)
		return ExitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		return help(args[1:], streams)
	}
	cmd, ok := findVerb(args[0])
	if !ok {
		fmt.Fprintf(stderr, "hickoryhook: unknown verb %q; \"hickoryhook help\" lists them\n", args[0])
		return ExitUsage
	}
	return cmd.main(args[1:], streams)
}

func (r *reloads) reloadAt(hangups <-chan os.Signal) { r.hangups = hangups }

// main parses the arguments, runs the verb with a context that SIGINT and SIGTERM
// cancel, and returns the exit code. For help it prints the usage text instead.
func (c command) main(args []string, streams ioStreams) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	r, err := c.parse(args, streams)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(streams.stdout, c.usage)
		return ExitOK
	}
	if err != nil {
		return reportError(err, streams)
	}
	if x, ok := r.(reloader); ok {
		x.reloadAt(hangups)
	} else {
		signal.Stop(hangups) // as when a terminal is closed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := r.run(ctx); err != nil {
		return reportError(err, streams)
	}
	return ExitOK
}

// reportError prints the error and returns the exit code for it.
func reportError(err error, streams ioStreams) int {
	fmt.Fprintf(streams.stderr, "hickoryhook: %v\n", err)
	var usage *usageError
	var invalid *settings.InvalidError
	var field *platform.FieldError
	if errors.As(err, &usage) || errors.As(err, &invalid) || errors.As(err, &field) {
		return ExitUsage
	}
	return ExitFailed
}

func help(args []string, streams ioStreams) int {
	if len(args) == 0 {
		printHelp(streams.stdout)
		return ExitOK
	}
	cmd, ok := findVerb(args[0])
	if !ok {
		fmt.Fprintf(streams.stderr, "hickoryhook: unknown verb %q\n", args[0])
		return ExitUsage
	}
	fmt.Fprint(streams.stdout, cmd.usage)
	return ExitOK
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: hickoryhook VERB [flags]")
	fmt.Fprintln(w)
	for _, c := range verbs() {
		fmt.Fprintf(w, "  %-16s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "\"hickoryhook help VERB\" prints the flags of a verb.")
}

func findVerb(name string) (command, bool) {
	all := verbs()
	i := slices.IndexFunc(all, func(c command) bool { return c.name == name })
	if i < 0 {
		return command{}, false
	}
	return all[i], true
}

// newFlags returns a flag set that returns errors and prints nothing. The descriptions of
// its flags stay empty: the usage text of the verb has them.
func newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	return flags
}

// parseFlags parses the arguments. It returns a usageError if a flag is invalid or the
// number of operands is not the given one, and flag.ErrHelp if they ask for help.
func parseFlags(flags *flag.FlagSet, args []string, operands int) error {
	if err := flags.Parse(args); err != nil {
		return asUsageError(err)
	}
	if flags.NArg() != operands {
		return &usageError{err: errors.Errorf("%s: want %d operands, got %d", flags.Name(), operands, flags.NArg())}
	}
	return nil
}

// asUsageError wraps an error of the flag package in a usageError, except
// flag.ErrHelp, which it returns unchanged.
func asUsageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &usageError{err: err}
}
