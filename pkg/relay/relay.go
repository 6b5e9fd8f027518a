// Package relay holds the forwarding decisions of an agent. Each packet for the
// agent's upstream is delivered to it, forwarded to the next agent on the
// frame's candidate list, or returned to the entry that sent it.
//
// The upstream is the authority on which flows it holds; the relay's flow table
// is a cache. After a restart of the agent the table is empty, so packets of
// unknown flows are offered to the upstream, which returns those of flows that
// it does not hold. Heartbeats may come from ended starts of the upstream and from
// other writers: type starts decides which start is the present one.
//
// # Usage
//
//	r := relay.New(self, service, codec, port)
//	r.HandleFrame(now, datagram)        // frames from entries and other agents
//	r.HandleUpstreamPacket(now, packet) // packets that the upstream sends or returns
//	r.HandleHeartbeat(now, upstream)    // the state that the upstream reports
//	r.Tick(now)
//
// A Relay has no clock and no sockets: now is the time since a fixed point, such
// as the start of the process. Its methods are safe for concurrent use.
package relay

import (
	"sync"
	"time"

	"hickoryhook.example/pkg/admission"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// contextCount is how many delivered packets keep their context, so that
	// the upstream may still return them. A power of two.
	contextCount = 4096
	// closedRetention is how long after its last packet a closed flow stays in the
	// table, so that its late packets still reach the upstream. A flow that was
	// offered and not accepted stays as long.
	closedRetention = 5 * time.Second
	// maxAckDistance is how far a caller's acknowledgement may lie from the upstream's next
	// sequence number, in bytes: 8 MiB, 100 of the largest answers. It exceeds what a caller
	// has not acknowledged yet, and late packets; two upstreams that answer one opening are
	// taken for the same in 1 of 256 cases.
	maxAckDistance = 8 << 20
	// runningTimeout is how long a request without an answer counts as running: a safety
	// bound for answers that never come, longer than callers usually wait.
	runningTimeout = 10 * time.Second
	// maxWaiting bounds the openings that wait for the upstream, and with it their
	// memory: 0.25 KB each.
	maxWaiting = 256
	// activeWindow is how long after a caller's last packet its flow counts as
	// load. A flow that its caller has abandoned stays open at the upstream for longer.
	activeWindow = 4 * time.Second
	// lateHeartbeat is how long after its deregistration a heartbeat of the same start of
	// the upstream is ignored. An agent that was paused may handle the two calls in either
	// order. An upstream that goes on after all is used again after that time.
	lateHeartbeat = 3 * time.Second
	// deregistrationGrace is the time after its deregistration from which an upstream that
	// does not listen any more has ended. It exits at once; this covers late timers.
	deregistrationGrace = 150 * time.Millisecond
	// maxTickGap is a gap between ticks that shows that the agent was paused: several
	// intervals of ticks.
	maxTickGap = 500 * time.Millisecond
	// freshAfter is the time after a pause from which a heartbeat cannot have waited in the
	// agent's socket: an upstream gives up a call after a second, and calls that have waited
	// are handled at once.
	freshAfter = time.Second
)

const (
	offered phase = iota
	accepted
	closed
)

