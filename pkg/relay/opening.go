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

// handleOpening handles a packet that asks for a new flow.
func (r *Relay) handleOpening(now time.Duration, f *peer.Frame, h segment.Header) {
	s := r.flows[h.Flow]
	if s != nil && s.phase != closed {
		r.deliver(now, f, h, s) // a retransmission: the upstream answers it again
		return
	}
	if !r.admit(now, f) {
		r.forward(f, h)
		return
	}
	if s == nil {
		s = &flowState{}
		r.flows[h.Flow] = s
	}
	*s = flowState{entry: f.Entry, waitingSince: now}
	r.port.RecordDecision(Taken, h.Flow, f)
	r.deliver(now, f, h, s)
}

// admit reports whether the opening in the frame is offered to the upstream. If
// all slots are busy, the frame first visits the other candidates: admit records
// the load in it, if it is the lowest so far, for forward to choose the least
// busy candidate at the end of the list. An ejected upstream does the same with
// the highest load that may still be forced.
func (r *Relay) admit(now time.Duration, f *peer.Frame) bool {
	if f.Service != r.service || !r.alive || r.upstream.Draining {
		return false
	}
	if f.Forced {
		return true
	}
	load := loadScale * r.runningRequests / max(1, r.upstream.Slots)
	if r.runningRequests < r.upstream.Slots {
		if r.detector.allowFlow(now) {
			return true
		}
		load = loadScale * maxRunningPerSlot
	}
	if encoded := uint8(min(load, math.MaxUint8)); f.Best == 0 || encoded < f.BestLoad {
		f.Best, f.BestLoad = f.Hop+1, encoded
	}
	return false
}
