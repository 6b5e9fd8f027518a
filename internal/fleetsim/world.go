// Package fleetsim simulates a fleet of entries and agents in virtual time. It
// runs the decision code of pkg/director and pkg/relay with simulated routers,
// callers and upstreams that behave as the platform specifies, over a network
// that delays and loses datagrams, and counts each violation of an invariant.
//
// # Usage
//
//	w := fleetsim.New(fleetsim.WithSeed(1), fleetsim.WithLoss(0.01))
//	w.AddService("maklerlink", 7, 2)
//	w.AddEntries(4)
//	vip := netip.MustParseAddrPort("198.18.0.1:443")
//	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
//	w.AddCallers(100, vip, time.Second)
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
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	reportInterval        = 400 * time.Millisecond // between status reports of an agent
	startupReportInterval = 50 * time.Millisecond  // the same during startupReportPeriod
	startupReportPeriod   = 2 * time.Second        // after the start of an agent
	tickInterval          = 100 * time.Millisecond // between the Tick calls of an entry or agent
	registryPollInterval  = time.Second            // at which an entry reads the registered agents
	agentListInterval     = time.Second            // at which the first entry writes the registered agents
	storeDelay            = 5 * time.Millisecond   // of a read for resets that wait
	confirmInterval       = 300 * time.Millisecond // between two of these reads of an entry
	probeInterval         = 500 * time.Millisecond // between the routers' health checks of an entry
	minDelay              = 100 * time.Microsecond // one way between instances
	maxDelay              = 700 * time.Microsecond
	localDelay            = 20 * time.Microsecond   // between an agent and its upstream
	callerDelay           = time.Millisecond        // one way between a caller and the instances
	configApplyTime       = time.Second             // until a change should be in force
	snapshotInterval      = 2 * time.Second         // between the flow snapshots of an entry
	maxSnapshotFlows      = 300                     // in a flow snapshot
	restartDelay          = 250 * time.Millisecond  // from the end of a process to its restart
	heartbeatInterval     = 800 * time.Millisecond  // of an upstream to its agent
	entryStopTime         = 1800 * time.Millisecond // of a graceful stop: not ready, but still running
	probeFailureThreshold = 2                       // failed probes in a row after which an entry is out of rotation
)

type (
	// World is a simulated network with its entries, upstream instances, callers
	// and routers. It runs in one goroutine.
	World struct {
		*vtime.Loop
		random         *rand.Rand // of delays, losses and choices
		loss           float64    // probability per datagram between processes
		callerLoss     float64    // probability per packet from an entry to a caller
		trace          io.Writer
		codec          platform.PacketCodec
		start          time.Time
		version        uint64 // of the configuration, raised by each change of a route
		appliedVersion uint64 // of the configuration that all running entries should have
		routes         map[netip.AddrPort][]route.Share
		allowed        map[netip.AddrPort]map[string]bool // services that a route of the VIP has ever named
		holders        map[netip.AddrPort][]string        // services that may hold flows of the VIP
		registered     []peer.Addr                        // the agents in the store, see Entry.writeAgents
		instances      []*Instance
		entries        []*Entry
		callers        int // added so far, for their addresses
		callersByFlow  map[segment.Flow]*caller
		sent           map[requestPacket]*requestRuns // the requests that callers have sent
		kinds          map[netip.AddrPort]*Kind
		requests       []*Request      // of the callers of AddLoad
		without        map[string]bool // mechanisms that are switched off, see WithoutMechanism
		cold           coldStart
		queueLength    int           // of an upstream
		startSpread    time.Duration // see WithStartSpread
		nodes          map[peer.Addr]node
		snapshots      map[peer.Addr][]director.FlowSnapshot // the flow snapshot that each entry stored last
		restores       storeRestores
		evacuations    evacuations
		domains        int // failure domains, see WithDomains
		counts         map[string]int
		heldAtFailure  int     // flows of the first upstream that failed, when it began to
		addressCount   uint32  // addresses assigned so far
		upstreamStarts int     // upstreams started so far, for their IDs
		script         *script // nil except during an exploration
	}

	// Option configures the World that New returns.
	Option func(*World)

	// node is a process that receives datagrams.
	node interface {
		receive(from peer.Addr, datagram []byte)
		// up reports whether the process runs and is reachable; datagrams to it
		// are lost otherwise.
		up() bool
	}
)