type (
	// Port sends the relay's packets and records what the relay does. Its methods are
	// called with a lock held, so that they must not call the Relay, and must not keep
	// a packet, datagram or frame.
	Port interface {
		// ToUpstream delivers a packet to the upstream.
		ToUpstream(packet []byte)
		// ToCaller sends a packet to a caller.
		ToCaller(flow segment.Flow, packet []byte)
		// ToProcess sends a datagram to another process.
		ToProcess(to peer.Addr, datagram []byte)
		// RecordLatency adds a latency to the metrics.
		RecordLatency(m Measure, d time.Duration)
		// RecordDecision logs a decision. frame is nil if the decision was not
		// made on a frame; for BouncedWithoutContext only its Packet is set.
		RecordDecision(event Event, flow segment.Flow, frame *peer.Frame)
		// RecordReset logs the decision ResetUpstreamEnded.
		RecordReset(flow segment.Flow, why Reset)
		// RecordClaim logs a heartbeat of another start than the present one that does not
		// take its place.
		RecordClaim(claim Claim)
		// RecordStart logs that a start has become the present one or that the state of the present
		// one has changed, with its last heartbeat.
		RecordStart(u Upstream, start uint32, evidence Succession)
	}

	// Event is the kind of a decision, and the message of its log line.
	Event string

	// Proof is the kind of evidence that a start of the upstream has ended.
	Proof string

	// Reset is what a reset of a flow by the relay rests on.
	Reset struct {
		Proof Proof
		// Start is the peer.StartID of the upstream that held the flow, 0 if unknown.
		Start uint32
		// Reported is the start that has sent a heartbeat since, for BouncedByUpstream.
		Reported uint32
		// Age is the time from the last heartbeat of Start until that of Reported or, without
		// one, until the reset; 0 if Start is unknown.
		Age time.Duration
	}

	// Measure is the name of a latency metric.
	Measure string

	// Upstream is the state that an upstream reported in its last heartbeat.
	Upstream struct {
		// ID and Born, the start in Unix milliseconds, identify a start of the
		// upstream.
		ID   string
		Born int64
		// Age is how long it has been running by its instance's clock, 0 if
		// that is not known.
		Age time.Duration
		// Sequence grows with each heartbeat of one start.
		Sequence uint64
		// Slots is how many requests it serves concurrently.
		Slots int
		// Draining is set if it accepts no new flows.
		Draining bool
		// ColdFor is the remaining time of its warm-up, in which it serves
		// requests slowly.
		ColdFor time.Duration
		// Refused means that its address has refused a connection just before the heartbeat
		// was handled, see Vacant: the heartbeat may be a late one.
		Refused bool
	}

	// Relay holds the state of one agent.
	Relay struct {
		self    peer.Addr
		service peer.ServiceID
		codec   segment.Codec
		port    Port

		mu             sync.Mutex
		flows          map[segment.Flow]*flowState
		contexts       [contextCount]deliveryContext // ring, by tag
		lastTag        uint32                        // of the last delivered packet
		buf            []byte                        // for encoding, reused
		starts         starts
		evidence       uint64        // number of the last heartbeat that cannot have waited, see freshAfter
		tickAt         time.Duration // of the last Tick, 0 before the first
		resumedAt      time.Duration // end of the last pause of the agent, 0 if there was none
		alive          bool          // the upstream runs, or is assumed to, and has not deregistered
		ended          bool          // the upstream's process has ended, and with it all its flows
		deregisteredAt time.Duration
		deregistered   bool           // since the last heartbeat
		leaving        bool           // deregistered, and no start has gone on reporting since
		evacuated      bool           // the failure domain of the agent gets no new flows
		openFlows      int            // flows in phase accepted
		activeFlows    int            // at the last Tick: open flows with a caller's packet within activeWindow
		load           admission.Load // of the upstream
		waiting        *admission.Queue[*waitingOpening]
		detector       outlierDetector
		answerTimes    answerTimes
		cold           coldState
		lifetime       time.Duration // idle time after which an accepted flow is removed
	}

	// phase is the state of a flow at the upstream. offered: the upstream has sent
	// no packet of it yet; accepted: it has; closed: both ends have finished or
	// one has reset the flow.
	phase uint8

	// flowState is the relay's cached state of a flow at its upstream.
	flowState struct {
		phase        phase
		nextKnown    bool               // nextSequence is set
		nextSequence uint32             // the upstream's next sequence number
		acknowledged uint32             // the caller's last acknowledgement number or expected first, 0 if none
		opening      *admission.Opening // nil if the relay has not offered the flow
		openedBy     uint32             // sequence number of the caller's opening, if opening is set
		running      bool               // a request has had no answer for at most runningTimeout
		callerDone   bool               // the caller has sent Fin
		upstreamDone bool               // the upstream has sent Fin
		entry        peer.Addr          // of the caller's last packet, zero if unknown
		question     []byte             // the caller's last packet that can serve as a question
		questionAck  uint32             // its acknowledgement number
		asked        *Reset             // what a reset rests on if the upstream bounces the question; nil if none was sent
		proof        bool               // a bounce of the question shows that the present start has ended
		start        uint32             // peer.StartID of the present start when the upstream's first packet came
		lastSequence uint64             // number of the last heartbeat at that time
		upstreamSeen time.Duration      // when the upstream's last packet came
		lastSeen     time.Duration      // when the last packet of either end came
		callerSeen   time.Duration      // when the caller's last packet came
		waitingSince time.Duration      // when the unanswered request, or packet that added the flow, came
		added        time.Duration      // when the state was added, if opening is not set
	}

	// deliveryContext holds the fields of a frame whose packet was delivered to
	// the upstream, to restore the frame if the upstream bounces the packet.
	deliveryContext struct {
		flow       segment.Flow
		question   bool // the packet was delivered by ask
		forced     bool
		best       int
		bestLoad   uint8
		tag        uint32
		kind       peer.Kind
		uncertain  bool
		stage      int
		round      uint8
		hop        int
		entry      peer.Addr
		service    peer.ServiceID
		candidates []peer.Addr
		patience   time.Duration
	}

	// Option configures a Relay in New.
	Option func(*Relay)
)

