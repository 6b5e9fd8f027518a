package relay

import (
	"maps"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleHeartbeat records the state that the upstream reported. A heartbeat that goes on from the
// last one of the present start does so at once. Any other may be late, or of another writer: it
// makes its start a candidate, see starts. A heartbeat of a start that has deregistered is
// one of these for lateHeartbeat, and if the upstream's address refuses connections.
// HandleHeartbeat reports whether the agent should send its status to other
// processes at once: if another start has become the present one or a candidate, or if the
// upstream is offered new flows from now on, or no more.
func (r *Relay) HandleHeartbeat(now time.Duration, u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notePause(now)
	start := peer.StartID(u.ID, u.Born)
	present := &r.starts.present
	if !r.vacant() && start == present.start && u.Sequence == present.upstream.Sequence {
		return false // a repeated call
	}
	deregistered := r.deregistered && now-r.deregisteredAt <= lateHeartbeat
	if deregistered || r.ended && u.Refused || !r.starts.continues(now, start, u) {
		return r.handleClaim(now, start, u)
	}
	return r.recordHeartbeat(now, u)
}

// recordHeartbeat records a heartbeat of the present start.
func (r *Relay) recordHeartbeat(now time.Duration, u Upstream) (changed bool) {
	alive, accepted := r.alive, r.acceptsFlows(now)
	if r.isFresh(now) {
		r.evidence = u.Sequence
	}
	r.starts.report(now, u)
	r.recordWarmUp(now, u, false)
	r.load.SetSlots(now, u.Slots)
	r.alive, r.ended, r.deregistered, r.leaving = true, false, false, false
	changed = !alive || accepted != r.acceptsFlows(now)
	if changed {
		r.port.RecordStart(u, r.starts.present.start, reported)
	}
	return changed
}

// Fresh reports whether a heartbeat that is handled now cannot have waited while the agent was
// paused. One that has waited does not show that its start ran after the flows that were opened
// before the heartbeat is handled.
func (r *Relay) Fresh(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isFresh(now)
}

func (r *Relay) isFresh(now time.Duration) bool {
	r.notePause(now)
	return r.resumedAt == 0 || now-r.resumedAt >= freshAfter
}

// notePause records the end of a pause of the agent, if the last Tick is too long ago. It returns
// the time since then, 0 if there was no pause.
func (r *Relay) notePause(now time.Duration) time.Duration {
	gap := now - r.tickAt
	if r.tickAt == 0 || gap <= maxTickGap {
		return 0
	}
	r.resumedAt = now
	return gap
}

// LastHeartbeat returns the id and the number in the last heartbeat that was not ignored, an empty
// id if there was none.
func (r *Relay) LastHeartbeat() (id string, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.present.upstream.ID, r.starts.present.upstream.Sequence
}

// HandleDeregistration records that the upstream with the id is about to stop. It
// gets no new flows from now on. Its flows are reset once nothing listens at its address, see
// Leaving: the call may be late, and the next start may have the same id. An id other than that of
// the last heartbeat is ignored; before the first heartbeat any id is accepted.
func (r *Relay) HandleDeregistration(now time.Duration, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts.present.start != 0 && id != r.starts.present.upstream.ID {
		r.starts.leave(id)
		return
	}
	r.alive = false
	r.deregistered, r.leaving, r.deregisteredAt = true, true, now
	r.starts.present.ended = true
}

// Leaving reports whether the upstream has deregistered and should have exited by now, so that the
// agent should probe whether a process still listens at its address. A heartbeat since is no proof
// that one does, until another follows.
func (r *Relay) Leaving(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving && !r.ended && now-r.deregisteredAt >= deregistrationGrace
}

// MarkEnded records that the upstream's process has ended, and resets its flows. It is to be
// called only if it is proven that no process listened at the upstream's address at the time
// probed. A process that has sent a heartbeat or a packet since has started after that: then
// MarkEnded resets only the flows of which no packet came since. It reports whether the end was
// not yet known.
func (r *Relay) MarkEnded(now, probed time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts.lastHeardAt() > probed {
		return false
	}
	r.resetFlows(now, r.resetReason(now, ConnectionRefused, 0), func(s *flowState) bool { return s.upstreamSeen <= probed })
	if len(r.flows) > 0 {
		return false
	}
	changed := !r.ended
	r.alive, r.ended = false, true
	r.starts.endAll()
	return changed
}

// AssumeReady treats the upstream as ready with the given number of slots until
// its first heartbeat. It does nothing after a heartbeat or a deregistration.
func (r *Relay) AssumeReady(slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts.present.start == 0 && !r.deregistered {
		r.alive = true
		r.starts.present.upstream.Slots = slots
	}
}

// SetEvacuated records whether the failure domain of the agent is evacuated: then no
// opening is offered to the upstream, and those that wait return to their entries. When the
// evacuation ends, the upstream counts as cold until its next heartbeat. It reports whether
// the agent should send its status to other processes at once.
func (r *Relay) SetEvacuated(now time.Duration, evacuated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.evacuated != evacuated
	r.evacuated = evacuated
	if changed {
		r.cold.unconfirmed = r.cold.unconfirmed || !evacuated
		r.serveWaiting(now)
	}
	return changed
}

// acceptsFlows reports whether the upstream runs, is not draining and is not in an
// evacuated failure domain.
func (r *Relay) acceptsFlows(now time.Duration) bool {
	return r.alive && !r.starts.mayDrain(now) && !r.evacuated
}

// Tick removes flows without packets: accepted ones after the lifetime, the others
// after closedRetention at the latest. It stops counting requests without an
// answer as running after runningTimeout, and updates the number of active flows. It
// must be called every 100 ms or so. It returns the time since the last call if that shows that
// the agent was paused, else 0.
func (r *Relay) Tick(now time.Duration) (paused time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	paused = r.notePause(now)
	r.tickAt = now
	r.activeFlows = 0
	for flow, s := range r.flows {
		if s.phase == accepted && now-s.callerSeen <= activeWindow {
			r.activeFlows++
		}
		if s.running && now-s.waitingSince > runningTimeout {
			r.endRequest(now, s, false)
		}
		idle := now - s.lastSeen
		if idle > r.lifetime || idle > closedRetention && s.phase != accepted {
			r.remove(now, flow, s)
		}
	}
	r.checkSuccession(now)
	r.serveWaiting(now)
	return paused
}

// Stop returns the openings that wait for the upstream to their entries. It is to be called before
// the agent itself stops, after its goodbye message, so that the entries place these openings
// elsewhere. Later openings are forwarded.
func (r *Relay) Stop(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alive = false
	r.serveWaiting(now)
}

// Deregistered reports whether the upstream has deregistered since its last
// heartbeat.
func (r *Relay) Deregistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deregistered
}

