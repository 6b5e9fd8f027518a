package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

const (
	patienceShare   = 0.25
	defaultPatience = 200 * time.Millisecond
)

// handleOpening handles an opening packet. A retransmitted one is sent to the flow's
// recorded owner if that is usable; otherwise the flow is placed again.
func (d *Director) handleOpening(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	if rec := s.flows[h.Flow]; rec != nil && d.members.usable(now, rec.owner) {
		rec.lastSeen = now
		d.deliver(s, rec, packet)
		return
	}
	d.placeFlow(now, s, h, r, packet)
}

// placeFlow selects a service for a new flow and offers the flow to the service's
// agents. It resets the flow if none of the route's services has a weight. If no agent
// of the service accepts new flows, it calls refuseOpening.
func (d *Director) placeFlow(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	name, ok := r.Pick(h.Flow.Hash())
	service := peer.Service(name)
	if !ok {
		d.reset(NotAccepted, h, 0)
		return
	}
	list, load, age := d.members.openingCandidates(now, service, h.Flow.Hash())
	if len(list) == 0 {
		d.refuseOpening(now, h)
		return
	}
	s.flows[h.Flow] = &flowRecord{owner: list[0], service: service, lastSeen: now, created: now}
	d.port.RecordDecision(Decision{Event: Placed, Flow: h.Flow, Agent: list[0], Load: load, Age: age, Version: d.config.Load().Version()})
	d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: service, Candidates: list, Patience: patience(r), Packet: packet})
}

// patience returns how long an opening of the route may wait for a slot.
func patience(r route.Route) time.Duration {
	if r.Timeout == 0 {
		return defaultPatience
	}
	return time.Duration(float64(r.Timeout) * patienceShare)
}

// refuseOpening resets an opening for which there is no agent, if it is certain
// that there is none.
func (d *Director) refuseOpening(now time.Duration, h segment.Header) {
	if !d.settled(now) {
		return // an agent that has not reported yet may accept the flow
	}
	d.reset(NotAccepted, h, 0)
}
