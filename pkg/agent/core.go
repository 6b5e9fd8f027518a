// Package agent implements the routing decisions of an agent, the process
// beside an upstream. For each packet it decides whether to deliver it to the
// upstream, forward it to the owner of its flow, open the flow at this or
// another member, send it back to the member that forwarded it, or drop it.
//
// A Core serves one member of one service. It does no I/O: its user passes in
// packets and the time, and carries out the actions listed in an Output.
//
// # Roles
//
// The home of a flow is the first member in the flow's rendezvous order. It starts the
// placement of a new flow among the candidates and afterwards keeps a record of the
// owner. The owner delivers the flow's packets to its upstream. It registers the flow
// with those of the flow's first member.HomesPerFlow members in its current view that
// rank ahead of it, except the member that sent it the flow to open, and later with each
// of them that a new view adds or that has restarted. Before a home places a flow that
// another member may own, it sends the datagram through the members that were home of
// the flow in any view still in use (a search).
//
// # Placement
//
// The datagram that opens a flow carries the list of candidates, the home
// first. With a sequential policy it is sent from one candidate to the next:
// each opens the flow, or writes its load into the datagram and sends it on
// with FlagPlaced set. The last candidate chooses among all, and sends the
// datagram to the chosen member with FlagDecided set as well. With any other
// policy the home chooses at once.
//
// # Usage
//
//	core := agent.New(self, view, now, agent.WithSlots(2))
//	var out agent.Output
//	core.Handle(now, from, &packet, &out)
//	for _, send := range out.Sends() { ... }
//	for _, d := range out.Deliveries() { ... }
//	out.Reset()
//	core.Tick(now, &out) // every TickInterval
//
// A Core is safe for concurrent use. Flows are kept in shards, each under its
// own lock.
package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// TickInterval is the interval at which Core.Tick must be called.
	TickInterval = 20 * time.Millisecond

	// DefaultSlots is the number of requests that an upstream serves concurrently.
	DefaultSlots = 2
	// DefaultMaxFlows is the maximum number of flows that a Core owns.
	DefaultMaxFlows = 20000
	// DefaultIdleTimeout is the time without packets in either direction after
	// which a flow is closed.
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultSettleTime is the minimum time for which a replaced view is assumed
	// to be still in use at other nodes.
	DefaultSettleTime = 10 * time.Second
	// DefaultControlRate is the planned rate of a Core's control traffic, in bytes
	// per second. Shares of it limit registrations and set the interval of load
	// reports; heartbeats and acknowledgments are not limited.
	DefaultControlRate = 1000
	// DefaultWarmUp is the time over which the reported capacity of a new upstream
	// rises to its full value.
	DefaultWarmUp = 10 * time.Second
	// DefaultEntryTimeout is the time without packets from an entry after which
	// replies are sent through another entry, if one is alive.
	DefaultEntryTimeout = 2 * time.Second
)

const (
	// recordNone, the kind of the zero record, means that there is no record of the
	// flow.
	recordNone recordKind = iota
	// recordOwned means that this member owns the flow.
	recordOwned
	// recordSearching means that this member is the home and places the flow
	// unless the search in progress finds an owner.
	recordSearching
	// recordGranted means that this member, visited by a search, left the flow to
	// the home that runs the search. That home is record.owner.
	recordGranted
	// recordOffered means that the flow was sent to record.owner, the next
	// candidate, which may send it on to another one.
	recordOffered
	// recordAssigned means that record.owner was chosen among all candidates, or
	// among other members if no candidate may open the flow, and is to open it.
	recordAssigned
	// recordRegistered means that record.owner has registered the flow here.
	recordRegistered
)

const (
	// nominalWeight is the weight of a member of nominal speed.
	nominalWeight = member.DefaultWeight
	// forwardingRecordsPerFlow sizes the table of records: for each flow that this
	// member may own, it has room for this many records of other members' flows.
	forwardingRecordsPerFlow = 4
)

