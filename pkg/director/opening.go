package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

// The stages in which a flow is offered, one after the other until an agent accepts it.
// A stage without candidates is left out. They are the values of peer.Frame.Stage.
const (
	// chosenStage offers the flow to the agents that openingCandidates has chosen.
	chosenStage = iota
	// untriedStage offers it to the other agents of the service, if no upstream of the
	// chosen ones may take it at all.
	untriedStage
	// overflowStage offers it to agents of another service of the route: rather than
	// wait for the service that its weights select, a flow goes where slots are free.
	overflowStage
	// waitingStage lets the opening wait at the least busy agent of the first stages.
	waitingStage
	endOfStages
)

const (
	// patienceShare is the part of its route's timeout for which an opening may wait
	// for an upstream. Callers make up to three attempts, and one that waited in vain
	// leaves time for the others and for the answer.
	patienceShare = 0.25
	// defaultTimeout is assumed for a route without a timeout.
	defaultTimeout = time.Second
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
	d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: service, Candidates: list, Stage: chosenStage, Priority: r.Priority, Packet: packet})
}

// handleReturnedOpening handles an opening that none of its candidates accepted: it is
// offered in the next stage that has candidates. After the last one the flow is reset. An
// opening that waited at an agent that stops is placed again. A copy of the opening that is returned after an agent has accepted another one is
// dropped.
func (d *Director) handleReturnedOpening(now time.Duration, s *shard, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec == nil || rec.gone != nil {
		rec = &flowRecord{}
	}
	if rec.open {
		return
	}
	if f.Stage == waitingStage && !d.members.usable(now, rec.owner) {
		// The agent beside which the opening waited is stopping.
		if r, ok := d.config.Load().Lookup(h.Flow.VIP()); ok {
			d.placeFlow(now, s, h, r, f.Packet)
		}
		return
	}
	rec.waitingPlace.consider(f)
	for stage := f.Stage + 1; stage < endOfStages; stage++ {
		next := d.openingStage(now, stage, rec, f, h)
		if len(next.Candidates) == 0 {
			continue
		}
		next.Kind, next.Entry, next.Stage, next.Packet = peer.Place, d.self, stage, f.Packet
		rec.owner, rec.service, rec.lastSeen, rec.created = next.Candidates[0], next.Service, now, now
		s.flows[h.Flow] = rec
		d.port.RecordDecision(Decision{Event: PlacedAgain, Flow: h.Flow, Agent: rec.owner, Stage: stage, Tried: len(f.Candidates)})
		d.send(s, rec.owner, &next)
		return
	}
	delete(s.flows, h.Flow)
	d.reset(NotAccepted, h, len(f.Candidates))
}

// openingStage returns a frame with the service, the candidates and the conditions of a
// stage after the first one. f is the frame of the last stage.
func (d *Director) openingStage(now time.Duration, stage int, rec *flowRecord, f *peer.Frame, h segment.Header) peer.Frame {
	r, routed := d.config.Load().Lookup(h.Flow.VIP())
	switch {
	case stage == untriedStage && !rec.waitingPlace.known():
		return peer.Frame{Service: f.Service, Candidates: d.members.untried(now, f.Service, f.Candidates), Priority: r.Priority}
	case stage == overflowStage && routed:
		other, ok := r.PickExcept(h.Flow.Hash(), func(name string) bool { return peer.Service(name) == f.Service })
		if !ok {
			return peer.Frame{}
		}
		list, _, _ := d.members.openingCandidates(now, peer.Service(other), h.Flow.Hash())
		return peer.Frame{Service: peer.Service(other), Candidates: list, Priority: r.Priority}
	case stage == waitingStage && routed && rec.waitingPlace.known():
		return peer.Frame{
			Service: rec.waitingPlace.service, Candidates: []peer.Addr{rec.waitingPlace.agent},
			Forced: true, Patience: patience(r), Priority: r.Priority,
		}
	}
	return peer.Frame{}
}

// waitingPlace is the least busy agent that has returned an opening, where it may wait.
type waitingPlace struct {
	agent   peer.Addr
	service peer.ServiceID
	load    uint8 // see peer.Frame.BestLoad
}

// known reports whether there is such an agent.
func (w *waitingPlace) known() bool { return w.agent != peer.Addr{} }

// consider takes over the least busy candidate of a returned frame if it is less busy
// than those before. Agents of the overflow stage are left out.
func (w *waitingPlace) consider(f *peer.Frame) {
	if f.Best == 0 || f.Stage > untriedStage || w.known() && w.load <= f.BestLoad {
		return
	}
	w.agent, w.service, w.load = f.Candidates[f.Best-1], f.Service, f.BestLoad
}

// patience returns how long an opening of the route may wait for an upstream.
func patience(r route.Route) time.Duration {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return time.Duration(float64(timeout) * patienceShare)
}

// refuseOpening resets an opening for which there is no agent, if it is certain
// that there is none.
func (d *Director) refuseOpening(now time.Duration, h segment.Header) {
	if !d.settled(now) {
		return // an agent that has not reported yet may accept the flow
	}
	d.reset(NotAccepted, h, 0)
}
