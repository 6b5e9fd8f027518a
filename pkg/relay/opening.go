package relay

import (
	"math"
	"slices"
	"time"

	"hickoryhook.example/pkg/admission"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// loadScale converts requests per slot to the unit of a load in a frame:
	// eighths of a request per slot.
	loadScale = 8
	// ejectedLoad is the load in a frame of an upstream that has a free slot but is
	// ejected or on trial: it comes after upstreams with fewer than two requests per
	// slot.
	ejectedLoad = 2 * loadScale
)

const (
	forwardOpening verdict = iota
	offerOpening
	delayOpening
)

type (
	// verdict is what a relay does with an opening.
	verdict uint8

	// waitingOpening is an opening that waits for the upstream.
	waitingOpening struct {
		frame  peer.Frame
		header segment.Header
		since  time.Duration
	}

	// Admission is the state from which a relay admits openings, for operators.
	Admission struct {
		Slots   int `json:"slots"`
		Running int `json:"running"`
		// Busy is the number of requests that run or are expected at once.
		Busy int `json:"busy"`
		// Waiting is the number of openings that wait for the upstream.
		Waiting int `json:"waiting"`
		// ServiceMS is the observed mean time in milliseconds for which a request
		// occupies a slot, 0 before the first answer.
		ServiceMS int64 `json:"service-ms"`
	}
)

// handleOpening handles an opening packet: it offers the flow to the upstream, lets the
// opening wait for it, or forwards the frame to the next candidate.
func (r *Relay) handleOpening(now time.Duration, f *peer.Frame, h segment.Header) {
	if s := r.flows[h.Flow]; s != nil && s.phase != closed {
		r.deliver(now, f, h, s) // a retransmission: the upstream answers it again
		return
	}
	if r.waiting.Contains(func(w *waitingOpening) bool { return w.header.Flow == h.Flow }) {
		return // a retransmission
	}
	if at, ok := r.returned[h.Flow]; ok && now-at <= returnedRetention {
		return // its entry may reset the caller, so that it must not be offered
	}
	switch r.admit(now, f) {
	case offerOpening:
		r.offer(now, f, h)
		r.refuseUnreachable(now) // it has overtaken those that wait
	case delayOpening:
		r.delay(now, f, h)
	default:
		r.forward(f, h)
	}
}

// admit decides about the opening in the frame. It is not offered if the upstream is of
// another service, does not run or is draining. Until the opening is forced, it needs a
// free slot of an upstream that is neither ejected nor, unless a flow is due, on trial.
// Without one, admit records the load in the frame if it is the lowest so far, for
// forward to choose the least busy candidate at the end of the list. A forced opening is
// offered regardless of ejection if the upstream has room, and else may wait for it if
// the frame allows that.
func (r *Relay) admit(now time.Duration, f *peer.Frame) verdict {
	if f.Service != r.service || !r.acceptsFlows() {
		return forwardOpening
	}
	if f.Forced {
		switch {
		case r.hasRoom(now, f.Priority) && (f.Patience == 0 || r.waiting.Pass(f.Priority)):
			return offerOpening
		case f.Patience > 0:
			return delayOpening
		}
		return forwardOpening
	}
	load := loadScale * (r.load.Busy(now) + r.waiting.Len()) / r.load.Slots()
	if r.load.HasFreeSlot(now) {
		if r.detector.allowFlow(now) {
			return offerOpening
		}
		load = ejectedLoad
	}
	if encoded := uint8(min(load, math.MaxUint8)); f.Best == 0 || encoded < f.BestLoad {
		f.Best, f.BestLoad = f.Hop+1, encoded
	}
	return forwardOpening
}

// offer offers the flow to the upstream.
func (r *Relay) offer(now time.Duration, f *peer.Frame, h segment.Header) {
	s := &flowState{entry: f.Entry, waitingSince: now, opening: r.load.Open(now, f.Priority), priority: f.Priority}
	r.flows[h.Flow] = s
	r.port.RecordDecision(Offered, h.Flow, f)
	r.deliver(now, f, h, s)
}

// delay lets the opening wait for the upstream, and informs the entry, which sends
// retransmissions of the opening here. If too many wait, the least urgent one is
// forwarded.
func (r *Relay) delay(now time.Duration, f *peer.Frame, h segment.Header) {
	w := &waitingOpening{frame: *f, header: h, since: now}
	w.frame.Packet, w.frame.Candidates = slices.Clone(f.Packet), slices.Clone(f.Candidates)
	displaced, ok := r.waiting.Add(w, admission.Terms{Priority: f.Priority, Until: now + f.Patience})
	if !ok {
		r.forward(f, h)
		return
	}
	r.giveBack(Displaced, now, displaced)
	r.port.RecordDecision(Delayed, h.Flow, f)
	r.buf = peer.OwnerMessage{Kind: peer.Owned, Flow: h.Flow, Waiting: true}.Append(r.buf[:0])
	r.port.ToProcess(f.Entry, r.buf)
	r.serveWaiting(now)
}

// hasRoom reports whether the upstream should be given a further request of a route with
// the priority.
func (r *Relay) hasRoom(now time.Duration, priority uint8) bool {
	if r.without.urgentRoom {
		return r.load.HasRoom(now)
	}
	return r.load.HasRoomFor(now, priority)
}

// giveBack returns openings to their entries before they have waited for their patience.
func (r *Relay) giveBack(event Event, now time.Duration, openings []*waitingOpening) {
	for _, w := range openings {
		r.port.RecordLatency(WaitedInVain, now-w.since)
		r.port.RecordDecision(event, w.header.Flow, &w.frame)
		r.returnWaiting(now, w)
	}
}

// returnWaiting returns an opening that has waited to its entry.
func (r *Relay) returnWaiting(now time.Duration, w *waitingOpening) {
	r.returned[w.header.Flow] = now
	r.forward(&w.frame, w.header)
}

// serveWaiting offers waiting openings while the upstream has room for them. It returns
// those that have waited for their patience, or cannot be served within it, to the
// entries, and all of them if the upstream accepts no flows any more.
func (r *Relay) serveWaiting(now time.Duration) {
	expired := r.waiting.Expired(now)
	if !r.acceptsFlows() {
		expired = append(expired, r.waiting.Clear()...)
	}
	for _, w := range expired {
		r.returnWaiting(now, w)
	}
	for {
		priority, ok := r.waiting.MostUrgent()
		if !ok || !r.hasRoom(now, priority) {
			break
		}
		w, _ := r.waiting.Next()
		r.port.RecordLatency(Waiting, now-w.since)
		r.offer(now, &w.frame, w.header)
	}
	r.refuseUnreachable(now)
}

// refuseUnreachable returns the openings that the upstream cannot serve within their
// patience, if routes of different priorities share it: the callers' next attempts then
// come while there may be room elsewhere. The work is bounded by maxWaiting.
func (r *Relay) refuseUnreachable(now time.Duration) {
	if r.without.earlyRefusal || r.waiting.Len() == 0 || !r.load.Mixed() {
		return
	}
	wait := func(priority uint8, n int) time.Duration { return r.load.WaitFor(now, priority, n) }
	r.giveBack(RefusedEarly, now, r.waiting.Unreachable(now, wait))
}

// Admission returns the state from which the relay admits openings.
func (r *Relay) Admission(now time.Duration) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Admission{
		Slots: r.load.Slots(), Running: r.load.Running(), Busy: r.load.Busy(now),
		Waiting: r.waiting.Len(), ServiceMS: r.load.ServiceTime().Milliseconds(),
	}
}
