package relay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// elsewhere is a number that the caller has acknowledged of another upstream.
const elsewhere = 900000001

// established sends a packet of caller 1.
func (r *harness) established(t *testing.T, kind peer.Kind, ack uint32, l int) {
	t.Helper()
	is.New(t).NoErr(r.relay.HandleFrame(r.now, r.frame(kind, nil, r.packet(1, segment.Ack, 2, ack, l))))
}

// fin sends a packet with which the upstream ends the flow of caller 1.
func (r *harness) fin(t *testing.T, seq uint32) {
	t.Helper()
	is.New(t).NoErr(r.fromUpstream(encode(caller(1), true, segment.Fin|segment.Ack, seq, 2, 0)))
}

// TestLateFinOfEndedStartResetsNoOtherFlow guards against the reset of a flow that is open at another
// upstream: a late packet of a crashed upstream has added an earlier flow with the same addresses,
// and a search for the later one reaches the agent before or after it. Then no upstream listens.
func TestLateFinOfEndedStartResetsNoOtherFlow(t *testing.T) {
	for _, searchFirst := range []bool{false, true} {
		r := &harness{}
		r.start()
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2})
		r.advance(time.Second)
		if searchFirst {
			r.established(t, peer.Search, elsewhere, 50)
			r.fin(t, 1001)
		} else {
			r.fin(t, 1001)
			r.established(t, peer.Search, elsewhere, 50)
		}
		r.advance(time.Second)
		r.take()
		r.relay.MarkEnded(r.now, r.now)
		if out := r.take(); strings.Contains(out, "reset") {
			t.Fatalf("search first %t: %s", searchFirst, out)
		}
		held, _ := r.relay.Flows()
		is.New(t).Equal(held, 0)
	}
}
