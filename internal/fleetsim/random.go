package fleetsim

import (
	"fmt"
	"net/netip"
	"time"

	"hickoryhook.example/pkg/route"
)

const (
	randomEntries   = 4
	randomUpstreams = 7
	randomOthers    = 3
	randomSlots     = 2
	randomCallers   = 150
	randomSteps     = 12
	randomSettle    = 15 * time.Second
	randomPause     = 3 * time.Second
	minimumTime     = 50 * time.Millisecond
)

var (
	randomVIP      = netip.MustParseAddrPort("198.18.0.1:443")
	randomOtherVIP = netip.MustParseAddrPort("198.18.0.2:443")
)

type (
	// Result is what callers and upstreams saw of a random run.
	Result struct {
		Seed   uint64         `json:"seed"`
		Steps  []string       `json:"steps"`
		Counts map[string]int `json:"counts"`
		// LostAfterSettling is how many requests were lost after the last disturbance
		// had settled.
		LostAfterSettling int `json:"lost-after"`
	}

	disturbance struct {
		name string
		run  func(w *World) string
	}
)

// Invariants are the counts that must be zero whatever happens.
func Invariants() []string {
	return []string{"broken", "misrouted", "opened-while-draining", "malformed"}
}

// RunRandom plays a random series of disturbances, some of them at once.
func RunRandom(seed uint64, options ...Option) Result {
	w := New(append([]Option{WithSeed(seed)}, options...)...)
	w.AddService("maklerlink", randomUpstreams, randomSlots)
	w.AddService("exposeserver", randomOthers, randomSlots)
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
	w.Run(randomSettle)
	lost := w.Count("lost")
	w.Run(randomSettle)
	result.LostAfterSettling = w.Count("lost") - lost
	result.Counts = w.counts
	return result
}

// disturbances lists what a random run draws from.
func disturbances() []disturbance {
	return []disturbance{
		{"roll entry", func(w *World) string { e := w.anyEntry(); e.RestartGracefully(); return e.address.String() }},
		{"crash entry", func(w *World) string { e := w.anyEntry(); e.Crash(restartDelay); return e.address.String() }},
		{"pause entry", func(w *World) string { e := w.anyEntry(); e.Pause(w.upTo(5 * time.Second)); return e.address.String() }},
		{"restart agent", func(w *World) string {
			i := w.anyInstance()
			i.RestartAgent(w.upTo(time.Second))
			return i.address.String()
		}},
		{"crash upstream", func(w *World) string {
			i := w.anyInstance()
			i.CrashUpstream(w.upTo(2 * time.Second))
			return i.address.String()
		}},
		{"cut", func(w *World) string {
			i := w.anyInstance()
			i.Partition(w.upTo(6 * time.Second))
			return i.address.String()
		}},
		{"power off", func(w *World) string {
			i := w.anyInstance()
			i.PowerCycle(w.upTo(2 * time.Second))
			return i.address.String()
		}},
		{"replace", func(w *World) string {
			i := w.anyInstance()
			w.addInstance(i.service, i.slots)
			i.Drain(w.upTo(3 * time.Second))
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
			w.After(w.upTo(5*time.Second), func() { w.loss = 0 })
			return ""
		}},
		{"kill all processes", func(w *World) string { w.KillAll(w.upTo(time.Second)); return "" }},
		{"all power off", func(w *World) string { w.PowerCycle(w.upTo(time.Second)); return "" }},
	}
}

func (w *World) anyEntry() *Entry { return w.entries[w.random.IntN(len(w.entries))] }

// anyInstance returns an instance that has power and an upstream that does not
// drain, of a service with at least two of them.
func (w *World) anyInstance() *Instance {
	var able []*Instance
	perService := make(map[string]int)
	for _, i := range w.instances {
		if i.up() && i.upstream != nil && !i.upstream.draining {
			able = append(able, i)
			perService[i.service]++
		}
	}
	start := w.random.IntN(max(1, len(able)))
	for n := range able {
		if i := able[(start+n)%len(able)]; perService[i.service] > 1 {
			return i
		}
	}
	return w.instances[0]
}

func (w *World) upTo(most time.Duration) time.Duration {
	return minimumTime + time.Duration(w.random.Int64N(int64(most)))
}
