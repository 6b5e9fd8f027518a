package director

import (
	"slices"
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
	// firstCopyAfter and secondCopyAfter are the times after its first packet at which a
	// caller sends copies of an opening that has not been answered. copySlack is how much
	// later a copy may be handled, because it waits in a queue.
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
	copySlack       = 25 * time.Millisecond
	// openingTimeout is how long a caller waits for the answer to an opening and its copies.
	openingTimeout = 1400 * time.Millisecond
)

// handleOpening handles an opening packet. A retransmitted one is sent to the flow's
// recorded owner if that is usable and may still get the flow; otherwise the flow is placed again.
// Any other opening, also of a later flow with the same addresses, is placed only if the link
// admits it.
func (d *Director) handleOpening(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	rec := s.flows[h.Flow]
	isCopy := rec != nil && rec.isCopy(now, h)
	if isCopy && d.members.usable(now, rec.owner) && (rec.open || rec.mayGoTo(r)) {
		rec.lastSeen, rec.copies = now, max(rec.copies, h.Acknowledged)
		d.accountOpening(now, rec, h, rec.closed, len(packet)) // the caller uses the port of a closed flow again
		d.port.RecordDecision(Decision{Event: OpeningRepeated, Flow: h.Flow, Agent: rec.owner, Version: rec.version})
		d.deliver(s, rec, packet)
		return
	}
	if !isCopy && d.refuseByLink(now, h, r, len(packet)) {
		return
	}
	d.placeFlow(now, s, h, r, packet)
	if placed := s.flows[h.Flow]; placed != nil {
		if isCopy {
			placed.copies = max(placed.copies, h.Acknowledged)
		}
		d.accountOpening(now, placed, h, !isCopy, len(packet))
	}
}

// missesCopies reports whether the caller has sent more copies of the opening than have
// reached this entry. They go to another entry once the routers have moved the flow, and an
// upstream may have accepted one there.
func (r *flowRecord) missesCopies(now time.Duration) bool {
	waited := now - r.openingAt
	return r.copies < 1 && waited > firstCopyAfter+copySlack || r.copies < 2 && waited > secondCopyAfter+copySlack
}

// openingSent returns when the caller sent the first packet of the opening of which h is a
// copy that has just arrived.
func openingSent(now time.Duration, h segment.Header) time.Duration {
	switch h.Acknowledged {
	case 0:
		return now
	case 1:
		return now - firstCopyAfter
	}
	return now - secondCopyAfter
}

// openedWith reports whether an opening may be that of the recorded flow: callers begin each
// flow with another sequence number and keep it when they retransmit the opening. The number
// is not known of flows that this entry has not placed.
func (r *flowRecord) openedWith(h segment.Header) bool {
	return !r.placed || r.openedBy == h.Sequence
}

// isCopy reports whether an opening is a copy of that of the recorded flow. For a flow that this
// entry has not placed, it must be numbered as a copy and arrive while callers still wait for the
// answer: any later one opens another flow from the same address and port.
func (r *flowRecord) isCopy(now time.Duration, h segment.Header) bool {
	if !r.placed {
		return h.Acknowledged > 0 && now-r.created < openingTimeout
	}
	return r.openedBy == h.Sequence
}

// mayGoTo reports whether the route sends new flows to the recorded service. It may have sent them
// elsewhere since the flow was placed.
func (r *flowRecord) mayGoTo(to route.Route) bool {
	return slices.ContainsFunc(to.Shares, func(s route.Share) bool { return s.Weight > 0 && peer.Service(s.Service) == r.service })
}

