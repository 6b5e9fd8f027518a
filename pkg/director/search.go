package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// search starts a walk past the agents that may own the flow.
func (d *Director) search(now time.Duration, s *shard, rec *record, h segment.Header, packet []byte) {
	rec.seen, rec.searching, rec.searchedAt = now, true, now
	rec.owner, rec.start, rec.open, rec.unsure = peer.Addr{}, 0, false, false
	if h.Has(segment.Ack) {
		rec.acknowledged = h.Acknowledged
	}
	rec.plan = d.plan(now, h.Flow)
	rec.round++
	d.port.RecordDecision(Decision{Event: Searched, Flow: h.Flow})
	d.walk(s, rec, h, packet)
}

// walk sends a packet along the first leg of its flow's search.
func (d *Director) walk(s *shard, rec *record, h segment.Header, packet []byte) {
	if !d.next(s, rec, &peer.Frame{Packet: packet}, 0) {
		d.port.RecordDecision(Decision{Event: FoundUnsure, Flow: h.Flow})
	}
}

// next sends a searching packet along a leg of the search. It reports false if
// the search has no such leg.
func (d *Director) next(s *shard, rec *record, f *peer.Frame, stage int) bool {
	if stage >= len(rec.plan) {
		return false
	}
	l := rec.plan[stage]
	f.Kind, f.Entry, f.Service, f.Candidates, f.Hop = peer.Search, d.self, l.service, l.agents, 0
	f.Stage, f.Round = stage, rec.round
	d.send(s, l.agents[0], f)
	return true
}

// holders returns the services that may hold a flow, the likeliest first: the
// one that would take it today.
func (d *Director) holders(f segment.Flow) []peer.ServiceID {
	var services []string
	if r, ok := d.config.Load().Lookup(f.VIP()); ok {
		if likely, ok := r.Pick(f.Hash()); ok {
			services = append(services, likely)
		}
	}
	services = union(services, d.history.services(f.VIP()))
	out := make([]peer.ServiceID, len(services))
	for i, s := range services {
		out[i] = peer.Service(s)
	}
	return out
}

// plan returns the order in which a search for the owner of a flow asks.
func (d *Director) plan(now time.Duration, f segment.Flow) []leg {
	return d.members.plan(now, d.holders(f), d.history.complete(), f.Hash())
}

// searchAll asks every agent at once who holds the flow, after a walk that has
// ended nowhere, and sends the packet on another walk.
func (d *Director) searchAll(now time.Duration, s *shard, rec *record, h segment.Header, packet []byte) {
	rec.searchedAt = now
	if d.asks.take(now) {
		tried := 0
		s.frame = peer.OwnerMessage{Kind: peer.OwnerQuery, Flow: h.Flow, Acknowledged: rec.acknowledged}.Append(s.frame[:0])
		for _, l := range d.plan(now, h.Flow) {
			for _, a := range l.agents {
				d.port.ToProcess(a, s.frame)
				tried++
			}
		}
		d.port.RecordDecision(Decision{Event: SearchedAll, Flow: h.Flow, Tried: tried})
	}
	d.walk(s, rec, h, packet)
}
