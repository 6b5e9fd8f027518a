package director

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// A report that an agent's upstream has restarted or ended does not say which flows have ended
// with it: reports and announcements tell the order in which heartbeats arrived, and one of an
// ended start may have waited while its agent was paused. So the entry sends the last packet of
// each caller to the agent once more. An upstream returns the packets of flows that it does not
// hold, and takes the others as retransmissions.
//
// A returned packet proves that the flow is gone if the caller has acknowledged what an upstream
// of the same agent has sent: the flow was open there, and the start that has returned the packet
// runs later than the one that held it.

const (
	// maxQuestionBytes bounds the packet that is kept of a flow: that of a usual request. An
	// acknowledgement takes 32 bytes.
	maxQuestionBytes = 256
	// maxQuestions is how often an owner is asked about a flow. One that holds it does not
	// answer, so that a lost question can't be told from a flow that is held: a second one
	// covers single losses.
	maxQuestions = 2
	// questionDelay is the time until the second question: the first retransmission of callers,
	// which makes it superfluous, comes after the same time.
	questionDelay = 200 * time.Millisecond
	// questionBytesPerSecond and questionBurst limit the questions of an entry, with the headers
	// of their datagrams: 5% of a link of 10 Mbit/s, and 25 ms of it. It covers 655
	// acknowledgements a second, 327 of them at once.
	questionBytesPerSecond = 64 << 10
	questionBurst          = 32 << 10
	// questionOverhead is the size of the headers of a frame, UDP and IPv4 in bytes.
	questionOverhead = 68
)

type (
	// question is the caller's last packet that the owner can be asked with whether its upstream
	// holds the flow, empty if there is none.
	question struct {
		packet       []byte
		acknowledged uint32 // acknowledgement number of the packet
		hasData      bool
		asked        *inquiry // nil if the owner has not been asked since it announced the flow
	}

	// inquiry is the state of a question to the owner of a flow.
	inquiry struct {
		at       time.Duration // of the report that caused it
		reported uint32        // start of the upstream in that report, 0 if none runs
		sent     int           // how often the packet was sent
		due      time.Duration // when it is to be sent next
	}
)

// keep keeps a packet of the caller if it can serve as a question: it must not change the state of
// an upstream that holds the flow. One without data is preferred, unless it is too old to be taken
// for one of the flow.
func (q *question) keep(h segment.Header, packet []byte) {
	hasData := h.Length > 0
	if h.Flags != segment.Ack || len(packet) > maxQuestionBytes {
		return
	}
	if hasData && len(q.packet) > 0 && !q.hasData && near(q.acknowledged, h.Acknowledged, confirmWindow) {
		return
	}
	if !hasData && q.hasData {
		q.packet = nil // frees the larger buffer
	}
	q.packet = append(q.packet[:0], packet...)
	q.acknowledged, q.hasData = h.Acknowledged, hasData
}

// mayAsk reports whether the owner's answer to a question would prove that the flow is gone.
func (r *flowRecord) mayAsk() bool {
	return r.confirmed && len(r.question.packet) > 0 && near(r.question.acknowledged, r.acknowledged, confirmWindow)
}

// ask asks the owner of a flow whether its upstream, of which it has reported the given start,
// holds the flow.
func (d *Director) ask(now time.Duration, s *shard, flow segment.Flow, rec *flowRecord, reported uint32) {
	if rec.question.asked != nil && rec.question.asked.reported == reported {
		return
	}
	rec.question.asked = &inquiry{at: now, reported: reported, due: now}
	s.questions = append(s.questions, flow)
	d.sendQuestion(now, s, flow, rec)
}

// expectReturn records that a packet of the flow which its owner returns proves that the flow is gone, as
// the owner has reported the given start of its upstream, although there is no packet to ask with.
func (r *flowRecord) expectReturn(now time.Duration, reported uint32) {
	r.question.asked = &inquiry{at: now, reported: reported, sent: maxQuestions}
}

// sendQuestion sends the question about a flow to its owner if the rate limit allows it.
func (d *Director) sendQuestion(now time.Duration, s *shard, flow segment.Flow, rec *flowRecord) {
	if !d.questionLimit.take(now, float64(len(rec.question.packet)+questionOverhead), questionBytesPerSecond, questionBurst) {
		return
	}
	asked := rec.question.asked
	asked.sent++
	asked.due = now + questionDelay
	d.deliver(s, rec, rec.question.packet)
	d.port.RecordDecision(Decision{
		Event: OwnerAsked, Flow: flow, Agent: rec.owner, Tried: asked.sent, Start: rec.startID, Reported: asked.reported,
		Restored: rec.restored, Age: now - asked.at,
	})
}

// sendQuestions sends the questions of a shard that are due. A packet that the caller has sent
// since the report takes the place of a question.
func (d *Director) sendQuestions(now time.Duration, s *shard) {
	s.questions = slices.DeleteFunc(s.questions, func(flow segment.Flow) bool {
		rec := s.flows[flow]
		if rec == nil || rec.question.asked == nil || rec.lastSeen > rec.question.asked.at {
			return true
		}
		if now >= rec.question.asked.due {
			d.sendQuestion(now, s, flow, rec)
		}
		return rec.question.asked.sent >= maxQuestions
	})
}

// isGone reports whether a packet that an agent has returned proves that the flow is gone: the
// owner was asked about the flow, which was open there, and has offered the packet to its upstream,
// of which more than the short identifier of the service was compared.
// A packet far from what the caller has acknowledged, or an opening, may be of another flow with
// the same addresses.
func (r *flowRecord) isGone(from peer.Addr, f *peer.Frame, h segment.Header) bool {
	return r.question.asked != nil && r.owner == from && r.confirmed && !f.Uncertain && !f.Service.IsShort() &&
		h.Has(segment.Ack) && !h.Has(segment.Reset) && near(h.Acknowledged, r.acknowledged, confirmWindow)
}