type (
	// Core routes the packets of one member of a service and places new flows.
	Core struct {
		id      member.ID
		service flow.ServiceID
		address netip.AddrPort
		started time.Time // start of the warm-up
		config  config

		state   atomic.Pointer[state]
		stateMu sync.Mutex // serializes changes of state

		flows       *flow.Table[record]
		owned       atomic.Int64 // number of owned flows
		outstanding atomic.Int64 // number of owned flows with an unanswered packet
		stats       Stats

		loads     *placement.LoadTable[member.ID]
		peers     *peerTable
		entries   *Entries
		registrar registrar
		limiter   rateLimiter

		randomMu sync.Mutex
		random   placement.Random

		tickMu          sync.Mutex
		sweepShard      int // shard that the next call of sweep processes
		nextLoadReport  time.Time
		loadReportIndex int // index of the member whose turn was last, this one included
	}

	// Option configures a new Core.
	Option func(*config)

	// config holds the settings of a Core. refreshInterval is the interval at
	// which owners register their flows again.
	config struct {
		policy          placement.Policy[placement.Estimate]
		random          placement.Random
		slots           int
		maxFlows        int
		idleTimeout     time.Duration
		settleTime      time.Duration
		refreshInterval time.Duration
		controlRate     int
		warmUp          time.Duration
		entryTimeout    time.Duration
		entries         *Entries
	}

	// state holds the fields that depend on the view. It is immutable: a change
	// stores a new state.
	state struct {
		history  *member.History
		departed map[member.ID]struct{} // members of an earlier view that the current one lacks
		draining bool                   // no new flows are accepted
	}

	// recordKind is the type of a record.
	recordKind uint8

	// record is the routing state of one flow. lastSeen is the time of the last datagram
	// or registration, 0 if kind is recordOwned.
	record struct {
		kind     recordKind
		own      *ownedFlow // set if kind is recordOwned
		owner    member.ID  // member to forward to; 0 while kind is recordSearching
		home     member.ID  // home that started the placement; recordOffered and recordAssigned only
		epoch    flow.Epoch // 0 unless kind is recordOwned or recordRegistered
		lastSeen int64      // in nanoseconds since 1970
		// ownerSilent is set if, when the flow was sent to the owner, the last
		// packet from the owner was more than maxMissedRounds rounds of load reports
		// old. The flow may then never have reached the owner.
		ownerSilent bool
	}

	// ownedFlow is the state of a flow that this member owns. registeredAt is when it
	// was opened, or when its registration was last sent or queued as a refresh.
	ownedFlow struct {
		key          flow.Key
		entry        netip.AddrPort // entry that sent the latest packet
		epoch        flow.Epoch
		lastSeen     int64 // last packet in either direction, in nanoseconds since 1970
		registeredAt int64 // in nanoseconds since 1970
		unanswered   bool  // a packet was delivered since the upstream's last reply
	}
)

// WithPolicy sets the placement policy. The default is least-work.
func WithPolicy(p placement.Policy[placement.Estimate]) Option {
	return func(c *config) { c.policy = p }
}

// WithRandom sets the source of randomness.
func WithRandom(r placement.Random) Option { return func(c *config) { c.random = r } }

// WithSlots sets how many requests the upstream serves concurrently.
func WithSlots(slots int) Option { return func(c *config) { c.slots = slots } }

// WithMaxFlows sets the maximum number of flows that the member owns. Further
// new flows are placed at other members or refused; open flows are never evicted.
// Concurrent calls of Handle may exceed the maximum by one flow each.
func WithMaxFlows(n int) Option { return func(c *config) { c.maxFlows = n } }

// WithIdleTimeout sets the time without packets after which a flow is closed.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithSettleTime sets the minimum time for which a replaced view is assumed to be
// still in use at other nodes.
func WithSettleTime(d time.Duration) Option { return func(c *config) { c.settleTime = d } }

// WithControlRate sets the planned rate of control traffic, in bytes per second, see
// DefaultControlRate. It must be positive.
func WithControlRate(bytes int) Option { return func(c *config) { c.controlRate = bytes } }

// WithWarmUp sets the time over which the reported capacity of a new upstream
// rises to its full value.
func WithWarmUp(d time.Duration) Option { return func(c *config) { c.warmUp = d } }

// WithEntryTimeout sets the time without packets from an entry after which
// replies are sent through another entry, if one is alive.
func WithEntryTimeout(d time.Duration) Option { return func(c *config) { c.entryTimeout = d } }

// WithEntries sets the table of entries, which the cores of a process share. The
// default is an empty table.
func WithEntries(entries *Entries) Option {
	return func(c *config) { c.entries = entries }
}

