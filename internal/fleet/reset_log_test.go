package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// TestAgentResetNamesItsProof covers a reset by an agent whose reason can't be told afterwards:
// its line has the proof, the starts and the age, and each proof has a counter.
func TestAgentResetNamesItsProof(t *testing.T) {
	for _, c := range []struct {
		why     relay.Reset
		want    map[string]any
		counter string
	}{
		{
			relay.Reset{Proof: relay.BouncedByUpstream, Start: 5, Reported: 7, Age: 812 * time.Millisecond},
			map[string]any{"proof": "bounced-by-upstream", "start": uint32(5), "reported-start": uint32(7), "age-ms": 812 * time.Millisecond},
			"reset-by-proof-bounced-by-upstream",
		},
		{
			relay.Reset{Proof: relay.ConnectionRefused, Start: 5, Age: time.Second},
			map[string]any{"proof": "connection-refused", "start": uint32(5), "age-ms": time.Second},
			"reset-by-proof-connection-refused",
		},
		{
			relay.Reset{Proof: relay.ConnectionRefused},
			map[string]any{"proof": "connection-refused", "start": uint32(0)},
			"reset-by-proof-connection-refused",
		},
	} {
		t.Run(string(c.why.Proof), func(t *testing.T) {
			is := is.New(t)
			core, lines := observer.New(zap.InfoLevel)
			a := &Agent{process: &process{log: zap.New(core)}}
			a.RecordReset(segment.Flow{}, c.why)
			is.Equal(lines.Len(), 1)
			is.Equal(lines.All()[0].Message, "reset-upstream-ended")
			got := lines.All()[0].ContextMap()
			delete(got, "flow")
			is.Equal(got, c.want)
			is.Equal(a.metrics.counts, map[string]int64{"reset-upstream-ended": 1, c.counter: 1})
		})
	}
}

// TestEntryLinesHaveTheStarts covers a reset by an entry and the line that may contradict it: an
// unknown start must not be missing where 0 means that no upstream runs, and the line of a found
// owner must not look like one of a recorded start.
func TestEntryLinesHaveTheStarts(t *testing.T) {
	agent := peer.Addr{10, 0, 0, 2}
	for _, c := range []struct {
		decision director.Decision
		want     map[string]any
		counts   map[string]int64
	}{
		{
			director.Decision{Event: director.UpstreamGone, Proof: director.NoUpstreamRuns, Agent: agent, Start: 5, Restored: true, Age: time.Second},
			map[string]any{"agent": "10.0.0.2", "age-ms": time.Second, "proof": "no-upstream-runs", "start": uint32(5), "reported-start": uint32(0), "recalled": true},
			map[string]int64{"upstream-gone": 1, "reset-by-proof-no-upstream-runs": 1},
		},
		{
			director.Decision{Event: director.OwnerFound, Agent: agent, Reported: 7, Age: time.Second},
			map[string]any{"agent": "10.0.0.2", "age-ms": time.Second, "reported-start": uint32(7)},
			map[string]int64{"found": 1},
		},
	} {
		t.Run(string(c.decision.Event), func(t *testing.T) {
			is := is.New(t)
			core, lines := observer.New(zap.InfoLevel)
			e := &Entry{process: &process{log: zap.New(core)}}
			e.RecordDecision(c.decision)
			is.Equal(lines.Len(), 1)
			got := lines.All()[0].ContextMap()
			delete(got, "flow")
			is.Equal(got, c.want)
			is.Equal(e.metrics.counts, c.counts)
		})
	}
}