// Status returns the upstream's part of the agent's report to entries. The agent
// adds Incarnation, Sequence, Service and FailureDomain.
func (r *Relay) Status(now time.Duration) peer.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := &r.starts.present
	return peer.Status{
		Upstream:    present.upstream.ID,
		Born:        present.upstream.Born,
		Unconfirmed: present.start != 0 && !r.starts.certain,
		Candidate:   r.starts.doubted(),
		Heartbeat:   r.evidence,
		Taking:      r.acceptsFlows(now),
		Empty:       r.ended,
		Failing:     r.detector.isEjected(now),
		Slots:       present.upstream.Slots,
		ColdFor:     max(0, r.coldUntil(now)-now).Milliseconds(),
		Flows:       r.activeFlows,
		Running:     r.load.Running(),
		ServiceTime: r.load.ServiceTime().Microseconds(),
	}
}

// resetReason returns what a reset of the flows of the upstream's last start rests on.
func (r *Relay) resetReason(now time.Duration, p Proof, reported uint32) Reset {
	present := &r.starts.present
	why := Reset{Proof: p, Start: present.start, Reported: reported}
	if present.start != 0 {
		why.Age = max(0, now-present.lastAt) // calls that are handled at once may be overtaken
	}
	return why
}

// announceAll announces the open flows, with the upstream's start id, to their
// entries. A new start may have accepted flows before its first heartbeat, which
// were announced with the id of the last start, 0 if none was known. Those that the upstream was
// asked for are announced when it sends a packet of them.
func (r *Relay) announceAll() {
	for _, flow := range r.sortedFlows() {
		if s := r.flows[flow]; s.phase == accepted && s.asked == nil {
			r.announce(flow, s, s.entry)
		}
	}
}

// resetFlows removes the flows that have ended with the upstream's process. For the open ones
// it sends a reset to the caller, unless the upstream's number is not known: a late packet of an
// ended start adds a flow that may be open at another upstream.
func (r *Relay) resetFlows(now time.Duration, why Reset, ended func(*flowState) bool) {
	for _, flow := range r.sortedFlows() {
		s := r.flows[flow]
		switch {
		case !ended(s):
		case s.phase == accepted && s.nextKnown:
			r.resetFlow(now, flow, s, why)
		default:
			r.remove(now, flow, s)
		}
	}
}

// resetFlow resets an open flow and removes it.
func (r *Relay) resetFlow(now time.Duration, flow segment.Flow, s *flowState, why Reset) {
	r.port.ToCaller(flow, r.codec.Reset(flow, s.acknowledged))
	r.port.RecordReset(flow, why)
	r.remove(now, flow, s)
}

// sortedFlows returns the flows in the table, sorted so that simulated runs are repeatable.
func (r *Relay) sortedFlows() []segment.Flow {
	return slices.SortedFunc(maps.Keys(r.flows), segment.Flow.Compare)
}

// Flows returns the number of flows in the table, and how many of them are open.
func (r *Relay) Flows() (held, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flows), r.openFlows
}
