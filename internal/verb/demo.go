package verb

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/demo"
)

const demoUsage = `usage: hickoryhook demo [-seed N] [-json] [-log]

Runs the whole packet path in one process on loopback sockets: a fabric stand-in
that distributes datagrams over three entries at random, agents beside upstream
stand-ins, and callers with long-lived flows. Every entry is replaced while one
upstream drains and another joins. Exits when done, with code 1 if a flow was
broken.

  -seed N   random seed (default 1)
  -json     prints one JSON object
  -log      logs the decisions to standard error
`

type demoRunner struct {
	streams ioStreams
	seed    uint64
	json    bool
	log     bool
}

func demoVerb() command {
	return command{
		name:    "demo",
		summary: "run the whole packet path in one process",
		usage:   demoUsage,
		parse:   parseDemo,
	}
}

func parseDemo(args []string, streams ioStreams) (runner, error) {
	d := &demoRunner{streams: streams}
	flags := newFlags("demo")
	flags.Uint64Var(&d.seed, "seed", 1, "")
	flags.BoolVar(&d.json, "json", false, "")
	flags.BoolVar(&d.log, "log", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *demoRunner) run(ctx context.Context) error {
	log := zap.NewNop()
	if d.log {
		var err error
		if log, err = daemon.NewLogger(); err != nil {
			return err
		}
	}
	result, err := demo.Run(ctx, demo.Config{Seed: d.seed}, log)
	if err != nil {
		return err
	}
	if err := d.print(result); err != nil {
		return err
	}
	if result.BrokenFlows+result.MisroutedPackets+result.CrossAnswered+result.NewWorkAfterDrain > 0 {
		return errors.New("demo: flows were broken, misrouted, cross-answered or placed at a draining upstream")
	}
	return nil
}

func (d *demoRunner) print(r demo.Result) error {
	if d.json {
		return json.NewEncoder(d.streams.stdout).Encode(r)
	}
	_, err := fmt.Fprintf(d.streams.stdout,
		"flows                 %d\ndatagrams             %d\nanswered              %d\nentries replaced      %d\n"+
			"broken flows          %d\nmisrouted packets     %d\ncross-answered        %d\nnew work after drain  %d\n",
		r.Flows, r.Datagrams, r.Answered, r.EntriesReplaced,
		r.BrokenFlows, r.MisroutedPackets, r.CrossAnswered, r.NewWorkAfterDrain)
	return err
}
