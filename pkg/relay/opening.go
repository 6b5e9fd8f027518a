package relay

import (
	"math"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// loadUnit is the unit of a load in a frame: eighths of a request a slot.
	loadUnit = 8
	// mostRunning is how many requests a slot of the least busy candidate may
	// have for it to take an opening: what waits longer comes too late for its
	// caller. On the users' sites a wait of two requests is within the target
	// latency and one of four is not.
	mostRunning = 2
)

// handleOpening handles a packet that asks for a new flow.
func (r *Relay) handleOpening(now time.Duration, f *peer.Frame, h segment.Head) {
	s := r.flows[h.Flow]
	if s != nil && s.phase != closed {
		r.deliver(now, f, h, s) // a copy: the upstream answers it again
		return
	}
	if !r.takes(now, f) {
		r.passOn(f, h)
		return
	}
	if s == nil {
		s = &state{}
		r.flows[h.Flow] = s
	}
	*s = state{entry: f.Entry, since: now}
	r.port.RecordDecision(Taken, h.Flow, f)
	r.deliver(now, f, h, s)
}

// takes decides whether the upstream is offered a new flow. A busy one leaves
// its load in the frame and lets the other candidates have a look first. One
// that fails does the same with the highest load that may still be forced.
func (r *Relay) takes(now time.Duration, f *peer.Frame) bool {
	if f.Service != r.service || !r.alive || r.upstream.Draining {
		return false
	}
	if f.Forced {
		return true
	}
	load := loadUnit * r.running / max(1, r.upstream.Slots)
	if r.running < r.upstream.Slots {
		if r.judge.takes(now) {
			return true
		}
		load = loadUnit * mostRunning
	}
	if shown := uint8(min(load, math.MaxUint8)); f.Best == 0 || shown < f.BestLoad {
		f.Best, f.BestLoad = f.Hop+1, shown
	}
	return false
}
