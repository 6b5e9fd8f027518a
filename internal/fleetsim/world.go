// Package fleetsim runs the decision cores of entries and agents on the
// platform's terms in virtual time: routers, callers and upstreams that behave
// as the platform describes them, over a network that delays and loses
// datagrams. It counts each breach of what callers were promised.
//
// # Usage
//
//	w := fleetsim.New(fleetsim.WithSeed(1), fleetsim.WithLoss(0.01))
//	w.AddService("maklerlink", 7, 2)
//	w.AddEntries(4)
//	w.Route("198.18.0.1:443", fleetsim.Share{Service: "maklerlink", Weight: 1})
//	w.AddCallers(100, "198.18.0.1:443", time.Second)
//	w.Run(10 * time.Second)
//	served := w.Count("served")
package fleetsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hickoryhook.example/internal/vtime"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

const (
	reportEvery   = 400 * time.Millisecond
	hurryEvery    = 50 * time.Millisecond
	hurryFor      = 2 * time.Second
	tickEvery     = 100 * time.Millisecond
	registeredFor = 5 * time.Second
	registryEvery = time.Second
	probeEvery    = 500 * time.Millisecond
	minDelay      = 100 * time.Microsecond
	maxDelay      = 700 * time.Microsecond
	localDelay    = 20 * time.Microsecond // between an agent and its upstream
	callerDelay   = time.Millisecond
	rememberEvery = 2 * time.Second
	rememberFlows = 300
	restartDelay  = 250 * time.Millisecond
	beatEvery     = 800 * time.Millisecond
	entryStops    = 1800 * time.Millisecond
	misses        = 2
)

type (
	// World is the network and everything attached to it.
	World struct {
		*vtime.Loop
		random    *rand.Rand
		loss      float64
		trace     io.Writer
		codec     platform.PacketCodec
		start     time.Time
		version   uint64
		routes    map[netip.AddrPort][]route.Share
		allowed   map[netip.AddrPort]map[string]bool
		holders   map[netip.AddrPort][]string
		instances []*Instance
		entries   []*Entry
		callers   []*caller
		nodes     map[peer.Addr]node
		stored    map[peer.Addr][]director.FlowSnapshot
		counts    map[string]int
		hosts     uint32
		starts    int
		script    *script // of a run that is explored
	}

	// Option changes what New returns.
	Option func(*World)

	// node is a process that datagrams reach.
	node interface {
		receive(from peer.Addr, datagram []byte)
		up() bool
	}
)

// WithSeed sets the seed of delays, losses and choices.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithLoss sets the probability that a datagram between instances is lost.
func WithLoss(p float64) Option { return func(w *World) { w.loss = p } }

// WithTrace writes a line for each decision.
func WithTrace(out io.Writer) Option { return func(w *World) { w.trace = out } }

