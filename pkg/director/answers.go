package director

import (
	"maps"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleAgentDatagram handles a datagram of an agent.
func (d *Director) HandleAgentDatagram(now time.Duration, from peer.Addr, datagram []byte) error {
	kind, err := peer.KindOf(datagram)
	if err != nil {
		return err
	}
	switch kind {
	case peer.Owned:
		var o peer.OwnerMessage
		if err := o.Decode(datagram); err != nil {
			return err
		}
		d.owned(now, from, o)
	case peer.Returned:
		var f peer.Frame
		if err := f.Decode(datagram); err != nil {
			return err
		}
		h, err := d.codec.FromCaller(f.Packet)
		if err != nil {
			return err
		}
		if d.config.Load() == nil {
			return nil // sent by an earlier process at this address
		}
		d.returned(now, from, &f, h)
	default:
		return peer.ErrInvalidFrame
	}
	return nil
}

// owned takes in that an agent's upstream holds a flow.
func (d *Director) owned(now time.Duration, from peer.Addr, o peer.OwnerMessage) {
	s := d.lock(o.Flow)
	defer s.mu.Unlock()
	rec := s.flows[o.Flow]
	if rec == nil {
		rec = &record{created: now}
		s.flows[o.Flow] = rec
	}
	if !rec.searching && !rec.open {
		d.port.RecordLatency(Opening, now-rec.created)
	}
	if rec.searching {
		d.port.RecordLatency(Searching, now-rec.searchedAt)
		d.port.RecordDecision(Decision{Event: Found, Flow: o.Flow, Agent: from, Age: now - rec.searchedAt})
	}
	rec.owner, rec.start, rec.open, rec.searching = from, o.Start, true, false
	rec.plan = nil
	rec.service = d.members.service(from)
	rec.seen = now
}

// returned handles a packet that nobody on a list took.
func (d *Director) returned(now time.Duration, from peer.Addr, f *peer.Frame, h segment.Header) {
	s := d.lock(h.Flow)
	defer s.mu.Unlock()
	switch f.OriginalKind {
	case peer.Place:
		d.untaken(now, s, f, h)
	case peer.Deliver:
		d.disowned(now, s, from, f, h)
	case peer.Search:
		d.unfound(now, s, f, h)
	}
}

// untaken handles an opening that no agent of its list took.
func (d *Director) untaken(now time.Duration, s *shard, f *peer.Frame, h segment.Header) {
	if f.Stage == 0 {
		if list := d.members.others(now, f.Service, f.Candidates); len(list) > 0 {
			s.flows[h.Flow] = &record{owner: list[0], service: f.Service, seen: now, created: now}
			d.port.RecordDecision(Decision{Event: PlacedAgain, Flow: h.Flow, Agent: list[0], Tried: len(f.Candidates)})
			d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: f.Service, Candidates: list, Stage: 1, Packet: f.Packet})
			return
		}
	}
	delete(s.flows, h.Flow)
	d.reset(NoTaker, h, len(f.Candidates))
}

// disowned handles a packet whose flow the supposed owner does not hold.
func (d *Director) disowned(now time.Duration, s *shard, from peer.Addr, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec != nil && !rec.searching && rec.owner != from {
		d.deliver(s, rec, f.Packet) // the owner has been found meanwhile
		return
	}
	if h.Opens() {
		if r, ok := d.config.Load().Lookup(h.Flow.VIP()); ok {
			d.place(now, s, h, r, f.Packet)
		}
		return
	}
	if rec == nil {
		rec = &record{created: now}
		s.flows[h.Flow] = rec
	}
	d.search(now, s, rec, h, f.Packet)
}

// unfound handles a packet of a search whose list has come to its end.
func (d *Director) unfound(now time.Duration, s *shard, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec == nil {
		return // this process has forgotten the search; the caller asks again
	}
	if !rec.searching {
		d.deliver(s, rec, f.Packet)
		return
	}
	if f.Round != rec.round {
		return // of an earlier search
	}
	if d.next(s, rec, f, f.Stage+1) {
		return
	}
	if f.Uncertain || !d.settled(now) || !d.members.covered(rec.plan, d.holders(h.Flow)) {
		rec.unsure = true
		d.port.RecordDecision(Decision{Event: FoundUnsure, Flow: h.Flow})
		return
	}
	delete(s.flows, h.Flow)
	if !h.Has(segment.Reset) {
		d.reset(FoundNobody, h, 0)
	}
}

// HandleReport takes in what an agent tells of itself. It reports whether the agent
// is new.
func (d *Director) HandleReport(now time.Duration, from peer.Addr, status peer.Status) bool {
	isNew, restarted := d.members.report(now, from, status)
	if start, empty := d.members.start(from); restarted && (start != 0 || empty) {
		d.resetOwned(from, start)
	}
	return isNew
}

// HandleGoodbye takes in that an agent stops.
func (d *Director) HandleGoodbye(now time.Duration, from peer.Addr, returns bool) {
	d.members.goodbye(now, from, returns)
}

// resetOwned tells the callers of flows at an upstream's other starts than the
// given one; 0 means that none runs.
func (d *Director) resetOwned(owner peer.Addr, start uint32) {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		// The fixed order keeps what follows repeatable.
		for _, flow := range slices.SortedFunc(maps.Keys(s.flows), segment.Flow.Compare) {
			rec := s.flows[flow]
			if rec.owner != owner || rec.start == 0 || rec.start == start {
				continue
			}
			delete(s.flows, flow)
			// A reset whose number the caller does not expect would be no use; a
			// flow without an acknowledgement is found dead by its next packet.
			if rec.acknowledged != 0 {
				d.reset(UpstreamGone, segment.Header{Flow: flow, Acknowledged: rec.acknowledged}, 0)
			}
		}
		s.mu.Unlock()
	}
}

// Tick forgets flows and members that have been silent for long. The caller
// passes the time since the last tick, so that a pause of this process is not
// taken for the silence of others.
func (d *Director) Tick(now, since time.Duration) {
	d.members.tick(now, since)
	idle := defaultIdle
	if c := d.config.Load(); c != nil && c.IdleTimeout() > 0 {
		idle = c.IdleTimeout()
	}
	idle = min(idle+idleSlack, d.lifetime)
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for flow, rec := range s.flows {
			if now-rec.seen > idle || rec.done && now-rec.seen > doneFor {
				delete(s.flows, flow)
			}
		}
		s.mu.Unlock()
	}
}

// Flows returns how many flows the director remembers.
func (d *Director) Flows() int {
	n := 0
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return n
}

// Status returns what is known of each agent, for operators.
func (d *Director) Status(now time.Duration) []AgentStatus { return d.members.statuses(now) }

// Agents returns the agents that are believed alive.
func (d *Director) Agents() []peer.Addr { return d.members.list() }

// Reachable reports whether enough agents are heard to serve.
func (d *Director) Reachable(now time.Duration) bool { return d.members.reachable(now) }

// Settled reports whether enough is known to say that nobody holds a flow.
func (d *Director) Settled(now time.Duration) bool { return d.settled(now) }
