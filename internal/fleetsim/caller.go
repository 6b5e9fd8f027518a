package fleetsim

import (
	"net/netip"
	"slices"
	"time"

	"hickoryhook.example/pkg/segment"
)

const (
	requestBytes      = 50                      // payload size of a request
	basePort          = 1024                    // callers use the ports above it
	openTimeout       = 1400 * time.Millisecond // without an answer to any copy of the opening, see Kind
	retransmitTimeout = 200 * time.Millisecond
	requestTimeout    = time.Second      // of a request, including openings of flows and retries
	maxRetries        = 2                // of a request, each on a new flow
	idle              = callerState(0)   // without a flow
	opening           = callerState(1)   // the opening packet has been sent
	waiting           = callerState(2)   // for the response to a request
	open              = callerState(3)   // with an open flow and no request
	callerNetwork     = 100<<24 | 64<<16 // 100.64.0.0
)

type (
	callerState int

	// caller sends requests on a flow that it keeps open. It has at most one
	// request at a time.
	caller struct {
		world         *World
		vip           netip.AddrPort
		address       netip.Addr
		port          uint16 // of the current flow
		flow          segment.Flow
		state         callerState
		requestNumber int           // counts the requests; timers of earlier ones do nothing
		seq           uint32        // next own sequence number
		ack           uint32        // next sequence number of the upstream
		requestedAt   time.Duration // start of the request, since the start of the simulation
		retries       int           // of the request on new flows
		idempotent    bool          // a request that may have run is retried
		kind          *Kind         // nil unless the caller is one of AddLoad
		request       *Request      // the current one of a caller of AddLoad
		runs          *requestRuns  // of the current request
	}

	// requestRuns counts how often upstreams have begun to process a request, in all its
	// attempts. repeatable means that it may be more than once.
	requestRuns struct {
		count      int
		repeatable bool
	}

	// requestPacket identifies a request in an attempt: the flow and the sequence number.
	requestPacket struct {
		flow segment.Flow
		seq  uint32
	}
)

func (w *World) addCaller(vip netip.AddrPort, interval time.Duration, idempotent bool) {
	c := w.newCaller(vip, idempotent)
	first := time.Duration(w.random.Int64N(int64(interval)))
	w.Every(first, interval, func() bool { c.startRequest(requestTimeout); return true })
}

// newCaller returns a caller with an address of its own.
func (w *World) newCaller(vip netip.AddrPort, idempotent bool) *caller {
	w.callers++
	n := uint32(callerNetwork + w.callers)
	return &caller{world: w, vip: vip, port: basePort, idempotent: idempotent,
		address: netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})}
}

// startRequest begins a request on the open flow or on a new one. The request
// is lost if it has not been answered within the timeout.
func (c *caller) startRequest(timeout time.Duration) {
	w := c.world
	if c.state == opening || c.state == waiting {
		return // the last request has not ended yet
	}
	w.count("asked")
	c.requestedAt, c.retries, c.runs = w.now(), 0, &requestRuns{repeatable: c.idempotent}
	c.sendOrOpen()
	c.requestNumber++
	number := c.requestNumber
	w.After(timeout, func() {
		if c.requestNumber == number && (c.state == opening || c.state == waiting) {
			w.tracef("caller %s request timed out in state %d", c.flow, c.state)
			c.endRequest(Failed)
			c.state = idle
		}
	})
}

// sendOrOpen sends the request if the flow is open, or opens a new flow from the
// next port.
func (c *caller) sendOrOpen() {
	if c.state == open {
		c.state = waiting
		c.sendRequest(0)
		return
	}
	delete(c.world.callersByFlow, c.flow)
	c.port++
	c.flow = segment.NewFlow(netip.AddrPortFrom(c.address, c.port), c.vip)
	c.world.callersByFlow[c.flow] = c
	c.seq = c.world.random.Uint32()
	c.state = opening
	c.sendOpening(0)
}

// sendOpening sends the opening packet, and up to two copies with exponential
// backoff while there is no response. The copies are numbered in the acknowledged
// number, as segment.Header describes.
func (c *caller) sendOpening(copies int) {
	flow := c.flow
	c.world.sendToRouters(packet(flow, false, segment.Open, c.seq, uint32(copies), 0))
	if copies < 2 {
		c.world.After(retransmitTimeout<<copies, func() {
			if c.flow == flow && c.state == opening {
				c.sendOpening(copies + 1)
			}
		})
	}
	if copies == 0 && c.kind != nil {
		c.world.After(openTimeout, func() {
			if c.flow == flow && c.state == opening {
				c.retryOrEnd(Failed)
			}
		})
	}
}

