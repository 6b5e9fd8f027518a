package fleet

import (
	"fmt"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

const (
	// maxStackBytes bounds the stack in the log line of a panic. It holds about 20 calls.
	maxStackBytes = 4 << 10
	// maxHeadBytes is how much of a datagram the log line of a panic holds: the header of
	// a frame or of a packet.
	maxHeadBytes = 64
	// panicLogInterval is the least time between two log lines of panics. All are counted.
	panicLogInterval = time.Second
)

// errPanicked reports a message whose handling has panicked.
var errPanicked = errors.New("panic")

// panicLog bounds the log lines of panics.
type panicLog struct {
	last atomic.Int64 // time of the last line since the start of the process, in ns; 0 if none
}

// allow reports whether a line may be written.
func (l *panicLog) allow(now time.Duration) bool {
	last := l.last.Load()
	return (last == 0 || now-time.Duration(last) >= panicLogInterval) && l.last.CompareAndSwap(last, int64(now))
}

// handleDatagram passes a datagram to handle. A panic is counted and logged, and the process
// goes on: handle has released its locks, as they are released by deferred calls, and the
// director and the relay have dropped the flow that they were working on.
func (p *process) handleDatagram(socket string, from netip.AddrPort, b []byte, handle func(from netip.AddrPort, b []byte) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			p.recordPanic(cause, zap.String("socket", socket), zap.Stringer("from", from), zap.Int("bytes", len(b)),
				zap.String("head", fmt.Sprintf("%x", b[:min(len(b), maxHeadBytes)])))
			err = errPanicked
		}
	}()
	return handle(from, b)
}

// recoverHTTP returns a handler that counts and logs a panic of handler, and closes the
// connection of the call.
func (p *process) recoverHTTP(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				p.recordPanic(cause, zap.String("call", req.Method+" "+req.URL.Path), zap.String("from", req.RemoteAddr))
				panic(http.ErrAbortHandler) // closes the connection without another log line
			}
		}()
		handler.ServeHTTP(w, req)
	})
}

// recordPanic counts a panic and logs it with its stack. It must be called by the deferred
// function that has recovered it.
func (p *process) recordPanic(cause any, fields ...zap.Field) {
	p.metrics.increment("panics")
	if p.panics.allow(p.now()) {
		p.log.Error("panic", append(fields, zap.String("cause", fmt.Sprint(cause)), zap.String("stack", panicStack()))...)
	}
}

// panicStack returns the stack of a panic that is being recovered, cut off at maxStackBytes.
func panicStack() string {
	stack := debug.Stack()
	return string(stack[:min(len(stack), maxStackBytes)])
}

// runTask runs a task and returns its error. A panic is logged and returned as an error, so
// that the process stops in order and is started again: without one of its tasks it would
// seem healthy to others and miss a part of its work. All that it knows can be learned again.
func (p *process) runTask(run func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v", cause)
			p.metrics.increment("panics")
			p.log.Error("task ended", daemon.Err(err), zap.String("stack", panicStack()))
		}
	}()
	return run()
}
