package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

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
			relay.Reset{Proof: relay.OtherStart, Start: 5, Reported: 7, Age: 812 * time.Millisecond},
			map[string]any{"proof": "other-start", "start": uint32(5), "reported-start": uint32(7), "age-ms": 812 * time.Millisecond},
			"reset-by-proof-other-start",
		},
		{
			relay.Reset{Proof: relay.Deregistered, Start: 5, Age: time.Second},
			map[string]any{"proof": "deregistered", "start": uint32(5), "age-ms": time.Second},
			"reset-by-proof-deregistered",
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
