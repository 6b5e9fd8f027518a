package relay

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleUpstreamPacket handles a packet that the upstream sent or bounced. It
// reports whether the agent should send its status to other processes at once,
// because the packet has caused the ejection of the upstream or has shown that another
// start of it runs. It returns an error if the packet cannot be decoded.
func (r *Relay) HandleUpstreamPacket(now time.Duration, packet []byte) (reportNow bool, err error) {
	h, err := r.codec.FromUpstream(packet)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	handled := false
	defer func() { r.forgetUnless(handled, now, h.Flow) }()
	if h.Has(segment.Bounced) {
		reportNow = r.handleBounced(now, h, packet)
	} else {
		reportNow = r.handleAnswer(now, h, packet)
	}
	handled = true
	return reportNow, nil
}

// handleAnswer handles a packet that the upstream sent to a caller. It reports whether the
// packet has caused the ejection of the upstream.
func (r *Relay) handleAnswer(now time.Duration, h segment.Header, packet []byte) (ejected bool) {
	s := r.flows[h.Flow]
	inUse := s != nil && s.phase != closed && !s.callerDone && !s.upstreamDone
	failed := r.recordUpstreamPacket(now, h)
	r.port.ToCaller(h.Flow, packet)
	r.serveWaiting(now)
	if !h.Has(segment.Reset) {
		return failed && r.recordFailure(now, h.Flow)
	}
	r.port.RecordDecision(ResetByUpstream, h.Flow, nil)
	return inUse && r.recordFailure(now, h.Flow)
}

// recordFailure counts an upstream's reset of a flow in use, or an answer that came without
// work, as a failure, and reports whether the upstream is ejected for it. The other flows of an ejected
// upstream stay open, as it may still serve their next requests.
func (r *Relay) recordFailure(now time.Duration, flow segment.Flow) bool {
	newlyEjected := r.detector.recordFailure(now)
	if newlyEjected {
		r.port.RecordDecision(UpstreamFailing, flow, nil)
	}
	return newlyEjected
}

// handleBounced forwards a packet that the upstream bounced because it does not
// hold the flow or does not accept a new one. The frame is restored from the
// context that deliver stored under the packet's tag. The flow is removed from the
// table, unless the packet is a retransmitted opening of a flow that the upstream
// has accepted. A packet without a context is dropped, see BouncedWithoutContext. So is one
// whose tag an earlier process gave it and this one has given to a packet of another flow. A
// bounced question resets the flow, see ask. It reports whether that has shown that another start
// of the upstream runs.
func (r *Relay) handleBounced(now time.Duration, h segment.Header, packet []byte) (succeeded bool) {
	c := &r.contexts[h.Tag%contextCount]
	if c.tag != h.Tag || c.flow != h.Flow || c.kind == 0 && !c.question {
		r.port.RecordDecision(BouncedWithoutContext, h.Flow, &peer.Frame{Packet: packet})
		return false
	}
	if c.question {
		return r.handleReturnedQuestion(now, h.Flow)
	}
	if s := r.flows[h.Flow]; s != nil && (!h.Opens() || s.phase == offered) {
		r.remove(now, h.Flow, s)
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
		Patience:   c.patience,
		Packet:     packet,
	}
	r.codec.SetTag(packet, 0)
	r.port.RecordDecision(RefusedByUpstream, h.Flow, f)
	r.forward(f, h)
	return false
}
