package fleetsim

import (
	"fmt"
	"net/netip"
	"time"

	"hickoryhook.example/pkg/route"
)

const (
	randomEntries        = 4
	randomUpstreams      = 7                // of the service of randomVIP
	randomOtherUpstreams = 3                // of the service of randomOtherVIP
	randomSlots          = 2                // of each upstream
	randomCallers        = 150              // with idempotent requests to randomVIP
	randomSteps          = 12               // disturbances
	randomSettleTime     = 15 * time.Second // after the last disturbance
	randomPause          = 3 * time.Second  // before and after the callers start, and at most between two disturbances
	minDuration          = 50 * time.Millisecond
)

var (
	randomVIP      = netip.MustParseAddrPort("198.18.0.1:443")
	randomOtherVIP = netip.MustParseAddrPort("198.18.0.2:443")
)

type (
	// Result holds the disturbances and the counters of a random run.
	Result struct {
		Seed uint64 `json:"seed"`
		// Steps are the disturbances: virtual time in seconds, name, and target if
		// there is one: the address of an entry or instance, the new weight of
		// "maklerlink" out of 10, or the new service of a route.
		Steps  []string       `json:"steps"`
		Counts map[string]int `json:"counts"`
		// LostAfterSettling is the number of requests that were lost in the last
		// randomSettleTime of the run. The fleet has as long before that to recover
		// from the last disturbance.
		LostAfterSettling int `json:"lost-after"`
	}

	// disturbance is a fault or a change of the fleet. Its function applies it and
	// returns its target.
	disturbance struct {
		name string // as in Result.Steps
		run  func(w *World) string
	}
)

// Invariants returns the names of the counters that must be zero whatever
// happens:
//
//   - "broken": resets of flows that a running upstream held, except while the
//     caller was opening the flow
//   - "misrouted": openings at an upstream of a service that no route of the VIP
//     has ever named
//   - "opened-while-draining": openings at an upstream later than 100 ms after
//     its agent had acknowledged that it drains
//   - "malformed": datagrams and packets that could not be decoded
//   - "ran-twice": requests that must not be repeated and that upstreams began to process
//     more than once
//   - "config-outdated": a running entry kept an older configuration than configApplyTime
//     allows
//   - "opened-while-evacuated": flows that an upstream accepted later than evacuationBound
//     after the request for an evacuation of its failure domain
//   - "excluded-after-evacuation": checks that found a failure domain excluded at an entry, or
//     an upstream without new flows, later than evacuationBound after the withdrawal
//   - "cold-limit-exceeded": flows that an upstream accepted in its warm-up beyond its limit
//     in any second
//
// A flow that is reset because of an evacuation counts as "broken".
func Invariants() []string {
	return []string{"broken", "misrouted", "opened-while-draining", "malformed", "ran-twice", "config-outdated",
		"opened-while-evacuated", "excluded-after-evacuation", "cold-limit-exceeded"}
}

// RunRandom runs a random series of randomSteps disturbances, some of which
// overlap. The seed and the options determine the run. The loss of WithLoss lasts
// until the first disturbance "lose datagrams", which sets it to 0.02, and to 0 at
// its end.
func RunRandom(seed uint64, options ...Option) Result {
	w := New(append([]Option{WithSeed(seed)}, options...)...)
	w.AddService("maklerlink", randomUpstreams, randomSlots)
	w.AddService("exposeserver", randomOtherUpstreams, randomSlots)
	w.AddEntries(randomEntries)
	w.SetRoute(randomVIP, route.Share{Service: "maklerlink", Weight: 9}, route.Share{Service: "exposeserver", Weight: 1})
	w.SetRoute(randomOtherVIP, route.Share{Service: "exposeserver", Weight: 1})
	w.Run(randomPause)
	w.AddCallers(randomCallers, randomVIP, time.Second)
	w.AddNonIdempotentCallers(randomCallers/3, randomVIP, 2*time.Second)
	w.AddCallers(randomCallers/5, randomOtherVIP, time.Second)
	w.Run(randomPause)
	result := Result{Seed: seed}
	all := disturbances()
	for range randomSteps {
		d := all[w.random.IntN(len(all))]
		result.Steps = append(result.Steps, fmt.Sprintf("%.3fs %s %s", w.now().Seconds(), d.name, d.run(w)))
		w.Run(time.Duration(w.random.Int64N(int64(randomPause))))
	}
	w.endEvacuations()
	w.Run(randomSettleTime)
	lost := w.Count("lost")
	w.Run(randomSettleTime)
	result.LostAfterSettling = w.Count("lost") - lost
	result.Counts = w.counts
	return result
}

