// Package entry implements the routing decisions of a balancer process: to which
// agent a caller's datagram is sent, and to which caller an upstream's reply is
// sent.
//
// A Core keeps no per-flow state that routing depends on. It holds the services,
// the current view of each, and a bounded cache of owner hints. Any other Core
// with the same views can route any packet of any flow; without the hint the
// packet is sent to the flow's home, and takes an extra hop if another member owns
// the flow.
//
// # Usage
//
//	core := entry.New("entry-1", address, hasher, []entry.Service{entry.NewService(1, vip)})
//	core.SetView(view)
//	var out entry.Output
//	core.HandleCallerDatagram(vip, caller, datagram, &out)
//	core.HandleAgentPacket(from, &packet, &out)
//
// A Core is safe for concurrent use. It performs no I/O and reads no clock.
// Once the slices of the Output have grown, HandleCallerDatagram allocates only when
// the cache of owner hints moves a hint to its current generation.
package entry

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// CandidateCount is the largest number of candidate members listed in a
	// packet, with the flow's home first.
	CandidateCount = 3
	// orderLength is the number of leading members in the rendezvous order that
	// are examined to find the candidates.
	orderLength = rendezvous.MaxTop
	// DefaultMaxHints is the default size of the cache of owner hints, in flows.
	DefaultMaxHints = 200000
)

type (
	// Core makes the routing decisions of one entry.
	Core struct {
		id      member.ID
		address netip.AddrPort
		hasher  flow.Hasher
		hints   *flow.Cache[hint]
		stats   Stats

		mu       sync.Mutex // serializes updates of services
		services atomic.Pointer[serviceTable]
		draining atomic.Bool
	}

	// Service is a load-balanced service that callers reach at one VIP.
	Service struct {
		id        flow.ServiceID
		vip       netip.AddrPort
		transport flow.Transport
	}

	// Option configures a new Core.
	Option func(*config)

	config struct {
		maxHints int
	}

	// serviceTable is an immutable snapshot of the services and their views.
	serviceTable struct {
		byVIP map[netip.AddrPort]Service
		views map[flow.ServiceID]*member.View
	}

	// hint is the owner and epoch of a flow, as taken from its latest reply.
	hint struct {
		owner member.ID
		epoch flow.Epoch
	}
)

// NewService returns a UDP service at the address vip.
func NewService(id flow.ServiceID, vip netip.AddrPort) Service {
	return Service{id: id, vip: vip, transport: flow.UDP}
}

// ID returns the service's identifier.
func (s Service) ID() flow.ServiceID { return s.id }

// VIP returns the address to which callers send datagrams.
func (s Service) VIP() netip.AddrPort { return s.vip }

// WithMaxHints limits the cache of owner hints to about n flows. With 0 the cache
// still keeps a few hints per shard.
func WithMaxHints(n int) Option { return func(c *config) { c.maxHints = n } }

// New returns the Core of the entry with the given name, whose tunnel socket is
// bound to address.
func New(name string, address netip.AddrPort, hasher flow.Hasher, services []Service, opts ...Option) *Core {
	cfg := config{maxHints: DefaultMaxHints}
	for _, opt := range opts {
		opt(&cfg)
	}
	c := &Core{
		id:      member.IDOf(name),
		address: address,
		hasher:  hasher,
		hints:   flow.NewCache[hint](cfg.maxHints),
	}
	table := &serviceTable{
		byVIP: make(map[netip.AddrPort]Service),
		views: make(map[flow.ServiceID]*member.View),
	}
	for _, s := range services {
		table.byVIP[s.vip] = s
	}
	c.services.Store(table)
	return c
}

// ID returns the identifier of the entry, derived from its name.
func (c *Core) ID() member.ID { return c.id }

// Stats returns the counters of the core.
func (c *Core) Stats() *Stats { return &c.stats }

// SetView replaces the current view of the service that the view belongs to.
func (c *Core) SetView(view *member.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.services.Load()
	next := &serviceTable{byVIP: old.byVIP, views: maps.Clone(old.views)}
	next.views[view.Service()] = view
	c.services.Store(next)
}

// View returns the current view of a service, or nil if there is none.
func (c *Core) View(id flow.ServiceID) *member.View { return c.services.Load().views[id] }

// Drain makes the entry stop acknowledging heartbeats, so that agents to which it
// forwards no datagrams send their replies through other entries. The entry continues to
// forward datagrams.
func (c *Core) Drain() { c.draining.Store(true) }

