package relay

import (
	"time"

	"hickoryhook.example/pkg/segment"
)

// A heartbeat of another start shows that one has ended, but not which flows ended with it. Calls
// that have waited while the agent was paused are handled in any order, and a heartbeat may be a
// late one of an ended start. The upstream knows which flows it holds: it bounces a packet of any
// other. So the agent delivers the last packet of each flow's caller once more, as a question. An
// upstream that holds the flow takes the packet for a retransmission.
//
// A flow whose caller has sent only its opening cannot be asked for: an upstream that does not hold
// it would accept the opening. The caller's next packet follows at once, and decides.

// confirmWindow is how far, in bytes, the caller's acknowledgement may lie from the upstream's next
// sequence number for the flow to be open at this upstream: a caller accepts resets within it. Two
// upstreams that answer one opening are taken for the same in 1 of 28,000 cases.
const confirmWindow = 76800

// keepQuestion keeps a packet of the caller as the question of its flow, unless it is an opening.
func (s *flowState) keepQuestion(h segment.Header, packet []byte) {
	if h.Has(segment.Ack) {
		s.question, s.questionAck = append(s.question[:0], packet...), h.Acknowledged
	}
}

// canBeAskedFor reports whether a flow is open and its question acknowledges what this upstream has
// sent. Otherwise the flow may be open at another upstream that has accepted a copy of the opening.
func (s *flowState) canBeAskedFor() bool {
	distance := int32(s.questionAck - s.nextSequence)
	return s.phase == accepted && len(s.question) > 0 && s.nextKnown && -confirmWindow <= distance && distance <= confirmWindow
}

// askAll asks the upstream for each open flow whether it holds it, as another start than the one
// that may hold them has sent a heartbeat. why is what the resets of the others rest on. It returns
// how many of the flows the present start held, see heldByPresent.
func (r *Relay) askAll(now time.Duration, why Reset) (held int) {
	for _, flow := range r.sortedFlows() {
		if s := r.flows[flow]; s.canBeAskedFor() {
			s.proof = r.heldByPresent(now, s)
			if s.proof {
				held++
			}
			r.ask(flow, s, why)
		}
	}
	return held
}

// ask delivers the question of a flow to the upstream. The packet is not one that the caller has
// sent now, so that it changes nothing in the state of the flow.
func (r *Relay) ask(flow segment.Flow, s *flowState, why Reset) {
	s.asked = &why
	c := r.nextContext(flow)
	c.question = true
	r.port.RecordDecision(Asked, flow, nil)
	r.toUpstream(s.question)
}

// handleReturnedQuestion resets a flow that the upstream does not hold. It does nothing if the
// upstream has sent a packet of the flow since the question, or the flow has been closed. It
// reports whether that has shown that another start is the present one.
func (r *Relay) handleReturnedQuestion(now time.Duration, flow segment.Flow) (succeeded bool) {
	s := r.flows[flow]
	if s == nil || s.asked == nil {
		return false
	}
	r.resetFlow(now, flow, s, *s.asked)
	return s.proof && r.recordReturned(now, s.asked.Reported)
}

// endQuestion records that the upstream has sent a packet of a flow that was asked for. Unless the
// packet resets the flow, the present start holds it, which is announced to the flow's entry.
func (r *Relay) endQuestion(h segment.Header, s *flowState) {
	s.asked = nil
	if !h.Has(segment.Reset) {
		s.recordStart(r)
		r.announce(h.Flow, s, s.entry)
	}
}

// nextContext returns the context of the next packet that is delivered to the upstream, empty
// except for its tag and flow.
func (r *Relay) nextContext(flow segment.Flow) *deliveryContext {
	r.lastTag++
	c := &r.contexts[r.lastTag%contextCount]
	candidates := c.candidates[:0]
	*c = deliveryContext{tag: r.lastTag, flow: flow, candidates: candidates}
	return c
}

// toUpstream delivers a packet to the upstream under the last tag.
func (r *Relay) toUpstream(packet []byte) {
	r.codec.SetTag(packet, r.lastTag)
	r.port.ToUpstream(packet)
}
