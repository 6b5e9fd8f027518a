// Package transfer carries HTTP calls whose responses may be large for the link of this process.
//
// A time limit on such a call depends on the size of the response and on what else uses the link.
// If several calls fill the link and each is given up when its time is over, none ever ends. So a
// call here is given up only if nothing of its response arrives for a while, and large responses
// pass the link one after the other: what has arrived of one is not thrown away for another.
//
// # Usage
//
//	transport := transfer.New(transfer.WithLane(lane))
//	client := &http.Client{Transport: transport} // without a Timeout
//	ctx, cancel := transfer.WithStallTimeout(ctx, 2*time.Second)
//	defer cancel()
//	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
//	resp, err := client.Do(req) // fails with ErrStalled if nothing arrives for 2 s
//
// A call whose context does not come from WithStallTimeout has no limit but its context's own.
package transfer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// laneBytes is how much of each response, in bytes, is read without the lane: small ones
	// never wait for large ones.
	laneBytes = 32 << 10
	// laneWait is how long the rest waits for the response before it. That one may come from a
	// process that no longer answers.
	laneWait = time.Second
)

// ErrStalled reports a call of whose response nothing has arrived for the time limit.
var ErrStalled = errors.New("no progress of the response")

type (
	// Lane admits one large response at a time. All transports of a process share one.
	Lane struct{ free chan struct{} }

	// Transport is an http.RoundTripper.
	Transport struct {
		base http.RoundTripper
		lane *Lane
	}

	// Option configures a Transport.
	Option func(*Transport)

	// body is the body of a response.
	body struct {
		io.ReadCloser
		ctx      context.Context
		progress *progress
		lane     *Lane
		read     int  // bytes so far
		queued   bool // the lane has been waited for
		holds    bool // the lane
	}

	// progress gives up a call when it is not reset in time.
	progress struct {
		timer *time.Timer
		limit time.Duration
	}

	progressKey struct{}
)

// NewLane returns a free lane.
func NewLane() *Lane {
	l := &Lane{free: make(chan struct{}, 1)}
	l.free <- struct{}{}
	return l
}

// WithLane sets the lane of large responses. By default, a transport has one of its own.
func WithLane(l *Lane) Option { return func(t *Transport) { t.lane = l } }

// WithBase sets what carries the calls, by default HTTP connections of the transport's own.
func WithBase(base http.RoundTripper) Option { return func(t *Transport) { t.base = base } }

// New returns a transport.
func New(options ...Option) *Transport {
	t := &Transport{}
	for _, o := range options {
		o(t)
	}
	if t.lane == nil {
		t.lane = NewLane()
	}
	if t.base == nil {
		t.base = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second, DisableCompression: true}
	}
	return t
}

// WithStallTimeout returns a context for calls that are given up with ErrStalled once nothing of
// their responses has arrived for d.
func WithStallTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{limit: d, timer: time.AfterFunc(d, func() { cancel(ErrStalled) })}
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// record records that a part of a response has arrived.
func (p *progress) record() {
	if p != nil && p.timer.Stop() {
		p.timer.Reset(p.limit)
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	p, _ := req.Context().Value(progressKey{}).(*progress)
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, stalled(req.Context(), err)
	}
	p.record()
	resp.Body = &body{ReadCloser: resp.Body, ctx: req.Context(), progress: p, lane: t.lane}
	return resp, nil
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.read >= laneBytes && !b.queued {
		b.queue()
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.read += n
		b.progress.record()
	}
	if err != nil {
		b.release()
		if err != io.EOF {
			err = stalled(b.ctx, err)
		}
	}
	return n, err
}

// queue waits for the lane. That time is no lack of progress.
func (b *body) queue() {
	b.queued = true
	if b.progress != nil && b.progress.timer.Stop() {
		defer b.progress.timer.Reset(b.progress.limit)
	}
	timer := time.NewTimer(laneWait)
	defer timer.Stop()
	select {
	case <-b.lane.free:
		b.holds = true
	case <-timer.C:
	case <-b.ctx.Done():
	}
}

// release leaves the lane to the next response.
func (b *body) release() {
	if b.holds {
		b.holds = false
		b.lane.free <- struct{}{}
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// stalled returns ErrStalled in place of err if the call was given up for it.
func stalled(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}
