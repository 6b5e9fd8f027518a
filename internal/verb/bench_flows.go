package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/bench"
	"hickoryhook.example/internal/world"
)

const benchFlowsUsage = `usage: hickoryhook bench flows [flags]

Simulates flows while entries and members change: joins, drains, weight changes,
crashes and replacements of entries, with views that reach the nodes at different
times. The baseline runs with the same seed. Exit code 1 if an invariant was
violated: a flow was broken, misrouted, cross-answered or placed at a draining
upstream.

  -seed N         random seed (default 1)
  -balancers N    entries (default 4)
  -upstreams N    members of the first service (default 7)
  -flows N        open flows (default 2000)
  -changes N      planned changes (default 40)
  -interval D     time between two changes (default 4s)
  -deaths N       maximum number of upstreams that crash (default 0)
  -skew D         maximum delay until a node receives a change (default 2s)
  -loss P         share of messages lost (default 0)
  -policy NAME    home-owner or local-table, the baseline (default home-owner)
  -trace N        writes the packets of flow N, and the numbers of broken flows,
                  to standard error
  -json           prints one JSON object
`

type benchFlowsRunner struct {
	streams ioStreams
	config  bench.FlowsConfig
	json    bool
}

func benchFlowsVerb() command {
	return command{
		name:    "flows",
		summary: "simulated flows while entries and members change",
		usage:   benchFlowsUsage,
		parse:   parseBenchFlows,
	}
}

func parseBenchFlows(args []string, streams ioStreams) (runner, error) {
	r := &benchFlowsRunner{streams: streams, config: bench.DefaultFlowsConfig()}
	c := &r.config
	flags := newFlags("bench flows")
	flags.Uint64Var(&c.Seed, "seed", c.Seed, "")
	flags.IntVar(&c.Balancers, "balancers", c.Balancers, "")
	flags.IntVar(&c.Upstreams, "upstreams", c.Upstreams, "")
	flags.IntVar(&c.Flows, "flows", c.Flows, "")
	flags.IntVar(&c.Changes, "changes", c.Changes, "")
	flags.IntVar(&c.Deaths, "deaths", c.Deaths, "")
	flags.DurationVar(&c.Interval, "interval", c.Interval, "")
	flags.DurationVar(&c.Skew, "skew", c.Skew, "")
	flags.Float64Var(&c.Loss, "loss", c.Loss, "")
	flags.StringVar((*string)(&c.Routing), "policy", string(c.Routing), "")
	flags.Func("trace", "", func(text string) (err error) {
		c.Trace = streams.stderr
		c.TraceFlow, err = strconv.ParseUint(text, 10, 64)
		return err
	})
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	return r, r.check()
}

// check returns a usageError if a flag is out of range.
func (r *benchFlowsRunner) check() error {
	c := &r.config
	switch {
	case c.Routing != world.HomeOwner && c.Routing != world.LocalTable:
		return &usageError{err: errors.Errorf("bench flows: unknown -policy %q", c.Routing)}
	case c.Balancers < 1 || c.Upstreams < 1 || c.Flows < 1:
		return &usageError{err: errors.New("bench flows: -balancers, -upstreams and -flows must be positive")}
	case c.Loss < 0 || c.Loss >= 1:
		return &usageError{err: errors.New("bench flows: -loss must be at least 0 and below 1")}
	case c.Skew < 0 || c.Interval <= 0 || c.Changes < 0 || c.Deaths < 0:
		return &usageError{err: errors.New("bench flows: -skew, -changes and -deaths must not be negative, and -interval must be positive")}
	}
	return nil
}

// run prints the results and returns an error if an invariant was violated, unless the
// simulated routing is the baseline, which does not hold the invariants.
func (r *benchFlowsRunner) run(context.Context) error {
	result := bench.Flows(r.config)
	if err := r.print(result); err != nil {
		return err
	}
	if r.config.Routing == world.HomeOwner && result.Violations() > 0 {
		return errors.New("bench flows: invariants were violated")
	}
	return nil
}

func (r *benchFlowsRunner) print(result bench.FlowsResult) error {
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(result)
	}
	return printTable(r.streams.stdout, []row{
		{"flows", result.Report.Flows},
		{"delivered packets", result.DeliveredPackets},
		{"broken flows", result.BrokenFlows},
		{"broken flows, baseline", result.BaselineBrokenFlows},
		{"lost with their upstream", result.LostWithUpstream},
		{"misrouted packets", result.MisroutedPackets},
		{"cross-answered", result.CrossAnswered},
		{"new work after drain", result.NewWorkAfterDrain},
		{"extra hops per packet", fmt.Sprintf("%.3f", result.ExtraHopsMean)},
		{"control bytes per second, agent", fmt.Sprintf("%.0f", result.AgentControlBytes)},
		{"control bytes per second, entry", fmt.Sprintf("%.0f", result.EntryControlBytes)},
	})
}
