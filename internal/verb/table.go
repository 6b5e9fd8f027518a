// Package verb implements the command line: one file for each verb, and the
// table that dispatches to them and prints their help.
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
	// ExitOK is the exit code of a verb that did its work.
	ExitOK = 0
	// ExitFailed is the exit code of a verb that failed or found a fault.
	ExitFailed = 1
	// ExitUsage is the exit code for a wrong command line or wrong settings.
	ExitUsage = 2
)

type (
	// command is one verb.
	command struct {
		name    string
		summary string
		usage   string
		// parse reads the arguments and returns what runs the verb.
		parse func(args []string, env environment) (runner, error)
	}

	// environment is what a verb writes to.
	environment struct {
		stdout io.Writer
		stderr io.Writer
	}

	// runner is a verb that is ready to run.
	runner interface {
		run(ctx context.Context) error
	}

	// usageError reports a wrong command line.
	usageError struct {
		err error
	}
)

// verbs lists every verb. Help is printed from it.
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
	}
}

// Error returns the problem.
func (e *usageError) Error() string { return e.err.Error() }

// Main runs the verb that the arguments name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	env := environment{stdout: stdout, stderr: stderr}
	if len(args) == 0 {
		printHelp(stderr)
		return ExitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		return help(args[1:], env)
	}
	cmd, ok := find(args[0])
	if !ok {
		fmt.Fprintf(stderr, "hickoryhook: unknown verb %q; \"hickoryhook help\" lists them\n", args[0])
		return ExitUsage
	}
	return cmd.main(args[1:], env)
}

func (c command) main(args []string, env environment) int {
	r, err := c.parse(args, env)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(env.stdout, c.usage)
		return ExitOK
	}
	if err != nil {
		return report(err, env)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := r.run(ctx); err != nil {
		return report(err, env)
	}
	return ExitOK
}

func report(err error, env environment) int {
	fmt.Fprintf(env.stderr, "hickoryhook: %v\n", err)
	var usage *usageError
	var invalid *settings.InvalidError
	var field *platform.FieldError
	if errors.As(err, &usage) || errors.As(err, &invalid) || errors.As(err, &field) {
		return ExitUsage
	}
	return ExitFailed
}

func help(args []string, env environment) int {
	if len(args) == 0 {
		printHelp(env.stdout)
		return ExitOK
	}
	cmd, ok := find(args[0])
	if !ok {
		fmt.Fprintf(env.stderr, "hickoryhook: unknown verb %q\n", args[0])
		return ExitUsage
	}
	fmt.Fprint(env.stdout, cmd.usage)
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

func find(name string) (command, bool) {
	all := verbs()
	i := slices.IndexFunc(all, func(c command) bool { return c.name == name })
	if i < 0 {
		return command{}, false
	}
	return all[i], true
}

// newFlags returns a flag set that reports errors to its caller alone.
func newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	return flags
}

// parseFlags parses the arguments and wants the given number of operands.
func parseFlags(flags *flag.FlagSet, args []string, operands int) error {
	if err := flags.Parse(args); err != nil {
		return asUsage(err)
	}
	if flags.NArg() != operands {
		return &usageError{err: errors.Errorf("%s: want %d operands, got %d", flags.Name(), operands, flags.NArg())}
	}
	return nil
}

// asUsage returns an error of the flag package as a wrong command line, and a
// call for help as it is.
func asUsage(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &usageError{err: err}
}
