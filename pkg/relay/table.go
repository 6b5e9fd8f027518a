package relay

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// matches reports whether the packet belongs to the flow that this upstream
// opened, by the distance of its acknowledgement from the upstream's next
// sequence number. It returns true if either number is unknown. If two upstreams
// answered an opening, the caller continues with one of them only.
func (s *flowState) matches(h segment.Header) bool {
	if !s.nextKnown || !h.Has(segment.Ack) {
		return true
	}
	distance := int32(h.Acknowledged - s.nextSequence)
	return -maxAckDistance <= distance && distance <= maxAckDistance
}

// recordSequence advances the upstream's next sequence number by a packet that it sent. A
// late packet of an earlier flow with the same addresses is ignored: its number is far from
// the next one.
func (s *flowState) recordSequence(h segment.Header) {
	end := h.Sequence + uint32(h.Length)
	if h.Has(segment.Open) {
		s.nextSequence, s.nextKnown = end+1, true
		return
	}
	if h.Has(segment.Reset) {
		return
	}
	if !s.nextKnown && s.acknowledged != 0 {
		// The agent was restarted after the flow was opened.
		behind := int32(h.Sequence - s.acknowledged)
		s.nextSequence, s.nextKnown = end, -maxAckDistance <= behind && behind <= maxAckDistance
		return
	}
	if ahead := int32(end - s.nextSequence); s.nextKnown && 0 < ahead && ahead <= maxAckDistance {
		s.nextSequence = end
	}
}

// recordCallerPacket updates the state of a flow from a packet of its caller.
func (r *Relay) recordCallerPacket(now time.Duration, f *peer.Frame, h segment.Header, s *flowState) {
	s.lastSeen, s.callerSeen = now, now
	s.entry = f.Entry
	s.keepQuestion(h, f.Packet)
	if h.Has(segment.Ack) {
		s.acknowledged = h.Acknowledged
	}
	if h.Length > 0 && s.phase == accepted && !s.running {
		s.waitingSince, s.running = now, true
		r.load.Begin(now, s.opening)
	}
	if h.Has(segment.Fin) {
		s.callerDone = true
	}
	if h.Has(segment.Reset) || s.callerDone && s.upstreamDone {
		r.close(now, s)
	}
}

// recordUpstreamPacket updates the state of a flow from a packet of its
// upstream. The first packet of an offered flow accepts it. A packet of an unknown
// flow adds it to the table as accepted, unless the packet resets it. It reports whether the
// packet begins an answer that counts as a failure of the upstream.
func (r *Relay) recordUpstreamPacket(now time.Duration, h segment.Header) (failed bool) {
	s := r.flows[h.Flow]
	if s == nil {
		if h.Has(segment.Reset) {
			return false
		}
		s = &flowState{phase: accepted, added: now}
		r.flows[h.Flow] = s
		r.openFlows++
	}
	if s.upstreamSeen == 0 {
		s.recordStart(r)
	}
	s.lastSeen, s.upstreamSeen = now, now
	if s.phase == offered && s.opening != nil && h.Has(segment.Reset) {
		r.close(now, s) // the upstream has refused the flow
		return false
	}
	s.recordSequence(h)
	if h.Has(segment.Open) && (s.acknowledged == 0 || s.phase == offered) {
		// The caller's first acknowledgement. What it has acknowledged before was sent by
		// another upstream, which has accepted a copy of the opening.
		s.acknowledged = h.Sequence + 1
	}
	if s.phase == offered {
		s.phase = accepted
		r.openFlows++
		r.port.RecordLatency(Accepting, now-s.waitingSince)
		r.announce(h.Flow, s, s.entry)
	}
	if s.asked != nil {
		r.endQuestion(h, s)
	}
	if h.Length > 0 && s.running {
		r.port.RecordLatency(Answering, now-s.waitingSince)
		if failed = r.answerTimes.record(h.Flow.VIP(), now-s.waitingSince); !failed {
			r.detector.recordSuccess(now)
		}
		r.endRequest(now, s, true)
	}
	if h.Has(segment.Fin) {
		s.upstreamDone = true
	}
	if h.Has(segment.Reset) || s.callerDone && s.upstreamDone {
		r.close(now, s)
	}
	return failed
}

// recordStart records the present start of the upstream as the one that holds the flow.
func (s *flowState) recordStart(r *Relay) {
	s.start, s.lastSequence = r.starts.present.start, r.starts.present.upstream.Sequence
}

// announce sends an Owned message for the flow to the entry, with what shows that the flow is
// open at the present start of this upstream. It does nothing if the entry is not known.
func (r *Relay) announce(flow segment.Flow, s *flowState, entry peer.Addr) {
	if entry == (peer.Addr{}) {
		return
	}
	present := &r.starts.present
	heartbeat := present.upstream.Sequence
	if s.start == present.start {
		heartbeat = s.lastSequence
	}
	r.buf = peer.OwnerMessage{
		Kind: peer.Owned, Flow: flow, Start: present.start, Sequence: s.nextSequence, SequenceKnown: s.nextKnown,
		Heartbeat: uint32(heartbeat), HeartbeatKnown: present.start != 0,
	}.Append(r.buf[:0])
	r.port.ToProcess(entry, r.buf)
}

// endRequest ends the flow's request without an answer, if there is one: it was
// answered, or its answer is no longer expected.
func (r *Relay) endRequest(now time.Duration, s *flowState, answered bool) {
	if s.running {
		s.running = false
		r.load.End(now, answered)
	}
}

// close marks the flow as closed. Its state stays in the table until Tick
// removes it.
func (r *Relay) close(now time.Duration, s *flowState) {
	if s.phase == accepted {
		r.openFlows--
	}
	r.endRequest(now, s, false)
	r.load.Cancel(s.opening)
	s.phase = closed
}

// remove closes the flow and deletes it from the table.
func (r *Relay) remove(now time.Duration, flow segment.Flow, s *flowState) {
	r.close(now, s)
	delete(r.flows, flow)
}
