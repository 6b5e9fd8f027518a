package fleetsim

import (
	"net/netip"
	"time"

	"hickoryhook.example/pkg/segment"
)

const (
	requestBytes  = 50
	firstPort     = 1024
	openTimeout   = 1400 * time.Millisecond
	resendAfter   = 200 * time.Millisecond
	requestLimit  = time.Second
	idle          = callerState(0)
	opening       = callerState(1)
	waiting       = callerState(2)
	open          = callerState(3)
	callerNetwork = 100<<24 | 64<<16
)

type (
	callerState int

	// caller sends requests on a flow that it keeps open.
	caller struct {
		world   *World
		vip     netip.AddrPort
		address netip.Addr
		every   time.Duration
		port    uint16
		flow    segment.Flow
		state   callerState
		attempt int // tells timers of an earlier state from those of this
		seq     uint32
		ack     uint32
		asked   time.Duration
		retries int
		repeats bool // a request that ran or may have run is tried again
	}
)

func (w *World) addCaller(vip netip.AddrPort, every time.Duration, repeats bool) {
	n := uint32(callerNetwork + len(w.callers) + 1)
	c := &caller{world: w, vip: vip, every: every, port: firstPort, repeats: repeats,
		address: netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})}
	w.callers = append(w.callers, c)
	first := time.Duration(w.random.Int64N(int64(every)))
	w.Every(first, every, func() bool { c.ask(); return true })
}

// ask begins a request, on the open flow or on a new one.
func (c *caller) ask() {
	w := c.world
	if c.state == opening || c.state == waiting {
		return // the last request has not ended yet
	}
	w.count("asked")
	c.asked, c.retries = w.now(), 0
	c.try()
	c.attempt++
	attempt := c.attempt
	w.After(requestLimit, func() {
		if c.attempt == attempt && (c.state == opening || c.state == waiting) {
			w.tracef("caller %s lost its request in state %d", c.flow, c.state)
			w.count("lost")
			c.state = idle
		}
	})
}

func (c *caller) try() {
	if c.state == open {
		c.state = waiting
		c.send(0)
		return
	}
	c.port++
	c.flow = segment.NewFlow(netip.AddrPortFrom(c.address, c.port), c.vip)
	c.seq = c.world.random.Uint32()
	c.state = opening
	c.open(0)
}

// open sends the opening packet and its copies.
func (c *caller) open(copies int) {
	flow := c.flow
	c.world.toRouters(packet(flow, false, segment.Open, c.seq, uint32(copies), 0))
	if copies < 2 {
		c.world.After(resendAfter<<copies, func() {
			if c.flow == flow && c.state == opening {
				c.open(copies + 1)
			}
		})
	}
}

// send sends the request, and again until it is answered.
func (c *caller) send(times int) {
	flow, seq := c.flow, c.seq
	c.world.toRouters(packet(flow, false, segment.Ack, c.seq, c.ack, requestBytes))
	c.world.After(resendAfter<<min(times, 3), func() {
		if c.flow == flow && c.seq == seq && c.state == waiting {
			c.send(times + 1)
		}
	})
}

// toCaller carries a packet to a caller.
func (w *World) toCaller(flow segment.Flow, b []byte) {
	copied := append([]byte(nil), b...)
	w.After(callerDelay, func() {
		for _, c := range w.callers {
			if c.flow == flow {
				c.receive(copied)
				return
			}
		}
	})
}

// toRouters carries a packet of a caller to the entry that the routers choose.
func (w *World) toRouters(b []byte) {
	w.After(callerDelay, func() {
		h, err := w.codec.FromCaller(b)
		if err != nil {
			w.count("malformed")
			return
		}
		if e := w.routed(h.Flow.Hash()); e != nil {
			e.fromCaller(b)
		}
	})
}

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
		c.send(0)
	case c.state == waiting && h.Length > 0 && h.Sequence == c.ack:
		c.ack += uint32(h.Length)
		c.seq += requestBytes
		c.state = open
		if h.Length == shedBytes {
			w.count("refused")
			return
		}
		w.count("served")
		if w.now()-c.asked > resendAfter {
			w.count("late")
		}
		if h.Has(segment.Fin) {
			c.state = idle
		}
	}
}

// reset ends the flow. A request that waits is tried again on a new one.
func (c *caller) reset() {
	w := c.world
	w.count("resets")
	if w.held(c.flow) && c.state != opening {
		w.tracef("caller %s reset though its upstream lives", c.flow)
		w.count("broken")
	}
	was := c.state
	c.state = idle
	switch {
	case was == waiting && !c.repeats:
		w.count("lost")
	case (was == opening || was == waiting) && c.retries < 2:
		c.retries++
		c.try()
	}
}

// held reports whether a live upstream holds a flow.
func (w *World) held(flow segment.Flow) bool {
	for _, i := range w.instances {
		if i.upstream != nil && i.upstream.flows[flow] != nil {
			return true
		}
	}
	return false
}