// WithSeed sets the seed of the random delays, losses and choices; the default
// is 1.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithLoss sets the probability, 0 to 1, that a datagram between processes is
// lost; the default is 0.
func WithLoss(p float64) Option { return func(w *World) { w.loss = p } }

// WithTrace writes a line to out for each decision of an entry or agent, each
// request that times out and each reset that counts as "broken".
func WithTrace(out io.Writer) Option { return func(w *World) { w.trace = out } }

// WithStartSpread sets the time within which processes start after a PowerCycle; the
// default is 0.
func WithStartSpread(d time.Duration) Option { return func(w *World) { w.startSpread = d } }

// New returns a World without processes, callers and routes.
func New(options ...Option) *World {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		Loop:          vtime.New(start),
		random:        rand.New(rand.NewPCG(1, 0)),
		start:         start,
		routes:        make(map[netip.AddrPort][]route.Share),
		allowed:       make(map[netip.AddrPort]map[string]bool),
		holders:       make(map[netip.AddrPort][]string),
		nodes:         make(map[peer.Addr]node),
		callersByFlow: make(map[segment.Flow]*caller),
		sent:          make(map[requestPacket]*requestRuns),
		kinds:         make(map[netip.AddrPort]*Kind),
		without:       make(map[string]bool),
		queueLength:   maxQueued,
		snapshots:     make(map[peer.Addr][]director.FlowSnapshot),
		counts:        make(map[string]int),
		evacuations:   evacuations{since: make(map[string]time.Duration), last: make(map[string]time.Duration), ended: make(map[string]time.Duration)},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Run advances the virtual time by d and runs all events in it.
func (w *World) Run(d time.Duration) { w.RunUntil(w.Now().Add(d)) }

// Count returns the counter with a name, 0 if nothing was counted. The counters
// are those of Invariants and:
//
//   - "asked": requests that callers began
//   - "served": requests that were processed and answered
//   - "late": requests among those that were answered after retransmitTimeout
//   - "refused": requests whose callers received the refusal of an upstream that
//     shed them
//   - "lost": requests that were not answered within requestTimeout, or that were
//     reset and must not be sent twice; a request ended by a third reset is not
//     counted
//   - "resets": resets that callers received
//   - "ran": requests that upstreams started to process
//   - "shed": requests that upstreams shed because their queue was full
//   - "reset-by-upstream": flows that a failing upstream reset
//   - "strayed": packets of flows that the receiving upstream does not hold, if no
//     route of the VIP has ever named its service
//   - "evacuations": requests for the evacuation of a failure domain
//   - "opened-" followed by a failure domain: flows that its upstreams accepted
//   - "confirmations": reads of the configuration by entries whose resets wait for them
//   - "bytes": total size of the datagrams between processes, including lost ones
//   - the events of director.Decision, and "agent-" followed by a relay.Event
//
// The name "busiest-percent" stands for the largest number of flows at one
// upstream in percent of the mean of its service, the maximum over all services.
// "lost-beyond-held" stands for the requests that were lost in addition to one for each
// flow that the first failing upstream held when it began to fail.
func (w *World) Count(name string) int {
	switch name {
	case "busiest-percent":
		return w.busiestPercent()
	case "lost-beyond-held":
		return w.counts["lost"] - w.heldAtFailure
	}
	return w.counts[name]
}

// busiestPercent computes the value of "busiest-percent", see Count. Upstreams
// that do not run are left out.
func (w *World) busiestPercent() int {
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

// ResetCounts sets all counters to zero.
func (w *World) ResetCounts() { clear(w.counts) }

// Counts returns the names and values of all counters as text.
func (w *World) Counts() string { return fmt.Sprint(w.counts) }

// AddService starts count upstreams of a service, each with the given number of
// slots (requests that it processes at once), and the agents beside them.
func (w *World) AddService(name string, count, slots int) {
	for range count {
		w.addInstance(name, slots)
	}
}

// AddEntries starts count entries.
func (w *World) AddEntries(count int) {
	for range count {
		w.addEntry()
	}
}

// SetRoute replaces the route of a VIP: new flows go to the services in
// proportion to the weights of the shares.
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

// RemoveRoute removes the route of a VIP.
func (w *World) RemoveRoute(vip netip.AddrPort) {
	delete(w.routes, vip)
	w.publish()
}

// AddCallers starts count callers that send a request to a VIP at an interval.
// Their requests are idempotent: one that waits for its response when its flow
// is reset is sent again on a new flow.
func (w *World) AddCallers(count int, vip netip.AddrPort, interval time.Duration) {
	for range count {
		w.addCaller(vip, interval, true)
	}
}

// AddNonIdempotentCallers starts count callers whose requests must not be sent
// twice: one that waits for its response when its flow is reset is lost.
func (w *World) AddNonIdempotentCallers(count int, vip netip.AddrPort, interval time.Duration) {
	for range count {
		w.addCaller(vip, interval, false)
	}
}

// Instances returns the instances of a service, including removed ones, in the
// order in which they were added.
func (w *World) Instances(service string) []*Instance {
	var out []*Instance
	for _, i := range w.instances {
		if i.service == service {
			out = append(out, i)
		}
	}
	return out
}

// Entry returns the n-th entry in the order in which they were added, from 1.
func (w *World) Entry(n int) *Entry { return w.entries[n-1] }

// Entries returns the number of entries that were added, running or not.
func (w *World) Entries() int { return len(w.entries) }

// PowerCycle cuts the power of all entries and instances and restores it after
// the time down. The processes start within the time of WithStartSpread after that.
func (w *World) PowerCycle(down time.Duration) {
	for _, e := range w.entries {
		e.Crash(down + w.startDelay())
	}
	for _, i := range w.instances {
		i.PowerCycle(down + w.startDelay())
	}
}

// startDelay returns a random time within the start spread.
func (w *World) startDelay() time.Duration {
	if w.startSpread == 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(w.startSpread)))
}

