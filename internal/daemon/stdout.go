package daemon

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines bounds the log lines that wait for a slow reader; at 300
	// bytes a line they take 600 KB.
	queuedLines = 2048
	// batchBytes is how much is written at once; a pipe takes 64 KiB.
	batchBytes = 32 << 10
	// flushEvery is how long a line may wait. It saves system calls.
	flushEvery = 100 * time.Millisecond
)

// LeftOutMessage is the message of the lines that count those left out.
const LeftOutMessage = "lines left out"

// leftOut is what was last told of the lines that were left out.
type leftOut struct {
	count int64
	at    time.Time
}

// LogWriter writes log lines in the background. It never blocks its callers: lines
// that find the queue full are counted and dropped.
type LogWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	sampled atomic.Int64
	log     atomic.Pointer[zap.Logger]
	done    chan error
}

// NewLogWriter starts writing to w until the context ends; then it writes what is
// queued and reports on Done.
func NewLogWriter(ctx context.Context, w io.Writer) *LogWriter {
	l := &LogWriter{queue: make(chan []byte, queuedLines), done: make(chan error, 1)}
	go func() { l.done <- l.run(ctx, w) }()
	return l
}

// Write queues one line.
func (l *LogWriter) Write(b []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: lines are written in the background.
func (l *LogWriter) Sync() error { return nil }

// Dropped returns how many lines found the queue full.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Sampled returns how many lines were left out because too many were alike.
func (l *LogWriter) Sampled() int64 { return l.sampled.Load() }

// Done delivers the end of the writer.
func (l *LogWriter) Done() <-chan error { return l.done }

func (l *LogWriter) run(ctx context.Context, w io.Writer) error {
	var batch []byte
	var told leftOut
	for {
		select {
		case <-ctx.Done():
			l.tellLeftOut(&leftOut{count: told.count})
			_, err := w.Write(l.drain(batch))
			return err
		case line := <-l.queue:
			batch = append(batch, line...)
		}
		time.Sleep(flushEvery)
		l.tellLeftOut(&told)
		batch = l.drain(batch)
		if _, err := w.Write(batch); err != nil {
			return err
		}
		batch = batch[:0]
	}
}

// ReportLeftOut makes the lines that are left out show in the log as lines of
// their own, one a second at most.
func (l *LogWriter) ReportLeftOut(log *zap.Logger) { l.log.Store(log) }

func (l *LogWriter) tellLeftOut(told *leftOut) {
	log, n := l.log.Load(), l.dropped.Load()+l.sampled.Load()
	if log == nil || n == told.count || time.Since(told.at) < logPeriod {
		return
	}
	log.Info(LeftOutMessage, zap.Int64("count", n-told.count))
	told.count, told.at = n, time.Now()
}

// drain appends what is queued, up to a batch.
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

// NewAsyncLogger returns a logger of JSON lines. Lines with the same message are
// sampled like those of NewLogger, and those left out are counted in lines.
func NewAsyncLogger(lines *LogWriter) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), lines, zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, logPeriod, logFirst, logThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				lines.sampled.Add(1)
			}
		})))
}

// Err is the field of an error without the stack that zap adds; nil adds none.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
