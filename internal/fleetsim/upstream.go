package fleetsim

import (
	"time"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// meanWork is the mean processing time of a request, which is distributed
	// exponentially.
	meanWork = 15 * time.Millisecond
	// maxQueued is the number of requests that may wait for a slot; further ones
	// are shed.
	maxQueued = 20
	// responseBytes and shedBytes are the payload sizes of a response and of the
	// refusal of a request that was shed.
	responseBytes = 100
	shedBytes     = 10
	// maxAcknowledged bounds what an upstream sends in a flow, in bytes.
	maxAcknowledged = 1 << 24
)

type (
	// upstream is a server that processes one request at a time in each of its
	// instance's slots. A request is one packet, and so is its response.
	upstream struct {
		instance   *Instance
		id         string
		born       int64 // start time in Unix milliseconds
		heartbeats uint64
		draining   bool
		failing    bool // resets each flow at its next request
		// drainAckedAt is when the agent acknowledged the draining state, since the
		// start of the simulation, 0 if it has not.
		drainAckedAt time.Duration
		flows        map[segment.Flow]*heldFlow
		running      int             // requests in slots
		queue        []func()        // starts each request that waits for a slot
		coldOpenings []time.Duration // of the last second of the warm-up, see checkOpening
	}

	// heldFlow is the state of a flow at an upstream.
	heldFlow struct {
		isn      uint32 // own initial sequence number
		nextSeq  uint32 // own next sequence number
		wantSeq  uint32 // next sequence number of the caller
		answered bool   // a response has been sent; not read
		busy     bool   // a request waits or is being processed
		last     []byte // last response, for retransmitted requests
	}
)

func newUpstream(i *Instance, id string, born int64) *upstream {
	return &upstream{instance: i, id: id, born: born, flows: make(map[segment.Flow]*heldFlow)}
}

// receive handles a packet of the agent.
func (u *upstream) receive(b []byte) {
	w := u.instance.world
	h, err := w.codec.FromCaller(b)
	if err != nil {
		w.count("malformed")
		return
	}
	if h.Opens() {
		u.open(h)
		return
	}
	f := u.flows[h.Flow]
	if f == nil || !f.isAcknowledged(h.Acknowledged) {
		if !w.allowed[h.Flow.VIP()][u.instance.service] {
			w.count("strayed")
		}
		u.bounce(b)
		return
	}
	if h.Has(segment.Fin) {
		delete(u.flows, h.Flow)
		return
	}
	if h.Length == 0 {
		return
	}
	if u.failing {
		w.count("reset-by-upstream")
		delete(u.flows, h.Flow)
		u.send(packet(h.Flow, true, segment.Reset, f.nextSeq, 0, 0))
		return
	}
	if h.Sequence != f.wantSeq {
		if f.last != nil && !f.busy { // a retransmitted request that was answered
			u.send(f.last)
		}
		return
	}
	f.wantSeq += uint32(h.Length)
	f.busy = true
	u.startOrQueue(h.Flow, f, h.Sequence)
}

// isAcknowledged reports whether a caller that acknowledges a number goes on with this flow. A
// number before the flow's initial sequence number, or more than maxAcknowledged after it, belongs
// to another opening of the flow.
func (f *heldFlow) isAcknowledged(number uint32) bool { return number-f.isn <= maxAcknowledged }

// open accepts a flow, or answers a copy of its opening packet, and counts
// openings that must not have reached this upstream.
func (u *upstream) open(h segment.Header) {
	w := u.instance.world
	if !w.allowed[h.Flow.VIP()][u.instance.service] {
		w.count("misrouted")
	}
	// An opening that the agent offered just before it acknowledged the draining
	// arrives after localDelay, which is far below 100 ms.
	if at := u.drainAckedAt; at > 0 && w.now()-at > 100*time.Millisecond {
		w.count("opened-while-draining")
	}
	f := u.flows[h.Flow]
	if f == nil {
		f = &heldFlow{isn: w.random.Uint32(), wantSeq: h.Sequence + 1}
		f.nextSeq = f.isn + 1
		u.flows[h.Flow] = f
		u.checkOpening()
		if u.instance.domain != "" {
			w.count("opened-" + u.instance.domain)
		}
	}
	u.send(packet(h.Flow, true, segment.Open|segment.Ack, f.isn, h.Sequence+1, 0))
}

