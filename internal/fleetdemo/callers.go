package fleetdemo

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	requestBytes      = 100 // payload size of a request
	retransmitTimeout = 200 * time.Millisecond
	exchangeTimeout   = 2 * time.Second        // of an opening or a request, with its copies
	requestInterval   = 250 * time.Millisecond // from the end of a request to the next one
	basePort          = 1024                   // callers use the ports above it
	// resetWindow is the largest distance, in bytes, between the sequence number
	// of a reset and the number that the caller acknowledged last at which the
	// reset is accepted. The platform's callers use the same value.
	resetWindow = 76800
	// reopenShare is the share of requests after which a caller of a route that moves opens
	// another flow: flows must be placed on each of its services.
	reopenShare = 0.15
)

type (
	// callers are clients that share one address and socket, as those of the
	// platform do. Each keeps one flow open.
	callers struct {
		site     *site
		conn     *net.UDPConn
		mu       sync.Mutex
		inboxes  map[segment.Flow]chan segment.Header
		lastPort uint16 // of the flow that was opened last
		// firstFlow is the flow that was opened first.
		firstFlow segment.Flow

		// The counts of Report.
		requests, answered, lost, resets, broken int
	}

	// callerFlow is a flow that a caller keeps open.
	callerFlow struct {
		flow     segment.Flow
		inbox    chan segment.Header
		seq, ack uint32 // next sequence numbers of the caller and of the upstream
		isn      uint32 // initial sequence number of the upstream
		closed   bool   // the upstream closed the flow with its last response
	}
)

func newCallers(s *site) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addrPort(s.host(callerHost), portPackets)))
	if err != nil {
		return nil, errors.Wrap(err, "open the callers' socket")
	}
	return &callers{site: s, conn: conn, inboxes: make(map[segment.Flow]chan segment.Header), lastPort: basePort}, nil
}

// receive passes packets to the inboxes of their flows until the socket is
// closed.
func (c *callers) receive() error {
	return eachPacket(c.conn, func(b []byte) {
		h, err := platform.DecodeFromUpstream(b)
		if err != nil {
			return
		}
		c.mu.Lock()
		inbox := c.inboxes[h.Flow]
		c.mu.Unlock()
		select {
		case inbox <- h:
		default: // the flow is unknown or its inbox is full
		}
	})
}

// run sends requests on one flow until the context ends. It opens another flow when that is
// reset or closed, when a request is lost and, if the route moves, after some requests.
func (c *callers) run(ctx context.Context) error {
	var f *callerFlow
	for ctx.Err() == nil {
		ok := true
		if f != nil && (f.closed || c.wasReset(f) || c.site.moves && rand.Float64() < reopenShare) {
			f = nil
		}
		if f == nil {
			f, ok = c.open()
		}
		c.increment(&c.requests)
		if ok {
			ok = c.request(f)
		}
		if ok {
			c.increment(&c.answered)
		} else {
			c.increment(&c.lost)
			f = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
	return nil
}

// wasReset reports whether the flow was reset between two requests, and counts
// that reset. It discards other packets of the flow.
func (c *callers) wasReset(f *callerFlow) bool {
	for {
		select {
		case h := <-f.inbox:
			if f.resetBy(h) {
				c.recordReset(f)
				return true
			}
		default:
			return false
		}
	}
}

// resetBy reports whether a packet resets the flow. A reset whose sequence number
// is more than resetWindow from what the caller has acknowledged belongs to
// another opening of the flow and is ignored. Until the opening packet has been
// answered, f.ack is 0 and any reset counts.
func (f *callerFlow) resetBy(h segment.Header) bool {
	far := int32(h.Sequence - f.ack)
	return h.Has(segment.Reset) && (f.ack == 0 || far >= -resetWindow && far <= resetWindow)
}

// open opens a flow from the next port. It returns false if that fails.
func (c *callers) open() (*callerFlow, bool) {
	c.mu.Lock()
	c.lastPort++
	flow := segment.NewFlow(netip.AddrPortFrom(c.site.host(callerHost), c.lastPort), vip)
	f := &callerFlow{flow: flow, inbox: make(chan segment.Header, 8), seq: uint32(c.lastPort) << 12}
	c.inboxes[flow] = f.inbox
	if c.firstFlow == (segment.Flow{}) {
		c.firstFlow = flow
	}
	c.mu.Unlock()
	h, ok := c.exchange(f, segment.Header{Flow: flow, Flags: segment.Open, Sequence: f.seq}, func(h segment.Header) bool {
		return h.Has(segment.Open | segment.Ack)
	})
	f.seq++
	f.isn, f.ack = h.Sequence, h.Sequence+1
	return f, ok
}

// request sends a request and reports whether it was answered.
func (c *callers) request(f *callerFlow) bool {
	h, ok := c.exchange(f, segment.Header{Flow: f.flow, Flags: segment.Ack, Sequence: f.seq, Acknowledged: f.ack, Length: requestBytes},
		func(h segment.Header) bool { return h.Length > 0 && h.Sequence == f.ack })
	f.closed = h.Has(segment.Fin)
	f.seq += requestBytes
	f.ack += uint32(h.Length)
	return ok
}

// exchange sends a packet, and retransmits it, until accepts returns true for a
// received packet, which it returns. It returns false if the flow is reset,
// exchangeTimeout passes or the packet cannot be sent.
func (c *callers) exchange(f *callerFlow, h segment.Header, accepts func(segment.Header) bool) (segment.Header, bool) {
	b := platform.EncodePacket(h, false)
	end := time.After(exchangeTimeout)
	for {
		if to, ok := c.site.routeFlow(f.flow); ok {
			if _, err := c.conn.WriteToUDPAddrPort(b, to); err != nil {
				return segment.Header{}, false
			}
		}
		resend := time.After(retransmitTimeout)
	wait:
		for {
			select {
			case got := <-f.inbox:
				if f.resetBy(got) {
					c.recordReset(f)
					return got, false
				}
				if accepts(got) {
					return got, true
				}
			case <-resend:
				break wait
			case <-end:
				return segment.Header{}, false
			}
		}
	}
}

// recordReset counts the reset of a flow. It counts it as broken, too, if the
// flow was open and a running upstream holds it.
func (c *callers) recordReset(f *callerFlow) {
	c.increment(&c.resets)
	if f.ack != 0 && c.site.holds(f.flow, f.isn) {
		c.increment(&c.broken)
		c.site.log.Error("flow reset while a running upstream holds it", zap.Stringer("flow", f.flow))
	}
}

// report returns the counts of the callers and the first flow.
func (c *callers) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{Requests: c.requests, Answered: c.answered, Lost: c.lost, Resets: c.resets, Broken: c.broken, FirstFlow: c.firstFlow.String()}
}

func (c *callers) increment(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}
