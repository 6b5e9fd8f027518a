// Package agent decides what the process beside an upstream does with each
// packet: deliver it to the upstream, forward it to the owner of its flow,
// open the flow here or at another member, or drop it.
//
// A Core serves one endpoint of one service. It does no input or output: the
// caller hands it packets and the time, and sends what it puts into an Output.
//
// # Roles
//
// The home of a flow is the first member in the rendezvous order. It decides
// which candidate takes a new flow and knows the owner afterwards. The owner
// delivers the flow's packets. An owner that is not the home registers with
// the first members of its current view, and again whenever a view changes
// them. Before a home opens a flow that another member may own, the datagram
// visits each member that was a home in a view still in use.
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
	// TickInterval is how often the owner of a Core calls Tick.
	TickInterval = 20 * time.Millisecond

	// DefaultSlots is the number of requests an upstream serves at once.
	DefaultSlots = 2
	// DefaultMaxFlows bounds the flows that a Core owns.
	DefaultMaxFlows = 20000
	// DefaultIdleTimeout ends a flow that carried no packet either way.
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultSettleTime is the least time for which a replaced view counts as in
	// use at other nodes.
	DefaultSettleTime = 10 * time.Second
	// DefaultControlRate bounds the control traffic sent, in bytes a second.
	DefaultControlRate = 1000
	// DefaultWarmUp is how long a new upstream takes to reach full capacity.
	DefaultWarmUp = 10 * time.Second
	// DefaultEntryTimeout is how long an entry may be silent before replies
	// take another way.
	DefaultEntryTimeout = 2 * time.Second

	// recordNone is the kind of the zero record.
	recordNone recordKind = iota
	// recordOwned flows are delivered here.
	recordOwned
	// recordSeeking flows are to be opened by this home once no other member
	// turns out to own them.
	recordSeeking
	// recordGranted flows were left to the home that record.owner names.
	recordGranted
	// recordPassed flows were passed to record.owner, the next candidate to
	// ask.
	recordPassed
	// recordDecided flows were given to record.owner for good.
	recordDecided
	// recordRegistered flows were registered by record.owner.
	recordRegistered
)

const (
	nominalWeight = member.DefaultWeight
	// redirectsPerFlow bounds what a core knows of flows of other members, as
	// a multiple of the flows that it may own.
	redirectsPerFlow = 4
)

type (
	// Core is the decision core of one endpoint.
	Core struct {
		id      member.ID
		service flow.ServiceID
		address netip.AddrPort
		started time.Time
		config  config

		state   atomic.Pointer[state]
		stateMu sync.Mutex // serialises changes of state

		flows       *flow.Table[record]
		owned       atomic.Int64
		outstanding atomic.Int64
		stats       Stats

		board    *placement.Board[member.ID]
		peers    *peerTable
		entries  *Entries
		register registrar
		pace     pacer

		randomMu sync.Mutex
		random   placement.Random

		tickMu   sync.Mutex
		sweepAt  int
		loadAt   time.Time
		loadNext int // index of the member that was last sent a load report
	}

	// Option changes a setting of a new Core.
	Option func(*config)

	config struct {
		policy       placement.Policy[placement.Estimate]
		random       placement.Random
		slots        int
		maxFlows     int
		idleTimeout  time.Duration
		settle       time.Duration
		refresh      time.Duration
		controlRate  int
		warmUp       time.Duration
		entryTimeout time.Duration
		entries      *Entries
	}

	// state is what a view change replaces as a whole.
	state struct {
		history  *member.History
		departed map[member.ID]struct{}
		draining bool
	}

	// recordKind tells what a member knows of a flow.
	recordKind uint8

	// record is what the core knows of one flow.
	record struct {
		kind  recordKind
		own   *ownedFlow // set if kind is recordOwned
		owner member.ID  // 0 if kind is recordSeeking
		home  member.ID  // that places the flow, if kind is recordPassed or recordDecided
		epoch flow.Epoch
		seen  int64 // nanoseconds since 1970
		// unheard is set if the owner had been silent for a while when the flow
		// was passed to it.
		unheard bool
	}

	// ownedFlow is a flow that this member delivers.
	ownedFlow struct {
		key        flow.Key
		via        netip.AddrPort
		epoch      flow.Epoch
		seen       int64 // nanoseconds since 1970
		registered int64 // nanoseconds since 1970
		waiting    bool  // a packet was delivered and not yet answered
	}
)

// WithPolicy sets the placement policy. The default is least-work.
func WithPolicy(p placement.Policy[placement.Estimate]) Option {
	return func(c *config) { c.policy = p }
}

// WithRandom sets the source of randomness.
func WithRandom(r placement.Random) Option { return func(c *config) { c.random = r } }

// WithSlots sets how many requests the upstream serves at once.
func WithSlots(slots int) Option { return func(c *config) { c.slots = slots } }

// WithMaxFlows bounds the flows that the member owns. New flows above the
// bound go to other members or are refused; open flows are never evicted.
func WithMaxFlows(n int) Option { return func(c *config) { c.maxFlows = n } }

