package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestBounceOfEarlierPacketIsNoAnswer guards against the reset of a living flow by the bounce of a
// packet that the agent delivered before its question: only the question's bounce answers it.
func TestBounceOfEarlierPacketIsNoAnswer(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 1)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(1, segment.Ack, 2, 1001, 50))))
	earlier := append([]byte(nil), r.last...)
	r.take()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Born: 200, Sequence: 1, Slots: 2})
	is.Equal(r.take(), "question")
	platform.MarkBounced(earlier)
	is.NoErr(r.fromUpstream(earlier))
	is.Equal(r.take(), "deliver 10.0.0.2") // a search decides
}

// TestFirstHeartbeatAfterPauseNamesItsStart guards against resets of living flows by entries: the
// first heartbeat of a start comes after a pause of the agent. The number of a heartbeat of the start
// before would prove that the new one ran after its flows were opened.
func TestFirstHeartbeatAfterPauseNamesItsStart(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.advance(time.Second)
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Born: 100, Sequence: 9, Slots: 2})
	is.Equal(r.relay.Status(r.now).Heartbeat, uint64(9))
	r.now += 2 * time.Second
	for n := uint64(1); ; n++ {
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Born: 200, Sequence: n, Slots: 2})
		for range 10 {
			status := r.relay.Status(r.now)
			if status.Upstream == "u-2" {
				is.Equal(status.Heartbeat, n)
				return
			}
			is.Equal(status.Heartbeat, uint64(9))
			r.advance(tickInterval)
		}
		is.True(n < 5)
	}
}
