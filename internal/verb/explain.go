package verb

import (
	"context"
	"os"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/explain"
)

const explainUsage = `usage: hickoryhook explain [flags] FILE...

Reads the logs of entries and agents of the platform, in any order, and counts
flows by the cause of their end; "-" reads standard input. It also counts what
resets rest on, and those of flows that a later line shows open, and lists when
processes were down or could not reach the store.

  -flow FLOW   prints the log lines of one flow, "CALLER>ADDRESS" with ports, and
               the cause of its end; for a reset, what it rests on and the line that
               contradicts it, if there is one

Example: hickoryhook explain -flow '100.64.0.7:1028>198.18.0.1:8080' *.log
`

type explainRunner struct {
	streams ioStreams
	flow    string
	files   []string
}

func explainVerb() command {
	return command{
		name:    "explain",
		summary: "find in the logs why flows ended",
		usage:   explainUsage,
		parse:   parseExplain,
	}
}

func parseExplain(args []string, streams ioStreams) (runner, error) {
	r := &explainRunner{streams: streams}
	flags := newFlags("explain")
	flags.StringVar(&r.flow, "flow", "", "")
	if err := flags.Parse(args); err != nil {
		return nil, asUsageError(err)
	}
	if flags.NArg() == 0 {
		return nil, &usageError{err: errors.New("explain: want at least one file")}
	}
	r.files = flags.Args()
	return r, nil
}

func (r *explainRunner) run(context.Context) error {
	var logs explain.Logs
	for _, name := range r.files {
		if err := readLogs(&logs, name); err != nil {
			return err
		}
	}
	if r.flow != "" {
		return logs.Flow(r.flow).Write(r.streams.stdout)
	}
	return logs.Summary().Write(r.streams.stdout)
}

// readLogs adds the lines of the named file, or of standard input for "-".
func readLogs(logs *explain.Logs, name string) (err error) {
	if name == "-" {
		return logs.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return logs.Read(file)
}
