package director

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// startSearch discards the recorded owner and starts a search through the agents
// that may own the flow.
func (d *Director) startSearch(now time.Duration, s *shard, rec *flowRecord, h segment.Header, packet []byte) {
	rec.lastSeen, rec.searching, rec.searchedAt = now, true, now
	rec.owner, rec.startID, rec.open, rec.inconclusive, rec.unverified = peer.Addr{}, 0, false, false, nil
	rec.question.asked = nil
	if h.Has(segment.Ack) {
		rec.confirm(h.Acknowledged)
	}
	rec.stages = d.planSearch(now, h.Flow)
	rec.round = d.nextRound()
	d.port.RecordDecision(Decision{Event: Searched, Flow: h.Flow})
	d.sendFirstStage(s, rec, h, packet)
}

// sendFirstStage sends a packet to the first stage of its flow's search. It drops the
// packet if there are no stages, that is if no agent was known that may own the flow.
func (d *Director) sendFirstStage(s *shard, rec *flowRecord, h segment.Header, packet []byte) {
	if !d.sendStage(s, rec, &peer.Frame{Packet: packet}, 0) {
		d.port.RecordDecision(Decision{Event: OwnerUncertain, Flow: h.Flow})
	}
}

// sendStage sends the packet in f to a stage of its flow's search, whose agents
// forward it until the owner accepts it. It overwrites the routing fields of f, but
// keeps f.Uncertain, which applies to all stages so far. It reports false if the
// search has no such stage.
func (d *Director) sendStage(s *shard, rec *flowRecord, f *peer.Frame, stage int) bool {
	if stage >= len(rec.stages) {
		return false
	}
	next := rec.stages[stage]
	f.Kind, f.Entry, f.Service, f.Candidates, f.Hop = peer.Search, d.self, next.service, next.agents, 0
	f.Stage, f.Round = stage, rec.round
	d.send(s, next.agents[0], f)
	return true
}

// holderServices returns the services that may hold a flow, the most likely first:
// the one that the configuration selects for the flow now.
func (d *Director) holderServices(f segment.Flow) []peer.ServiceID {
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

// planSearch returns the stages of a search for the owner of a flow, in order.
func (d *Director) planSearch(now time.Duration, f segment.Flow) []searchStage {
	return d.members.searchStages(now, d.holderServices(f), d.history.complete(), f.Hash())
}

// queryAll repeats a search that has not found the owner in time. It sends an owner
// query to all agents that may own the flow at once, unless the rate limit forbids
// it, and sends the packet through the stages of a new plan: an agent of the last one may
// have stopped meanwhile, so that the packet was lost there, and another may have returned.
func (d *Director) queryAll(now time.Duration, s *shard, rec *flowRecord, h segment.Header, packet []byte) {
	rec.searchedAt = now
	rec.stages = d.planSearch(now, h.Flow)
	rec.round = d.nextRound()
	if d.queryLimit.take(now, 1, queriesPerSecond, queryBurst) {
		tried := 0
		s.buf = peer.OwnerMessage{Kind: peer.OwnerQuery, Flow: h.Flow, Acknowledged: rec.acknowledged}.Append(s.buf[:0])
		for _, stage := range rec.stages {
			for _, a := range stage.agents {
				d.port.ToProcess(a, s.buf)
				tried++
			}
		}
		d.port.RecordDecision(Decision{Event: SearchedAll, Flow: h.Flow, Tried: tried})
	}
	d.sendFirstStage(s, rec, h, packet)
}

// nextRound returns the number of a search. Numbers differ between the searches of a flow also if
// its record was forgotten in between.
func (d *Director) nextRound() uint8 { return uint8(d.searches.Add(1)) }

// isOf reports whether a returned frame is of the present search of a flow: it has visited the
// agents of one of its stages. The number alone recurs after 256 searches of the entry, and after
// its restart.
func (r *flowRecord) isOf(f *peer.Frame) bool {
	return f.Round == r.round && f.Stage < len(r.stages) && slices.Equal(f.Candidates, r.stages[f.Stage].agents)
}

// provesNobody reports whether no agent holds a flow of which all agents of a search have returned
// a packet.
func (d *Director) provesNobody(now time.Duration, f segment.Flow, returned []searchStage) bool {
	return d.settled(now, returned) && d.members.stagesCover(returned, d.holderServices(f))
}
