package agent

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// maxFallback is how many members beyond the candidates are considered
	// when none of the candidates may take a flow.
	maxFallback = 8
	// unheardRounds is how many rounds of load reports a member may miss
	// before a flow passed to it counts as perhaps lost.
	unheardRounds = 2
)

// option is a member that may take a flow.
type option struct {
	candidate tunnel.Candidate
	estimate  placement.Estimate
}

// mayOpen reports whether this member takes new flows at all.
func (c *Core) mayOpen() bool {
	return !c.Draining() && c.OwnedFlows() < c.config.maxFlows
}

// accept takes a flow that another member placed here, asks the next one, or
// sends a flow that it may not open back to the member that decided.
func (c *Core) accept(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	switch {
	case !p.HasFlags(tunnel.FlagDecided):
		c.place(now, s, p, out)
	case c.mayOpen():
		c.own(now, s, p, out)
	default:
		c.noteAsked(p, placement.Estimate{}, false)
		p.UpdateFlags(tunnel.FlagNotFound, 0)
		c.forward(now, p.Sender(), p, out)
	}
}

// place takes a new flow, or asks another member to. A policy that visits asks
// the candidates in turn; the last one chooses among those that noted their
// loads.
func (c *Core) place(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	own := c.estimate(now, c.id)
	open := c.mayOpen()
	visits := c.config.policy.Visits()
	if open && visits && c.config.policy.Takes(own) {
		c.own(now, s, p, out)
		return
	}
	c.noteAsked(p, own, open)
	if visits {
		if next, ok := c.nextToAsk(now, p); ok {
			c.pass(now, s, p, next, recordPassed, out)
			return
		}
	}
	c.decide(now, s, p, out)
}

// noteAsked writes into the packet that this member was asked, and its load.
func (c *Core) noteAsked(p *tunnel.Packet, own placement.Estimate, open bool) {
	for i, cand := range p.Candidates() {
		switch {
		case cand.ID() != c.id:
		case open:
			p.MarkTried(i, own.Work(), own.Capacity())
		default:
			p.MarkTried(i, 0, 0)
		}
	}
	p.UpdateFlags(0, tunnel.FlagDecided)
}

// nextToAsk returns the first candidate that was not asked and may take flows.
func (c *Core) nextToAsk(now time.Time, p *tunnel.Packet) (option, bool) {
	st := c.state.Load()
	for i, cand := range p.Candidates() {
		if !p.Tried(i) && c.mayReceive(st, cand.ID()) {
			return option{candidate: cand, estimate: c.estimate(now, cand.ID())}, true
		}
	}
	return option{}, false
}

// decide chooses among the members that may take the flow.
func (c *Core) decide(now time.Time, s *shard, p *tunnel.Packet, out *Output) {
	options := c.options(now, p)
	if len(options) == 0 {
		options = c.fallback(now, p)
	}
	if len(options) == 0 {
		c.refuse(p, out)
		return
	}
	chosen := options[c.pick(options)]
	if chosen.candidate.ID() == c.id {
		c.own(now, s, p, out)
		return
	}
	p.UpdateFlags(tunnel.FlagDecided, 0)
	c.pass(now, s, p, chosen, recordDecided, out)
}

func (c *Core) refuse(p *tunnel.Packet, out *Output) {
	c.stats.refused.Add(1)
	c.drop(DropRefused)
	out.event(Event{kind: Refused, digest: p.Digest(), key: p.Key(), member: c.id})
}

// pass hands the flow to another member and remembers it in a record of the
// given kind.
func (c *Core) pass(now time.Time, s *shard, p *tunnel.Packet, to option, kind recordKind, out *Output) {
	id := to.candidate.ID()
	c.peers.learn(id, to.candidate.Address())
	home := p.Candidates()[0]
	c.peers.learn(home.ID(), home.Address())
	rec := record{
		kind:    kind,
		owner:   id,
		home:    home.ID(),
		seen:    now.UnixNano(),
		unheard: c.peers.silentFor(now, id) > unheardRounds*c.loadRound(),
	}
	if !s.Put(p.Digest(), rec) {
		c.drop(DropTableFull)
		return
	}
	c.board.Passed(id)
	c.stats.passed.Add(1)
	out.event(Event{
		kind:   Passed,
		digest: p.Digest(),
		key:    p.Key(),
		member: id,
		work:   to.estimate.Work(),
		others: len(p.Candidates()),
	})
	p.UpdateFlags(tunnel.FlagPlaced, tunnel.FlagNotFound|tunnel.FlagSearch)
	c.peers.expect(now, id)
	c.forward(now, id, p, out)
}

// options returns the candidates that may take the flow: those that noted
// their loads, and those that were not asked.
func (c *Core) options(now time.Time, p *tunnel.Packet) []option {
	st := c.state.Load()
	var options []option
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
		options = append(options, option{candidate: cand, estimate: estimate})
	}
	return options
}

// fallback returns members beyond the candidates that may take the flow. The
// flow decides where in the list of members the look-up begins.
func (c *Core) fallback(now time.Time, p *tunnel.Packet) []option {
	st := c.state.Load()
	members := st.history.Current().Members()
	var options []option
	for i := range members {
		m := &members[(int(p.Digest().RendezvousKey()%uint64(len(members)))+i)%len(members)]
		sentHere := p.HasFlags(tunnel.FlagPlaced) && m.ID() == p.Sender()
		if sentHere || isCandidate(p, m.ID()) || !c.mayReceive(st, m.ID()) {
			continue
		}
		cand := tunnel.NewCandidate(m.ID(), m.Address())
		options = append(options, option{candidate: cand, estimate: c.estimate(now, m.ID())})
		if len(options) == maxFallback {
			break
		}
	}
	return options
}

// mayReceive reports whether a member may receive new flows, as far as known.
func (c *Core) mayReceive(st *state, id member.ID) bool {
	if id == c.id {
		return c.mayOpen()
	}
	if st.hasDeparted(id) || c.peers.unresponsive(id) {
		return false
	}
	m := st.history.Current().Find(id)
	return m == nil || m.State() == member.Ready
}

func (c *Core) pick(options []option) int {
	estimates := make([]placement.Estimate, len(options))
	for i := range options {
		estimates[i] = options[i].estimate
	}
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.config.policy.Pick(estimates, c.random)
}

func isCandidate(p *tunnel.Packet, id member.ID) bool {
	return slices.ContainsFunc(p.Candidates(), func(cand tunnel.Candidate) bool { return cand.ID() == id })
}
