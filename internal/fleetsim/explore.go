package fleetsim

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
)

const (
	exploredEntries   = 2
	exploredUpstreams = 3
	// exploredStep is the time between two moments at which something may
	// happen, and exploredSteps how many there are: a flow opens, is used by
	// three requests, and meets what happens in between.
	exploredStep    = 300 * time.Millisecond
	exploredSteps   = 6
	exploredRequest = 500 * time.Millisecond
	// heldUp is how much later a delayed datagram arrives: after the caller's
	// copy. repeated is how much later a second one does.
	heldUp   = 250 * time.Millisecond
	repeated = 5 * time.Millisecond
	// exploredSettle covers the longest deadline of a caller and the time in
	// which a silent agent is forgotten.
	exploredSettle = 14 * time.Second
	exploredCalm   = 2 * time.Second
)

// What may become of a datagram that carries or concerns a flow.
const (
	delivered = iota
	lostOnce
	twice
	late
	fates
)

type (
	// Exploration is what came of all runs with a number of departures.
	Exploration struct {
		Runs int
		// Violations describes each run in which a promise was broken.
		Violations []string
	}

	// Departure is a point at which a run leaves the calm one: the choice at
	// the Point-th occasion.
	Departure struct{ Point, Option int }

	// script answers a run's questions and notes how many options each had.
	script struct {
		departures []Departure
		options    []int
		off        bool // after the end of the part that is explored
	}
)

// Explore plays every run of two entries, three upstreams and one flow that
// departs from the calm one at most times: datagrams that are lost, repeated
// or late, entries and agents that are killed, upstreams that crash, and a
// route that moves, at each moment.
func Explore(most int) Exploration {
	var (
		e       Exploration
		mu      sync.Mutex
		workers sync.WaitGroup
	)
	work := make(chan []Departure)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for first := range work {
				runs, broken := exploreFrom(first, most-len(first))
				mu.Lock()
				e.Runs += runs
				e.Violations = append(e.Violations, broken...)
				mu.Unlock()
			}
		})
	}
	work <- nil
	if most > 0 {
		calm := &script{}
		play(calm)
		for _, d := range calm.next() {
			work <- []Departure{d}
		}
	}
	close(work)
	workers.Wait()
	return e
}

// exploreFrom plays the run of some departures, and those that depart from it
// later up to more times. The calm run's own departures are others' work.
func exploreFrom(departures []Departure, more int) (runs int, broken []string) {
	s := &script{departures: departures}
	if b := play(s); b != "" {
		broken = append(broken, b)
	}
	runs = 1
	if more == 0 || len(departures) == 0 {
		return runs, broken
	}
	for _, d := range s.next() {
		n, b := exploreFrom(append(departures[:len(departures):len(departures)], d), more-1)
		runs += n
		broken = append(broken, b...)
	}
	return runs, broken
}

// choose returns the option for the next occasion, 0 in a calm run.
func (s *script) choose(options int) int {
	if s.off {
		return 0
	}
	point := len(s.options)
	s.options = append(s.options, options)
	for _, d := range s.departures {
		if d.Point == point {
			return d.Option
		}
	}
	return 0
}

// next returns the departures that lie after those of the run.
func (s *script) next() []Departure {
	begin := 0
	if n := len(s.departures); n > 0 {
		begin = s.departures[n-1].Point + 1
	}
	var out []Departure
	for point := begin; point < len(s.options); point++ {
		for option := 1; option < s.options[point]; option++ {
			out = append(out, Departure{point, option})
		}
	}
	return out
}

// Replay plays one run and returns what it broke, "" if nothing.
func Replay(departures []Departure, options ...Option) string {
	return play(&script{departures: departures}, options...)
}

// play plays one run and returns what it broke, "" if nothing.
func play(s *script, options ...Option) string {
	w := New(options...)
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	w.AddService("maklerlink", exploredUpstreams, randomSlots)
	w.AddService("exposeserver", 1, randomSlots)
	w.AddEntries(exploredEntries)
	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
	w.Run(randomPause)
	w.script = s
	w.AddCallers(1, vip, exploredRequest)
	events := w.events(vip)
	for range exploredSteps {
		w.Run(exploredStep)
		if n := s.choose(1 + len(events)); n > 0 {
			events[n-1]()
		}
	}
	s.off = true
	w.Run(exploredSettle)
	lost := w.Count("lost")
	w.Run(exploredCalm)
	broken := w.Count("lost") > lost
	for _, promise := range Invariants() {
		broken = broken || w.Count(promise) > 0
	}
	if !broken {
		return ""
	}
	return fmt.Sprintf("%v: lost at the end %d, %s", s.departures, w.Count("lost")-lost, w.Counts())
}

// events returns what may happen at a moment.
func (w *World) events(vip netip.AddrPort) []func() {
	var out []func()
	for _, e := range w.entries {
		out = append(out, func() { e.Crash(restartDelay) })
	}
	for _, i := range w.Instances("maklerlink") {
		out = append(out,
			func() { i.RestartAgent(restartDelay) },
			func() { i.CrashUpstream(restartDelay) },
			func() { i.Partition(exploredCalm) })
	}
	return append(out, func() { w.SetRoute(vip, route.Share{Service: "exposeserver", Weight: 1}) })
}

// fate chooses what becomes of a datagram: the delays with which it arrives.
func (w *World) fate(datagram []byte) []time.Duration {
	d := w.delay()
	kind, err := peer.KindOf(datagram)
	if w.script == nil || err != nil || kind == peer.Report || kind == peer.Hello || kind == peer.Goodbye {
		return []time.Duration{d}
	}
	switch w.script.choose(fates) {
	case lostOnce:
		return nil
	case twice:
		return []time.Duration{d, d + repeated}
	case late:
		return []time.Duration{d + heldUp}
	default:
		return []time.Duration{d}
	}
}

// String returns a summary and the first broken runs.
func (e Exploration) String() string {
	const shown = 5
	text := fmt.Sprintf("%d runs, %d with a broken promise", e.Runs, len(e.Violations))
	return strings.Join(append([]string{text}, e.Violations[:min(shown, len(e.Violations))]...), "\n")
}
