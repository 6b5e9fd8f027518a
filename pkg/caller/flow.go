// Package caller stands in for callers: it keeps a long flow of datagrams to a
// service and checks every answer.
//
// A datagram carries the flow's token and a number; an upstream stand-in
// answers with its own name before it. The flow notes which upstreams
// answered, answers that belong to another flow, and datagrams that got none.
//
// # Usage
//
//	f, err := caller.Dial(vip, "token-1", 100*time.Millisecond)
//	f.Start(ctx)
//	report := f.Wait()
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

const maxDatagram = 9000

type (
	// Flow is one flow of a caller.
	Flow struct {
		conn     *net.UDPConn
		token    string
		interval time.Duration
		report   Report
		done     chan error
	}

	// Report tells what happened to a flow.
	Report struct {
		token      string
		sent       int
		answered   int
		upstreams  []string
		foreign    int
		firstAt    time.Time
		unanswered int
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

// Start sends until the context ends.
func (f *Flow) Start(ctx context.Context) {
	go func() { f.done <- f.run(ctx) }()
}

// Wait waits for the end of what Start began, closes the socket and returns
// the report.
func (f *Flow) Wait() (Report, error) {
	err := <-f.done
	return f.report, errors.Join(err, f.conn.Close())
}

// Token returns the token of the flow.
func (r Report) Token() string { return r.token }

// Sent returns the number of datagrams sent.
func (r Report) Sent() int { return r.sent }

// Answered returns the number of datagrams answered.
func (r Report) Answered() int { return r.answered }

// Upstreams returns the names of the upstreams that answered, each once, in
// the order of their first answers.
func (r Report) Upstreams() []string { return r.upstreams }

// CrossAnswered returns the number of answers that belong to another flow.
func (r Report) CrossAnswered() int { return r.foreign }

// FirstAt returns when the first answer came; zero if none did.
func (r Report) FirstAt() time.Time { return r.firstAt }

// Unanswered returns how many of the last datagrams, in a row, got no answer.
func (r Report) Unanswered() int { return r.unanswered }

func (f *Flow) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for number := 0; ctx.Err() == nil; number++ {
		text := fmt.Sprintf("%s %d", f.token, number)
		deadline := time.Now().Add(f.interval)
		if _, err := f.conn.Write([]byte(text)); err != nil && errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "caller: write")
		}
		f.report.sent++
		f.report.unanswered++
		if err := f.receive(buf, text, deadline); err != nil {
			return err
		}
	}
	return nil
}

// receive reads answers until the deadline. Only the answer to the datagram
// just sent counts as its answer; late answers of the same flow are counted
// for their upstream.
func (f *Flow) receive(buf []byte, text string, deadline time.Time) error {
	if err := f.conn.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "caller: deadline")
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
		f.note(string(buf[:n]), text)
	}
}

func (f *Flow) note(answer, text string) {
	upstream, echoed, _ := strings.Cut(answer, " ")
	token, _, _ := strings.Cut(echoed, " ")
	if token != f.token {
		f.report.foreign++
		return
	}
	if f.report.firstAt.IsZero() {
		f.report.firstAt = time.Now()
	}
	if !slices.Contains(f.report.upstreams, upstream) {
		f.report.upstreams = append(f.report.upstreams, upstream)
	}
	if echoed == text {
		f.report.answered++
		f.report.unanswered = 0
	}
}
