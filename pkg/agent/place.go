package agent

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// maxFallbackMembers is the maximum number of members that are considered
	// when none of the candidates may open a flow.
	maxFallbackMembers = 8
	// maxMissedRounds is the number of rounds of load reports that a member may
	// miss before a flow sent to it is marked as possibly not received.
	maxMissedRounds = 2
)

// placementOption is a member that may open a flow, with its estimated load.
type placementOption struct {
	candidate tunnel.Candidate
	estimate  placement.Estimate
}

// mayOpen reports whether this member accepts new flows: it is not draining and
// owns fewer than the maximum number of flows.
func (c *Core) mayOpen() bool {
	return !c.Draining() && c.OwnedFlows() < c.config.maxFlows
}

// handlePlacement handles the datagram of a new flow that another member sent here
// to be placed. Without FlagDecided, this member continues the placement with
// placeFlow. With FlagDecided it opens the flow or, if it may not, sends the
// datagram back to its sender.
func (c *Core) handlePlacement(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	switch {
	case !p.HasFlags(tunnel.FlagDecided):
		c.placeFlow(now, s, p, out)
	case c.mayOpen():
		c.takeOwnership(now, s, p, out)
	default:
		c.markTried(p, placement.Estimate{}, false)
		p.UpdateFlags(tunnel.FlagNotFound, 0)
		c.forward(now, p.Sender(), p, out)
	}
}

// placeFlow opens a new flow at this member or sends it to another one. With a
// sequential policy, each candidate opens the flow, or adds its load to the
// datagram and sends it to the next; the last one chooses among all. With any
// other policy this member chooses at once.
func (c *Core) placeFlow(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	own := c.estimate(now, c.id)
	mayOpen := c.mayOpen()
	sequential := c.config.policy.Sequential()
	if mayOpen && sequential && c.config.policy.Accepts(own) {
		c.takeOwnership(now, s, p, out)
		return
	}
	c.markTried(p, own, mayOpen)
	if sequential {
		if next, ok := c.nextUntried(now, p); ok {
			c.sendToMember(now, s, p, next, recordOffered, out)
			return
		}
	}
	c.chooseOwner(now, s, p, out)
}

// markTried marks this member as tried in the packet's list of candidates, with its
// load, or with a capacity of 0 if it may not open the flow. It also clears
// FlagDecided.
func (c *Core) markTried(p *tunnel.Packet, own placement.Estimate, mayOpen bool) {
	for i, cand := range p.Candidates() {
		switch {
		case cand.ID() != c.id:
		case mayOpen:
			p.MarkTried(i, own.Work(), own.Capacity())
		default:
			p.MarkTried(i, 0, 0)
		}
	}
	p.UpdateFlags(0, tunnel.FlagDecided)
}

// nextUntried returns the first candidate that has not been tried and may receive
// new flows.
func (c *Core) nextUntried(now time.Time, p *tunnel.Packet) (placementOption, bool) {
	st := c.state.Load()
	for i, cand := range p.Candidates() {
		if !p.Tried(i) && c.mayReceive(st, cand.ID()) {
			return placementOption{candidate: cand, estimate: c.estimate(now, cand.ID())}, true
		}
	}
	return placementOption{}, false
}

// chooseOwner lets the policy choose among the candidates that may open the flow
// or, if there are none, among other members, and sends the flow to the chosen
// one or, if that is this member, opens it. Without any such member the flow is
// refused.
func (c *Core) chooseOwner(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	options := c.placementOptions(now, p)
	if len(options) == 0 {
		options = c.fallbackOptions(now, p)
	}
	if len(options) == 0 {
		c.refuse(p, out)
		return
	}
	chosen := options[c.pickOption(options)]
	if chosen.candidate.ID() == c.id {
		c.takeOwnership(now, s, p, out)
		return
	}
	p.UpdateFlags(tunnel.FlagDecided, 0)
	c.sendToMember(now, s, p, chosen, recordAssigned, out)
}

// refuse drops a datagram of a new flow that no member may open.
func (c *Core) refuse(p *tunnel.Packet, out *Output) {
	c.stats.refused.Add(1)
	c.drop(DropRefused)
	out.addEvent(Event{kind: Refused, digest: p.Digest(), key: p.Key(), member: c.id})
}

