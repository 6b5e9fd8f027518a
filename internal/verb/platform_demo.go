package verb

import (
	"context"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleetdemo"
)

const platformDemoUsage = `usage: hickoryhook platform demo [flags]

Runs the platform's packet path in this process on loopback addresses: a
stand-in for the store, three entries, four upstreams with their agents, and
callers that keep their flows open while an upstream and all entries are
replaced. Exit code 1 if a request was lost.

  -seed N      random seed of the upstreams (default 1)
  -callers N   flows that are kept open (default 40)
  -network N   third octet of the loopback addresses (default 90); the next free one
                if another run uses it
  -json        prints one JSON object
`

const (
	// maxDemoCallers bounds the load of the demo and of the soak run. maxNetwork is the
	// largest third octet of their loopback addresses.
	maxDemoCallers = 1000
	maxNetwork     = 254
)

var (
	errDemoRange    = errors.New("platform demo: want 1 to 1000 callers and a network from 1 to 254")
	errLostRequests = errors.New("requests were lost")
)

type platformDemoRunner struct {
	streams ioStreams
	seed    uint64
	callers int
	network int
	json    bool
}

func parsePlatformDemo(args []string, streams ioStreams) (runner, error) {
	r := &platformDemoRunner{streams: streams}
	flags := newFlags("platform demo")
	flags.Uint64Var(&r.seed, "seed", 1, "")
	flags.IntVar(&r.callers, "callers", 40, "")
	flags.IntVar(&r.network, "network", 90, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.callers < 1 || r.callers > maxDemoCallers || r.network < 1 || r.network > maxNetwork {
		return nil, &usageError{err: errDemoRange}
	}
	return r, nil
}

func (r *platformDemoRunner) run(ctx context.Context) error {
	out := r.streams.stdout
	if r.json {
		out = io.Discard
	}
	report, err := fleetdemo.Run(ctx, fleetdemo.Config{
		Seed: r.seed, Network: byte(r.network), Callers: r.callers, Out: out, Log: zap.NewNop(),
	})
	if err != nil {
		return err
	}
	if err := r.print(report); err != nil {
		return err
	}
	if report.Lost > 0 {
		return errLostRequests
	}
	return nil
}

func (r *platformDemoRunner) print(report fleetdemo.Report) error {
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(report)
	}
	return printTable(r.streams.stdout, []row{
		{"requests", report.Requests}, {"answered", report.Answered}, {"lost", report.Lost}, {"flows reset", report.Resets},
	})
}