// The decisions that a relay records.
const (
	// Offered: an opening was offered to the upstream.
	Offered Event = "taken"
	// Delayed: an opening waits for a slot of the upstream.
	Delayed Event = "delayed"
	// Forwarded: a frame was sent to the next agent on its list, or to the least
	// busy one as a forced opening.
	Forwarded Event = "passed-on"
	// ReturnedToEntry: a frame was returned to its entry, as no candidate accepted
	// it.
	ReturnedToEntry Event = "sent-back"
	// RefusedEvacuated: an opening was not offered to the upstream, as the failure domain
	// is evacuated.
	RefusedEvacuated Event = "refused-evacuated"
	// OtherService: a frame is for another service that has the same short identifier, see
	// peer.ServiceID. It was not delivered.
	OtherService Event = "other-service"
	// RefusedByUpstream: the upstream bounced a packet.
	RefusedByUpstream Event = "refused-by-upstream"
	// Asked: the caller's last packet was delivered to the upstream once more, as another
	// start of it may hold the flow.
	Asked Event = "asked"
	// ResetUpstreamEnded: a flow was reset, as the upstream's process that held
	// it has ended.
	ResetUpstreamEnded Event = "reset-upstream-ended"
	// ResetByUpstream: the upstream reset a flow.
	ResetByUpstream Event = "reset-by-upstream"
	// BouncedWithoutContext: the upstream bounced a packet whose context has
	// been overwritten or was lost with an earlier process, which used the same tags,
	// and the packet was dropped.
	BouncedWithoutContext Event = "returned-without-context"
	// UpstreamFailing: the upstream was ejected.
	UpstreamFailing Event = "upstream-failing"
)

// The proofs of ResetUpstreamEnded.
const (
	// BouncedByUpstream: after a heartbeat of another start, the upstream has bounced a packet of
	// the flow.
	BouncedByUpstream Proof = "bounced-by-upstream"
	// ConnectionRefused: no process listens at the upstream's address.
	ConnectionRefused Proof = "connection-refused"
)

// The latencies that a relay measures.
const (
	// Accepting is the time from an offered opening, or from the first delivered packet
	// of an unknown flow, to the upstream's first packet.
	Accepting Measure = "accepting"
	// Waiting is the time for which an opening waited beside the upstream before it was
	// offered.
	Waiting Measure = "waiting"
	// Answering is the time from the first data of a caller's request to the first
	// data of the upstream's answer.
	Answering Measure = "answering"
)

// WithLifetime sets how long a flow without packets stays in the table. Flows that are
// closed or not accepted stay for closedRetention at most.
func WithLifetime(d time.Duration) Option { return func(r *Relay) { r.lifetime = d } }

