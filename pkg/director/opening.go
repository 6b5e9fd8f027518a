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
	d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: service, Candidates: list, Packet: packet})
}

// The stages in which an opening is offered, one after the other.
const (
	chosenStage      = iota // the choices of the flow's service
	untriedStage            // the other agents of the service
	overflowStage           // the choices of another service of the route
	waitingStage            // the least busy agent of the flow's service, where the opening may wait
	lastOpeningStage = waitingStage
)

// openingStage returns the frame with the candidates of a stage, none if it is to be
// left out.
func (d *Director) openingStage(now time.Duration, stage int, rec *flowRecord, r route.Route, f *peer.Frame, h segment.Header) peer.Frame {
	switch stage {
	case untriedStage:
		return peer.Frame{Service: f.Service, Candidates: d.members.untried(now, f.Service, f.Candidates)}
	case overflowStage:
		name, ok := r.PickOther(h.Flow.Hash(), func(name string) bool { return peer.Service(name) == f.Service })
		if !ok {
			return peer.Frame{}
		}
		service := peer.Service(name)
		list, _, _ := d.members.openingCandidates(now, service, h.Flow.Hash())
		return peer.Frame{Service: service, Candidates: list}
	case waitingStage:
		if rec.leastBusy == (peer.Addr{}) {
			return peer.Frame{}
		}
		return peer.Frame{Service: rec.leastBusyService, Candidates: []peer.Addr{rec.leastBusy}, Forced: true, Patience: patience(r), Priority: r.Priority}
	}
	return peer.Frame{}
}

// noteLeastBusy records the least busy agent that has returned the opening.
func (rec *flowRecord) noteLeastBusy(f *peer.Frame) {
	if f.Best == 0 || f.Stage > untriedStage || rec.leastBusy != (peer.Addr{}) && rec.leastBusyLoad <= f.BestLoad {
		return
	}
	rec.leastBusy, rec.leastBusyLoad, rec.leastBusyService = f.Candidates[f.Best-1], f.BestLoad, f.Service
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