// KillAll kills all entries and agents and starts them again after the time
// down. The upstreams keep running.
func (w *World) KillAll(down time.Duration) {
	for _, e := range w.entries {
		e.Crash(down)
	}
	for _, i := range w.instances {
		i.RestartAgent(down)
	}
}

// publish sends the current routes to all running entries, and adds the services
// that they name to w.holders.
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
	if w.restores.lost != nil {
		w.restores.lost.config = config
	}
	w.deliverConfig()
	w.After(configApplyTime, func() { w.appliedVersion = config.Version() })
}

// deliverConfig sends the current configuration to all running entries. One that is paused
// reads it when it resumes, see Entry.readStore.
func (w *World) deliverConfig() {
	config := w.config()
	for _, e := range w.entries {
		if e.alive {
			w.After(w.delay(), func() {
				if !e.paused {
					e.director.SetConfig(config)
				}
			})
		}
	}
}

func (w *World) config() *route.Config {
	var routes []route.Route
	for vip, shares := range w.routes {
		r := route.Route{VIP: vip, Shares: shares}
		if k := w.kinds[vip]; k != nil {
			r.Timeout, r.Target, r.Priority, r.Idempotent = k.Timeout, k.Target, k.Priority, k.Repeatable
		}
		routes = append(routes, r)
	}
	return route.New(w.version, routes, route.WithServices(w.services()...))
}

func (w *World) count(name string) { w.counts[name]++ }

// now returns the virtual time since the start of the simulation.
func (w *World) now() time.Duration { return w.Now().Sub(w.start) }

// delay returns a random one-way network delay.
func (w *World) delay() time.Duration {
	return minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
}

// nextAddress assigns an address of 10.0.0.0/8.
func (w *World) nextAddress() peer.Addr {
	w.addressCount++
	return peer.Addr{10, byte(w.addressCount >> 16), byte(w.addressCount >> 8), byte(w.addressCount)}
}

// send delivers a datagram between processes after the network delay, or drops
// it.
func (w *World) send(from, to peer.Addr, datagram []byte) {
	w.counts["bytes"] += len(datagram)
	datagram = w.withoutMechanisms(datagram)
	if w.loss > 0 && w.random.Float64() < w.loss {
		return
	}
	for _, delay := range w.deliveryDelays(datagram) {
		copied := slices.Clone(datagram)
		w.After(delay, func() {
			if n, ok := w.nodes[to]; ok && n.up() {
				n.receive(from, copied)
			}
		})
	}
}

// chooseEntry returns the entry that the routers choose for the hash of a flow:
// by rendezvous hashing over the entries in rotation, or over all entries if
// none is in rotation. It returns nil if there is no entry.
func (w *World) chooseEntry(hash uint64) *Entry {
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

// tracef writes a line to the trace, with the virtual time in seconds.
func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%8.3f "+format+"\n", append([]any{w.now().Seconds()}, args...)...)
	}
}
