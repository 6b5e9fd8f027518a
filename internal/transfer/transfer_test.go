package transfer_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hickoryhook.example/internal/transfer"
)

type (
	// call is a call of a script.
	call struct {
		start  time.Duration
		header time.Duration
		parts  int
		bytes  int
		every  time.Duration
		failed bool // the connection breaks after the parts
		silent bool // nothing arrives after the parts
		result string
		ended  time.Duration
	}

	// slowBody returns the parts of a call in time.
	slowBody struct {
		ctx  context.Context
		call *call
		left int
	}
)

// TestTransfers plays the scripts in testdata. Its lines are
//
//	limit MS                               the stall timeout of each call
//	call NAME START HEADER N BYTES EVERY   begins at START; the header arrives HEADER later, then N parts of BYTES, one every EVERY
//	breaks NAME, silent NAME               its connection breaks, or nothing arrives any more, after the parts
//	want NAME done|stalled|failed MS       the result, and when the call ends
func TestTransfers(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { play(t, string(text)) })
		})
	}
}

// play plays a script.
func play(t *testing.T, script string) {
	is := is.New(t)
	ms := func(word string) time.Duration {
		n, err := strconv.Atoi(word)
		is.NoErr(err)
		return time.Duration(n) * time.Millisecond
	}
	calls, limit := make(map[string]*call), time.Duration(0)
	wants := make(map[string][]string)
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "limit":
			limit = ms(words[1])
		case "call":
			calls[words[1]] = &call{
				start: ms(words[2]), header: ms(words[3]), parts: int(ms(words[4]) / time.Millisecond),
				bytes: int(ms(words[5]) / time.Millisecond), every: ms(words[6]),
			}
		case "breaks":
			calls[words[1]].failed = true
		case "silent":
			calls[words[1]].silent = true
		case "want":
			wants[words[1]] = words[2:]
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	begin, lane := time.Now(), transfer.NewLane()
	var running sync.WaitGroup
	for _, c := range calls {
		running.Go(func() {
			time.Sleep(c.start)
			c.result = c.run(t.Context(), lane, limit)
			c.ended = time.Since(begin)
		})
	}
	running.Wait()
	for name, want := range wants {
		if c := calls[name]; c.result != want[0] || c.ended != ms(want[1]) {
			t.Errorf("%s: %s at %s, want %s at %s ms", name, c.result, c.ended, want[0], want[1])
		}
	}
}

// run makes the call and returns its result.
func (c *call) run(ctx context.Context, lane *transfer.Lane, limit time.Duration) string {
	ctx, cancel := transfer.WithStallTimeout(ctx, limit)
	defer cancel()
	client := &http.Client{Transport: transfer.New(transfer.WithLane(lane), transfer.WithBase(c))}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1/", nil)
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case errors.Is(err, transfer.ErrStalled):
		return "stalled"
	case err != nil:
		return "failed"
	}
	return "done"
}

// RoundTrip implements http.RoundTripper.
func (c *call) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-time.After(c.header):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: req.Context(), call: c, left: c.parts}}, nil
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	var arrives <-chan time.Time
	switch {
	case b.left > 0:
		arrives = time.After(b.call.every)
	case b.call.failed:
		return 0, io.ErrUnexpectedEOF
	case !b.call.silent:
		return 0, io.EOF
	}
	select {
	case <-arrives:
		b.left--
		return min(len(p), b.call.bytes), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// Close implements io.Closer.
func (b *slowBody) Close() error { return nil }
