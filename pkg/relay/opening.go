package relay

import (
	"math"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// loadScale converts requests per slot to the unit of a load in a frame:
	// eighths of a request per slot.
	loadScale = 8
	// maxRunningPerSlot is how many running requests per slot the least busy
	// candidate may have and still be forced to accept an opening. A wait of
	// two requests is within the target latency; a wait of four is not, and the
	// answer would reach the caller too late.
	maxRunningPerSlot = 2
)

// handleOpening handles an opening packet: it offers the flow to the upstream, lets the
// opening wait for a slot, or forwards the frame to the next candidate.
func (r *Relay) handleOpening(now time.Duration, f *peer.Frame, h segment.Header) {
	s := r.flows[h.Flow]
	if s != nil && s.phase != closed {
		r.deliver(now, f, h, s) // a retransmission: the upstream answers it again
		return
	}
	if r.waiting.has(h.Flow) {
		return // a retransmission
	}
	r.expireExpected(now)
	switch r.admit(now, f) {
	case offerOpening:
		r.offer(now, f, h)
	case delayOpening:
		r.delay(now, f, h)
	default:
		r.forward(f, h)
	}
}

// offer offers the flow to the upstream.
func (r *Relay) offer(now time.Duration, f *peer.Frame, h segment.Header) {
	s := &flowState{entry: f.Entry, waitingSince: now}
	r.flows[h.Flow] = s
	r.setExpectsRequest(s, true)
	r.expecting = append(r.expecting, s)
	r.port.RecordDecision(Offered, h.Flow, f)
	r.deliver(now, f, h, s)
}

type admission uint8

const (
	passOpening admission = iota
	offerOpening
	delayOpening
)

// busy is the number of requests that the upstream serves or will get at once.
func (r *Relay) busy() int { return r.runningRequests + r.expected }

// admit decides about the opening in the frame.
func (r *Relay) admit(now time.Duration, f *peer.Frame) admission {
	if f.Service != r.service || !r.alive || r.upstream.Draining {
		return passOpening
	}
	slots := max(1, r.upstream.Slots)
	load := loadScale * (r.busy() + r.waiting.len()) / slots
	if f.Forced {
		if load <= loadScale*maxRunningPerSlot {
			return offerOpening
		}
		if f.Patience > 0 {
			return delayOpening
		}
		return passOpening
	}
	if r.busy() < slots {
		if r.detector.allowFlow(now) {
			return offerOpening
		}
		load = loadScale * maxRunningPerSlot
	}
	if encoded := uint8(min(load, math.MaxUint8)); f.Best == 0 || encoded < f.BestLoad {
		f.Best, f.BestLoad = f.Hop+1, encoded
	}
	return passOpening
}

// delay lets the opening wait.
func (r *Relay) delay(now time.Duration, f *peer.Frame, h segment.Header) {
	r.waiting.add(now, f, h)
	r.port.RecordDecision(Delayed, h.Flow, f)
	r.buf = peer.OwnerMessage{Kind: peer.Owned, Flow: h.Flow, Waiting: true}.Append(r.buf[:0])
	r.port.ToProcess(f.Entry, r.buf)
}

// serveWaiting offers waiting openings while the upstream has room, and refuses those
// that have waited too long.
func (r *Relay) serveWaiting(now time.Duration) {
	r.expireExpected(now)
	for _, w := range r.waiting.expired(now, !r.alive || r.upstream.Draining) {
		w.frame.Forced = true
		r.forward(&w.frame, w.header)
	}
	for r.waiting.len() > 0 && r.busy() <= max(1, r.upstream.Slots)+2 {
		w := r.waiting.next()
		r.offer(now, &w.frame, w.header)
	}
}

func (r *Relay) expireExpected(now time.Duration) {
	for len(r.expecting) > 0 && now-r.expecting[0].waitingSince > expectTimeout {
		r.setExpectsRequest(r.expecting[0], false)
		r.expecting = r.expecting[1:]
	}
}

func (r *Relay) setExpectsRequest(s *flowState, expects bool) {
	if s.expectsRequest == expects {
		return
	}
	s.expectsRequest = expects
	if expects {
		r.expected++
		return
	}
	r.expected--
}
