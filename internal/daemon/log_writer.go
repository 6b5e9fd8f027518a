package daemon

import (
	"bytes"
	"context"
	"io"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the log lines that are queued while the reader of the
	// log is slow; at 300 bytes per line they take 600 KB.
	maxQueuedLines = 2048
	// maxQueuedFlowLines is the number of queued lines from which those about a flow are dropped:
	// what a process believes, such as its configuration, is logged rarely and explains them.
	maxQueuedFlowLines = maxQueuedLines - 256
	// batchBytes is the size from which no more lines are added to a write; the
	// buffer of a pipe holds 64 KiB.
	batchBytes = 32 << 10
	// flushInterval is how long lines are collected for one write, to save
	// system calls.
	flushInterval = 100 * time.Millisecond
)

// flowField begins the field of a line about a flow.
var flowField = []byte(`"flow":`)

// TimeLayout is the layout of the times in log lines, that of
// zapcore.ISO8601TimeEncoder. The zone is the local one, "Z" for UTC.
const TimeLayout = "2006-01-02T15:04:05.000Z0700"

// LeftOutMessage is the message of log lines that report how many lines were left
// out: dropped or sampled.
const LeftOutMessage = "lines left out"

// leftOutReport is the last report of lines that were left out.
type leftOutReport struct {
	count int64 // all lines left out until then
	at    time.Time
}

// LogWriter writes log lines in the background. Write never blocks: if the queue is
// full, the line is dropped and counted. A failed write does not end it, as the next one
// may succeed.
type LogWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	sampled atomic.Int64
	// failedWrites counts the writes that failed, before the last one.
	failedWrites atomic.Int64
	log          atomic.Pointer[zap.Logger]
	done         chan error
}

// NewLogWriter returns a LogWriter and starts its goroutine, which writes lines to w
// until the context ends. If a write fails, its lines are dropped. At the end of the
// context it writes the queued lines, up to a batch. It then sends the result of that write
// on Done.
func NewLogWriter(ctx context.Context, w io.Writer) *LogWriter {
	l := &LogWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan error, 1)}
	go func() { l.done <- l.run(ctx, w) }()
	return l
}

// Write queues one line, or drops it if the queue is full, for a line about a flow before that. It
// never fails.
func (l *LogWriter) Write(b []byte) (int, error) {
	if len(l.queue) >= maxQueuedFlowLines && bytes.Contains(b, flowField) {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.queue <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: lines are written in the background.
func (l *LogWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped because the queue was full or a write failed.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// FailedWrites returns how many writes have failed.
func (l *LogWriter) FailedWrites() int64 { return l.failedWrites.Load() }

// IgnoreBrokenPipes makes writes to a pipe whose reader has ended return an error. Without
// it, such a write to the standard output or error ends the process.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// Sampled returns how many lines were left out by sampling, because too many had the
// same message.
func (l *LogWriter) Sampled() int64 { return l.sampled.Load() }

// Done returns the channel on which the goroutine sends its result when it ends.
func (l *LogWriter) Done() <-chan error { return l.done }

// run collects queued lines for flushInterval and writes them at once.
func (l *LogWriter) run(ctx context.Context, w io.Writer) error {
	var batch []byte
	var reported leftOutReport
	for {
		select {
		case <-ctx.Done():
			l.logLeftOut(&leftOutReport{count: reported.count}) // regardless of the last report's time
			_, err := w.Write(l.drain(batch))
			return err
		case line := <-l.queue:
			batch = append(batch, line...)
		}
		time.Sleep(flushInterval)
		l.logLeftOut(&reported)
		batch = l.drain(batch)
		if _, err := w.Write(batch); err != nil {
			l.failedWrites.Add(1)
			l.dropped.Add(int64(bytes.Count(batch, []byte("\n"))))
		}
		batch = batch[:0]
	}
}

// ReportLeftOut sets the logger that reports the number of lines left out, at most
// once per logPeriod and again when the context ends. Without it they are not reported.
func (l *LogWriter) ReportLeftOut(log *zap.Logger) { l.log.Store(log) }

// logLeftOut logs how many lines have been left out since the last report, if there
// are any and the last report is at least a logPeriod ago.
func (l *LogWriter) logLeftOut(last *leftOutReport) {
	log, n := l.log.Load(), l.dropped.Load()+l.sampled.Load()
	if log == nil || n == last.count || time.Since(last.at) < logPeriod {
		return
	}
	log.Info(LeftOutMessage, zap.Int64("count", n-last.count))
	last.count, last.at = n, time.Now()
}

// drain appends queued lines until the queue is empty or the batch has batchBytes.
func (l *LogWriter) drain(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// NewAsyncLogger returns a logger that writes JSON lines to the writer. Lines are
// sampled as in NewLogger, and the writer counts those left out.
func NewAsyncLogger(w *LogWriter) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, logPeriod, logFirst, logThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				w.sampled.Add(1)
			}
		})))
}

// Err returns the log field "error" with the error's text, without the stack that
// zap.Error adds. For nil it returns a field that is skipped.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
