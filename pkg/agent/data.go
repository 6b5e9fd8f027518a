package agent

import (
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

// maxHops is how often a packet may be forwarded between agents.
const maxHops = 16

type shard = flow.Shard[record]

// handleData routes one datagram of a caller.
func (c *Core) handleData(now time.Time, p *tunnel.Packet, out *Output) {
	if len(p.Candidates()) == 0 {
		c.drop(DropNoHome)
		return
	}
	s := c.flows.Lock(p.Digest())
	defer s.Unlock()
	rec, ok := s.Get(p.Digest())
	switch {
	case ok && rec.kind == recordOwned:
		c.deliver(now, rec.own, p, out)
	case p.HasFlags(tunnel.FlagSearch):
		c.handleSearch(now, s, rec, p, out)
	case !ok:
		c.handleUnknown(now, s, p, 0, out)
	case rec.kind == recordSeeking && p.HasFlags(tunnel.FlagPlaced):
		c.accept(now, s, p, out)
	case rec.kind == recordSeeking:
		c.open(now, s, p, out)
	default:
		c.follow(now, s, rec, p, out)
	}
}

// deliver gives the datagram to the upstream.
func (c *Core) deliver(now time.Time, own *ownedFlow, p *tunnel.Packet, out *Output) {
	own.seen = now.UnixNano()
	if p.EntryAddress().IsValid() {
		own.via = p.EntryAddress()
	}
	if !own.waiting {
		own.waiting = true
		c.outstanding.Add(1)
	}
	c.stats.delivered.Add(1)
	out.deliveries = append(out.deliveries, Delivery{
		digest:  p.Digest(),
		epoch:   own.epoch,
		key:     own.key,
		payload: p.Payload(),
	})
}

// follow forwards the datagram to the member that the record names, unless the
// datagram shows that the record is out of date.
func (c *Core) follow(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	if c.isStale(rec, p) {
		s.Delete(p.Digest())
		c.handleUnknown(now, s, p, rec.owner, out)
		return
	}
	rec.seen = now.UnixNano()
	s.Put(p.Digest(), rec)
	p.UpdateFlags(0, tunnel.FlagNotFound|tunnel.FlagSearch)
	if c.isInChain(rec) && !p.HasFlags(tunnel.FlagPlaced) {
		c.forward(now, rec.home, p, out)
		return
	}
	switch rec.kind {
	case recordRegistered:
		p.SetEpoch(rec.epoch)
	case recordPassed:
		c.noteAsked(p, c.estimate(now, c.id), c.mayOpen())
		p.UpdateFlags(tunnel.FlagPlaced, 0)
	case recordDecided:
		p.UpdateFlags(tunnel.FlagPlaced|tunnel.FlagDecided, 0)
	}
	c.forward(now, rec.owner, p, out)
}

// isAnswerTo reports whether a datagram that was sent back was sent under this
// record, and not under an earlier one of the same member.
func (c *Core) isAnswerTo(rec record, p *tunnel.Packet) bool {
	switch rec.kind {
	case recordRegistered:
		return p.Epoch() == rec.epoch
	case recordPassed, recordDecided:
		return p.HasFlags(tunnel.FlagPlaced)
	}
	return true
}

// isInChain reports whether this member was asked to take a flow that another
// member places. Datagrams enter such a chain of records at its home, where
// they learn who has been asked; elsewhere they could overtake the placement.
func (c *Core) isInChain(rec record) bool {
	if rec.kind != recordPassed && rec.kind != recordDecided {
		return false
	}
	return rec.home != c.id && !c.state.Load().hasDeparted(rec.home)
}

// isStale reports whether a datagram disproves a record: the member that it
// names has left, does not answer, or has sent the datagram back; or the flow
// was placed here after this member granted it or passed it on. A decision of
// this member stands until the chosen member sends the flow back, so that
// datagrams which overtake each other end at one owner.
func (c *Core) isStale(rec record, p *tunnel.Packet) bool {
	if c.state.Load().hasDeparted(rec.owner) {
		return true
	}
	if rec.unheard && c.peers.unresponsive(rec.owner) {
		return true // the flow never reached that member
	}
	if p.Sender() == rec.owner && p.HasFlags(tunnel.FlagNotFound) && c.isAnswerTo(rec, p) {
		return true
	}
	if !p.HasFlags(tunnel.FlagPlaced) {
		// A home that sends the datagram here for another reason than to place
		// the flow has given its placement up.
		return c.isInChain(rec) && p.Sender() == rec.home && !p.HasFlags(tunnel.FlagSearch)
	}
	switch rec.kind {
	case recordGranted:
		return true
	case recordPassed:
		return p.HasFlags(tunnel.FlagDecided) || wasAsked(p, rec.owner)
	}
	return false
}

// wasAsked reports whether the member was asked to take the flow and did not.
func wasAsked(p *tunnel.Packet, id member.ID) bool {
	for i, cand := range p.Candidates() {
		if cand.ID() == id {
			return p.Tried(i)
		}
	}
	return false
}

// handleUnknown routes a datagram of a flow that the core has no record of.
// absent names a member that the record named wrongly, or is 0.
func (c *Core) handleUnknown(now time.Time, s *shard, p *tunnel.Packet, absent member.ID, out *Output) {
	switch {
	case p.HasFlags(tunnel.FlagPlaced):
		c.accept(now, s, p, out)
	case p.Candidates()[0].ID() == c.id:
		c.open(now, s, p, out)
	default:
		c.sendBack(now, p, absent, out)
	}
}

// sendBack returns a datagram that this member does not own to the agent that
// forwarded it. The home gets it if it came from an entry or from the member
// that turned out not to own it.
func (c *Core) sendBack(now time.Time, p *tunnel.Packet, absent member.ID, out *Output) {
	home := p.Candidates()[0]
	c.peers.learn(home.ID(), home.Address())
	to := home.ID()
	if p.Hops() > 0 && p.Sender() != absent {
		to = p.Sender()
	}
	p.UpdateFlags(tunnel.FlagNotFound, tunnel.FlagPlaced|tunnel.FlagDecided)
	c.forward(now, to, p, out)
}

// forward sends the datagram to another agent.
func (c *Core) forward(now time.Time, to member.ID, p *tunnel.Packet, out *Output) {
	if p.Hops() >= maxHops {
		c.drop(DropHopLimit)
		return
	}
	c.stats.forwarded.Add(1)
	c.send(now, p.Forward(c.id, to), out)
}

// own makes this member the owner of the flow and delivers the datagram.
func (c *Core) own(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	nanos := now.UnixNano()
	own := &ownedFlow{
		key:        p.Key(),
		via:        p.EntryAddress(),
		epoch:      max(flow.Epoch(nanos), p.Epoch()+1),
		seen:       nanos,
		registered: nanos,
	}
	if !s.Put(p.Digest(), record{kind: recordOwned, own: own, owner: c.id, epoch: own.epoch}) {
		c.drop(DropTableFull)
		return
	}
	c.owned.Add(1)
	c.stats.opened.Add(1)
	work, _ := c.load(now)
	out.event(Event{
		kind:   Opened,
		digest: p.Digest(),
		key:    own.key,
		member: c.id,
		work:   work,
		others: len(p.Candidates()),
	})
	var placedBy member.ID
	if p.HasFlags(tunnel.FlagPlaced) {
		placedBy = p.Sender()
	}
	c.queueRegistration(now, p.Digest(), placedBy)
	c.deliver(now, own, p, out)
}