// WithIdleTimeout sets after how long without packets a flow ends.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithSettleTime sets the least time for which a replaced view counts as in use.
func WithSettleTime(d time.Duration) Option { return func(c *config) { c.settle = d } }

// WithControlRate bounds the control traffic sent, in bytes a second.
func WithControlRate(bytes int) Option { return func(c *config) { c.controlRate = bytes } }

// WithWarmUp sets how long a new upstream takes to reach full capacity.
func WithWarmUp(d time.Duration) Option { return func(c *config) { c.warmUp = d } }

// WithEntryTimeout sets how long an entry may be silent before replies take
// another way.
func WithEntryTimeout(d time.Duration) Option { return func(c *config) { c.entryTimeout = d } }

// WithEntries sets the table of entries, which cores of one process share.
func WithEntries(entries *Entries) Option {
	return func(c *config) { c.entries = entries }
}

// New returns the core of a member. The view holds the member itself.
func New(self member.Member, view *member.View, now time.Time, opts ...Option) *Core {
	cfg := config{
		policy:       placement.NewLeastWork[placement.Estimate](),
		slots:        DefaultSlots,
		maxFlows:     DefaultMaxFlows,
		idleTimeout:  DefaultIdleTimeout,
		settle:       DefaultSettleTime,
		controlRate:  DefaultControlRate,
		warmUp:       DefaultWarmUp,
		entryTimeout: DefaultEntryTimeout,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.refresh == 0 {
		cfg.refresh = 2 * cfg.idleTimeout
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
		flows:   flow.NewTable[record](cfg.maxFlows * (1 + redirectsPerFlow)),
		board:   placement.NewBoard[member.ID](),
		peers:   newPeerTable(),
		entries: cfg.entries,
		random:  cfg.random,
	}
	c.register.urgent = make(registerQueue)
	c.register.bulk = make(registerQueue)
	c.register.closed = make(registerQueue)
	c.register.rescans = make(map[member.ID]*rescan)
	c.pace = newPacer(now, registerShare*float64(cfg.controlRate))
	c.state.Store(&state{
		history:  member.NewHistory(now, view, c.id),
		draining: drainsIn(view, c.id),
	})
	return c
}

// ID returns the member that the core decides for.
func (c *Core) ID() member.ID { return c.id }

// View returns the newest view of the service.
func (c *Core) View() *member.View { return c.state.Load().history.Current() }

// Service returns the service of the member.
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

// Draining reports whether the member refuses new flows.
func (c *Core) Draining() bool { return c.state.Load().draining }

// Settled reports whether every member has registered its flows under the
// current view.
func (c *Core) Settled() bool { return c.state.Load().history.Settled() }

// CanStop reports whether the member can end without a loss: it owns no flows
// and, if its view says that it is leaving, nobody needs what it knows of other
// members' flows.
func (c *Core) CanStop() bool {
	if c.OwnedFlows() > 0 {
		return false
	}
	self := c.View().Find(c.id)
	return self == nil || self.State() != member.Leaving || c.Settled()
}

// Stats returns the counters of the core.
func (c *Core) Stats() *Stats { return &c.stats }

// Handle decides on one packet that came from the given address.
func (c *Core) Handle(now time.Time, from netip.AddrPort, p *tunnel.Packet, out *Output) {
	if p.Service() != c.service || p.Dest() != c.id {
		c.drop(DropWrongService)
		return
	}
	if p.IsControl() {
		c.stats.controlReceived.Add(int64(p.WireSize()))
	}
	c.hear(now, from, p)
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
		// hear has read it.
	default:
		c.drop(DropUnexpectedKind)
	}
}

// send puts a packet to another member into out.
func (c *Core) send(now time.Time, p *tunnel.Packet, out *Output) {
	address, ok := c.addressOf(p.Dest())
	if !ok {
		c.drop(DropNoAddress)
		return
	}
	c.sendTo(now, address, p, out)
}

func (c *Core) sendTo(now time.Time, address netip.AddrPort, p *tunnel.Packet, out *Output) {
	work, capacity := c.load(now)
	p.SetLoad(work, capacity)
	if p.IsControl() {
		size := p.WireSize()
		c.stats.controlSent.Add(int64(size))
	}
	out.send(address, p)
}

func (c *Core) newPacket(kind tunnel.Kind, dest member.ID) tunnel.Packet {
	p := tunnel.NewPacket(kind, c.service, c.id, dest)
	p.SetViewFingerprint(c.state.Load().history.Current().Fingerprint())
	return p
}

func (c *Core) addressOf(id member.ID) (netip.AddrPort, bool) {
	if m := c.state.Load().history.Find(id); m != nil {
		return m.Address(), true
	}
	return c.peers.address(id)
}

func (s *state) hasDeparted(id member.ID) bool {
	_, ok := s.departed[id]
	return ok
}

func drainsIn(view *member.View, id member.ID) bool {
	m := view.Find(id)
	return m == nil || m.State() == member.Draining || m.State() == member.Leaving
}
