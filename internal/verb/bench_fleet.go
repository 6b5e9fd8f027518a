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

Plays random series of disturbances on the decision cores of the platform's
entries and agents in virtual time: processes that are stopped, killed, paused
and cut off, upstreams that are replaced and crash, lost datagrams, changes of
the configuration, and the loss of all power. Exit code 1 if a promise to a
caller was broken.

  -first N   first seed (default 1)
  -seeds N   number of seeds (default 20)
  -loss P    share of datagrams between instances lost throughout (default 0)
  -departures N   instead plays every run of a small world (two entries, three
             upstreams, one flow) that departs from the calm one at most N times:
             2 takes half a minute, 3 some minutes
  -replay P  instead plays one such run again, as it was printed: "6 8, 8 7"
  -trace     prints each decision to standard error
  -json      prints a JSON object a seed
`

type benchFleetRunner struct {
	env   environment
	first uint64
	seeds int
	loss  float64
	trace bool
	json  bool
	// departures is 0 for random runs.
	departures int
	replay     string
}

func benchFleetVerb() command {
	return command{
		name:    "fleet",
		summary: "entries and agents of the platform under random disturbances",
		usage:   benchFleetUsage,
		parse:   parseBenchFleet,
	}
}

func parseBenchFleet(args []string, env environment) (runner, error) {
	r := &benchFleetRunner{env: env}
	flags := newFlags("bench fleet")
	flags.Uint64Var(&r.first, "first", 1, "")
	flags.IntVar(&r.seeds, "seeds", 20, "")
	flags.Float64Var(&r.loss, "loss", 0, "")
	flags.IntVar(&r.departures, "departures", 0, "")
	flags.StringVar(&r.replay, "replay", "", "")
	flags.BoolVar(&r.trace, "trace", false, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.seeds < 1 || r.departures < 0 || r.loss < 0 || r.loss >= 1 {
		return nil, &usageError{err: errors.New("bench fleet: want at least one seed and a loss from 0 to below 1")}
	}
	return r, nil
}

func (r *benchFleetRunner) run(ctx context.Context) error {
	switch {
	case r.replay != "":
		return r.playAgain()
	case r.departures > 0:
		return r.explore()
	}
	broken := 0
	for i := range r.seeds {
		if err := ctx.Err(); err != nil {
			return err
		}
		options := []fleetsim.Option{fleetsim.WithLoss(r.loss)}
		if r.trace {
			options = append(options, fleetsim.WithTrace(r.env.stderr))
		}
		result := fleetsim.RunRandom(r.first+uint64(i), options...)
		kept := true
		for _, promise := range fleetsim.Invariants() {
			kept = kept && result.Counts[promise] == 0
		}
		if !kept {
			broken++
		}
		if err := r.print(result, kept); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errors.Errorf("promises were broken with %d of %d seeds", broken, r.seeds)
	}
	return nil
}

// playAgain plays one run that was explored.
func (r *benchFleetRunner) playAgain() error {
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
		options = append(options, fleetsim.WithTrace(r.env.stderr))
	}
	if broken := fleetsim.Replay(departures, options...); broken != "" {
		return errors.Errorf("promises were broken: %s", broken)
	}
	_, err := fmt.Fprintln(r.env.stdout, "kept")
	return err
}

func (r *benchFleetRunner) explore() error {
	e := fleetsim.Explore(r.departures)
	if _, err := fmt.Fprintln(r.env.stdout, e); err != nil {
		return err
	}
	if n := len(e.Violations); n > 0 {
		return errors.Errorf("promises were broken in %d of %d runs", n, e.Runs)
	}
	return nil
}

func (r *benchFleetRunner) print(result fleetsim.Result, kept bool) error {
	if r.json {
		return json.NewEncoder(r.env.stdout).Encode(result)
	}
	c := result.Counts
	word := "kept"
	if !kept {
		word = "BROKEN"
	}
	_, err := fmt.Fprintf(r.env.stdout, "seed %d %s: asked %d served %d late %d lost %d, lost after settling %d; broken %d misrouted %d opened while draining %d\n",
		result.Seed, word, c["asked"], c["served"], c["late"], c["lost"], result.LostAfterSettling, c["broken"], c["misrouted"], c["opened-while-draining"])
	return err
}
