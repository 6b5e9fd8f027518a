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
	// exploredStepTime is the time between two moments at which an event may
	// happen, and exploredSteps the number of these moments. Over all the steps of
	// the undisturbed run, a flow is opened and used by four requests.
	exploredStepTime        = 300 * time.Millisecond
	exploredSteps           = 6
	exploredRequestInterval = 500 * time.Millisecond
	// lateDelay is added to the delay of a delayed datagram, which then arrives
	// after the copy that the caller sends. duplicateDelay is the time between a
	// datagram and its duplicate.
	lateDelay      = 250 * time.Millisecond
	duplicateDelay = 5 * time.Millisecond
	// exploredSettleTime covers the longest timeout of a caller and the time
	// after which entries remove an agent that sends no reports.
	exploredSettleTime = 14 * time.Second
	// exploredQuietTime is the time after exploredSettleTime in which no request
	// may be lost. Partitions last as long.
	exploredQuietTime = 2 * time.Second
)

// The outcomes of sending a datagram that carries or concerns a flow.
const (
	outcomeDelivered = iota
	outcomeLost
	outcomeDuplicated
	outcomeDelayed
	outcomeCount
)

type (
	// Exploration is the result of all runs with up to a number of departures.
	Exploration struct {
		Runs int
		// Violations describes each run in which an invariant was violated or a
		// request was lost after exploredSettleTime.
		Violations []string
	}

	// Departure is a difference between a run and the undisturbed one, in which
	// each choice is option 0: at choice number Point, counted from 0, the run
	// takes option number Option.
	Departure struct{ Point, Option int }

	// script makes the choices of a run and records the number of options of each
	// choice.
	script struct {
		departures []Departure // in the order of their points
		options    []int       // number of options of each choice so far
		ended      bool        // the explored part of the run is over: choices are 0
	}
)

// Explore is a bounded model check: it runs two entries, three upstreams and one
// caller, which keeps one flow open, with every combination of at most
// maxDepartures departures from the undisturbed run. Each datagram between
// processes that carries or concerns a flow may be lost, duplicated or delayed. At
// each step one event may happen: an entry or agent is killed, an upstream crashes,
// an instance is partitioned, or the route moves to another service, which has one
// upstream of its own.
func Explore(maxDepartures int) Exploration {
	var (
		e       Exploration
		mu      sync.Mutex
		workers sync.WaitGroup
	)
	work := make(chan []Departure)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for first := range work {
				runs, violations := exploreFrom(first, maxDepartures-len(first))
				mu.Lock()
				e.Runs += runs
				e.Violations = append(e.Violations, violations...)
				mu.Unlock()
			}
		})
	}
	work <- nil // the undisturbed run
	if maxDepartures > 0 {
		undisturbed := &script{}
		runScript(undisturbed)
		for _, d := range undisturbed.laterDepartures() {
			work <- []Departure{d}
		}
	}
	close(work)
	workers.Wait()
	return e
}

// exploreFrom runs the given departures, and all runs with up to more departures
// after them. It returns the number of runs and the violations. Without
// departures it runs only the undisturbed run: Explore distributes the runs that
// depart from it over the workers.
func exploreFrom(departures []Departure, more int) (runs int, violations []string) {
	s := &script{departures: departures}
	if v := runScript(s); v != "" {
		violations = append(violations, v)
	}
	runs = 1
	if more == 0 || len(departures) == 0 {
		return runs, violations
	}
	for _, d := range s.laterDepartures() {
		n, v := exploreFrom(append(departures[:len(departures):len(departures)], d), more-1)
		runs += n
		violations = append(violations, v...)
	}
	return runs, violations
}

// choose returns the option that the run takes at its next choice, 0 unless a
// departure sets another. options is the number of options.
func (s *script) choose(options int) int {
	if s.ended {
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

// laterDepartures returns the departures that were possible in the run after the
// last of its own.
func (s *script) laterDepartures() []Departure {
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

// Replay repeats one run of an exploration, given by its departures in the order
// of their points. It describes the violation, as in Exploration.Violations, and
// returns "" if there was none.
func Replay(departures []Departure, options ...Option) string {
	return runScript(&script{departures: departures}, options...)
}

// runScript runs one script and describes the violation, "" if there was none:
// counters of Invariants above zero, or requests lost in the exploredQuietTime
// that follows exploredSettleTime.
func runScript(s *script, options ...Option) string {
	w := New(options...)
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	w.AddService("maklerlink", exploredUpstreams, randomSlots)
	w.AddService("exposeserver", 1, randomSlots)
	w.AddEntries(exploredEntries)
	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
	w.Run(randomPause)
	w.script = s
	w.AddCallers(1, vip, exploredRequestInterval)
	events := w.possibleEvents(vip)
	for range exploredSteps {
		w.Run(exploredStepTime)
		if n := s.choose(1 + len(events)); n > 0 {
			events[n-1]()
		}
	}
	s.ended = true
	w.Run(exploredSettleTime)
	lost := w.Count("lost")
	w.Run(exploredQuietTime)
	violated := w.Count("lost") > lost
	for _, invariant := range Invariants() {
		violated = violated || w.Count(invariant) > 0
	}
	if !violated {
		return ""
	}
	return fmt.Sprintf("%v: %d requests lost after settling, %s", s.departures, w.Count("lost")-lost, w.Counts())
}

// possibleEvents returns the events of which one may happen at each step.
func (w *World) possibleEvents(vip netip.AddrPort) []func() {
	var out []func()
	for _, e := range w.entries {
		out = append(out, func() { e.Crash(restartDelay) })
	}
	for _, i := range w.Instances("maklerlink") {
		out = append(out,
			func() { i.RestartAgent(restartDelay) },
			func() { i.CrashUpstream(restartDelay) },
			func() { i.Partition(exploredQuietTime) })
	}
	return append(out, func() { w.SetRoute(vip, route.Share{Service: "exposeserver", Weight: 1}) })
}

// deliveryDelays returns the delays with which a datagram and its duplicates
// arrive, none if it is lost. During an exploration the script chooses, except
// for status reports, hellos and goodbyes, which always arrive.
func (w *World) deliveryDelays(datagram []byte) []time.Duration {
	d := w.delay()
	kind, err := peer.KindOf(datagram)
	if w.script == nil || err != nil || kind == peer.Report || kind == peer.Hello || kind == peer.Goodbye {
		return []time.Duration{d}
	}
	switch w.script.choose(outcomeCount) {
	case outcomeLost:
		return nil
	case outcomeDuplicated:
		return []time.Duration{d, d + duplicateDelay}
	case outcomeDelayed:
		return []time.Duration{d + lateDelay}
	default:
		return []time.Duration{d}
	}
}

// String returns a summary and the first violations.
func (e Exploration) String() string {
	const shown = 5
	text := fmt.Sprintf("%d runs, %d with a violated invariant", e.Runs, len(e.Violations))
	return strings.Join(append([]string{text}, e.Violations[:min(shown, len(e.Violations))]...), "\n")
}
