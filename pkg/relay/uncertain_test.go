package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestBouncedSearchStaysUncertain guards against the reset of a living flow by an entry: an agent of
// another service has checked only its table for the flow, and the next agent's upstream bounces
// the packet.
func TestBouncedSearchStaysUncertain(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	var f peer.Frame
	is.NoErr(f.Decode(r.frame(peer.Search, []string{"last"}, r.packet(1, segment.Ack, 2, 1001, 50))))
	f.Uncertain = true
	is.NoErr(r.relay.HandleFrame(r.now, f.Append(nil)))
	is.Equal(r.take(), "upstream")
	platform.MarkBounced(r.last)
	is.NoErr(r.fromUpstream(r.last))
	is.Equal(r.take(), "returned uncertain 10.0.1.1")
}
