package director

import (
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// An announcement does not prove that a flow is open at the announced start of an upstream:
// copies of an opening may be accepted by two upstreams, with one of which the caller goes on,
// and an agent learns of a new start of its upstream some time after the new start has begun to
// accept flows. Two observations prove it:
//
//   - The caller has acknowledged what the announced upstream has sent.
//   - The announced start has sent a heartbeat after the flow was opened, see peer.Status.
//
// The first is needed before the owner is asked, see question. Both are needed before a flow is
// saved: the entry that restores it has no packet to ask with. Any other flow keeps its owner. If
// that one does not hold it, it returns the next packet, and a search decides.

const (
	// confirmWindow is how far, in bytes, the caller's acknowledgement may lie from the
	// upstream's next sequence number to confirm that the flow is open there: a caller
	// accepts resets within it. Two upstreams that answer one opening are taken for the same
	// in 1 of 28,000 cases.
	confirmWindow = resetWindow
	// resumeWindow is how far, in bytes, the numbers of a flow may have moved on while it went
	// through other entries: 100 of the largest answers. Beyond, it may be another flow.
	resumeWindow = 8 << 20
	// heardRetention is how long the last heartbeat of an agent that has been removed is kept:
	// flows are cached for a minute at most.
	heardRetention = defaultFlowLifetime
)

type (
	// evidence is what was observed of a flow at its recorded owner and start.
	evidence struct {
		confirmed      bool   // the caller has acknowledged what the owner's upstream has sent
		startProven    bool   // the start has sent a heartbeat after the flow was opened, see RestoreFlows
		sequence       uint32 // next sequence number of the owner's upstream when it was announced
		sequenceKnown  bool
		heartbeat      uint32 // number of a heartbeat of the start after which the flow was opened
		heartbeatKnown bool
	}

	// heardStart is the last heartbeat that an agent has reported.
	heardStart struct {
		start     uint32 // of the upstream
		heartbeat uint64 // its number
		at        time.Duration
	}
)

// next returns the last heartbeat after a report that names an upstream.
func (h heardStart) next(now time.Duration, status peer.Status) heardStart {
	start := peer.StartID(status.Upstream, status.Born)
	if start == h.start {
		return heardStart{start: start, heartbeat: max(h.heartbeat, status.Heartbeat), at: now}
	}
	return heardStart{start: start, heartbeat: status.Heartbeat, at: now}
}

// near reports whether two sequence numbers are at most window bytes apart.
func near(a, b uint32, window int32) bool {
	distance := int32(a - b)
	return -window <= distance && distance <= window
}

// announce records the owner of the flow from an announcement. What was observed of the same
// owner and start before still holds.
func (r *flowRecord) announce(from peer.Addr, o peer.OwnerMessage) {
	laterFlow := r.sequenceKnown && o.SequenceKnown && !near(r.sequence, o.Sequence, resumeWindow)
	if r.owner != from || r.startID != o.Start || !r.open || laterFlow {
		r.disprove()
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

// isOpenElsewhere reports whether an announcement comes from an upstream that has accepted a copy
// of the opening, although the caller goes on with the recorded one.
func (r *flowRecord) isOpenElsewhere(from peer.Addr, o peer.OwnerMessage) bool {
	return r.open && r.confirmed && r.owner != from && o.SequenceKnown && !near(r.acknowledged, o.Sequence, confirmWindow)
}

// disprove forgets what was observed of the flow at its owner.
func (r *flowRecord) disprove() {
	r.confirmed, r.startProven, r.heartbeatKnown = false, false, false
}

// confirm records an acknowledgement of the caller. It confirms that the flow is open at the
// owner if it acknowledges what that one's upstream has sent. An acknowledgement far from the
// last one is of a later flow with the same addresses, of which nothing is known.
func (r *flowRecord) confirm(acknowledged uint32) {
	if r.acknowledged != 0 && !near(acknowledged, r.acknowledged, resumeWindow) {
		r.disprove()
	}
	r.acknowledged = acknowledged
	if r.open && r.sequenceKnown && near(acknowledged, r.sequence, confirmWindow) {
		r.confirmed = true
	}
}

// endsWith reports whether it is proven that the flow was open at the recorded start of the
// owner's upstream, so that it is gone if that one has ended. heard is the last heartbeat that the
// owner has reported.
func (r *flowRecord) endsWith(heard heardStart) bool {
	if !r.confirmed || r.startID == 0 {
		return false
	}
	return r.startProven || r.heartbeatKnown && heard.start == r.startID && int32(uint32(heard.heartbeat)-r.heartbeat) > 0
}

// covers reports whether a packet is of the flow that is gone, not of a later one with the same
// addresses or of another that the recorded owner did not hold.
func (g *goneFlow) covers(h segment.Header) bool {
	return !h.Has(segment.Ack) || near(h.Acknowledged, g.acknowledged, confirmWindow)
}
