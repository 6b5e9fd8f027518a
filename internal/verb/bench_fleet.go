package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/fleetsim"
)

const benchFleetUsage = `usage: hickoryhook bench fleet [flags]

Simulates the decision cores of the platform's entries and agents in virtual
time under random sequences of faults: stopped, killed, paused and partitioned
processes, replaced and crashing upstreams, lost datagrams, configuration
changes, and a power loss of all instances. Exit code 1 if an invariant was
violated: a flow was broken, misrouted, opened at a draining upstream or in an
evacuated failure domain, a cold upstream got more flows than its limit, a domain
stayed excluded after its evacuation, or a datagram was malformed.

  -first N   first seed (default 1)
  -seeds N   number of seeds (default 20)
  -loss P    share of datagrams between instances lost during the whole run
             (default 0)
  -store-restores  lets the store come back from an older copy every few seconds
  -evacuations  requests and withdraws the evacuation of failure domains every
             few seconds; their upstreams are cold afterwards, with a limit
  -departures N   instead runs a small simulation (two entries, three upstreams,
             one flow) with every combination of at most N departures from the
             undisturbed run: 2 takes half a minute, 3 some minutes
  -replay P  instead repeats one such run, given as it was printed: "6 8, 8 7"
  -trace     prints each decision to standard error
  -json      prints one JSON object per seed
`

type benchFleetRunner struct {
	streams       ioStreams
	first         uint64
	seeds         int
	loss          float64
	storeRestores bool
	evacuations   bool
	trace         bool
	json          bool
	// departures is the largest number of departures from the undisturbed run, or
	// 0 for random runs.
	departures int
	replay     string
}

func benchFleetVerb() command {
	return command{
		name:    "fleet",
		summary: "simulated entries and agents of the platform under random faults",
		usage:   benchFleetUsage,
		parse:   parseBenchFleet,
	}
}

func parseBenchFleet(args []string, streams ioStreams) (runner, error) {
	r := &benchFleetRunner{streams: streams}
	flags := newFlags("bench fleet")
	flags.Uint64Var(&r.first, "first", 1, "")
	flags.IntVar(&r.seeds, "seeds", 20, "")
	flags.Float64Var(&r.loss, "loss", 0, "")
	flags.BoolVar(&r.storeRestores, "store-restores", false, "")
	flags.BoolVar(&r.evacuations, "evacuations", false, "")
	flags.IntVar(&r.departures, "departures", 0, "")
	flags.StringVar(&r.replay, "replay", "", "")
	flags.BoolVar(&r.trace, "trace", false, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.seeds < 1 || r.departures < 0 || r.loss < 0 || r.loss >= 1 {
		return nil, &usageError{err: errors.New("bench fleet: want at least one seed, a loss from 0 to below 1, and no negative -departures")}
	}
	return r, nil
}

// run simulates r.seeds random runs, unless the flags ask for a replay or for
// departures. It returns an error if an invariant was violated.
func (r *benchFleetRunner) run(ctx context.Context) error {
	switch {
	case r.replay != "":
		return r.replayRun()
	case r.departures > 0:
		return r.explore()
	}
	failed := 0
	for i := range r.seeds {
		if err := ctx.Err(); err != nil {
			return err
		}
		options := []fleetsim.Option{fleetsim.WithLoss(r.loss)}
		if r.trace {
			options = append(options, fleetsim.WithTrace(r.streams.stderr))
		}
		if r.storeRestores {
			options = append(options, fleetsim.WithStoreRestores(r.first+uint64(i)))
		}
		if r.evacuations {
			options = append(options, fleetsim.WithEvacuations(r.first+uint64(i)))
		}
		result := fleetsim.RunRandom(r.first+uint64(i), options...)
		passed := true
		for _, invariant := range fleetsim.Invariants() {
			passed = passed && result.Counts[invariant] == 0
		}
		if !passed {
			failed++
		}
		if err := r.print(result, passed); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("invariants were violated with %d of %d seeds", failed, r.seeds)
	}
	return nil
}

// replayRun repeats one run of explore, given by its departures. It returns an error
// if the run violates an invariant or loses a request after the settle time.
func (r *benchFleetRunner) replayRun() error {
	var departures []fleetsim.Departure
	for _, text := range strings.Split(r.replay, ",") {
		var d fleetsim.Departure
		if _, err := fmt.Sscan(text, &d.Point, &d.Option); err != nil {
			return &usageError{err: errors.Wrapf(err, "bench fleet: -replay %q", text)}
		}
		departures = append(departures, d)
	}
	var options []fleetsim.Option
	if r.trace {
		options = append(options, fleetsim.WithTrace(r.streams.stderr))
	}
	if violations := fleetsim.Replay(departures, options...); violations != "" {
		return errors.Errorf("invariants were violated: %s", violations)
	}
	_, err := fmt.Fprintln(r.streams.stdout, "ok")
	return err
}

// explore runs every combination of at most r.departures departures from the
// undisturbed run. It returns an error if any of the runs violates an invariant or
// loses a request after the settle time.
func (r *benchFleetRunner) explore() error {
	e := fleetsim.Explore(r.departures)
	if _, err := fmt.Fprintln(r.streams.stdout, e); err != nil {
		return err
	}
	if n := len(e.Violations); n > 0 {
		return errors.Errorf("invariants were violated in %d of %d runs", n, e.Runs)
	}
	return nil
}

func (r *benchFleetRunner) print(result fleetsim.Result, passed bool) error {
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(result)
	}
	c := result.Counts
	verdict := "ok"
	if !passed {
		verdict = "FAILED"
	}
	_, err := fmt.Fprintf(r.streams.stdout, "seed %d %s: asked %d served %d late %d lost %d, lost after settling %d; broken %d misrouted %d opened while draining %d\n",
		result.Seed, verdict, c["asked"], c["served"], c["late"], c["lost"], result.LostAfterSettling, c["broken"], c["misrouted"], c["opened-while-draining"])
	return err
}
