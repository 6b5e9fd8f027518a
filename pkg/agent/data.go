package agent

import (
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/tunnel"
)

// maxHops is the maximum number of times that a packet is forwarded between
// agents. It bounds forwarding loops while members' records disagree.
const maxHops = 16

// shard is a locked part of the table of records. Methods that take one require
// it to be the shard of the flow that they handle. If they need a new record and the
// table is full, they drop the datagram with DropTableFull.
type shard = flow.Shard[record]

// handleData routes a caller's datagram by the record of its flow.
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
		c.handleNoRecord(now, s, p, 0, out)
	case rec.kind == recordSearching && p.HasFlags(tunnel.FlagPlaced):
		c.handlePlacement(now, s, p, out)
	case rec.kind == recordSearching:
		c.searchOrPlace(now, s, p, out)
	default:
		c.forwardByRecord(now, s, rec, p, out)
	}
}

// deliver adds the datagram to the deliveries to the upstream, and notes the
// entry that sent it, through which replies are returned.
func (c *Core) deliver(now time.Time, own *ownedFlow, p *tunnel.Packet, out *Output) {
	own.lastSeen = now.UnixNano()
	if p.EntryAddress().IsValid() {
		own.entry = p.EntryAddress()
	}
	if !own.unanswered {
		own.unanswered = true
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

// forwardByRecord forwards the datagram to the member that the record names. If
// the datagram shows that the record is stale, it deletes the record and
// handles the datagram as one of a flow without a record. If another home
// places the flow, a datagram that is not part of the placement is forwarded
// to that home.
func (c *Core) forwardByRecord(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	if c.isStale(rec, p) {
		s.Delete(p.Digest())
		c.handleNoRecord(now, s, p, rec.owner, out)
		return
	}
	rec.lastSeen = now.UnixNano()
	s.Put(p.Digest(), rec)
	p.UpdateFlags(0, tunnel.FlagNotFound|tunnel.FlagSearch)
	if c.isPlacedByOtherHome(rec) && !p.HasFlags(tunnel.FlagPlaced) {
		c.forward(now, rec.home, p, out)
		return
	}
	switch rec.kind {
	case recordRegistered:
		p.SetEpoch(rec.epoch)
	case recordOffered:
		c.markTried(p, c.estimate(now, c.id), c.mayOpen())
		p.UpdateFlags(tunnel.FlagPlaced, 0)
	case recordAssigned:
		p.UpdateFlags(tunnel.FlagPlaced|tunnel.FlagDecided, 0)
	}
	c.forward(now, rec.owner, p, out)
}

// matchesRecord reports whether a datagram that the record's owner sent back was
// forwarded to it by this record, and not by an earlier record with the same
// owner.
func (c *Core) matchesRecord(rec record, p *tunnel.Packet) bool {
	switch rec.kind {
	case recordRegistered:
		return p.Epoch() == rec.epoch
	case recordOffered, recordAssigned:
		return p.HasFlags(tunnel.FlagPlaced)
	}
	return true
}

// isPlacedByOtherHome reports whether the record was written by a placement that
// another member, still present, started as the home. Each candidate of a
// placement has a record that points to the next, and datagrams must follow
// these records from the home on, where the list of candidates tried is
// written into them. Datagrams that start elsewhere could overtake the
// placement.
func (c *Core) isPlacedByOtherHome(rec record) bool {
	if rec.kind != recordOffered && rec.kind != recordAssigned {
		return false
	}
	return rec.home != c.id && !c.state.Load().hasDeparted(rec.home)
}

// isStale reports whether the datagram must not be routed by the record, because:
//   - the owner that the record names has left, has sent the datagram back, or is
//     unresponsive and probably never received the flow;
//   - the home that started the placement has lost its own record of it;
//   - the datagram is part of a placement that reached this member after it had
//     granted the flow, or after the candidate to which it had offered the flow did
//     not open it.
//
// The last reason does not apply to a recordAssigned, so that datagrams that overtake
// each other end at one owner.
func (c *Core) isStale(rec record, p *tunnel.Packet) bool {
	if c.state.Load().hasDeparted(rec.owner) {
		return true
	}
	if rec.ownerSilent && c.peers.isUnresponsive(rec.owner) {
		return true // the flow probably never reached the owner
	}
	if p.Sender() == rec.owner && p.HasFlags(tunnel.FlagNotFound) && c.matchesRecord(rec, p) {
		return true
	}
	if !p.HasFlags(tunnel.FlagPlaced) {
		// A datagram from the home that is neither part of a placement nor of a
		// search shows that the home no longer has the record of its placement.
		return c.isPlacedByOtherHome(rec) && p.Sender() == rec.home && !p.HasFlags(tunnel.FlagSearch)
	}
	switch rec.kind {
	case recordGranted:
		return true
	case recordOffered:
		return p.HasFlags(tunnel.FlagDecided) || wasTried(p, rec.owner)
	}
	return false
}

// wasTried reports whether the datagram marks the member as a candidate that was
// tried and did not open the flow.
func wasTried(p *tunnel.Packet, id member.ID) bool {
	for i, cand := range p.Candidates() {
		if cand.ID() == id {
			return p.Tried(i)
		}
	}
	return false
}

// handleNoRecord routes a datagram of a flow without a record: it continues a
// placement, starts to open the flow if this member is the home, or sends the
// datagram back. staleOwner is the owner named by a stale record that was just
// deleted, or 0 if there was none.
func (c *Core) handleNoRecord(now time.Time, s *shard, p *tunnel.Packet, staleOwner member.ID, out *Output) {
	switch {
	case p.HasFlags(tunnel.FlagPlaced):
		c.handlePlacement(now, s, p, out)
	case p.Candidates()[0].ID() == c.id:
		c.searchOrPlace(now, s, p, out)
	default:
		c.sendBack(now, p, staleOwner, out)
	}
}

// sendBack returns a datagram of a flow that this member does not own to the agent
// that forwarded it, marked with FlagNotFound. A datagram that came from an
// entry or from staleOwner is sent to the home instead.
func (c *Core) sendBack(now time.Time, p *tunnel.Packet, staleOwner member.ID, out *Output) {
	home := p.Candidates()[0]
	c.peers.setAddress(home.ID(), home.Address())
	to := home.ID()
	if p.Hops() > 0 && p.Sender() != staleOwner {
		to = p.Sender()
	}
	p.UpdateFlags(tunnel.FlagNotFound, tunnel.FlagPlaced|tunnel.FlagDecided)
	c.forward(now, to, p, out)
}

// forward sends the datagram to the agent of another member, unless it has
// reached maxHops.
func (c *Core) forward(now time.Time, to member.ID, p *tunnel.Packet, out *Output) {
	if p.Hops() >= maxHops {
		c.drop(DropHopLimit)
		return
	}
	c.stats.forwarded.Add(1)
	c.send(now, p.Forward(c.id, to), out)
}

// takeOwnership makes this member the owner of the flow, queues its registration
// with the homes and delivers the datagram. The epoch is the current time or, if
// that is not larger than the epoch in the datagram, one more than the latter.
func (c *Core) takeOwnership(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	nanos := now.UnixNano()
	own := &ownedFlow{
		key:          p.Key(),
		entry:        p.EntryAddress(),
		epoch:        max(flow.Epoch(nanos), p.Epoch()+1),
		lastSeen:     nanos,
		registeredAt: nanos,
	}
	if !s.Put(p.Digest(), record{kind: recordOwned, own: own, owner: c.id, epoch: own.epoch}) {
		c.drop(DropTableFull)
		return
	}
	c.owned.Add(1)
	c.stats.opened.Add(1)
	work, _ := c.load(now)
	out.addEvent(Event{
		kind:           Opened,
		digest:         p.Digest(),
		key:            own.key,
		member:         c.id,
		work:           work,
		candidateCount: len(p.Candidates()),
	})
	var placedBy member.ID
	if p.HasFlags(tunnel.FlagPlaced) {
		placedBy = p.Sender()
	}
	c.queueRegistration(now, p.Digest(), placedBy)
	c.deliver(now, own, p, out)
}
