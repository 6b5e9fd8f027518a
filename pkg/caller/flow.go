// Package caller implements a test client that keeps a long-lived UDP flow to a
// service open and checks every reply.
//
// A datagram contains the flow's token and a sequence number. A test upstream
// (upstream.Echo) replies with its own name followed by the datagram. The flow
// records which upstreams replied, how many replies belonged to another flow, and
// how many datagrams were sent since the last one that was answered.
//
// # Usage
//
//	f, err := caller.Dial(vip, "token-1", 100*time.Millisecond)
//	f.Start(ctx)
//	report, err := f.Wait() // once ctx is canceled
package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxDatagram is the size of a receive buffer in bytes. Longer datagrams are truncated.
const maxDatagram = 9000

type (
	// Flow is the flow of one caller to one service.
	Flow struct {
		conn     *net.UDPConn
		token    string
		interval time.Duration
		report   Report
		done     chan error
	}

	// Report holds the results of a flow.
	Report struct {
		token         string
		sent          int
		answered      int
		upstreams     []string
		crossAnswered int
		firstReplyAt  time.Time
		unanswered    int
	}
)

// Dial opens the socket of a flow that sends a datagram every interval.
func Dial(vip netip.AddrPort, token string, interval time.Duration) (*Flow, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(vip))
	if err != nil {
		return nil, errors.Wrap(err, "caller: dial")
	}
	return &Flow{
		conn:     conn,
		token:    token,
		interval: interval,
		report:   Report{token: token},
		done:     make(chan error, 1),
	}, nil
}

// Start starts a goroutine that sends datagrams until the context is canceled.
func (f *Flow) Start(ctx context.Context) {
	go func() { f.done <- f.run(ctx) }()
}

// Wait waits until the goroutine that Start started has ended, closes the socket
// and returns the report.
func (f *Flow) Wait() (Report, error) {
	err := <-f.done
	return f.report, errors.Join(err, f.conn.Close())
}

// Token returns the token of the flow.
func (r Report) Token() string { return r.token }

// Sent returns the number of datagrams sent, including those for which the socket
// returned an error.
func (r Report) Sent() int { return r.sent }

// Answered returns the number of datagrams answered before the next one was sent. A
// duplicate reply counts again.
func (r Report) Answered() int { return r.answered }

// Upstreams returns the names of the upstreams that replied, without duplicates, in
// the order of their first replies.
func (r Report) Upstreams() []string { return r.upstreams }

// CrossAnswered returns the number of received replies that belong to another flow.
func (r Report) CrossAnswered() int { return r.crossAnswered }

// FirstReplyAt returns the time of the first reply, or the zero time if there was
// none.
func (r Report) FirstReplyAt() time.Time { return r.firstReplyAt }

// Unanswered returns the number of datagrams sent since the last one that was
// answered.
func (r Report) Unanswered() int { return r.unanswered }

// run sends a datagram every interval until the context is canceled. A failed write does
// not end it unless the socket is closed.
func (f *Flow) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for sequence := 0; ctx.Err() == nil; sequence++ {
		request := fmt.Sprintf("%s %d", f.token, sequence)
		deadline := time.Now().Add(f.interval)
		if _, err := f.conn.Write([]byte(request)); err != nil && errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "caller: write")
		}
		f.report.sent++
		f.report.unanswered++
		if err := f.receive(buf, request, deadline); err != nil {
			return err
		}
	}
	return nil
}

// receive reads and records replies until the deadline. It returns an error if the
// socket is closed. Other read errors, such as a refused connection, are ignored.
func (f *Flow) receive(buf []byte, request string, deadline time.Time) error {
	if err := f.conn.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "caller: set read deadline")
	}
	for {
		n, err := f.conn.Read(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "caller: read")
		case err != nil && time.Now().Before(deadline):
			continue
		case err != nil:
			return nil
		}
		f.recordReply(string(buf[:n]), request)
	}
}

// recordReply updates the report with a received reply. Only a reply to request, the
// datagram sent last, counts as answered. For a late reply to an earlier datagram of the
// flow only the upstream and the time of the first reply are recorded.
func (f *Flow) recordReply(reply, request string) {
	upstream, echoed, _ := strings.Cut(reply, " ")
	token, _, _ := strings.Cut(echoed, " ")
	if token != f.token {
		f.report.crossAnswered++
		return
	}
	if f.report.firstReplyAt.IsZero() {
		f.report.firstReplyAt = time.Now()
	}
	if !slices.Contains(f.report.upstreams, upstream) {
		f.report.upstreams = append(f.report.upstreams, upstream)
	}
	if echoed == request {
		f.report.answered++
		f.report.unanswered = 0
	}
}
