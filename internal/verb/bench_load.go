package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/fleetsim"
)

const benchLoadUsage = `usage: hickoryhook bench load [flags]

Simulates the decisions of the platform's entries and agents under a load in virtual
time: kinds of requests with targets, timeouts and retries, and upstreams with slots,
queues and warm-up. Prints for each kind how many requests were answered within their
target or later, were refused or failed, and the latencies of the answers in
milliseconds; the mean over the seeds. "bound" is what a scheduler that knows all
arrivals could answer, of the requests whose first service is that of the first kind:
by one schedule in time, by another within the target, by a third in time without making
others late. Exit code 1 if an invariant was
violated.

  -pattern NAME   pattern to simulate (default return-after-power-loss): %s,
                  or a file in their format, whose name ends in .json
  -first N        first seed (default 1)
  -seeds N        number of seeds (default 5)
  -without NAMES  switches mechanisms off, separated by commas: %s
  -json           prints one JSON object per seed
`

type benchLoadRunner struct {
	streams ioStreams
	pattern *fleetsim.Pattern
	options []fleetsim.Option
	first   uint64
	seeds   int
	json    bool
}

func benchLoadVerb() command {
	return command{
		name:    "load",
		summary: "simulated entries and agents of the platform under load",
		usage:   fmt.Sprintf(benchLoadUsage, strings.Join(fleetsim.PatternNames(), ", "), strings.Join(fleetsim.Mechanisms(), ", ")),
		parse:   parseBenchLoad,
	}
}

func parseBenchLoad(args []string, streams ioStreams) (runner, error) {
	r := &benchLoadRunner{streams: streams}
	flags := newFlags("bench load")
	name := flags.String("pattern", "return-after-power-loss", "")
	without := flags.String("without", "", "")
	flags.Uint64Var(&r.first, "first", 1, "")
	flags.IntVar(&r.seeds, "seeds", 5, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.seeds < 1 {
		return nil, &usageError{err: errors.New("bench load: want at least one seed")}
	}
	if *without != "" {
		for _, name := range strings.Split(*without, ",") {
			if !slices.Contains(fleetsim.Mechanisms(), name) {
				return nil, &usageError{err: errors.Errorf("bench load: no mechanism %q", name)}
			}
			r.options = append(r.options, fleetsim.WithoutMechanism(name))
		}
	}
	pattern, err := loadPattern(*name)
	if err != nil {
		return nil, &usageError{err: errors.Wrap(err, "bench load")}
	}
	r.pattern = pattern
	return r, nil
}

// loadPattern returns a pattern by its name, or from a file if the name ends in .json.
func loadPattern(name string) (*fleetsim.Pattern, error) {
	if filepath.Ext(name) != ".json" {
		return fleetsim.LoadPattern(name)
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read pattern")
	}
	return fleetsim.DecodePattern(b)
}

// run simulates the pattern with each seed. It returns an error if an invariant was
// violated.
func (r *benchLoadRunner) run(ctx context.Context) error {
	var results []fleetsim.PatternResult
	violations := 0
	for i := range r.seeds {
		if err := ctx.Err(); err != nil {
			return err
		}
		result := r.pattern.Run(r.first+uint64(i), r.options...)
		results = append(results, result)
		violations += result.Violations
		if !r.json {
			continue
		}
		if err := json.NewEncoder(r.streams.stdout).Encode(result); err != nil {
			return errors.Wrap(err, "print result")
		}
	}
	if !r.json {
		if err := r.print(results); err != nil {
			return errors.Wrap(err, "print results")
		}
	}
	if violations > 0 {
		return errors.Errorf("%d invariants were violated", violations)
	}
	return nil
}

// print writes the means over all seeds.
func (r *benchLoadRunner) print(results []fleetsim.PatternResult) error {
	n := float64(len(results))
	t := tabwriter.NewWriter(r.streams.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\n\nkind\tasked\tin aim\tlate\trefused\tfailed\tp50 ms\tp99 ms\t\n", r.pattern.About)
	var bound fleetsim.Bound
	worst := 0.0
	for i := range results[0].Kinds {
		var sum fleetsim.KindResult
		for _, result := range results {
			sum.Add(result.Kinds[i])
		}
		bound.Answered += sum.Bound.Answered
		bound.InAim += sum.Bound.InAim
		bound.InAimFirst += sum.Bound.InAimFirst
		bound.AnsweredThen += sum.Bound.AnsweredThen
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", results[0].Kinds[i].Kind,
			float64(sum.Asked)/n, float64(sum.InAim)/n, float64(sum.Late)/n, float64(sum.Refused)/n, float64(sum.Failed)/n, sum.P50/n, sum.P99/n)
	}
	for _, result := range results {
		worst += result.WorstWindow
	}
	fmt.Fprintf(t, "\nworst two seconds: %.3f in aim\n", worst/n)
	fmt.Fprintf(t, "bound: %.0f answered; or %.0f in aim; or %.0f answered of which %.0f in aim\n",
		float64(bound.Answered)/n, float64(bound.InAim)/n, float64(bound.AnsweredThen)/n, float64(bound.InAimFirst)/n)
	return t.Flush()
}
