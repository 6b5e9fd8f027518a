package relay

import (
	"maps"
	"math"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleHeartbeat takes in what the upstream says of itself. A heartbeat that is
// older than the newest of the same start changes nothing. It reports whether
// other processes should hear of it at once.
func (r *Relay) HandleHeartbeat(now time.Duration, u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := peer.StartOf(u.ID, u.Born)
	same := r.start == start
	switch {
	case same && u.Sequence <= r.upstream.Sequence && u.Sequence > 0:
		return false
	case !same && r.start != 0 && u.Born < r.upstream.Born && now-r.beatAt <= otherStartSilent:
		return false // of an earlier start, held up on its way
	}
	r.beatAt = now
	if !same && r.start != 0 {
		r.resetHeldBefore(now - u.Age)
		r.judge.restarted(now)
	}
	changed := !same || !r.alive || u.Draining != r.upstream.Draining
	r.upstream, r.start = u, start
	r.alive, r.gone, r.left = true, false, false
	r.coldUntil = now + u.ColdFor
	if !same {
		r.announceAll()
	}
	return changed
}

// HandleDeregistration takes in the upstream's last call before it stops.
func (r *Relay) HandleDeregistration(now time.Duration, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start != 0 && id != r.upstream.ID {
		return
	}
	r.alive = false
	r.left, r.leftAt = true, now
}

// MarkEnded takes in the proof that the upstream's process is gone. It reports
// whether that was news.
func (r *Relay) MarkEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := !r.gone
	r.alive, r.gone = false, true
	r.resetAll()
	return news
}

// AssumeReady takes in that the upstream serves, before its first heartbeat.
func (r *Relay) AssumeReady(slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start == 0 && !r.left {
		r.alive = true
		r.upstream.Slots = slots
	}
}

// Tick forgets flows that have ended and tells the callers of an upstream that
// has stopped.
func (r *Relay) Tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left && !r.gone && now-r.leftAt >= resetAfterLeave {
		r.gone = true
		r.resetAll()
	}
	r.active = 0
	for flow, s := range r.flows {
		if s.phase == accepted && now-s.asked <= activeFor {
			r.active++
		}
		if s.running && now-s.since > runningFor {
			r.setRunning(s, false)
		}
		idle := now - s.seen
		if idle > r.lifetime || idle > closedFor && s.phase != accepted {
			r.forget(flow, s)
		}
	}
}

// Stop tells the callers of an upstream that has stopped, before the relay
// itself does.
func (r *Relay) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left {
		r.resetAll()
	}
}

// Deregistered reports whether the upstream has made its last call.
func (r *Relay) Deregistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// Status returns what the relay reports to entries.
func (r *Relay) Status(now time.Duration) peer.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.Status{
		Upstream: r.upstream.ID,
		Born:     r.upstream.Born,
		Taking:   r.alive && !r.upstream.Draining,
		Empty:    r.gone,
		Failing:  r.judge.failing(now),
		Slots:    r.upstream.Slots,
		ColdFor:  max(0, r.coldUntil-now).Milliseconds(),
		Flows:    r.active,
		Running:  r.running,
	}
}

// resetAll tells the callers of all open flows that the upstream has ended.
func (r *Relay) resetAll() { r.resetHeldBefore(math.MaxInt64) }

// announceAll tells the entries of open flows which start of the upstream holds
// them: one that has been up for a moment may have taken flows before its first
// heartbeat.
func (r *Relay) announceAll() {
	for _, flow := range slices.SortedFunc(maps.Keys(r.flows), segment.Flow.Compare) {
		if s := r.flows[flow]; s.phase == accepted {
			r.announce(flow, s, s.entry)
		}
	}
}

// resetHeldBefore tells the callers of flows that the upstream has sent nothing
// of since it started that they have ended with its last start.
func (r *Relay) resetHeldBefore(started time.Duration) {
	// The fixed order keeps what follows repeatable.
	for _, flow := range slices.SortedFunc(maps.Keys(r.flows), segment.Flow.Compare) {
		s := r.flows[flow]
		if s.held > started {
			continue
		}
		if s.phase == accepted {
			r.port.ToCaller(flow, r.codec.Reset(flow, s.acknowledged))
			r.port.RecordDecision(ResetEnded, flow, nil)
		}
		r.forget(flow, s)
	}
}

// Flows returns how many flows the table holds, and of them the open ones.
func (r *Relay) Flows() (held, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flows), r.open
}
