package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/relay"
)

// TestLateProbeDoesNotEndNextStart guards against resets of living flows by entries that are told
// that no upstream runs: the connection of a probe was refused, and before the agent handles that,
// the next start of the upstream has sent its first heartbeat. No flow is open.
func TestLateProbeDoesNotEndNextStart(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	probed := r.now
	r.now += 500 * time.Millisecond
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2, Born: 200})
	is.True(!r.relay.MarkEnded(r.now, probed))
	is.True(!r.relay.Status(r.now).Empty)
}
