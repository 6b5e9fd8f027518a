package agent

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/pkg/tunnel"
)

// maxPlacementTime is the assumed upper bound of the time that the placement of a flow
// takes; it is not enforced.
const maxPlacementTime = time.Second

// searchOrPlace has a flow opened that this member is the home of. If another member may
// own the flow, the datagram itself is first sent through the members that may have a
// record of the flow, at most tunnel.MaxSearchTargets (a search): the owner delivers it,
// and the others grant the flow to this home. Otherwise the flow is placed at once. If
// the datagram is lost during the search, no state blocks the flow: the caller's next
// datagram starts another search.
func (c *Core) searchOrPlace(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	if p.Candidates()[0].ID() != c.id {
		// The datagram names another home while this one already searches for the
		// owner: the other home has granted the flow, or its search has reached this
		// one, which has priority.
		p.SetHome(tunnel.NewCandidate(c.id, c.address))
	}
	targets := c.searchTargets(p.Digest())
	if len(targets) == 0 {
		c.placeFlow(now, s, p, out)
		return
	}
	if !s.Put(p.Digest(), record{kind: recordSearching, lastSeen: now.UnixNano()}) {
		c.drop(DropTableFull)
		return
	}
	c.stats.searches.Add(1)
	p.UpdateFlags(tunnel.FlagSearch, tunnel.FlagNotFound|tunnel.FlagPlaced)
	p.StartSearch(c.id)
	c.skipUnresponsive(p)
	c.addSearchTargets(p, targets)
	c.continueSearch(now, p, out)
}

// searchTargets returns the other members that may have a record of a flow, without
// those that have departed or are unresponsive: none if this member is the flow's home
// in every view in use.
func (c *Core) searchTargets(d flow.Digest) []member.ID {
	st := c.state.Load()
	if st.history.IsHomeInAllViews(d, c.id) {
		return nil
	}
	excluded := func(id member.ID) bool {
		return id == c.id || st.hasDeparted(id) || c.peers.isUnresponsive(id)
	}
	return slices.DeleteFunc(st.history.SearchTargets(d, excluded, nil), excluded)
}

// skipUnresponsive excludes the members of the current view that do not respond to this
// one from the search, also if other members add them as targets: they could not return
// the datagram to this member either. They take places in the list of the search, which
// holds tunnel.MaxSearchTargets members: when they fill it, the search visits no member.
func (c *Core) skipUnresponsive(p *tunnel.Packet) {
	for _, m := range c.state.Load().history.Current().Members() {
		if c.peers.isUnresponsive(m.ID()) {
			p.SkipSearchTarget(tunnel.NewCandidate(m.ID(), m.Address()))
		}
	}
}

// addSearchTargets adds members with a known address, other than the initiator, to
// the targets of the search.
func (c *Core) addSearchTargets(p *tunnel.Packet, ids []member.ID) {
	for _, id := range ids {
		if id == p.SearchInitiator() {
			continue
		}
		if address, ok := c.addressOf(id); ok {
			p.AddSearchTarget(tunnel.NewCandidate(id, address))
		}
	}
}

// continueSearch sends the datagram to the next search target or, after the last
// one, back to the home that started the search.
func (c *Core) continueSearch(now time.Time, p *tunnel.Packet, out *Output) {
	next, ok := p.NextSearchTarget()
	if !ok {
		c.forward(now, p.SearchInitiator(), p, out)
		return
	}
	c.peers.setAddress(next.ID(), next.Address())
	c.peers.awaitPacket(now, next.ID())
	c.forward(now, next.ID(), p, out)
}

// handleSearch handles a datagram that searches for the owner of its flow, which
// this member is not. rec is the zero record if there is no record of the flow.
//
// If this member is the initiator, the search has ended, see finishSearch. Otherwise the
// datagram is forwarded by a record that names a likely owner (not the initiator, if it
// has registered the flow itself), unless that record comes from a placement of the
// initiator and has not been used for maxPlacementTime. If this member searches for the
// same flow itself and has priority, it restarts the search as the initiator. If the
// flow was granted to another home, that grant stays and the search continues with that
// home as a target. In any other case the flow is granted to the initiator.
func (c *Core) handleSearch(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	if p.SearchInitiator() == c.id {
		c.finishSearch(now, s, rec, p, out)
		return
	}
	stale := rec.kind != recordNone && c.isStale(rec, p)
	switch {
	case !stale && (rec.kind == recordOffered || rec.kind == recordAssigned):
		if rec.home == p.SearchInitiator() && idle(now, rec.lastSeen, maxPlacementTime) {
			// The home no longer has the record of its placement.
			c.grant(now, s, p, out)
			return
		}
		c.forwardByRecord(now, s, rec, p, out)
	case !stale && rec.kind == recordRegistered && rec.owner != p.SearchInitiator():
		c.forwardByRecord(now, s, rec, p, out)
	case rec.kind == recordSearching && !hasPriority(p.Digest(), p.SearchInitiator(), c.id):
		c.searchOrPlace(now, s, p, out)
	case !stale && rec.kind == recordGranted && rec.owner != p.SearchInitiator():
		// Keep the earlier grant: it may be the only record of the flow.
		c.addSearchTargets(p, []member.ID{rec.owner})
		c.addSearchTargets(p, c.searchTargets(p.Digest()))
		c.continueSearch(now, p, out)
	default:
		c.grant(now, s, p, out)
	}
}

// grant records that the flow is left to the home that runs the search, adds the
// members that this one would have searched to the targets, and continues the search.
func (c *Core) grant(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	if !s.Put(p.Digest(), record{kind: recordGranted, owner: p.SearchInitiator(), lastSeen: now.UnixNano()}) {
		c.drop(DropTableFull)
		return
	}
	c.addSearchTargets(p, c.searchTargets(p.Digest()))
	c.continueSearch(now, p, out)
}

// finishSearch handles a datagram that returns to the home that started its search.
// If the search is still in progress, the flow was granted by every member
// visited, and is placed. If another datagram of the flow has ended the search
// meanwhile, the datagram is routed by the record that the flow has now.
func (c *Core) finishSearch(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	p.UpdateFlags(0, tunnel.FlagSearch)
	switch rec.kind {
	case recordSearching:
		s.Delete(p.Digest())
		c.placeFlow(now, s, p, out)
	case recordNone:
		c.handleNoRecord(now, s, p, 0, out)
	default:
		c.forwardByRecord(now, s, rec, p, out)
	}
}

// hasPriority reports whether a, rather than b, opens a flow that both search for.
// It compares unweighted hashes, which do not depend on the view.
func hasPriority(d flow.Digest, a, b member.ID) bool {
	ha := rendezvous.Hash(d.RendezvousKey(), uint64(a))
	hb := rendezvous.Hash(d.RendezvousKey(), uint64(b))
	if ha != hb {
		return ha > hb
	}
	return a > b
}
