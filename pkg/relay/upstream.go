package relay

import (
	"maps"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleHeartbeat records the state that the upstream reported. A heartbeat that
// is not newer than the last one of the same start is ignored, unless its sequence
// is 0, and so is a delayed one of an earlier start or of one that has deregistered, or one
// of an upstream that already ran while the present one still reported, see delayed and
// foreign. The first heartbeat of a new start after a known one asks the upstream which flows it
// holds, see askAll, and puts the upstream on trial.
// HandleHeartbeat reports whether the agent should send its status to other
// processes at once: if this is the first heartbeat of a start, or since the upstream
// deregistered or ended, or if draining has begun or ended.
func (r *Relay) HandleHeartbeat(now time.Duration, u Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	startID := peer.StartID(u.ID, u.Born)
	same := r.startID == startID
	switch {
	case same && u.Sequence <= r.upstream.Sequence && u.Sequence > 0:
		return false
	case same && u.Born != 0 && r.deregistered && now-r.deregisteredAt <= lateHeartbeat:
		return false
	case !same && (r.delayed(now, u.Born, startID) || r.foreign(now, u)):
		return false
	}
	restarted := !same && r.startID != 0
	why := r.resetReason(now, BouncedByUpstream, startID)
	if restarted {
		r.replaced.add(r.startID)
		r.detector.recordRestart(now)
	}
	if !same || r.isFresh(now) {
		r.evidence = u.Sequence
	}
	r.lastHeartbeatAt = now
	r.recordWarmUp(now, u, restarted)
	changed := !same || !r.alive || u.Draining != r.upstream.Draining
	r.upstream, r.startID = u, startID
	r.load.SetSlots(now, u.Slots)
	r.alive, r.ended, r.deregistered = true, false, false
	if restarted {
		r.askAll(why)
	}
	if !same {
		r.announceAll()
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

// delayed reports whether a heartbeat is of a start before the present one, which still
// reports: by the time of the start, or, as upstreams need not send it, because the present one
// or another has replaced that start. If the present one has been silent for
// olderStartSilence, the heartbeat may be of an upstream that was replaced by mistake.
func (r *Relay) delayed(now time.Duration, born int64, startID uint32) bool {
	if r.startID == 0 || now-r.lastHeartbeatAt > olderStartSilence {
		return false
	}
	return born < r.upstream.Born || r.replaced.contains(startID)
}

// foreign reports whether an upstream other than the present one is not its successor, but
// reports to a wrong agent: the present one still reports, and has reported more than
// foreignOverlap after the other one's start. Two upstreams can't run at one address.
func (r *Relay) foreign(now time.Duration, u Upstream) bool {
	if r.startID == 0 || !r.alive || u.Age == 0 {
		return false
	}
	return now-r.lastHeartbeatAt <= olderStartSilence && r.lastHeartbeatAt > now-u.Age+foreignOverlap
}

// LastHeartbeat returns the id and the number in the last heartbeat that was not ignored, an empty
// id if there was none.
func (r *Relay) LastHeartbeat() (id string, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstream.ID, r.upstream.Sequence
}

// HandleDeregistration records that the upstream with the id is about to stop. It
// gets no new flows from now on. Its flows are reset once nothing listens at its address, see
// Leaving: the call may be late, and the next start may have the same id. An id other than that of
// the last heartbeat is ignored; before the first heartbeat any id is accepted.
func (r *Relay) HandleDeregistration(now time.Duration, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startID != 0 && id != r.upstream.ID {
		return
	}
	r.alive = false
	r.deregistered, r.deregisteredAt = true, now
}

// Leaving reports whether the upstream has deregistered and should have exited by now, so that the
// agent should probe whether a process still listens at its address.
func (r *Relay) Leaving(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deregistered && !r.ended && now-r.deregisteredAt >= deregistrationGrace
}

// MarkEnded records that the upstream's process has ended, and resets its flows. It is to be
// called only if it is proven that no process listened at the upstream's address at the time
// probed. A process that has sent a heartbeat or a packet since has started after that: then
// MarkEnded resets only the flows of which no packet came since. It reports whether the end was
// not yet known.
func (r *Relay) MarkEnded(now, probed time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startID != 0 && r.lastHeartbeatAt > probed {
		return false
	}
	r.resetFlows(now, r.resetReason(now, ConnectionRefused, 0), func(s *flowState) bool { return s.upstreamSeen <= probed })
	if len(r.flows) > 0 {
		return false
	}
	changed := !r.ended
	r.alive, r.ended = false, true
	return changed
}

// AssumeReady treats the upstream as ready with the given number of slots until
// its first heartbeat. It does nothing after a heartbeat or a deregistration.
func (r *Relay) AssumeReady(slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startID == 0 && !r.deregistered {
		r.alive = true
		r.upstream.Slots = slots
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
func (r *Relay) acceptsFlows() bool { return r.alive && !r.upstream.Draining && !r.evacuated }

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
	return peer.Status{
		Upstream:    r.upstream.ID,
		Born:        r.upstream.Born,
		Heartbeat:   r.evidence,
		Taking:      r.acceptsFlows(),
		Empty:       r.ended,
		Failing:     r.detector.isEjected(now),
		Slots:       r.upstream.Slots,
		ColdFor:     max(0, r.cold.until-now).Milliseconds(),
		Flows:       r.activeFlows,
		Running:     r.load.Running(),
		ServiceTime: r.load.ServiceTime().Microseconds(),
	}
}

// resetReason returns what a reset of the flows of the upstream's last start rests on.
func (r *Relay) resetReason(now time.Duration, p Proof, reported uint32) Reset {
	why := Reset{Proof: p, Start: r.startID, Reported: reported}
	if r.startID != 0 {
		why.Age = max(0, now-r.lastHeartbeatAt) // calls that are handled at once may be overtaken
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

// add adds the identifier of a start in the place of the oldest one.
func (s *recentStarts) add(id uint32) {
	s.ids[s.next] = id
	s.next = (s.next + 1) % len(s.ids)
}

// contains reports whether the identifier is among the last ones that were added.
func (s *recentStarts) contains(id uint32) bool { return slices.Contains(s.ids[:], id) }