// startOrQueue starts a request if a slot is free, queues it otherwise, and
// sheds it if the queue is full.
func (u *upstream) startOrQueue(flow segment.Flow, f *heldFlow, seq uint32) {
	w := u.instance.world
	run := func() {
		u.running++
		w.recordRun(flow, seq)
		w.After(u.processingTime(flow), func() { u.finish(flow, f) })
	}
	if u.running < u.instance.slots {
		run()
		return
	}
	if len(u.queue) >= w.queueLength {
		w.count("shed")
		f.busy = false
		f.last = packet(flow, true, segment.Ack, f.nextSeq, f.wantSeq, shedBytes)
		f.nextSeq += shedBytes
		u.send(f.last)
		return
	}
	u.queue = append(u.queue, run)
}

// processingTime returns how long the upstream processes a request of the flow: the work
// of its caller's request, or a random time for callers without a kind.
func (u *upstream) processingTime(flow segment.Flow) time.Duration {
	w := u.instance.world
	c := w.callersByFlow[flow]
	if c == nil || c.request == nil {
		return time.Duration(w.random.ExpFloat64() * float64(meanWork))
	}
	return time.Duration(float64(c.request.Work) * u.slowness())
}

// slowness returns the factor by which the upstream is slower than usual.
func (u *upstream) slowness() float64 {
	factor := max(1, u.instance.slowFactor)
	if u.coldFor() > 0 {
		factor *= u.instance.world.cold.factor
	}
	return factor
}

// coldFor returns the remaining time of the upstream's warm-up.
func (u *upstream) coldFor() time.Duration {
	w := u.instance.world
	return max(0, w.cold.duration-(w.now()-u.coldSince()))
}

// finish sends the response to a request and starts the next one in the queue.
// While the upstream drains, the response also ends the flow.
func (u *upstream) finish(flow segment.Flow, f *heldFlow) {
	u.running--
	if u.instance.upstream != u {
		return // ended meanwhile
	}
	f.busy, f.answered = false, true
	flags := segment.Ack
	if u.draining {
		flags |= segment.Fin
	}
	f.last = packet(flow, true, flags, f.nextSeq, f.wantSeq, responseBytes)
	f.nextSeq += responseBytes
	u.send(f.last)
	if u.draining {
		delete(u.flows, flow)
	}
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		next()
	}
}

// send hands a packet to the agent, which reports to the entries at once if
// relay.HandleUpstreamPacket asks for that. The packet is lost if the agent does not
// run or the upstream has ended.
func (u *upstream) send(b []byte) {
	i := u.instance
	if !i.agentUp || i.upstream != u {
		return
	}
	changed, err := i.relay.HandleUpstreamPacket(i.world.now(), append([]byte(nil), b...))
	if err != nil {
		i.world.count("malformed")
	}
	if changed {
		i.sendReport()
	}
}

// bounce sends a packet of a flow that the upstream does not hold back to the
// agent, marked as bounced.
func (u *upstream) bounce(b []byte) {
	platform.MarkBounced(b)
	u.instance.world.After(50*time.Microsecond, func() { u.send(b) })
}

// packet returns an encoded packet of the caller or, if fromUpstream is set, of
// the upstream, with a payload of length bytes.
func packet(flow segment.Flow, fromUpstream bool, flags segment.Flags, seq, ack uint32, length int) []byte {
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Sequence: seq, Acknowledged: ack, Length: uint16(length)}, fromUpstream)
}