// disturbances returns the disturbances from which a random run chooses.
func disturbances() []disturbance {
	return []disturbance{
		{"roll entry", func(w *World) string { e := w.randomEntry(); e.RestartGracefully(); return e.address.String() }},
		{"crash entry", func(w *World) string { e := w.randomEntry(); e.Crash(restartDelay); return e.address.String() }},
		{"pause entry", func(w *World) string {
			e := w.randomEntry()
			e.Pause(w.randomDuration(5 * time.Second))
			return e.address.String()
		}},
		{"restart agent", func(w *World) string {
			i := w.randomInstance()
			i.RestartAgent(w.randomDuration(time.Second))
			return i.address.String()
		}},
		{"crash upstream", func(w *World) string {
			i := w.randomInstance()
			i.CrashUpstream(w.randomDuration(2 * time.Second))
			return i.address.String()
		}},
		{"cut", func(w *World) string {
			i := w.randomInstance()
			i.Partition(w.randomDuration(6 * time.Second))
			return i.address.String()
		}},
		{"power off", func(w *World) string {
			i := w.randomInstance()
			i.PowerCycle(w.randomDuration(2 * time.Second))
			return i.address.String()
		}},
		{"replace", func(w *World) string {
			i := w.randomInstance()
			w.addInstance(i.service, i.slots)
			i.Drain(w.randomDuration(3 * time.Second))
			return i.address.String()
		}},
		{"move the split", func(w *World) string {
			weight := uint32(1 + w.random.IntN(9))
			w.SetRoute(randomVIP, route.Share{Service: "maklerlink", Weight: weight}, route.Share{Service: "exposeserver", Weight: 10 - weight})
			return fmt.Sprint(weight)
		}},
		{"move the route", func(w *World) string {
			name := []string{"maklerlink", "exposeserver"}[w.random.IntN(2)]
			w.SetRoute(randomVIP, route.Share{Service: name, Weight: 1})
			return name
		}},
		{"lose datagrams", func(w *World) string {
			w.loss = 0.02
			w.After(w.randomDuration(5*time.Second), func() { w.loss = 0 })
			return ""
		}},
		{"kill all processes", func(w *World) string { w.KillAll(w.randomDuration(time.Second)); return "" }},
		{"all power off", func(w *World) string { w.PowerCycle(w.randomDuration(time.Second)); return "" }},
	}
}

func (w *World) randomEntry() *Entry { return w.entries[w.random.IntN(len(w.entries))] }

// randomInstance returns an instance that is up, with an upstream that runs and
// does not drain, of a service with at least two such instances; the first
// instance if there is none.
func (w *World) randomInstance() *Instance {
	var candidates []*Instance
	perService := make(map[string]int)
	for _, i := range w.instances {
		if i.up() && i.upstream != nil && !i.upstream.draining {
			candidates = append(candidates, i)
			perService[i.service]++
		}
	}
	start := w.random.IntN(max(1, len(candidates)))
	for n := range candidates {
		if i := candidates[(start+n)%len(candidates)]; perService[i.service] > 1 {
			return i
		}
	}
	return w.instances[0]
}

// randomDuration returns a duration from minDuration to below minDuration + limit.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	return minDuration + time.Duration(w.random.Int64N(int64(limit)))
}
