package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

// opening handles a packet that asks for a new flow.
func (d *Director) opening(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	if rec := s.flows[h.Flow]; rec != nil && d.members.usable(now, rec.owner) {
		rec.seen = now
		d.deliver(s, rec, packet)
		return
	}
	d.place(now, s, h, r, packet)
}

// place offers a new flow to the agents of a service.
func (d *Director) place(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	name, ok := r.Pick(h.Flow.Hash())
	service := peer.Service(name)
	if !ok {
		d.reset(NoTaker, h, 0)
		return
	}
	list, load, age := d.members.forOpening(now, service, h.Flow.Hash())
	if len(list) == 0 {
		d.refuse(now, h)
		return
	}
	s.flows[h.Flow] = &record{owner: list[0], service: service, seen: now, created: now}
	d.port.RecordDecision(Decision{Event: Placed, Flow: h.Flow, Agent: list[0], Load: load, Age: age, Version: d.config.Load().Version()})
	d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: service, Candidates: list, Packet: packet})
}

// refuse resets an opening that no upstream can take, if that is certain.
func (d *Director) refuse(now time.Duration, h segment.Header) {
	if !d.settled(now) {
		return // agents may not have been heard yet
	}
	d.reset(NoTaker, h, 0)
}