// New returns the relay for the upstream of the service beside the agent self.
// Accepted flows are removed after a minute without packets, unless WithLifetime
// sets another time.
func New(self peer.Addr, service peer.ServiceID, codec segment.Codec, port Port, options ...Option) *Relay {
	r := &Relay{
		self:     self,
		service:  service,
		codec:    codec,
		port:     port,
		flows:    make(map[segment.Flow]*flowState),
		waiting:  admission.NewQueue[*waitingOpening](maxWaiting),
		lifetime: time.Minute,
		cold:     coldState{unconfirmed: true},
		starts:   starts{interval: defaultHeartbeatInterval},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// HandleFrame handles a frame from an entry or another agent. It returns an
// error if the frame or the packet in it cannot be decoded, if it is not a Place, Deliver or
// Search frame, or if it is sent to none of its candidates: returned to the entry, it would
// not be a valid frame.
func (r *Relay) HandleFrame(now time.Duration, datagram []byte) error {
	var f peer.Frame
	if err := f.Decode(datagram); err != nil {
		return err
	}
	if f.Kind != peer.Place && f.Kind != peer.Deliver && f.Kind != peer.Search || f.Hop >= len(f.Candidates) {
		return peer.ErrInvalidFrame
	}
	h, err := r.codec.FromCaller(f.Packet)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	handled := false
	defer func() { r.forgetUnless(handled, now, h.Flow) }()
	if h.Opens() {
		r.handleOpening(now, &f, h)
	} else {
		r.handleEstablished(now, &f, h)
	}
	handled = true
	return nil
}

// forgetUnless removes a flow from the table, and what it adds to the load, unless its packet
// was handled to the end: a panic may have left its state incomplete. The upstream knows
// whether it holds the flow.
func (r *Relay) forgetUnless(handled bool, now time.Duration, flow segment.Flow) {
	if s := r.flows[flow]; s != nil && !handled {
		r.remove(now, flow, s)
	}
}

// HandleOwnerQuery answers an entry that asks which agent's upstream holds a
// flow. It replies only if the flow is accepted in the table and the
// acknowledgement in the query, if any, matches it. It returns an error if the query
// cannot be decoded.
func (r *Relay) HandleOwnerQuery(entry peer.Addr, datagram []byte) error {
	var o peer.OwnerMessage
	if err := o.Decode(datagram); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	query := segment.Header{Flow: o.Flow, Flags: segment.Ack, Acknowledged: o.Acknowledged}
	if s := r.flows[o.Flow]; s != nil && s.phase == accepted && (o.Acknowledged == 0 || s.matches(query)) {
		r.announce(o.Flow, s, entry)
	}
	return nil
}

// handleEstablished handles a packet that does not open a flow: some upstream holds
// the flow or held it. The packet is delivered if it matches a flow in the table; if
// the packet is part of a search, an accepted flow is announced to the entry. A packet
// of an unknown flow is delivered if the frame is for this service and the upstream's
// process has not ended; the upstream bounces the packet if it does not hold the flow. So is one
// whose service the entry does not know, until the relay has run for as long as a flow without
// packets stays in the table: the upstream may hold flows that were opened before its start.
// Any other frame is forwarded, and so is one with an abridged identifier of the service.
func (r *Relay) handleEstablished(now time.Duration, f *peer.Frame, h segment.Header) {
	s := r.flows[h.Flow]
	if s != nil && s.matches(h) {
		r.deliver(now, f, h, s)
		if f.Kind == peer.Search && s.phase == accepted {
			r.announce(h.Flow, s, f.Entry)
		}
		return
	}
	if s == nil && r.ended {
		r.forward(f, h)
		return
	}
	if s == nil && f.Abridged {
		f.Uncertain = true // the entry sends the packet again with the whole identifier
		r.forward(f, h)
		return
	}
	if s == nil && (r.service.Matches(f.Service) || f.Service.IsNone() && now < r.lifetime) {
		s = &flowState{waitingSince: now, added: now} // until the upstream answers the packet or bounces it
		r.flows[h.Flow] = s
		r.deliver(now, f, h, s)
		return
	}
	if s == nil && !r.service.Matches(f.Service) {
		r.recordOtherService(f, h.Flow)
		f.Uncertain = true // only the table was checked; the upstream may hold the flow
	}
	r.forward(f, h)
}

// recordOtherService records that a frame is for another service, if the short identifiers of the
// two are the same.
func (r *Relay) recordOtherService(f *peer.Frame, flow segment.Flow) {
	if f.Service.Short() == r.service.Short() && !r.service.Matches(f.Service) {
		r.port.RecordDecision(OtherService, flow, f)
	}
}

// deliver sends the packet to the upstream with a new tag, and stores the frame
// under the tag for handleBounced.
func (r *Relay) deliver(now time.Duration, f *peer.Frame, h segment.Header, s *flowState) {
	r.recordCallerPacket(now, f, h, s)
	c := r.nextContext(h.Flow)
	c.kind, c.uncertain = f.Kind, f.Uncertain
	c.forced, c.best, c.bestLoad = f.Forced, f.Best, f.BestLoad
	c.stage, c.round, c.hop, c.entry, c.service = f.Stage, f.Round, f.Hop, f.Entry, f.Service
	c.patience = f.Patience
	c.candidates = append(c.candidates, f.Candidates...)
	r.toUpstream(f.Packet)
}

// forward sends a frame to the next agent on its list. At the end of the list, an
// opening is sent to the least busy candidate once more, as a forced one. A forced
// opening that has not been accepted, and any other frame at the end of its list, is
// returned to the entry.
func (r *Relay) forward(f *peer.Frame, h segment.Header) {
	f.Hop++
	switch {
	case f.Forced:
		f.Hop = len(f.Candidates)
	case f.Hop >= len(f.Candidates) && f.Best > 0:
		f.Hop, f.Forced = f.Best-1, true
	}
	if f.Hop < len(f.Candidates) {
		r.port.RecordDecision(Forwarded, h.Flow, f)
		r.send(f.Candidates[f.Hop], f)
		return
	}
	f.Forced = false
	r.port.RecordDecision(ReturnedToEntry, h.Flow, f)
	f.OriginalKind, f.Kind = f.Kind, peer.Returned
	r.send(f.Entry, f)
}

// send encodes the frame and sends it to another process.
func (r *Relay) send(to peer.Addr, f *peer.Frame) {
	r.buf = f.Append(r.buf[:0])
	r.port.ToProcess(to, r.buf)
}
