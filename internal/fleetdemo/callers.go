package fleetdemo

import (
	"context"
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
	requestBytes = 100
	resendAfter  = 200 * time.Millisecond
	deadline     = 2 * time.Second
	askEvery     = 250 * time.Millisecond
	firstPort    = 1024
	// resetWindow is how far the number of a reset may lie from what the
	// caller acknowledged last, in bytes, as the platform's callers have it.
	resetWindow = 76800
)

type (
	// callers share one address and socket, as the platform's do.
	callers struct {
		site *site
		conn *net.UDPConn
		mu   sync.Mutex
		to   map[segment.Flow]chan segment.Header
		port uint16
		// first is the first flow that was opened.
		first segment.Flow

		asked, answered, lost, resets, broken int
	}

	// line is a flow that a caller keeps open.
	line struct {
		flow     segment.Flow
		packets  chan segment.Header
		seq, ack uint32
		first    uint32 // of the upstream
		closed   bool   // the upstream has closed it with its last answer
	}
)

func newCallers(s *site) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(s.host(callerHost), portPackets)))
	if err != nil {
		return nil, errors.Wrap(err, "callers")
	}
	return &callers{site: s, conn: conn, to: make(map[segment.Flow]chan segment.Header), port: firstPort}, nil
}

// receive hands packets to the lines they belong to until the socket is closed.
func (c *callers) receive() error {
	return eachPacket(c.conn, func(b []byte) {
		h, err := platform.DecodeFromUpstream(b)
		if err != nil {
			return
		}
		c.mu.Lock()
		packets := c.to[h.Flow]
		c.mu.Unlock()
		select {
		case packets <- h:
		default: // nobody waits for it any more
		}
	})
}

// run asks on one line until the context ends, and opens another when it is
// reset.
func (c *callers) run(ctx context.Context) error {
	var l *line
	for ctx.Err() == nil {
		ok := true
		if l != nil && (l.closed || c.wasReset(l)) {
			l = nil
		}
		if l == nil {
			l, ok = c.open()
		}
		c.count(&c.asked)
		if ok {
			ok = c.ask(l)
		}
		if ok {
			c.count(&c.answered)
		} else {
			c.count(&c.lost)
			l = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
	return nil
}

// wasReset reports whether a line was reset while nobody waited on it.
func (c *callers) wasReset(l *line) bool {
	for {
		select {
		case h := <-l.packets:
			if l.resetBy(h) {
				c.reset(l)
				return true
			}
		default:
			return false
		}
	}
}

// resetBy reports whether a packet ends the line: a reset whose number is far
// from what the caller has acknowledged belongs to another opening of the flow.
func (l *line) resetBy(h segment.Header) bool {
	far := int32(h.Sequence - l.ack)
	return h.Has(segment.Reset) && (l.ack == 0 || far >= -resetWindow && far <= resetWindow)
}

func (c *callers) open() (*line, bool) {
	c.mu.Lock()
	c.port++
	flow := segment.NewFlow(netip.AddrPortFrom(c.site.host(callerHost), c.port), vip)
	l := &line{flow: flow, packets: make(chan segment.Header, 8), seq: uint32(c.port) << 12}
	c.to[flow] = l.packets
	if c.first == (segment.Flow{}) {
		c.first = flow
	}
	c.mu.Unlock()
	h, ok := c.exchange(l, segment.Header{Flow: flow, Flags: segment.Open, Sequence: l.seq}, func(h segment.Header) bool {
		return h.Has(segment.Open | segment.Ack)
	})
	l.seq++
	l.first, l.ack = h.Sequence, h.Sequence+1
	return l, ok
}

func (c *callers) ask(l *line) bool {
	h, ok := c.exchange(l, segment.Header{Flow: l.flow, Flags: segment.Ack, Sequence: l.seq, Acknowledged: l.ack, Length: requestBytes},
		func(h segment.Header) bool { return h.Length > 0 && h.Sequence == l.ack })
	l.closed = h.Has(segment.Fin)
	l.seq += requestBytes
	l.ack += uint32(h.Length)
	return ok
}

// exchange sends a packet until an answer comes that is wanted, the line is
// reset, or the deadline passes.
func (c *callers) exchange(l *line, h segment.Header, wanted func(segment.Header) bool) (segment.Header, bool) {
	b := platform.EncodePacket(h, false)
	end := time.After(deadline)
	for {
		if to, ok := c.site.routed(l.flow); ok {
			if _, err := c.conn.WriteToUDPAddrPort(b, to); err != nil {
				return segment.Header{}, false
			}
		}
		resend := time.After(resendAfter)
	wait:
		for {
			select {
			case got := <-l.packets:
				if l.resetBy(got) {
					c.reset(l)
					return got, false
				}
				if wanted(got) {
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

// reset counts the reset of a line, and whether a living upstream holds it.
func (c *callers) reset(l *line) {
	c.count(&c.resets)
	if l.ack != 0 && c.site.holds(l.flow, l.first) {
		c.count(&c.broken)
		c.site.log.Error("flow reset though its upstream lives", zap.Stringer("flow", l.flow))
	}
}

// seen returns what the callers have seen.
func (c *callers) seen() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{Requests: c.asked, Answered: c.answered, Lost: c.lost, Resets: c.resets, Broken: c.broken, FirstFlow: c.first.String()}
}

func (c *callers) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}
