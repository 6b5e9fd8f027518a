package daemon_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

// stuckWriter stands for a pipe whose reader has stopped.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestLogsNeverBlock covers a reader of logs that has stopped reading.
func TestLogsNeverBlock(t *testing.T) {
	is := is.New(t)
	w := stuckWriter{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	lines := daemon.NewLogWriter(ctx, w)
	for range 10_000 {
		n, err := lines.Write([]byte("a line\n"))
		is.NoErr(err)
		is.Equal(n, 7)
	}
	is.True(lines.Dropped() > 0)
	cancel()
	close(w.release)
	is.NoErr(<-lines.Done())
}

// TestLogsAreSampledAndFlushed covers the volume of logs under load, and that
// what is queued at the end is written.
func TestLogsAreSampledAndFlushed(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	lines := daemon.NewLogWriter(ctx, &out)
	log := daemon.NewAsyncLogger(lines)
	for range 1000 {
		log.Info("placed", zap.String("flow", "100.64.0.7:40001>198.18.0.1:443"))
	}
	log.Info("entry stopped", daemon.Err(nil))
	cancel()
	is.NoErr(<-lines.Done())
	is.True(lines.Sampled() > 0)
	written := int64(bytes.Count(out.Bytes(), []byte("\n")))
	is.Equal(written+lines.Sampled()+lines.Dropped(), int64(1001))
	is.True(bytes.Contains(out.Bytes(), []byte("entry stopped")))
}

// TestLinesLeftOutAreTold covers a reader of the logs, who has to know that
// lines are missing.
func TestLinesLeftOutAreTold(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	lines := daemon.NewLogWriter(ctx, &out)
	log := daemon.NewAsyncLogger(lines)
	lines.ReportLeftOut(log)
	for range 1000 {
		log.Info("placed")
	}
	cancel()
	is.NoErr(<-lines.Done())
	is.True(bytes.Contains(out.Bytes(), []byte(daemon.LeftOutMessage)))
}
