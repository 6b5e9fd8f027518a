package relay_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// TestHeartbeatAfterPauseResetsNoLivingFlow guards against the reset of a living flow after a
// pause of the agent: it handles the last heartbeat of the ended start after the next start has
// accepted the flow.
func TestHeartbeatAfterPauseResetsNoLivingFlow(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		is := is.New(t)
		r := &harness{}
		r.start()
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 5, Slots: 2})
		r.open(t, 1, 1)
		is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
		if acknowledged {
			is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(1, segment.Ack, 2, 1001, 50))))
		}
		r.take()
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 6, Slots: 2})
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-3", Sequence: 1, Slots: 2})
		if out := r.take(); strings.Contains(out, "reset") {
			t.Fatalf("acknowledged %t: %s", acknowledged, out)
		}
	}
}