// sendToMember stores a record of the given kind that names another member as the
// owner, and sends the datagram to that member with FlagPlaced.
func (c *Core) sendToMember(now time.Time, s *shard, p *tunnel.Packet, to placementOption, kind recordKind, out *Output) {
	id := to.candidate.ID()
	c.peers.setAddress(id, to.candidate.Address())
	home := p.Candidates()[0]
	c.peers.setAddress(home.ID(), home.Address())
	rec := record{
		kind:        kind,
		owner:       id,
		home:        home.ID(),
		lastSeen:    now.UnixNano(),
		ownerSilent: c.peers.sinceLastPacket(now, id) > maxMissedRounds*c.loadRound(),
	}
	if !s.Put(p.Digest(), rec) {
		c.drop(DropTableFull)
		return
	}
	c.loads.AddFlow(id)
	c.stats.passed.Add(1)
	out.addEvent(Event{
		kind:           Passed,
		digest:         p.Digest(),
		key:            p.Key(),
		member:         id,
		work:           to.estimate.Work(),
		candidateCount: len(p.Candidates()),
	})
	p.UpdateFlags(tunnel.FlagPlaced, tunnel.FlagNotFound|tunnel.FlagSearch)
	c.peers.awaitPacket(now, id)
	c.forward(now, id, p, out)
}

// placementOptions returns the candidates that may open the flow. The load of a
// candidate that was tried is the one in the packet; a capacity of 0 there
// excludes it. The load of any other is an estimate.
func (c *Core) placementOptions(now time.Time, p *tunnel.Packet) []placementOption {
	st := c.state.Load()
	var options []placementOption
	for i, cand := range p.Candidates() {
		if !c.mayReceive(st, cand.ID()) {
			continue
		}
		estimate := c.estimate(now, cand.ID())
		if p.Tried(i) {
			work, capacity := cand.Load()
			if capacity == 0 {
				continue
			}
			estimate = placement.NewEstimate(work, capacity)
		}
		options = append(options, placementOption{candidate: cand, estimate: estimate})
	}
	return options
}

// fallbackOptions returns up to maxFallbackMembers members that may open the flow
// and are not candidates. It starts at a position in the list of members that
// depends on the flow, which spreads flows over the members. It leaves out the
// member that sent the flow here.
func (c *Core) fallbackOptions(now time.Time, p *tunnel.Packet) []placementOption {
	st := c.state.Load()
	members := st.history.Current().Members()
	var options []placementOption
	for i := range members {
		m := &members[(int(p.Digest().RendezvousKey()%uint64(len(members)))+i)%len(members)]
		sentHere := p.HasFlags(tunnel.FlagPlaced) && m.ID() == p.Sender()
		if sentHere || isCandidate(p, m.ID()) || !c.mayReceive(st, m.ID()) {
			continue
		}
		cand := tunnel.NewCandidate(m.ID(), m.Address())
		options = append(options, placementOption{candidate: cand, estimate: c.estimate(now, m.ID())})
		if len(options) == maxFallbackMembers {
			break
		}
	}
	return options
}

// mayReceive reports whether a member may receive new flows: for this member, whether
// it accepts them; for another one, whether it responds and is ready according to the
// state st. A member that is absent from the current view and has not departed may: it
// may be in a newer view, which other nodes have already received.
func (c *Core) mayReceive(st *state, id member.ID) bool {
	if id == c.id {
		return c.mayOpen()
	}
	if st.hasDeparted(id) || c.peers.isUnresponsive(id) {
		return false
	}
	m := st.history.Current().Find(id)
	return m == nil || m.State() == member.Ready
}

// pickOption returns the index of the option that the policy picks.
func (c *Core) pickOption(options []placementOption) int {
	estimates := make([]placement.Estimate, len(options))
	for i := range options {
		estimates[i] = options[i].estimate
	}
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.config.policy.Pick(estimates, c.random)
}

// isCandidate reports whether the member is among the packet's candidates.
func isCandidate(p *tunnel.Packet, id member.ID) bool {
	return slices.ContainsFunc(p.Candidates(), func(cand tunnel.Candidate) bool { return cand.ID() == id })
}
