package agent

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/pkg/tunnel"
)

// placementTime is longer than the placement of a flow takes.
const placementTime = time.Second

// open opens a flow at its home. While another member may own the flow, the
// datagram itself first visits each member that may know of it (a search): the
// owner delivers it, and the others grant the flow to this home. A lost
// datagram costs no more than any other; the caller's next one searches again.
func (c *Core) open(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	if p.Candidates()[0].ID() != c.id {
		// Two homes have met, and this one goes on.
		p.SetHome(tunnel.NewCandidate(c.id, c.address))
	}
	witnesses := c.witnesses(p.Digest())
	if len(witnesses) == 0 {
		c.place(now, s, p, out)
		return
	}
	if !s.Put(p.Digest(), record{kind: recordSeeking, seen: now.UnixNano()}) {
		c.drop(DropTableFull)
		return
	}
	c.stats.searches.Add(1)
	p.UpdateFlags(tunnel.FlagSearch, tunnel.FlagNotFound|tunnel.FlagPlaced)
	p.StartSearch(c.id)
	c.skipUnresponsive(p)
	c.addWitnesses(p, witnesses)
	c.searchOn(now, p, out)
}

// witnesses returns the other members that may know of a flow: none if this
// member is its home in every view in use.
func (c *Core) witnesses(d flow.Digest) []member.ID {
	st := c.state.Load()
	if st.history.IsHomeInAllViews(d, c.id) {
		return nil
	}
	gone := func(id member.ID) bool {
		return id == c.id || st.hasDeparted(id) || c.peers.unresponsive(id)
	}
	return slices.DeleteFunc(st.history.SearchTargets(d, gone, nil), gone)
}

// skipUnresponsive keeps the search from members that do not answer this one:
// they could not return the datagram either.
func (c *Core) skipUnresponsive(p *tunnel.Packet) {
	for _, m := range c.state.Load().history.Current().Members() {
		if c.peers.unresponsive(m.ID()) {
			p.SkipSearchTarget(tunnel.NewCandidate(m.ID(), m.Address()))
		}
	}
}

func (c *Core) addWitnesses(p *tunnel.Packet, ids []member.ID) {
	for _, id := range ids {
		if id == p.SearchInitiator() {
			continue
		}
		if address, ok := c.addressOf(id); ok {
			p.AddSearchTarget(tunnel.NewCandidate(id, address))
		}
	}
}

// searchOn sends the datagram to the next member to ask, or back to the seeker.
func (c *Core) searchOn(now time.Time, p *tunnel.Packet, out *Output) {
	next, ok := p.NextSearchTarget()
	if !ok {
		c.forward(now, p.SearchInitiator(), p, out)
		return
	}
	c.peers.learn(next.ID(), next.Address())
	c.peers.expect(now, next.ID())
	c.forward(now, next.ID(), p, out)
}

// handleSearch handles a datagram that looks for the owner of its flow. rec is
// the zero record if this member knows nothing of the flow.
func (c *Core) handleSearch(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	if p.SearchInitiator() == c.id {
		c.endSearch(now, s, rec, p, out)
		return
	}
	stale := rec.kind != recordNone && c.isStale(rec, p)
	switch {
	case !stale && (rec.kind == recordPassed || rec.kind == recordDecided):
		if rec.home == p.SearchInitiator() && idle(now, rec.seen, placementTime) {
			// The home has forgotten that it placed the flow.
			c.grant(now, s, p, out)
			return
		}
		c.follow(now, s, rec, p, out)
	case !stale && rec.kind == recordRegistered && rec.owner != p.SearchInitiator():
		c.follow(now, s, rec, p, out)
	case rec.kind == recordSeeking && !beats(p.Digest(), p.SearchInitiator(), c.id):
		c.open(now, s, p, out)
	case !stale && rec.kind == recordGranted && rec.owner != p.SearchInitiator():
		// The earlier grant stays: it may be the only trace of the flow.
		c.addWitnesses(p, []member.ID{rec.owner})
		c.addWitnesses(p, c.witnesses(p.Digest()))
		c.searchOn(now, p, out)
	default:
		c.grant(now, s, p, out)
	}
}

// grant leaves the flow to the seeker, and adds the members that this one
// would have asked.
func (c *Core) grant(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	if !s.Put(p.Digest(), record{kind: recordGranted, owner: p.SearchInitiator(), seen: now.UnixNano()}) {
		c.drop(DropTableFull)
		return
	}
	c.addWitnesses(p, c.witnesses(p.Digest()))
	c.searchOn(now, p, out)
}

// endSearch places a flow that every other member has granted.
func (c *Core) endSearch(now time.Time, s *shard, rec record, p *tunnel.Packet, out *Output) {
	p.UpdateFlags(0, tunnel.FlagSearch)
	switch rec.kind {
	case recordSeeking:
		s.Delete(p.Digest())
		c.place(now, s, p, out)
	case recordNone:
		c.handleUnknown(now, s, p, 0, out)
	default:
		c.follow(now, s, rec, p, out)
	}
}

// beats reports whether a wins a flow that both a and b want to open. The
// unweighted hash decides, on which all views agree.
func beats(d flow.Digest, a, b member.ID) bool {
	ha := rendezvous.Hash(d.RendezvousKey(), uint64(a))
	hb := rendezvous.Hash(d.RendezvousKey(), uint64(b))
	if ha != hb {
		return ha > hb
	}
	return a > b
}
