package daemon_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

// blockedWriter blocks until release is closed, like a pipe whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestLogWriterDropsWhenBlocked checks that a reader of the log that has stopped does
// not block the process: lines are dropped and counted.
func TestLogWriterDropsWhenBlocked(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	writer := daemon.NewLogWriter(ctx, w)
	for range 10_000 {
		n, err := writer.Write([]byte("a line\n"))
		is.NoErr(err)
		is.Equal(n, 7)
	}
	is.True(writer.Dropped() > 0)
	cancel()
	close(w.release)
	is.NoErr(<-writer.Done())
}

// TestFlowLinesLeaveRoom guards against a flood of lines about flows that displaces the line of a
// new configuration, without which the log does not tell by which version flows were placed.
func TestFlowLinesLeaveRoom(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	writer := daemon.NewLogWriter(ctx, w)
	write := func(line string) (dropped int64) {
		before := writer.Dropped()
		_, err := writer.Write([]byte(line))
		is.NoErr(err)
		return writer.Dropped() - before
	}
	for write(`{"msg":"placed","flow":"100.64.0.7:40001>198.18.0.1:443"}`+"\n") == 0 {
	}
	is.Equal(write(`{"msg":"configuration in force","config":7}`+"\n"), int64(0))
	cancel()
	close(w.release)
	is.NoErr(<-writer.Done())
}

// TestAsyncLoggerSamplesAndFlushes checks that sampling bounds the log under load, that
// each line is written, sampled or dropped, and that queued lines are written at the
// end.
func TestAsyncLoggerSamplesAndFlushes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	writer := daemon.NewLogWriter(ctx, &out)
	log := daemon.NewAsyncLogger(writer)
	for range 1000 {
		log.Info("placed", zap.String("flow", "100.64.0.7:40001>198.18.0.1:443"))
	}
	log.Info("entry stopped", daemon.Err(nil))
	cancel()
	is.NoErr(<-writer.Done())
	is.True(writer.Sampled() > 0)
	written := int64(bytes.Count(out.Bytes(), []byte("\n")))
	is.Equal(written+writer.Sampled()+writer.Dropped(), int64(1001))
	is.True(bytes.Contains(out.Bytes(), []byte("entry stopped")))
}

// TestLeftOutLinesAreReported checks that the log reports that lines are missing, as
// its reader would otherwise take it for complete.
func TestLeftOutLinesAreReported(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	writer := daemon.NewLogWriter(ctx, &out)
	log := daemon.NewAsyncLogger(writer)
	writer.ReportLeftOut(log)
	for range 1000 {
		log.Info("placed")
	}
	cancel()
	is.NoErr(<-writer.Done())
	is.True(bytes.Contains(out.Bytes(), []byte(daemon.LeftOutMessage)))
}

// failingWriter fails its first writes, like a full disk.
type failingWriter struct {
	failures int
	out      chan string
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if w.failures > 0 {
		w.failures--
		return 0, syscall.ENOSPC
	}
	w.out <- string(b)
	return len(b), nil
}

// TestLogWriterGoesOnAfterFailedWrite guards against the loss of all later log lines after one
// failed write.
func TestLogWriterGoesOnAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	w := &failingWriter{failures: 1, out: make(chan string, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	writer := daemon.NewLogWriter(ctx, w)
	_, err := writer.Write([]byte("lost\n"))
	is.NoErr(err)
	for writer.FailedWrites() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = writer.Write([]byte("written\n"))
	is.NoErr(err)
	is.Equal(<-w.out, "written\n")
	is.Equal(writer.Dropped(), int64(1))
	cancel()
	is.NoErr(<-writer.Done())
}

// brokenPipeVariable makes TestProcessSurvivesBrokenPipe write to its standard output.
const brokenPipeVariable = "HICKORYHOOK_TEST_BROKEN_PIPE"

// TestProcessSurvivesBrokenPipe guards against the end of a process when the reader of its log
// has ended: a write to a broken pipe on the standard output ends a Go program by default.
func TestProcessSurvivesBrokenPipe(t *testing.T) {
	is := is.New(t)
	if os.Getenv(brokenPipeVariable) != "" {
		daemon.IgnoreBrokenPipes()
		_, err := os.Stdout.WriteString("a line\n")
		if !errors.Is(err, syscall.EPIPE) {
			os.Exit(3)
		}
		os.Exit(0)
	}
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(reader.Close())
	defer writer.Close()
	self, err := os.Executable()
	is.NoErr(err)
	cmd := exec.Command(self, "-test.run=^TestProcessSurvivesBrokenPipe$")
	cmd.Env = append(os.Environ(), brokenPipeVariable+"=1")
	cmd.Stdout = writer
	is.NoErr(cmd.Run())
}
