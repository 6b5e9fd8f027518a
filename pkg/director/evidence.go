package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// A report that an agent's upstream has restarted or ended proves that a flow is gone only if
// the flow was open at the start of the upstream that the report ends. An announcement alone
// does not prove that: copies of an opening may be accepted by two upstreams, with one of which
// the caller goes on, and an agent learns of a new start of its upstream some time after the new
// start has begun to accept flows. Two observations prove it:
//
//   - The caller has acknowledged what the announced upstream has sent.
//   - The announced start has sent a heartbeat after the flow was opened.
//
// A flow without them keeps its owner. If that one does not hold it, it returns the next packet,
// and a search decides.

const (
	// confirmWindow is how far, in bytes, the caller's acknowledgement may lie from the
	// upstream's next sequence number to confirm that the flow is open there: a caller
	// accepts resets within it. Two upstreams that answer one opening are taken for the same
	// in 1 of 28,000 cases.
	confirmWindow = resetWindow
	// heardRetention is how long the last heartbeat of an agent that has been removed is kept:
	// flows are cached for a minute at most.
	heardRetention = defaultFlowLifetime
)

// heardStart is the last heartbeat that an agent has reported.
type heardStart struct {
	start     uint32 // of the upstream
	heartbeat uint64 // its number
	at        time.Duration
}

// next returns the last heartbeat after a report that names an upstream.
func (h heardStart) next(now time.Duration, status peer.Status) heardStart {
	start := peer.StartID(status.Upstream, status.Born)
	if start == h.start {
		return heardStart{start: start, heartbeat: max(h.heartbeat, status.Heartbeat), at: now}
	}
	return heardStart{start: start, heartbeat: status.Heartbeat, at: now}
}

// near reports whether two sequence numbers of one end of a flow may be of the same flow.
func near(a, b uint32) bool {
	distance := int32(a - b)
	return -confirmWindow <= distance && distance <= confirmWindow
}

// announce records the owner of the flow from an announcement. What was observed of the same
// owner and start before still holds.
func (r *flowRecord) announce(from peer.Addr, o peer.OwnerMessage) {
	if r.owner != from || r.startID != o.Start || !r.open {
		r.confirmed, r.startProven, r.heartbeatKnown = false, false, false
	}
	r.owner, r.startID, r.open, r.searching = from, o.Start, true, false
	if o.HeartbeatKnown && !r.heartbeatKnown {
		r.heartbeat, r.heartbeatKnown = o.Heartbeat, true
	}
	r.sequence, r.sequenceKnown = o.Sequence, o.SequenceKnown
	if r.acknowledged != 0 {
		r.confirm(r.acknowledged)
	}
}

// confirm records an acknowledgement of the caller. It confirms that the flow is open at the
// owner if it acknowledges what that one's upstream has sent.
func (r *flowRecord) confirm(acknowledged uint32) {
	r.acknowledged = acknowledged
	if r.open && r.sequenceKnown && near(acknowledged, r.sequence) {
		r.confirmed = true
	}
}

// endsWith reports whether it is proven that the flow was open at the recorded start of the
// owner's upstream, so that it is gone if that one has ended. heard is the last heartbeat of the
// start that the owner has reported last, before the end.
func (r *flowRecord) endsWith(heard heardStart) bool {
	if !r.confirmed || r.startID == 0 {
		return false
	}
	return r.startProven || r.heartbeatKnown && heard.start == r.startID && int32(uint32(heard.heartbeat)-r.heartbeat) > 0
}

// covers reports whether a packet is of the flow that is gone, not of a later one with the same
// addresses or of another that the recorded owner did not hold.
func (g *goneFlow) covers(h segment.Header) bool {
	return !h.Has(segment.Ack) || near(h.Acknowledged, g.acknowledged)
}
