package relay

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleUpstreamPacket handles a packet that the upstream sent or returned. It reports
// whether other processes should hear at once how the upstream does.
func (r *Relay) HandleUpstreamPacket(now time.Duration, packet []byte) (news bool, err error) {
	h, err := r.codec.FromUpstream(packet)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Has(segment.Bounced) {
		r.bounced(h, packet)
		return false, nil
	}
	s := r.flows[h.Flow]
	inUse := s != nil && s.phase != closed && !s.callerDone && !s.upstreamDone
	r.answered(now, h)
	r.port.ToCaller(h.Flow, packet)
	if !h.Has(segment.Reset) {
		return false, nil
	}
	r.port.RecordDecision(ResetByIt, h.Flow, nil)
	return inUse && r.judgeReset(now, h.Flow), nil
}

// judgeReset takes in that the upstream has reset a flow in use, and reports
// whether it counts as failing since. Its other flows stay: it may serve them
// when their callers ask next.
func (r *Relay) judgeReset(now time.Duration, flow segment.Flow) bool {
	failing := r.judge.failed(now)
	if failing {
		r.port.RecordDecision(Failing, flow, nil)
	}
	return failing
}

// bounced handles a packet that the upstream does not want.
func (r *Relay) bounced(h segment.Head, packet []byte) {
	c := &r.ring[h.Tag%contexts]
	if c.tag != h.Tag || c.kind == 0 {
		r.port.RecordDecision(UnknownBack, h.Flow, &peer.Frame{Packet: packet})
		return
	}
	if s := r.flows[h.Flow]; s != nil && (!h.Opens() || s.phase == offered) {
		r.forget(h.Flow, s)
	}
	f := &peer.Frame{
		Kind:       c.kind,
		Uncertain:  c.uncertain,
		Forced:     c.forced,
		Best:       c.best,
		BestLoad:   c.bestLoad,
		Stage:      c.stage,
		Round:      c.round,
		Hop:        c.hop,
		Entry:      c.entry,
		Service:    c.service,
		Candidates: c.candidates,
		Packet:     packet,
	}
	r.codec.SetTag(packet, 0)
	r.port.RecordDecision(Refused, h.Flow, f)
	r.passOn(f, h)
}