// HandleCallerDatagram adds to out a Data packet that carries a caller's datagram
// to the hinted owner of the flow or, without a hint, to the flow's home. A
// datagram that cannot be routed is counted as a drop.
func (c *Core) HandleCallerDatagram(vip, caller netip.AddrPort, payload []byte, out *Output) {
	table := c.services.Load()
	service, ok := table.byVIP[vip]
	if !ok {
		c.countDrop(DropUnknownVIP)
		return
	}
	view := table.views[service.id]
	if view == nil {
		c.countDrop(DropNoMembers)
		return
	}
	key := flow.NewKey(service.id, service.transport, caller, vip)
	digest := c.hasher.Digest(key)
	var order [orderLength]member.ID
	n := view.Top(digest, order[:])
	if n == 0 {
		c.countDrop(DropNoMembers)
		return
	}
	dest, epoch, hinted := c.hintedOwner(view, digest)
	if !hinted {
		dest = view.Find(order[0])
		out.addEvent(Event{kind: Routed, digest: digest, key: key, member: dest.ID()})
	}
	p := out.appendPacket(dest.Address(), tunnel.NewPacket(tunnel.Data, service.id, c.id, dest.ID()))
	p.SetViewFingerprint(view.Fingerprint())
	p.SetFlow(key, digest, epoch)
	p.SetEntryAddress(c.address)
	addCandidates(p, view, order[:n])
	p.SetPayload(payload)
	c.stats.routed.Add(1)
}

// addCandidates adds to p the home (order[0]) followed by the first members of
// the order that accept new flows, up to CandidateCount in all.
func addCandidates(p *tunnel.Packet, view *member.View, order []member.ID) {
	for i, id := range order {
		if len(p.Candidates()) == CandidateCount {
			return
		}
		m := view.Find(id)
		if i == 0 || m.State() == member.Ready {
			p.AddCandidate(tunnel.NewCandidate(id, m.Address()))
		}
	}
}

// hintedOwner returns the cached owner and epoch of a flow. If the owner is no longer
// in the view, it deletes the hint and returns only the epoch and false. The next
// owner then opens the flow with a larger epoch than this one.
func (c *Core) hintedOwner(view *member.View, d flow.Digest) (*member.Member, flow.Epoch, bool) {
	h, ok := c.hints.Get(d)
	if !ok {
		return nil, 0, false
	}
	m := view.Find(h.owner)
	if m == nil {
		c.hints.Delete(d)
		return nil, h.epoch, false
	}
	return m, h.epoch, true
}

// HandleAgentPacket processes a packet received from an agent whose tunnel
// address is from: a Reply is added to out for its caller, and a Heartbeat is
// acknowledged. Packets of other kinds are dropped.
func (c *Core) HandleAgentPacket(from netip.AddrPort, p *tunnel.Packet, out *Output) {
	switch p.Kind() {
	case tunnel.Reply:
		c.handleReply(p, out)
	case tunnel.Heartbeat:
		c.handleHeartbeat(from, p, out)
	default:
		c.countDrop(DropUnexpectedKind)
	}
}

// handleReply adds an upstream's datagram to out for its caller and caches the
// sender as the owner of the flow. A reply of an earlier flow with the same
// addresses (a smaller epoch) is dropped, and so is one whose service or digest does
// not match its addresses.
func (c *Core) handleReply(p *tunnel.Packet, out *Output) {
	service, ok := c.services.Load().byVIP[p.Key().VIP()]
	if !ok || service.id != p.Service() {
		c.countDrop(DropWrongService)
		return
	}
	if c.hasher.Digest(p.Key()) != p.Digest() {
		c.countDrop(DropWrongService)
		return
	}
	cached, ok := c.hints.Get(p.Digest())
	switch {
	case ok && p.Epoch() < cached.epoch:
		c.countDrop(DropLateReply)
		return
	case !ok || cached.owner != p.Sender() || cached.epoch != p.Epoch():
		c.hints.Put(p.Digest(), hint{owner: p.Sender(), epoch: p.Epoch()})
	}
	c.stats.replied.Add(1)
	out.replies = append(out.replies, Reply{
		vip:     p.Key().VIP(),
		caller:  p.Key().Caller(),
		payload: p.Payload(),
	})
}

// handleHeartbeat acknowledges a heartbeat, unless the entry is draining.
func (c *Core) handleHeartbeat(from netip.AddrPort, p *tunnel.Packet, out *Output) {
	c.stats.controlReceived.Add(int64(p.WireSize()))
	if c.draining.Load() {
		return
	}
	ack := out.appendPacket(from, tunnel.NewPacket(tunnel.HeartbeatAck, p.Service(), c.id, p.Sender()))
	ack.SetEntryAddress(c.address)
	c.stats.controlSent.Add(int64(ack.WireSize()))
}
