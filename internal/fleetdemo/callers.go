package fleetdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	requestBytes      = 100 // payload size of a request
	retransmitTimeout = 200 * time.Millisecond
	exchangeTimeout   = 2 * time.Second        // of an opening or a request, with its copies
	requestInterval   = 250 * time.Millisecond // from the end of a request to the next one
	basePort          = 1024                   // callers use the ports above it
	inboxSize         = 64                     // packets that a caller has not read
	timeFormat        = "15:04:05.000"         // of the processes' logs
	// resetWindow is the largest distance, in bytes, between the sequence number
	// of a reset and the number that the caller acknowledged last at which the
	// reset is accepted. The platform's callers use the same value.
	resetWindow = 76800
	// maxRequestPause bounds the pause between two requests if upstreams flap: flows rest
	// while processes restart.
	maxRequestPause = 3 * time.Second
	// reopenShare is the share of requests after which a caller opens another flow if the route
	// moves or upstreams flap: flows must be placed on each service and at each start.
	reopenShare = 0.15
)

type (
	// callers are clients that share one address and socket, as those of the
	// platform do. Each keeps one flow open.
	callers struct {
		site     *site
		conn     *net.UDPConn
		mu       sync.Mutex
		inboxes  map[segment.Flow]chan arrival
		lastPort uint16 // of the flow that was opened last
		// firstFlow is the flow that was opened first.
		firstFlow segment.Flow
		settled   atomic.Bool // no request may be lost from now on

		// The counts of Report.
		requests, answered, lost, resets, broken int
		brokenFlows                              []string // see Report.BrokenFlows
	}

	// arrival is a packet for a caller. Of a reset it also holds the state at that time: its
	// caller may read it only before its next request.
	arrival struct {
		segment.Header
		at      time.Time
		from    netip.Addr        // the entry or agent that has sent it
		holders map[uint32]string // see site.holders
	}

	// callerFlow is a flow that a caller keeps open.
	callerFlow struct {
		opening  *openingCopies
		flow     segment.Flow
		inbox    chan arrival
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
	return &callers{site: s, conn: conn, inboxes: make(map[segment.Flow]chan arrival), lastPort: basePort}, nil
}

// receive passes packets to the inboxes of their flows until the socket is
// closed.
func (c *callers) receive() error {
	return eachPacket(c.conn, func(from netip.AddrPort, b []byte) {
		h, err := platform.DecodeFromUpstream(b)
		if err != nil {
			return
		}
		got := arrival{Header: h, at: time.Now(), from: from.Addr().Unmap()}
		if h.Has(segment.Reset) {
			got.holders = c.site.holders(h.Flow)
		}
		c.mu.Lock()
		inbox := c.inboxes[h.Flow]
		c.mu.Unlock()
		select {
		case inbox <- got:
		default: // the flow is unknown or its inbox is full
		}
	})
}

// run sends requests on one flow until the context ends. It opens another flow when that is
// reset or closed, when a request is lost and, if the route moves or upstreams flap, after some
// requests.
func (c *callers) run(ctx context.Context) error {
	var f *callerFlow
	for ctx.Err() == nil {
		ok := true
		if f != nil && (f.closed || c.wasReset(f) || (c.site.moves || c.site.flaps) && rand.Float64() < reopenShare) {
			f = nil
		}
		if f == nil {
			f, ok = c.open(vip)
		}
		c.increment(&c.requests)
		if ok {
			ok = c.request(f)
		}
		if ok {
			c.increment(&c.answered)
		} else {
			c.recordLost(f)
			f = nil
		}
		pause := requestInterval
		if c.site.flaps {
			pause = rand.N(maxRequestPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// wasReset reports whether the flow was reset between two requests, and counts
// that reset. It discards other packets of the flow.
func (c *callers) wasReset(f *callerFlow) bool {
	for {
		select {
		case got := <-f.inbox:
			if f.resetBy(got.Header) {
				c.recordReset(f, got)
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

// open opens a flow to a VIP from the next port. It returns false if that fails.
func (c *callers) open(to netip.AddrPort) (*callerFlow, bool) {
	c.mu.Lock()
	c.lastPort++
	flow := segment.NewFlow(netip.AddrPortFrom(c.site.host(callerHost), c.lastPort), to)
	f := &callerFlow{flow: flow, inbox: make(chan arrival, inboxSize), seq: uint32(c.lastPort) << 12, opening: c.site.openings.add(flow)}
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
	if o, single := f.opening.single(); single && h.Has(segment.Reset) {
		c.site.judge.refused(o, time.Now()) // with several copies it is not known which one was refused
	}
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
// received packet, which it returns. The copies of an opening are numbered. It returns false if
// the flow is reset, with that packet, if exchangeTimeout passes or the packet cannot be sent.
func (c *callers) exchange(f *callerFlow, h segment.Header, accepts func(segment.Header) bool) (segment.Header, bool) {
	end := time.After(exchangeTimeout)
	for {
		if to, ok := c.site.routeFlow(f.flow); ok {
			if h.Opens() {
				h.Acknowledged = f.opening.record(opening{vip: f.flow.VIP(), sent: time.Now(), entry: to.Addr(), name: f.flow.String()})
			}
			b := platform.EncodePacket(h, false)
			if _, err := c.conn.WriteToUDPAddrPort(b, to); err != nil {
				return segment.Header{}, false
			}
		}
		resend := time.After(retransmitTimeout)
	wait:
		for {
			select {
			case got := <-f.inbox:
				if f.resetBy(got.Header) {
					c.recordReset(f, got)
					return got.Header, false
				}
				if accepts(got.Header) {
					return got.Header, true
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
// flow was open, its route is there and a running upstream held it when the reset arrived.
func (c *callers) recordReset(f *callerFlow, reset arrival) {
	holder, held := reset.holders[f.isn]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets++
	if f.ack == 0 || !held || c.site.judge.drops(f.flow.VIP()) {
		return
	}
	c.broken++
	text := fmt.Sprintf("%s reset flow %s at %s, which upstream %s held", processAt(reset.from), f.flow, reset.at.Format(timeFormat), holder)
	c.brokenFlows = append(c.brokenFlows, text)
	c.site.incidents.add(incident{reset.at, f.flow.String(), reset.from.String(), text})
}

// recordLost counts a lost request, which is an incident once the faults have settled.
func (c *callers) recordLost(f *callerFlow) {
	c.increment(&c.lost)
	if c.settled.Load() {
		now := time.Now()
		c.site.incidents.add(incident{now, f.flow.String(), "", fmt.Sprintf("a request of flow %s is lost at %s", f.flow, now.Format(timeFormat))})
	}
}

// report returns the counts of the callers and the first flow.
func (c *callers) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{Requests: c.requests, Answered: c.answered, Lost: c.lost, Resets: c.resets, Broken: c.broken, BrokenFlows: slices.Clone(c.brokenFlows), FirstFlow: c.firstFlow.String()}
}

func (c *callers) increment(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}