// New returns the core of member self, which must be in the view.
func New(self member.Member, view *member.View, now time.Time, opts ...Option) *Core {
	cfg := config{
		policy:       placement.NewLeastWork[placement.Estimate](),
		slots:        DefaultSlots,
		maxFlows:     DefaultMaxFlows,
		idleTimeout:  DefaultIdleTimeout,
		settleTime:   DefaultSettleTime,
		controlRate:  DefaultControlRate,
		warmUp:       DefaultWarmUp,
		entryTimeout: DefaultEntryTimeout,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.refreshInterval == 0 {
		cfg.refreshInterval = 2 * cfg.idleTimeout
	}
	if cfg.entries == nil {
		cfg.entries = NewEntries(nil)
	}
	if cfg.random == nil {
		cfg.random = rand.New(rand.NewPCG(uint64(self.ID()), uint64(now.UnixNano())))
	}
	c := &Core{
		id:      self.ID(),
		service: view.Service(),
		address: self.Address(),
		started: now,
		config:  cfg,
		flows:   flow.NewTable[record](cfg.maxFlows * (1 + forwardingRecordsPerFlow)),
		loads:   placement.NewLoadTable[member.ID](),
		peers:   newPeerTable(),
		entries: cfg.entries,
		random:  cfg.random,
	}
	c.registrar.opened = make(registerQueue)
	c.registrar.existing = make(registerQueue)
	c.registrar.closed = make(registerQueue)
	c.registrar.rescans = make(map[member.ID]*rescan)
	c.limiter = newRateLimiter(now, registerShare*float64(cfg.controlRate))
	c.state.Store(&state{
		history:  member.NewHistory(now, view, c.id),
		draining: isDrainingIn(view, c.id),
	})
	return c
}

// ID returns the ID of the core's member.
func (c *Core) ID() member.ID { return c.id }

// View returns the newest view of the service.
func (c *Core) View() *member.View { return c.state.Load().history.Current() }

// Service returns the ID of the member's service.
func (c *Core) Service() flow.ServiceID { return c.service }

// OwnedFlows returns the number of flows that the member owns.
func (c *Core) OwnedFlows() int { return int(c.owned.Load()) }

// Owns reports whether the member owns the flow.
func (c *Core) Owns(d flow.Digest) bool {
	s := c.flows.Lock(d)
	defer s.Unlock()
	rec, ok := s.Get(d)
	return ok && rec.kind == recordOwned
}

// Draining reports whether the member refuses new flows because Drain was called, or
// because it is draining, leaving or absent in the current view.
func (c *Core) Draining() bool { return c.state.Load().draining }

// Settled reports whether no view but the current one is in use any more: the
// settle time is over and every member that is not leaving has registered its flows
// under the current view.
func (c *Core) Settled() bool { return c.state.Load().history.Settled() }

// CanStop reports whether the member can stop without breaking flows: it owns
// none and, if it is leaving under its current view, the view has settled, so
// that no other member depends on its records of other members' flows.
func (c *Core) CanStop() bool {
	if c.OwnedFlows() > 0 {
		return false
	}
	self := c.View().Find(c.id)
	return self == nil || self.State() != member.Leaving || c.Settled()
}

// Stats returns the counters of the core.
func (c *Core) Stats() *Stats { return &c.stats }

// Handle processes a packet received from the given address and appends the
// resulting actions to out.
func (c *Core) Handle(now time.Time, from netip.AddrPort, p *tunnel.Packet, out *Output) {
	if p.Service() != c.service || p.Dest() != c.id {
		c.drop(DropWrongService)
		return
	}
	if p.IsControl() {
		c.stats.controlReceived.Add(int64(p.WireSize()))
	}
	c.updateSender(now, from, p)
	switch p.Kind() {
	case tunnel.Data:
		c.handleData(now, p, out)
	case tunnel.Register:
		c.handleRegister(now, p, out)
	case tunnel.RegisterAck:
		c.handleRegisterAck(p)
	case tunnel.Load:
		c.peers.setSynced(p.Sender(), p.ViewFingerprint(), p.HasFlags(tunnel.FlagSynced))
	case tunnel.Heartbeat:
		c.answerProbe(now, p, out)
	case tunnel.HeartbeatAck:
		// updateSender has processed it.
	default:
		c.drop(DropUnexpectedKind)
	}
}

// send adds the packet to out, addressed to its destination member. It drops
// the packet if the member's address is unknown.
func (c *Core) send(now time.Time, p *tunnel.Packet, out *Output) {
	address, ok := c.addressOf(p.Dest())
	if !ok {
		c.drop(DropNoAddress)
		return
	}
	c.sendTo(now, address, p, out)
}

// sendTo adds the packet, with this member's load, to out.
func (c *Core) sendTo(now time.Time, address netip.AddrPort, p *tunnel.Packet, out *Output) {
	work, capacity := c.load(now)
	p.SetLoad(work, capacity)
	if p.IsControl() {
		size := p.WireSize()
		c.stats.controlSent.Add(int64(size))
	}
	out.send(address, p)
}

// newPacket returns a packet from this member with the fingerprint of the
// current view.
func (c *Core) newPacket(kind tunnel.Kind, dest member.ID) tunnel.Packet {
	p := tunnel.NewPacket(kind, c.service, c.id, dest)
	p.SetViewFingerprint(c.state.Load().history.Current().Fingerprint())
	return p
}

// addressOf returns a member's address from the views in use or, for a member
// that they do not have, from the packets received.
func (c *Core) addressOf(id member.ID) (netip.AddrPort, bool) {
	if m := c.state.Load().history.Find(id); m != nil {
		return m.Address(), true
	}
	return c.peers.address(id)
}

// hasDeparted reports whether an earlier view had the member and the current one
// lacks it.
func (s *state) hasDeparted(id member.ID) bool {
	_, ok := s.departed[id]
	return ok
}

// isDrainingIn reports whether a member accepts no new flows under the view: it is
// absent, draining or leaving.
func isDrainingIn(view *member.View, id member.ID) bool {
	m := view.Find(id)
	return m == nil || m.State() == member.Draining || m.State() == member.Leaving
}
