package fleetdemo_test

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/explain"
	"hickoryhook.example/internal/fleetdemo"
)

// replaced is a run in which an upstream and all entries are replaced, with
// its logs.
var replaced = sync.OnceValues(func() (fleetdemo.Report, *explain.Logs) {
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	lines := daemon.NewLogWriter(ctx, &out)
	report, err := fleetdemo.Run(context.Background(), fleetdemo.Config{
		Seed: 3, Network: 91, Callers: 20, Out: io.Discard, Log: daemon.NewAsyncLogger(lines),
	})
	cancel()
	logs := new(explain.Logs)
	if err := errors.Join(err, <-lines.Done(), logs.Read(&out)); err != nil {
		panic(err)
	}
	return report, logs
})

// TestNothingIsLostInAPlannedReplacement runs the real processes' sockets on
// loopback while an upstream and all entries are replaced.
func TestNothingIsLostInAPlannedReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report, _ := replaced()
	is.Equal(report.Lost, 0)
	is.Equal(report.Answered, report.Requests)
	is.True(report.Requests > 100)
}

// TestAFlowIsFollowedThroughTheLogs takes one flow's name from a caller's
// opening to the agent that took it.
func TestAFlowIsFollowedThroughTheLogs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report, logs := replaced()
	story := logs.Flow(report.FirstFlow)
	// The flow may have been at the upstream that was replaced.
	is.True(story.Outcome.Cause == "" || story.Outcome.Cause == explain.UpstreamEnded)
	messages := make([]string, 0, len(story.Lines))
	for _, line := range story.Lines {
		is.True(line.Process != "")
		messages = append(messages, line.Message)
	}
	is.True(slices.Index(messages, "placed") >= 0)
	is.True(slices.Index(messages, "taken") > slices.Index(messages, "placed"))
}

// TestPlannedReplacementHasNoBadEnds covers what the summary says of the run:
// processes that stopped, and no flow that ended but by its upstream's end.
func TestPlannedReplacementHasNoBadEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, logs := replaced()
	summary := logs.Summary()
	is.True(summary.Flows >= 20)
	is.Equal(summary.Unreadable, 0)
	for _, c := range summary.Causes {
		is.Equal(c.Cause, explain.UpstreamEnded)
	}
	is.True(len(summary.Outages) > 0)
	for _, o := range summary.Outages {
		is.Equal(o.Kind, explain.Stopped)
	}
}

// stuckReader stands for a pipe that nobody reads.
type stuckReader struct{ release chan struct{} }

func (w stuckReader) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestNobodyReadsTheLogs plays the run with a reader of logs that has stopped:
// traffic must not notice.
func TestNobodyReadsTheLogs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	reader := stuckReader{release: make(chan struct{})}
	lines := daemon.NewLogWriter(ctx, reader)
	report, err := fleetdemo.Run(context.Background(), fleetdemo.Config{
		Seed: 3, Network: 93, Callers: 20, Out: io.Discard, Log: daemon.NewAsyncLogger(lines),
	})
	is.NoErr(err)
	is.Equal(report.Lost, 0)
	is.True(report.Requests > 100)
	cancel()
	close(reader.release)
	is.NoErr(<-lines.Done())
}
