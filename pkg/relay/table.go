package relay

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// owns reports whether the packet belongs to the flow as the upstream opened
// it. A caller may have been answered by two upstreams and chosen the other.
func (s *state) owns(h segment.Head) bool {
	if !s.numbered || !h.Has(segment.Ack) {
		return true
	}
	return h.Acknowledged-s.first <= maxAcknowledged
}

// note updates what is known of a flow from a caller's packet.
func (r *Relay) note(now time.Duration, f *peer.Frame, h segment.Head, s *state) {
	s.seen, s.asked = now, now
	s.entry = f.Entry
	if h.Has(segment.Ack) {
		s.acknowledged = h.Acknowledged
	}
	if h.Length > 0 && s.phase == accepted && !s.running {
		s.since = now
		r.setRunning(s, true)
	}
	if h.Has(segment.Fin) {
		s.callerDone = true
	}
	if h.Has(segment.Reset) || s.callerDone && s.upstreamDone {
		r.close(s)
	}
}

// answered updates what is known of a flow from a packet of its upstream.
func (r *Relay) answered(now time.Duration, h segment.Head) {
	s := r.flows[h.Flow]
	if s == nil {
		if h.Has(segment.Reset) {
			return
		}
		s = &state{phase: accepted}
		r.flows[h.Flow] = s
		r.open++
	}
	s.seen, s.held = now, now
	if h.Has(segment.Open) {
		s.first, s.numbered = h.Sequence, true
		if s.acknowledged == 0 {
			s.acknowledged = h.Sequence + 1 // what the caller will acknowledge first
		}
	}
	if s.phase == offered {
		s.phase = accepted
		r.open++
		r.port.RecordLatency(Accepting, now-s.since)
		r.announce(h.Flow, s, s.entry)
	}
	if h.Length > 0 && s.running {
		r.port.RecordLatency(Answering, now-s.since)
		r.judge.succeeded(now)
		r.setRunning(s, false)
	}
	if h.Has(segment.Fin) {
		s.upstreamDone = true
	}
	if h.Has(segment.Reset) || s.callerDone && s.upstreamDone {
		r.close(s)
	}
}

// announce tells an entry that the upstream holds the flow.
func (r *Relay) announce(flow segment.Flow, s *state, entry peer.Addr) {
	if entry == (peer.Addr{}) {
		return
	}
	r.buf = peer.Owner{Kind: peer.Owned, Flow: flow, Start: r.start}.Append(r.buf[:0])
	r.port.ToProcess(entry, r.buf)
}

func (r *Relay) setRunning(s *state, running bool) {
	if s.running == running {
		return
	}
	s.running = running
	if running {
		r.running++
		return
	}
	r.running--
}

func (r *Relay) close(s *state) {
	if s.phase == accepted {
		r.open--
	}
	r.setRunning(s, false)
	s.phase = closed
}

func (r *Relay) forget(flow segment.Flow, s *state) {
	r.close(s)
	delete(r.flows, flow)
}
