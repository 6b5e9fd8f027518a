package verb

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleetdemo"
)

const platformSoakUsage = `usage: hickoryhook platform soak [flags]

Runs each entry and agent as a separate process on loopback addresses, and
injects faults while callers keep their flows open: processes are stopped,
paused, killed and restarted, upstreams crash or reset their flows, the stand-in
for the store fails, and a proxy delays the connections to it, resets them, or
stalls one or both directions. Exit code 1 if a flow was reset although its
upstream was alive, if one was opened in an evacuated failure domain later than
5 s after the request, or at an upstream later than 3 s after its draining was
acknowledged, if an opening was handled by a configuration that is older than
the one that the store had acknowledged 3 s before, or older than one that its entry has
had in force, if a request ran more than once, or if requests are lost
after the last fault has settled; then the logs of the processes are kept, and what
they tell of the first of these flows is printed.

  -seed N        random seed, which fixes the order of the faults (default 1)
  -for D         how long faults are injected (default 20s)
  -store-restores  lets the store come back from an older copy every few seconds
  -evacuations   requests the evacuation of a failure domain, with every second
                 upstream, and withdraws it every few seconds
  -moves         moves the route to another service, that of every second upstream,
                 and back in quick succession or after some seconds, until the end;
                 the names of the two have the same hash
  -routes N      with -moves, up to 8000 further routes in each configuration, which nobody
                 uses: entries transfer and verify a large one in other ways than a small one
  -flaps         upstreams flap, each start under a new id, and turn slow, while entries
                 and agents restart in turn or together, and agents are paused over a
                 restart of their upstream; callers pause between requests
  -late-heartbeats  with -flaps, upstreams accept flows before the first heartbeat of a
                 start, which comes late at times
  -odd-heartbeats  agents get heartbeats that their upstreams have not sent: of unknown or
                 earlier starts, with other numbers, or with fields missing; meanwhile
                 upstreams drain for more than 3 s and start again
  -callers N     flows that are kept open (default 40)
  -entries N     entries (default 3)
  -upstreams N   upstreams, each with an agent (default 4)
  -report FILE   writes an HTML report: answers over time, the faults, and the
                 flows of each upstream
  -network N     third octet of the loopback addresses (default 92); the next free one
                 if another run uses it
`

// maxSoakRoutes bounds the further routes: a value of the store has at most 1 MiB.
const maxSoakRoutes = 8000

type platformSoakRunner struct {
	streams       ioStreams
	seed          uint64
	duration      time.Duration
	storeRestores bool
	evacuations   bool
	moves         bool
	routes        int
	flaps         bool
	late          bool
	odd           bool
	callers       int
	network       int
	entries       int
	upstreams     int
	report        string
}

func parsePlatformSoak(args []string, streams ioStreams) (runner, error) {
	r := &platformSoakRunner{streams: streams}
	flags := newFlags("platform soak")
	flags.Uint64Var(&r.seed, "seed", 1, "")
	flags.DurationVar(&r.duration, "for", 20*time.Second, "")
	flags.BoolVar(&r.storeRestores, "store-restores", false, "")
	flags.BoolVar(&r.evacuations, "evacuations", false, "")
	flags.BoolVar(&r.moves, "moves", false, "")
	flags.IntVar(&r.routes, "routes", 0, "")
	flags.BoolVar(&r.flaps, "flaps", false, "")
	flags.BoolVar(&r.late, "late-heartbeats", false, "")
	flags.BoolVar(&r.odd, "odd-heartbeats", false, "")
	flags.IntVar(&r.callers, "callers", 40, "")
	flags.IntVar(&r.network, "network", 92, "")
	flags.IntVar(&r.entries, "entries", 3, "")
	flags.StringVar(&r.report, "report", "", "")
	flags.IntVar(&r.upstreams, "upstreams", 4, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.late && !r.flaps {
		return nil, &usageError{err: errors.New("platform soak: -late-heartbeats needs -flaps")}
	}
	if r.routes > 0 && !r.moves {
		return nil, &usageError{err: errors.New("platform soak: -routes needs -moves")}
	}
	if r.routes < 0 || r.routes > maxSoakRoutes {
		return nil, &usageError{err: errors.Errorf("platform soak: want 0 to %d further routes", maxSoakRoutes)}
	}
	if r.callers < 1 || r.callers > maxDemoCallers || r.network < 1 || r.network > maxNetwork {
		return nil, &usageError{err: errDemoRange}
	}
	if r.entries < 1 || r.entries > fleetdemo.MaxEntries || r.upstreams < 1 || r.upstreams > fleetdemo.MaxUpstreams {
		return nil, &usageError{err: errors.Errorf("platform soak: want 1 to %d entries and 1 to %d upstreams", fleetdemo.MaxEntries, fleetdemo.MaxUpstreams)}
	}
	return r, nil
}

func (r *platformSoakRunner) run(ctx context.Context) (err error) {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	var page io.Writer
	if r.report != "" {
		file, createErr := os.Create(r.report)
		if createErr != nil {
			return errors.Wrap(createErr, "soak")
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		page = file
	}
	report, err := fleetdemo.Soak(ctx, fleetdemo.SoakConfig{
		Config: fleetdemo.Config{
			Seed: r.seed, Network: byte(r.network), Callers: r.callers, Entries: r.entries, Upstreams: r.upstreams, Out: r.streams.stdout, Log: log,
		},
		Program: program, Duration: r.duration, StoreRestores: r.storeRestores, Evacuations: r.evacuations, Moves: r.moves, Routes: r.routes, Flaps: r.flaps, LateHeartbeats: r.late, OddHeartbeats: r.odd,
		HTMLReport: page,
	})
	return errors.Join(err, printTable(r.streams.stdout, []row{
		{"requests", report.Requests}, {"answered", report.Answered}, {"lost", report.Lost},
		{"flows reset", report.Resets}, {"of them with a living upstream", report.Broken},
		{"requests that ran again", report.Repeated}, {"flows opened in an evacuated domain", report.OpenedWhileEvacuated},
		{"flows opened at a draining upstream", report.OpenedWhileDraining},
		{"openings judged by their configuration", report.Judged}, {"of them by one that is too old", report.Outdated},
	}))
}
