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

// plannedReplacement runs a replacement of an upstream and all entries once for
// all tests, and returns its report and its logs.
var plannedReplacement = sync.OnceValues(func() (fleetdemo.Report, *explain.Logs) {
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

// TestPlannedReplacementLosesNoRequests covers that no request is lost while an
// upstream and all entries are replaced. Entries and agents use real sockets on
// loopback.
func TestPlannedReplacementLosesNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report, _ := plannedReplacement()
	is.Equal(report.Lost, 0)
	is.Equal(report.Answered, report.Requests)
	is.True(report.Requests > 100)
}

// TestLogsShowFlowFromEntryToAgent covers that the logs of a flow, found by the
// name under which a caller opened it, show its placement by an entry and its
// acceptance by an agent.
func TestLogsShowFlowFromEntryToAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report, logs := plannedReplacement()
	flowReport := logs.Flow(report.FirstFlow)
	// The flow may have been at the upstream that was replaced.
	is.True(flowReport.Outcome.Cause == "" || flowReport.Outcome.Cause == explain.UpstreamEnded)
	messages := make([]string, 0, len(flowReport.Lines))
	for _, line := range flowReport.Lines {
		is.True(line.Process != "")
		messages = append(messages, line.Message)
	}
	is.True(slices.Index(messages, "placed") >= 0)
	is.True(slices.Index(messages, "taken") > slices.Index(messages, "placed"))
}

// TestPlannedReplacementHasNoBadEnds covers the summary of the logs: all outages
// are processes that were stopped, and the only cause for which flows ended is
// the end of their upstream.
func TestPlannedReplacementHasNoBadEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, logs := plannedReplacement()
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

// stuckWriter stands for a full pipe without a reader: writes block until
// release is closed.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestStuckLogReaderDoesNotAffectTraffic covers that no request is lost while
// the reader of the logs has stopped reading.
func TestStuckLogReaderDoesNotAffectTraffic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	stuck := stuckWriter{release: make(chan struct{})}
	lines := daemon.NewLogWriter(ctx, stuck)
	report, err := fleetdemo.Run(context.Background(), fleetdemo.Config{
		Seed: 3, Network: 93, Callers: 20, Out: io.Discard, Log: daemon.NewAsyncLogger(lines),
	})
	is.NoErr(err)
	is.Equal(report.Lost, 0)
	is.True(report.Requests > 100)
	cancel()
	close(stuck.release)
	is.NoErr(<-lines.Done())
}
