// Package entry decides what a balancer does with each datagram: which agent a
// caller's datagram goes to, and which caller an upstream's answer goes to.
//
// A Core holds no state that matters: the services, the view of each, and a
// bounded cache of owner hints. A second Core with the same views routes any
// packet of any flow as well; without the hint the packet takes one hop more.
//
// # Usage
//
//	core := entry.New("entry-1", address, hasher, []entry.Service{entry.NewService(1, vip)})
//	core.SetView(view)
//	var out entry.Output
//	core.FromCaller(vip, caller, datagram, &out)
//	core.FromAgent(&packet, &out)
//
// A Core is safe for concurrent use. It does no input or output and needs no
// clock. FromCaller does not allocate once the Output has grown.
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
	// CandidateCount is how many members a packet names, the home first.
	CandidateCount = 3
	// orderLength is how many members are looked at to find the candidates.
	orderLength = rendezvous.MaxTop
	// DefaultMaxHints bounds the cache of owner hints.
	DefaultMaxHints = 200000
)

type (
	// Core is the decision core of one entry.
	Core struct {
		id      member.ID
		address netip.AddrPort
		hasher  flow.Hasher
		hints   *flow.Cache[hint]
		stats   Stats

		mu       sync.Mutex // serialises changes of services
		services atomic.Pointer[serviceTable]
		stopping atomic.Bool
	}

	// Service is a service that callers reach at one address.
	Service struct {
		id        flow.ServiceID
		vip       netip.AddrPort
		transport flow.Transport
	}

	// Option changes a setting of a new Core.
	Option func(*config)

	config struct {
		maxHints int
	}

	serviceTable struct {
		byVIP map[netip.AddrPort]Service
		views map[flow.ServiceID]*member.View
	}

	// hint names the owner of a flow, learned from its replies.
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

// VIP returns the address that callers use.
func (s Service) VIP() netip.AddrPort { return s.vip }

// WithMaxHints bounds the cache of owner hints. 0 leaves a few per shard.
func WithMaxHints(n int) Option { return func(c *config) { c.maxHints = n } }

// New returns the core of the entry whose tunnel socket has the given address.
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

// ID returns the identifier of the entry.
func (c *Core) ID() member.ID { return c.id }

// Stats returns the counters of the core.
func (c *Core) Stats() *Stats { return &c.stats }

// SetView replaces the view of one service.
func (c *Core) SetView(view *member.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.services.Load()
	next := &serviceTable{byVIP: old.byVIP, views: maps.Clone(old.views)}
	next.views[view.Service()] = view
	c.services.Store(next)
}

// View returns the view of a service, or nil.
func (c *Core) View(id flow.ServiceID) *member.View { return c.services.Load().views[id] }

// Drain makes the entry answer no more heartbeats, so that agents send their
// replies through other entries. It goes on forwarding.
func (c *Core) Drain() { c.stopping.Store(true) }

// HandleCallerDatagram routes a datagram that a caller sent to vip.
func (c *Core) HandleCallerDatagram(vip, caller netip.AddrPort, payload []byte, out *Output) {
	table := c.services.Load()
	service, ok := table.byVIP[vip]
	if !ok {
		c.drop(DropUnknownVIP)
		return
	}
	view := table.views[service.id]
	if view == nil {
		c.drop(DropNoMembers)
		return
	}
	key := flow.NewKey(service.id, service.transport, caller, vip)
	digest := c.hasher.Digest(key)
	var order [orderLength]member.ID
	n := view.Top(digest, order[:])
	if n == 0 {
		c.drop(DropNoMembers)
		return
	}
	to, epoch, hinted := c.ownerOf(view, digest)
	if !hinted {
		to = view.Find(order[0])
		out.event(Event{kind: Routed, digest: digest, key: key, member: to.ID()})
	}
	p := out.next(to.Address(), tunnel.NewPacket(tunnel.Data, service.id, c.id, to.ID()))
	p.SetViewFingerprint(view.Fingerprint())
	p.SetFlow(key, digest, epoch)
	p.SetEntryAddress(c.address)
	addCandidates(p, view, order[:n])
	p.SetPayload(payload)
	c.stats.routed.Add(1)
}

// addCandidates names the home and, after it, the first members of the order
// that receive new flows.
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

// ownerOf returns the hinted owner of a flow if the view has it.
func (c *Core) ownerOf(view *member.View, d flow.Digest) (*member.Member, flow.Epoch, bool) {
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

// HandleAgentPacket routes a packet that came from an agent.
func (c *Core) HandleAgentPacket(from netip.AddrPort, p *tunnel.Packet, out *Output) {
	switch p.Kind() {
	case tunnel.Reply:
		c.reply(p, out)
	case tunnel.Heartbeat:
		c.heartbeat(from, p, out)
	default:
		c.drop(DropUnexpectedKind)
	}
}

// reply sends an upstream's datagram to its caller. A reply of an earlier flow
// with the same addresses is dropped.
func (c *Core) reply(p *tunnel.Packet, out *Output) {
	service, ok := c.services.Load().byVIP[p.Key().VIP()]
	if !ok || service.id != p.Service() {
		c.drop(DropWrongService)
		return
	}
	if c.hasher.Digest(p.Key()) != p.Digest() {
		c.drop(DropWrongService)
		return
	}
	known, ok := c.hints.Get(p.Digest())
	switch {
	case ok && p.Epoch() < known.epoch:
		c.drop(DropLateReply)
		return
	case !ok || known.owner != p.Sender() || known.epoch != p.Epoch():
		c.hints.Put(p.Digest(), hint{owner: p.Sender(), epoch: p.Epoch()})
	}
	c.stats.replied.Add(1)
	out.answers = append(out.answers, Reply{
		vip:     p.Key().VIP(),
		caller:  p.Key().Caller(),
		payload: p.Payload(),
	})
}

func (c *Core) heartbeat(from netip.AddrPort, p *tunnel.Packet, out *Output) {
	c.stats.controlReceived.Add(int64(p.WireSize()))
	if c.stopping.Load() {
		return
	}
	ack := out.next(from, tunnel.NewPacket(tunnel.HeartbeatAck, p.Service(), c.id, p.Sender()))
	ack.SetEntryAddress(c.address)
	c.stats.controlSent.Add(int64(ack.WireSize()))
}
