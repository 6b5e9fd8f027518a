package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/bench"
)

const benchPlacementUsage = `usage: hickoryhook bench placement [flags]

Simulates every placement policy, and an ideal policy that knows the remaining
work of all upstreams, on the same jobs.

  -seed N         random seed (default 1)
  -upstreams N    upstreams (default 7)
  -slots N        jobs that an upstream serves at once (default 2)
  -load F         offered work divided by capacity (default 0.85)
  -old-share F    share of upstreams with half the speed (default 0.4)
  -candidates N   members at which a flow may be placed, for all policies but
                  random-two (default 3)
  -jobs N         jobs (default 200000)
  -report-lag D   interval of load reports, for random-two (default 500ms)
  -json           prints one JSON object
`

type benchPlacementRunner struct {
	streams ioStreams
	config  bench.PlacementConfig
	json    bool
}

func benchPlacementVerb() command {
	return command{
		name:    "placement",
		summary: "placement policies compared with an ideal policy",
		usage:   benchPlacementUsage,
		parse:   parseBenchPlacement,
	}
}

func parseBenchPlacement(args []string, streams ioStreams) (runner, error) {
	r := &benchPlacementRunner{streams: streams, config: bench.DefaultPlacementConfig()}
	c := &r.config
	flags := newFlags("bench placement")
	flags.Uint64Var(&c.Seed, "seed", c.Seed, "")
	flags.IntVar(&c.Upstreams, "upstreams", c.Upstreams, "")
	flags.IntVar(&c.Slots, "slots", c.Slots, "")
	flags.Float64Var(&c.Load, "load", c.Load, "")
	flags.Float64Var(&c.OldShare, "old-share", c.OldShare, "")
	flags.IntVar(&c.Candidates, "candidates", c.Candidates, "")
	flags.IntVar(&c.Jobs, "jobs", c.Jobs, "")
	flags.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	return r, r.check()
}

// check returns a usageError if a flag is out of range.
func (r *benchPlacementRunner) check() error {
	c := &r.config
	switch {
	case c.Upstreams < 1 || c.Slots < 1 || c.Candidates < 1 || c.Jobs < 1000:
		return &usageError{err: errors.New("bench placement: -upstreams, -slots and -candidates must be positive, -jobs at least 1000")}
	case c.Load <= 0 || c.Load >= 1:
		return &usageError{err: errors.New("bench placement: -load must be between 0 and 1")}
	case c.OldShare < 0 || c.OldShare > 1:
		return &usageError{err: errors.New("bench placement: -old-share must be between 0 and 1")}
	case c.ReportLag <= 0:
		return &usageError{err: errors.New("bench placement: -report-lag must be positive")}
	}
	return nil
}

func (r *benchPlacementRunner) run(context.Context) error {
	result, err := bench.Placement(r.config)
	if err != nil {
		return err
	}
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(result)
	}
	t := tabwriter.NewWriter(r.streams.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "work\tpolicy\timbalance\tto ideal\tworst work\tto ideal\tmean wait\tp99 wait\tto ideal\tmessages\t")
	for _, row := range result.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.2f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.Work, row.Policy,
			row.Imbalance, row.ImbalanceToIdeal, row.WorstWork, row.WorstWorkToIdeal,
			row.WaitMean, row.WaitP99, row.WaitP99ToIdeal, row.Messages)
	}
	return t.Flush()
}
