// Package relay decides, beside one upstream, what happens to each packet: it
// reaches the upstream, goes on to the next agent on the frame's list, or goes
// back to the entry that sent it.
//
// The upstream is the authority on the flows that it holds. The relay's table
// of them is a cache: a relay that has just started offers packets of flows it
// does not know to its upstream, which returns those it does not hold.
//
// # Usage
//
//	r := relay.New(self, service, codec, port)
//	r.FromProcess(now, datagram) // frames of entries and other agents
//	r.FromUpstream(now, packet)  // what the upstream sends and returns
//	r.Heartbeat(now, heartbeat)  // what the upstream says of itself
//	r.Tick(now)
//
// A Relay has no clock and no sockets; its methods are safe for concurrent use.
package relay

import (
	"sync"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

const (
	// contexts is how many delivered packets are remembered until the
	// upstream may have returned them. A power of two.
	contexts = 4096
	// closedFor is how long a closed flow stays in the table, so that late
	// packets of its end still reach the upstream.
	closedFor = 5 * time.Second
	// maxAcknowledged is how far an acknowledgement may lie from the
	// upstream's first sequence number: 16 MiB, 200 of the largest answers.
	maxAcknowledged = 16 << 20
	// runningFor is how long a request without an answer counts as running:
	// more than the longest deadline of a caller, 6 s.
	runningFor = 10 * time.Second
	// activeFor is how long after a caller's last packet its flow counts as
	// load. Callers pause for 1 to 3 s between requests; one that has given up
	// on a flow leaves it open at the upstream for longer.
	activeFor = 4 * time.Second
	// otherStartSilent is how long the newest start of the upstream must have been
	// silent for one that is older by the time of day to be believed: the clock
	// may have jumped back. More than three heartbeats.
	otherStartSilent = 3 * time.Second
	// resetAfterLeave is how long after its last call an upstream has surely
	// stopped. It exits at once; this covers late timers.
	resetAfterLeave = 150 * time.Millisecond
)

const (
	offered phase = iota
	accepted
	closed
)

type (
	// Port is where a relay's packets leave.
	Port interface {
		// ToUpstream delivers a packet to the upstream.
		ToUpstream(packet []byte)
		// ToCaller sends a packet to a caller.
		ToCaller(flow segment.Flow, packet []byte)
		// ToProcess sends a datagram to another process.
		ToProcess(to peer.Addr, datagram []byte)
		// RecordLatency tells of a latency, for the metrics.
		RecordLatency(m Measure, d time.Duration)
		// RecordDecision tells of a decision, for the log.
		RecordDecision(event Event, flow segment.Flow, frame *peer.Frame)
	}

	// Event names a decision.
	Event string

	// Measure names a latency.
	Measure string

	// Upstream is what an upstream said of itself last.
	Upstream struct {
		ID   string
		Born int64
		// Age is how long it has been running by its instance's clock, 0 if
		// that is not known.
		Age      time.Duration
		Sequence uint64
		Slots    int
		Draining bool
		ColdFor  time.Duration
	}

	// Relay holds the state of one agent.
	Relay struct {
		self    peer.Addr
		service peer.ServiceID
		codec   segment.Codec
		port    Port

		mu        sync.Mutex
		flows     map[segment.Flow]*state
		ring      [contexts]context
		next      uint32
		buf       []byte
		upstream  Upstream
		start     uint32        // peer.StartOf the upstream, 0 if unknown
		beatAt    time.Duration // of its last heartbeat
		coldUntil time.Duration
		alive     bool // the upstream has been heard and has not ended
		gone      bool // no process listens at the upstream's address
		leftAt    time.Duration
		left      bool
		open      int
		active    int // open flows whose callers were heard a moment ago
		running   int
		judge     judge
		lifetime  time.Duration
	}

	phase uint8

	// state is what the relay knows of a flow at its upstream.
	state struct {
		phase        phase
		numbered     bool   // first is known
		first        uint32 // the upstream's first sequence number
		acknowledged uint32 // what the caller acknowledged last
		running      bool   // a request has no answer yet
		callerDone   bool
		upstreamDone bool
		entry        peer.Addr
		held         time.Duration // when the upstream last sent a packet of it
		seen         time.Duration
		asked        time.Duration // when the caller's last packet came
		since        time.Duration // when the upstream got what it has not answered
	}

	// context is what is needed when the upstream returns a packet.
	context struct {
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
	}

	// Option changes what New returns.
	Option func(*Relay)
)

// The decisions of a relay.
const (
	Taken       Event = "taken"
	PassedOn    Event = "passed-on"
	SentBack    Event = "sent-back"
	Refused     Event = "refused-by-upstream"
	ResetEnded  Event = "reset-upstream-ended"
	ResetByIt   Event = "reset-by-upstream"
	UnknownBack Event = "returned-without-context"
	Failing     Event = "upstream-failing"
)

// The latencies that a relay measures.
const (
	// Accepting is the time from an offered opening to the upstream's answer.
	Accepting Measure = "accepting"
	// Answering is the time from a caller's data to the upstream's first data.
	Answering Measure = "answering"
)

// WithLifetime sets the age without packets at which a flow is forgotten.
func WithLifetime(d time.Duration) Option { return func(r *Relay) { r.lifetime = d } }

// New returns the relay of the upstream of a service.
func New(self peer.Addr, service peer.ServiceID, codec segment.Codec, port Port, options ...Option) *Relay {
	r := &Relay{
		self:     self,
		service:  service,
		codec:    codec,
		port:     port,
		flows:    make(map[segment.Flow]*state),
		lifetime: time.Minute,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// HandleFrame handles a frame of an entry or of another agent.
func (r *Relay) HandleFrame(now time.Duration, datagram []byte) error {
	var f peer.Frame
	if err := f.Decode(datagram); err != nil {
		return err
	}
	h, err := r.codec.FromCaller(f.Packet)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Opens() {
		r.handleOpening(now, &f, h)
		return nil
	}
	r.handleOpen(now, &f, h)
	return nil
}

// HandleOwnerQuery answers an entry that looks for the owner of a flow, if the table has
// it.
func (r *Relay) HandleOwnerQuery(entry peer.Addr, datagram []byte) error {
	var o peer.Owner
	if err := o.Decode(datagram); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := segment.Head{Flow: o.Flow, Flags: segment.Ack, Acknowledged: o.Acknowledged}
	if s := r.flows[o.Flow]; s != nil && s.phase == accepted && (o.Acknowledged == 0 || s.owns(asked)) {
		r.announce(o.Flow, s, entry)
	}
	return nil
}

// handleOpen handles a packet of a flow that is open somewhere.
func (r *Relay) handleOpen(now time.Duration, f *peer.Frame, h segment.Head) {
	s := r.flows[h.Flow]
	if s != nil && s.owns(h) {
		r.deliver(now, f, h, s)
		if f.Kind == peer.Search && s.phase == accepted {
			r.announce(h.Flow, s, f.Entry)
		}
		return
	}
	if s == nil && r.gone {
		r.passOn(f, h)
		return
	}
	if s == nil && f.Service == r.service {
		s = &state{since: now} // until the upstream answers the packet or returns it
		r.flows[h.Flow] = s
		r.deliver(now, f, h, s)
		return
	}
	if s == nil && f.Service != r.service {
		f.Uncertain = true // the table alone has answered
	}
	r.passOn(f, h)
}

// deliver gives the packet to the upstream and remembers where it came from.
func (r *Relay) deliver(now time.Duration, f *peer.Frame, h segment.Head, s *state) {
	r.note(now, f, h, s)
	r.next++
	c := &r.ring[r.next%contexts]
	c.tag, c.kind, c.uncertain = r.next, f.Kind, f.Uncertain
	c.forced, c.best, c.bestLoad = f.Forced, f.Best, f.BestLoad
	c.stage, c.round, c.hop, c.entry, c.service = f.Stage, f.Round, f.Hop, f.Entry, f.Service
	c.candidates = append(c.candidates[:0], f.Candidates...)
	r.codec.SetTag(f.Packet, r.next)
	r.port.ToUpstream(f.Packet)
}

// passOn sends a frame to the next agent on its list, or back to the entry.
func (r *Relay) passOn(f *peer.Frame, h segment.Head) {
	f.Hop++
	switch {
	case f.Forced:
		f.Hop = len(f.Candidates)
	case f.Hop >= len(f.Candidates) && f.Best > 0 && f.BestLoad <= loadUnit*mostRunning:
		f.Hop, f.Forced = f.Best-1, true
	}
	if f.Hop < len(f.Candidates) {
		r.port.RecordDecision(PassedOn, h.Flow, f)
		r.send(f.Candidates[f.Hop], f)
		return
	}
	f.Forced, f.Best, f.BestLoad = false, 0, 0
	r.port.RecordDecision(SentBack, h.Flow, f)
	f.For, f.Kind = f.Kind, peer.Returned
	r.send(f.Entry, f)
}

func (r *Relay) send(to peer.Addr, f *peer.Frame) {
	r.buf = f.Append(r.buf[:0])
	r.port.ToProcess(to, r.buf)
}