// placeFlow selects a service for a new flow and offers the flow to the service's
// agents. It resets the flow if none of the route's services has a weight. If no agent
// of the service accepts new flows, it calls refuseOpening.
func (d *Director) placeFlow(now time.Duration, s *shard, h segment.Header, r route.Route, packet []byte) {
	name, ok := r.Pick(h.Flow.Hash())
	service := peer.Service(name)
	if !ok {
		d.reset(h, Decision{Event: NotAccepted, Proof: NotOpen})
		return
	}
	list, load, age := d.members.openingCandidates(now, service, h.Flow.Hash())
	if len(list) == 0 {
		d.refuseOpening(now, service, h)
		return
	}
	rec := &flowRecord{owner: list[0], service: service, placed: true, openedBy: h.Sequence, version: d.config.Load().Version(), lastSeen: now, created: now, openingAt: openingSent(now, h), copies: h.Acknowledged}
	if old := s.flows[h.Flow]; old != nil {
		rec.link = old.link
	}
	s.flows[h.Flow] = rec
	d.recordPlacement(now, Decision{Event: Placed, Flow: h.Flow, Agent: list[0], Load: load, Age: age})
	d.send(s, list[0], &peer.Frame{Kind: peer.Place, Entry: d.self, Service: service, Candidates: list, Stage: chosenStage, Packet: packet})
}

// handleReturnedOpening handles an opening that none of its candidates accepted: it is
// offered in the next stage that has candidates. After the last one the flow is reset, unless
// copies of the opening have gone to another entry, see missesCopies. An
// opening that waited at an agent that stops is placed again. A copy of the opening is dropped
// if an agent may have accepted another one: see flowRecord.mayBeAccepted. It is also dropped
// if an earlier process placed it, so that the flow is not cached or, by a build up to 7053056,
// its service is known by its short identifier only, or if its caller has been refused: the
// caller sends the opening again if it still waits.
func (d *Director) handleReturnedOpening(now time.Duration, s *shard, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec == nil || rec.mayBeAccepted() || f.Service.IsShort() {
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
		d.recordPlacement(now, Decision{Event: PlacedAgain, Flow: h.Flow, Agent: rec.owner, Stage: stage, Tried: len(f.Candidates)})
		d.send(s, rec.owner, &next)
		return
	}
	d.forget(s, h.Flow)
	if rec.missesCopies(now) {
		d.port.RecordDecision(Decision{Event: NotAcceptedHere, Flow: h.Flow, Tried: len(f.Candidates)})
		return
	}
	d.reset(h, Decision{Event: NotAccepted, Proof: NotOpen, Tried: len(f.Candidates), Age: d.members.oldestReport(now)})
}

// mayBeAccepted reports whether an upstream may have accepted the flow: its agent has
// announced it, or the caller has sent packets that only follow an accepted opening, also if
// the announcement was lost. A reset would then not prove that no request has run.
func (r *flowRecord) mayBeAccepted() bool {
	return r.open || r.searching || r.gone != nil || r.acknowledged != 0
}

// isLateCopy reports whether an opening is a copy of the one that was accepted: its caller
// has sent other packets of the flow since. Another opening with the same addresses has
// another sequence number.
func (r *flowRecord) isLateCopy(h segment.Header) bool {
	established := r.searching || r.acknowledged != 0
	return established && !r.closed && (h.Acknowledged > 0 || r.placed && r.openedBy == h.Sequence)
}

// openingStage returns a frame with the service, the candidates and the conditions of a
// stage after the first one. f is the frame of the last stage.
func (d *Director) openingStage(now time.Duration, stage int, rec *flowRecord, f *peer.Frame, h segment.Header) peer.Frame {
	r, routed := d.config.Load().Lookup(h.Flow.VIP())
	switch {
	case stage == untriedStage && !rec.waitingPlace.known():
		return peer.Frame{Service: f.Service, Candidates: d.members.untried(now, f.Service, f.Candidates)}
	case stage == overflowStage && routed:
		other, ok := r.PickExcept(h.Flow.Hash(), func(name string) bool { return peer.Service(name) == f.Service })
		if !ok {
			return peer.Frame{}
		}
		list, _, _ := d.members.openingCandidates(now, peer.Service(other), h.Flow.Hash())
		return peer.Frame{Service: peer.Service(other), Candidates: list}
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

// refuseOpening resets an opening for which the service has no agent, if it is certain
// that there is none.
func (d *Director) refuseOpening(now time.Duration, service peer.ServiceID, h segment.Header) {
	if !d.members.settled(now, nil) {
		return // an agent that has not reported yet may accept the flow
	}
	event := NotAccepted
	if d.members.anyEvacuated(now, service) {
		event = Evacuated
	}
	d.reset(h, Decision{Event: event, Proof: NotOpen, Age: d.members.oldestReport(now)})
}
