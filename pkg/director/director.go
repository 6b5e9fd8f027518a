// Package director decides, in an entry, where each packet of a caller goes.
//
// A director remembers the owner of each flow that passes it. It holds nothing
// that matters: a packet of a flow it does not know visits the agents in the
// flow's rendezvous order until the owner takes it.
//
// # Usage
//
//	d := director.New(self, codec, port)
//	d.SetConfig(now, config)
//	d.Report(now, agent, status)       // what agents tell
//	d.FromCaller(now, packet)          // what callers send
//	d.FromProcess(now, agent, datagram) // what agents send back
//	d.Tick(now)
//
// A Director has no clock and no sockets; its methods are safe for concurrent
// use.
package director

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

const (
	shardCount = 16
	// searchPatience is how long a search may take before a retransmitted
	// packet of the flow starts another, that asks all agents at once. The
	// walk past 32 agents takes 20 ms at 0.6 ms a hop; an entry that is five
	// times slower than usual needs five times that for the answer.
	searchPatience = 150 * time.Millisecond
	// asksPerSecond and asksAtOnce bound the searches that ask all agents: at
	// 72 bytes a message and 50 agents they take 1 Mbit/s, a tenth of the
	// smallest link of the users' sites.
	asksPerSecond = 35
	asksAtOnce    = 35
	// defaultVerified is how long after a check with the store the
	// configuration counts as current, so that an unknown address may be
	// refused: two thirds of the 3 s in which a change must be in force.
	defaultVerified = 2 * time.Second
	// defaultIdle and defaultLifetime apply until the configuration and the
	// settings say otherwise.
	defaultIdle     = 15 * time.Second
	defaultLifetime = time.Minute
	// idleSlack covers packets on their way when a flow is forgotten.
	idleSlack = 2 * time.Second
	// doneFor is how long a flow that its caller has closed is remembered, for
	// late packets of its end: as long as agents do.
	doneFor = 5 * time.Second
)

// The decisions of a director.
const (
	Placed       Event = "placed"
	PlacedAgain  Event = "placed-again"
	NoTaker      Event = "no-taker"
	NoRoute      Event = "no-route"
	RouteDropped Event = "route-dropped"
	Searched     Event = "searched"
	SearchedAll  Event = "searched-all"
	FoundNobody  Event = "found-nobody"
	FoundUnsure  Event = "found-nobody-uncertain"
	Found        Event = "found"
	UpstreamGone Event = "upstream-gone"
)

// The latencies that a director measures.
const (
	// Opening is the time from a caller's opening packet to the agent's word
	// that its upstream has accepted it.
	Opening Measure = "opening"
	// Searching is the time until a flow's owner was found.
	Searching Measure = "searching"
)

type (
	// Port is where a director's packets leave.
	Port interface {
		// ToProcess sends a datagram to another process.
		ToProcess(to peer.Addr, datagram []byte)
		// ToCaller sends a packet to a caller.
		ToCaller(flow segment.Flow, packet []byte)
		// RecordLatency tells of a latency, for the metrics.
		RecordLatency(m Measure, d time.Duration)
		// RecordDecision tells of a decision, for the log.
		RecordDecision(d Decision)
	}

	// Event names a decision.
	Event string

	// Measure names a latency.
	Measure string

	// Decision is one decision and what it rested on.
	Decision struct {
		Event Event
		Flow  segment.Flow
		// Agent is the agent that was chosen or that answered.
		Agent peer.Addr
		// Load is the chosen agent's load and Age the age of the report.
		Load float64
		Age  time.Duration
		// Version is the version of the configuration.
		Version uint64
		// Tried is how many agents were asked.
		Tried int
	}

	// Director holds the state of one entry.
	Director struct {
		self     peer.Addr
		codec    segment.Codec
		port     Port
		lifetime time.Duration
		configMu sync.Mutex
		config   atomic.Pointer[route.Config]
		verified atomic.Int64 // time of the last check with the store
		members  *members
		history  history
		asks     bucket
		shards   [shardCount]shard
	}

	shard struct {
		mu    sync.Mutex
		flows map[segment.Flow]*record
		frame []byte
	}

	// record is what the director remembers of a flow.
	record struct {
		owner        peer.Addr
		service      peer.ServiceID
		start        uint32 // of the owner's upstream, 0 if not heard
		open         bool   // the owner has said that its upstream holds it
		done         bool   // the caller has closed it
		searching    bool
		unsure       bool  // the search has ended without a certain answer
		plan         []leg // of the search
		round        uint8 // counts the searches of the flow
		searchedAt   time.Duration
		acknowledged uint32
		seen         time.Duration
		created      time.Duration
	}

	// Option changes what New returns.
	Option func(*Director)
)

// WithPlace sets the entry's failure domain. Upstreams of the same place are
// preferred when they are not much busier.
func WithPlace(place string) Option { return func(x *Director) { x.members.place = place } }

// WithLifetime sets the age at which a flow is forgotten.
func WithLifetime(d time.Duration) Option { return func(x *Director) { x.lifetime = d } }