// New returns an empty world.
func New(options ...Option) *World {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		Loop:    vtime.New(start),
		random:  rand.New(rand.NewPCG(1, 0)),
		start:   start,
		routes:  make(map[netip.AddrPort][]route.Share),
		allowed: make(map[netip.AddrPort]map[string]bool),
		holders: make(map[netip.AddrPort][]string),
		nodes:   make(map[peer.Addr]node),
		stored:  make(map[peer.Addr][]director.FlowSnapshot),
		counts:  make(map[string]int),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run lets the given time pass.
func (w *World) Run(d time.Duration) { w.RunUntil(w.Now().Add(d)) }

// Count returns how often something happened; "busiest-percent" is the flows of
// the upstream that has most, relative to the mean of its service.
func (w *World) Count(name string) int {
	if name == "busiest-percent" {
		return w.busiest()
	}
	return w.counts[name]
}

func (w *World) busiest() int {
	flows, most, upstreams := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, i := range w.instances {
		if i.upstream == nil {
			continue
		}
		n := len(i.upstream.flows)
		flows[i.service] += n
		upstreams[i.service]++
		most[i.service] = max(most[i.service], n)
	}
	worst := 0
	for service, n := range flows {
		if n > 0 {
			worst = max(worst, 100*most[service]*upstreams[service]/n)
		}
	}
	return worst
}

// ResetCounts sets the counts to zero.
func (w *World) ResetCounts() { clear(w.counts) }

// Counts returns all counts as text.
func (w *World) Counts() string { return fmt.Sprint(w.counts) }

// AddService starts upstreams of a service and the agents beside them.
func (w *World) AddService(name string, count, slots int) {
	for range count {
		w.addInstance(name, slots)
	}
}

// AddEntries starts entries.
func (w *World) AddEntries(count int) {
	for range count {
		w.addEntry()
	}
}

// SetRoute sends the new flows of an address to services.
func (w *World) SetRoute(vip netip.AddrPort, shares ...route.Share) {
	w.routes[vip] = shares
	if w.allowed[vip] == nil {
		w.allowed[vip] = make(map[string]bool)
	}
	for _, s := range shares {
		w.allowed[vip][s.Service] = true
	}
	w.publish()
}

// RemoveRoute removes the route of an address.
func (w *World) RemoveRoute(vip netip.AddrPort) {
	delete(w.routes, vip)
	w.publish()
}

// AddCallers starts callers that send a request to an address at an interval.
func (w *World) AddCallers(count int, vip netip.AddrPort, every time.Duration) {
	for range count {
		w.addCaller(vip, every, true)
	}
}

// AddNonIdempotentCallers starts callers whose requests must not be repeated: one that is
// under way when its flow is reset is lost.
func (w *World) AddNonIdempotentCallers(count int, vip netip.AddrPort, every time.Duration) {
	for range count {
		w.addCaller(vip, every, false)
	}
}

// Instances returns the upstream's instances of a service in the order of
// their start.
func (w *World) Instances(service string) []*Instance {
	var out []*Instance
	for _, i := range w.instances {
		if i.service == service {
			out = append(out, i)
		}
	}
	return out
}

// Entry returns an entry by its number, from 1.
func (w *World) Entry(n int) *Entry { return w.entries[n-1] }

// Entries returns how many entries were ever started.
func (w *World) Entries() int { return len(w.entries) }

// PowerCycle takes power from everything and gives it back.
func (w *World) PowerCycle(down time.Duration) {
	for _, e := range w.entries {
		e.Crash(down)
	}
	for _, i := range w.instances {
		i.PowerCycle(down)
	}
}

// KillAll kills all entries and agents; the upstreams live on.
func (w *World) KillAll(down time.Duration) {
	for _, e := range w.entries {
		e.Crash(down)
	}
	for _, i := range w.instances {
		i.RestartAgent(down)
	}
}

func (w *World) publish() {
	w.version++
	config := w.config()
	config.Each(func(r route.Route) {
		for _, s := range r.Shares {
			if !slices.Contains(w.holders[r.VIP], s.Service) {
				w.holders[r.VIP] = append(w.holders[r.VIP], s.Service)
			}
		}
	})
	for _, e := range w.entries {
		if e.alive {
			w.After(w.delay(), func() { e.core.SetConfig(config) })
		}
	}
}

func (w *World) config() *route.Config {
	var routes []route.Route
	for vip, shares := range w.routes {
		routes = append(routes, route.Route{VIP: vip, Shares: shares})
	}
	return route.New(w.version, routes)
}

func (w *World) count(name string) { w.counts[name]++ }

func (w *World) now() time.Duration { return w.Now().Sub(w.start) }

func (w *World) delay() time.Duration {
	return minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
}

func (w *World) address() peer.Addr {
	w.hosts++
	return peer.Addr{10, byte(w.hosts >> 16), byte(w.hosts >> 8), byte(w.hosts)}
}

// send carries a datagram between processes.
func (w *World) send(from, to peer.Addr, datagram []byte) {
	w.counts["bytes"] += len(datagram)
	if w.loss > 0 && w.random.Float64() < w.loss {
		return
	}
	for _, delay := range w.fate(datagram) {
		copied := slices.Clone(datagram)
		w.After(delay, func() {
			if n, ok := w.nodes[to]; ok && n.up() {
				n.receive(from, copied)
			}
		})
	}
}

// routed returns the entry that the routers choose for a hash: by steady
// hashing over those in rotation, or over all if none is.
func (w *World) routed(hash uint64) *Entry {
	var best *Entry
	var score uint64
	for _, inRotation := range []bool{true, false} {
		for _, e := range w.entries {
			if inRotation && !e.inRotation {
				continue
			}
			if s := rendezvous.Hash(hash, e.address.ID()); best == nil || s > score {
				best, score = e, s
			}
		}
		if best != nil {
			return best
		}
	}
	return best
}

func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%8.3f "+format+"\n", append([]any{w.now().Seconds()}, args...)...)
	}
}
