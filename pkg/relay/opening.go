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
	// ejectedLoad is the least load in a frame of an upstream that has a free slot but is
	// ejected or on trial, or cold and without budget: it comes after upstreams with fewer
	// than two requests per slot.
	ejectedLoad = 2 * loadScale
	// openingTimeout is how long a caller waits for the answer to an opening and its copies.
	openingTimeout = 1400 * time.Millisecond
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
		// Cold means that the upstream is in its warm-up or may be.
		Cold bool `json:"cold"`
		// ColdLimit is how many openings it may be offered in any second while it is cold,
		// 0 for no limit, and ColdUsed how many it was offered in the last one.
		ColdLimit float64 `json:"cold-limit"`
		ColdUsed  int     `json:"cold-used"`
		// ColdPassedOn counts the openings that were passed on because the limit was
		// reached.
		ColdPassedOn int `json:"cold-passed-on"`
	}
)

// handleOpening handles an opening packet: it offers the flow to the upstream, lets the
// opening wait for it, or forwards the frame to the next candidate. The opening of a later
// flow with the same addresses as one in the table is admitted as any other.
func (r *Relay) handleOpening(now time.Duration, f *peer.Frame, h segment.Header) {
	if s := r.flows[h.Flow]; s != nil && s.phase != closed && s.openedWith(now, h) { // a retransmission
		if s.phase == accepted || r.retryOffer(now) {
			r.deliver(now, f, h, s) // the upstream answers it again
		}
		return
	}
	if r.updateWaiting(f, h) {
		return // a retransmission
	}
	if r.evacuated {
		r.port.RecordDecision(RefusedEvacuated, h.Flow, f)
	}
	if r.waiting.Len() > 0 && r.coldLimited(now) {
		r.serveWaiting(now) // the budget that has returned since is first for those that wait
	}
	switch r.admit(now, f) {
	case offerOpening:
		r.offer(now, f, h)
	case delayOpening:
		r.delay(now, f, h)
	default:
		r.recordOtherService(f, h.Flow)
		r.forward(f, h)
	}
}

// openedWith reports whether an opening is a copy of that of the flow: callers begin each flow with
// another sequence number and keep it when they retransmit the opening. The number is not known of
// flows that the relay has not offered: there, the opening must be numbered as a copy and come while
// callers still wait for the answer.
func (s *flowState) openedWith(now time.Duration, h segment.Header) bool {
	if s.opening == nil {
		return h.Acknowledged > 0 && now-s.added < openingTimeout
	}
	return s.openedBy == h.Sequence
}

// admit decides about the opening in the frame. It is not offered if the upstream is of
// another service, does not run or is draining. Until the opening is forced, it needs a
// free slot of an upstream that is neither ejected nor, unless a flow is due, on trial.
// Without one, admit records the load in the frame if it is the lowest so far, for
// forward to choose the least busy candidate at the end of the list. A forced opening is
// offered regardless of ejection if the upstream has room, and else may wait for it if
// the frame allows that. While the upstream is cold, an opening also needs budget: without
// it, admit treats the opening as if there were no free slot and no room, and lets it wait
// only if budget returns in time.
func (r *Relay) admit(now time.Duration, f *peer.Frame) verdict {
	if !r.service.Matches(f.Service) || !r.acceptsFlows(now) {
		return forwardOpening
	}
	coldWait := r.coldWait(now)
	if f.Forced {
		switch {
		case coldWait == 0 && r.load.HasRoom(now):
			return offerOpening
		case f.Patience > coldWait:
			return delayOpening
		}
		r.countPassedOn(coldWait)
		return forwardOpening
	}
	load := loadScale * (r.load.Busy(now) + r.waiting.Len()) / r.load.Slots()
	if r.load.HasFreeSlot(now) {
		if coldWait == 0 && r.detector.allowFlow(now) {
			return offerOpening
		}
		load = max(load, ejectedLoad)
		r.countPassedOn(coldWait)
	}
	if encoded := uint8(min(load, math.MaxUint8)); f.Best == 0 || encoded < f.BestLoad {
		f.Best, f.BestLoad = f.Hop+1, encoded
	}
	return forwardOpening
}

// offer offers the flow to the upstream. It removes an earlier flow with the same addresses,
// which its caller has given up.
func (r *Relay) offer(now time.Duration, f *peer.Frame, h segment.Header) {
	if earlier := r.flows[h.Flow]; earlier != nil {
		r.remove(now, h.Flow, earlier)
	}
	s := &flowState{entry: f.Entry, waitingSince: now, opening: r.load.Open(now), openedBy: h.Sequence}
	r.cold.limiter.Record(now)
	r.flows[h.Flow] = s
	r.port.RecordDecision(Offered, h.Flow, f)
	r.deliver(now, f, h, s)
}

// updateWaiting reports whether an opening of the flow waits for the upstream. If the
// retransmitted one came from another entry, as after a restart of the first, the opening is
// returned to that one.
func (r *Relay) updateWaiting(f *peer.Frame, h segment.Header) bool {
	return r.waiting.Contains(func(w *waitingOpening) bool {
		if w.header.Flow != h.Flow || w.header.Sequence != h.Sequence {
			return false
		}
		if w.frame.Entry != f.Entry {
			w.frame.Entry = f.Entry
			r.announceWaiting(h.Flow, f.Entry)
		}
		return true
	})
}

// announceWaiting informs an entry that an opening waits here, so that it sends
// retransmissions of the opening here.
func (r *Relay) announceWaiting(flow segment.Flow, entry peer.Addr) {
	r.buf = peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Waiting: true}.Append(r.buf[:0])
	r.port.ToProcess(entry, r.buf)
}

// delay lets the opening wait for the upstream, and informs the entry. If too many wait, the
// frame is forwarded.
func (r *Relay) delay(now time.Duration, f *peer.Frame, h segment.Header) {
	w := &waitingOpening{frame: *f, header: h, since: now}
	w.frame.Packet, w.frame.Candidates = slices.Clone(f.Packet), slices.Clone(f.Candidates)
	if !r.waiting.Add(w, admission.Terms{Priority: f.Priority, Until: now + f.Patience}) {
		r.forward(f, h)
		return
	}
	r.port.RecordDecision(Delayed, h.Flow, f)
	r.announceWaiting(h.Flow, f.Entry)
}

// serveWaiting offers waiting openings while the upstream has room and budget for them. It
// returns those that have waited for their patience to the entries, and all of them if
// the upstream accepts no flows any more.
func (r *Relay) serveWaiting(now time.Duration) {
	expired := r.waiting.Expired(now)
	if !r.acceptsFlows(now) {
		expired = append(expired, r.waiting.Clear()...)
	}
	for _, w := range expired {
		r.forward(&w.frame, w.header)
	}
	for r.waiting.Len() > 0 && r.load.HasRoom(now) && r.coldWait(now) == 0 {
		w, _ := r.waiting.Next()
		r.port.RecordLatency(Waiting, now-w.since)
		r.offer(now, &w.frame, w.header)
	}
}

// Admission returns the state from which the relay admits openings.
func (r *Relay) Admission(now time.Duration) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Admission{
		Slots: r.load.Slots(), Running: r.load.Running(), Busy: r.load.Busy(now),
		Waiting: r.waiting.Len(), ServiceMS: r.load.ServiceTime().Milliseconds(),
		Cold: r.isCold(now), ColdLimit: r.cold.limiter.Limit(), ColdUsed: r.cold.limiter.Used(now), ColdPassedOn: r.cold.passedOn,
	}
}