// sendRequest sends the request, and copies with capped exponential backoff until
// it is answered or lost.
func (c *caller) sendRequest(copies int) {
	flow, seq := c.flow, c.seq
	c.world.sent[requestPacket{flow: flow, seq: seq}] = c.runs
	c.world.sendToRouters(packet(flow, false, segment.Ack, c.seq, c.ack, requestBytes))
	c.world.After(retransmitTimeout<<min(copies, 3), func() {
		if c.flow == flow && c.seq == seq && c.state == waiting {
			c.sendRequest(copies + 1)
		}
	})
}

// recordRun counts that an upstream begins to process a request.
func (w *World) recordRun(flow segment.Flow, seq uint32) {
	w.count("ran")
	r := w.sent[requestPacket{flow: flow, seq: seq}]
	if r.count++; r.count > 1 && !r.repeatable {
		w.tracef("request of flow %s ran again", flow)
		w.count("ran-twice")
	}
}

// sendToCaller delivers a packet to the caller that uses the flow, if any.
func (w *World) sendToCaller(flow segment.Flow, b []byte) {
	copied := append([]byte(nil), b...)
	w.After(callerDelay, func() {
		if c := w.callersByFlow[flow]; c != nil {
			c.receive(copied)
		}
	})
}

// sendToRouters delivers a packet of a caller to the entry that the routers
// choose.
func (w *World) sendToRouters(b []byte) {
	w.After(callerDelay, func() {
		h, err := w.codec.FromCaller(b)
		if err != nil {
			w.count("malformed")
			return
		}
		if e := w.chooseEntry(h.Flow.Hash()); e != nil {
			e.handleCallerPacket(b)
		}
	})
}

// receive handles a packet of the upstream: a reset, the response to the opening
// packet, or that to the request.
func (c *caller) receive(b []byte) {
	w := c.world
	h, err := w.codec.FromUpstream(b)
	if err != nil {
		w.count("malformed")
		return
	}
	switch {
	case h.Has(segment.Reset):
		c.reset()
	case c.state == opening && h.Has(segment.Open|segment.Ack):
		c.seq++
		c.ack = h.Sequence + 1
		c.state = waiting
		c.sendRequest(0)
	case c.state == waiting && h.Length > 0 && h.Sequence == c.ack:
		c.ack += uint32(h.Length)
		c.seq += requestBytes
		c.state = open
		if h.Length == shedBytes {
			w.count("refused")
			if c.kind != nil {
				c.retryOrEnd(Refused)
			}
			return
		}
		w.count("served")
		if w.now()-c.requestedAt > retransmitTimeout {
			w.count("late")
		}
		c.endRequest(Answered)
		if h.Has(segment.Fin) || c.kind != nil && c.kind.FlowEach {
			c.state = idle
		}
	}
}

// reset ends the flow. A pending request is retried on a new flow. One that has been sent
// is retried only if it is idempotent, and is lost otherwise.
func (c *caller) reset() {
	w := c.world
	w.count("resets")
	if c.state != opening && c.flowHeld() {
		w.tracef("caller %s reset while an upstream holds the flow", c.flow)
		w.count("broken")
	}
	previous := c.state
	c.state = idle
	switch {
	case previous == waiting && !c.idempotent:
		c.endRequest(Failed)
	case previous == opening || previous == waiting:
		c.retryOrEnd(Failed)
	}
}

// retryOrEnd sends the request again on a new flow. After maxRetries the request ends
// with the outcome, which is counted for the callers of AddLoad only.
func (c *caller) retryOrEnd(o Outcome) {
	c.state = idle
	if c.retries < maxRetries {
		c.retries++
		c.sendOrOpen()
		return
	}
	if c.kind != nil {
		c.endRequest(o)
	}
}

// endRequest counts the end of a request.
func (c *caller) endRequest(o Outcome) {
	if o == Failed {
		c.world.count("lost")
	}
	if c.request != nil {
		c.request.Outcome, c.request.Latency = o, c.world.now()-c.request.At
		c.request = nil
	}
}

// flowHeld reports whether a running upstream holds the caller's flow. One that has accepted a copy of
// the opening, and with which the caller does not go on, holds another one.
func (c *caller) flowHeld() bool {
	return slices.ContainsFunc(c.world.instances, func(i *Instance) bool {
		if i.upstream == nil {
			return false
		}
		f := i.upstream.flows[c.flow]
		return f != nil && f.isAcknowledged(c.ack)
	})
}