// New returns a director without configuration and members.
func New(self peer.Addr, codec segment.Codec, port Port, options ...Option) *Director {
	d := &Director{self: self, codec: codec, port: port, lifetime: defaultLifetime, members: newMembers()}
	for i := range d.shards {
		d.shards[i].flows = make(map[segment.Flow]*record)
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// SetConfig puts a configuration in force, unless a newer one is. It reports
// whether it did, and whether the services that may hold flows changed.
func (d *Director) SetConfig(c *route.Config) (newer, holders bool) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	old := d.config.Load()
	if old != nil && old.Version() >= c.Version() {
		return false, false
	}
	d.config.Store(c)
	return true, d.history.add(c)
}

// Holders returns, for each address, the services that may hold flows of it.
func (d *Director) Holders() map[netip.AddrPort][]string { return d.history.snapshot() }

// MergeHolders takes in what an earlier or another process knew of the
// services that may hold flows.
func (d *Director) MergeHolders(holders map[netip.AddrPort][]string) { d.history.merge(holders) }

// SetRegistered takes in which agents are registered. Until all of them have been
// heard, or been waited for, no flow is taken for dead.
func (d *Director) SetRegistered(now time.Duration, agents []peer.Addr) {
	d.members.expect(now, agents)
}

// MarkDelayed takes in that this process is so late with its datagrams that a report
// may wait unread: for a while nobody's silence proves anything.
func (d *Director) MarkDelayed(now time.Duration) { d.members.delayed(now) }

// Registered returns the registered agents, and whether these and the services
// that may hold flows are known, from the store or from another entry.
func (d *Director) Registered() ([]peer.Addr, bool) {
	agents, known := d.members.expects()
	return agents, known && d.history.complete()
}

// MarkVerified takes in that the configuration was the newest at a time.
func (d *Director) MarkVerified(at time.Duration) {
	if at > time.Duration(d.verified.Load()) {
		d.verified.Store(int64(at))
	}
}

// VerifiedAgo returns how long ago the configuration was last known to be the
// newest, and false if it never was.
func (d *Director) VerifiedAgo(now time.Duration) (time.Duration, bool) {
	at := time.Duration(d.verified.Load())
	return now - at, at != 0
}

// Config returns the configuration in force, nil before the first.
func (d *Director) Config() *route.Config { return d.config.Load() }

// HandleCallerPacket handles a packet of a caller.
func (d *Director) HandleCallerPacket(now time.Duration, packet []byte) error {
	h, err := d.codec.FromCaller(packet)
	if err != nil {
		return err
	}
	if h.Has(segment.Bounced) {
		return segment.ErrBounced
	}
	config := d.config.Load()
	if config == nil {
		return nil // the caller sends its packet again
	}
	s := d.lock(h.Flow)
	defer s.mu.Unlock()
	r, ok := config.Lookup(h.Flow.VIP())
	switch {
	case !ok:
		d.unrouted(now, s, h)
	case h.Opens():
		d.opening(now, s, h, r, packet)
	default:
		d.established(now, s, h, packet)
	}
	return nil
}

// unrouted handles a packet to an address that has no route.
func (d *Director) unrouted(now time.Duration, s *shard, h segment.Header) {
	if !d.current(now) {
		return // the route may be newer than the configuration
	}
	rec := s.flows[h.Flow]
	delete(s.flows, h.Flow)
	if h.Has(segment.Reset) {
		return
	}
	event := NoRoute
	if rec != nil {
		event = RouteDropped
	}
	d.reset(event, h, 0)
}

// current reports whether the configuration was checked a moment ago.
func (d *Director) current(now time.Duration) bool {
	at := time.Duration(d.verified.Load())
	return at != 0 && now-at <= defaultVerified
}

// established handles a packet of a flow that is open, or was.
func (d *Director) established(now time.Duration, s *shard, h segment.Header, packet []byte) {
	rec := s.flows[h.Flow]
	if rec == nil {
		rec = &record{created: now}
		s.flows[h.Flow] = rec
		d.search(now, s, rec, h, packet)
		return
	}
	rec.seen = now
	if h.Has(segment.Ack) {
		rec.acknowledged = h.Acknowledged
	}
	if h.Has(segment.Fin) || h.Has(segment.Reset) {
		rec.done = true
	}
	if !rec.searching {
		d.deliver(s, rec, packet)
		return
	}
	if rec.unsure {
		d.search(now, s, rec, h, packet)
		return
	}
	if now-rec.searchedAt < searchPatience {
		d.walk(s, rec, h, packet)
		return
	}
	d.searchAll(now, s, rec, h, packet)
}

// deliver sends a packet to the owner of its flow.
func (d *Director) deliver(s *shard, rec *record, packet []byte) {
	list := [1]peer.Addr{rec.owner}
	d.send(s, rec.owner, &peer.Frame{Kind: peer.Deliver, Entry: d.self, Service: rec.service, Candidates: list[:], Packet: packet})
}

// settled reports whether enough is known to say that nobody holds a flow.
func (d *Director) settled(now time.Duration) bool {
	return d.history.complete() && d.members.settled(now)
}

// reset tells a caller that its flow is gone or refused.
func (d *Director) reset(event Event, h segment.Header, tried int) {
	d.port.ToCaller(h.Flow, d.codec.Reset(h.Flow, h.Acknowledged))
	version := uint64(0)
	if c := d.config.Load(); c != nil {
		version = c.Version()
	}
	d.port.RecordDecision(Decision{Event: event, Flow: h.Flow, Version: version, Tried: tried})
}

func (d *Director) send(s *shard, to peer.Addr, f *peer.Frame) {
	s.frame = f.Append(s.frame[:0])
	d.port.ToProcess(to, s.frame)
}

func (d *Director) lock(f segment.Flow) *shard {
	s := &d.shards[f.Hash()%shardCount]
	s.mu.Lock()
	return s
}
