package relay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
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

// TestHeartbeatAfterPauseIsNoEvidence guards against resets of living flows by entries: a heartbeat
// that has waited in the agent's socket while the agent was paused does not show that its start ran
// after the flows that were opened before the agent handles it.
func TestHeartbeatAfterPauseIsNoEvidence(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	beat := func(sequence uint64) uint64 {
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: sequence, Slots: 2})
		return r.relay.Status(r.now).Heartbeat
	}
	is.Equal(beat(1), uint64(1))
	r.advance(time.Second)
	is.Equal(beat(2), uint64(2))
	r.now += 2 * time.Second
	r.open(t, 1, 1)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	is.Equal(r.owned.Heartbeat, uint32(2))
	is.Equal(beat(3), uint64(2)) // has waited
	r.relay.Tick(r.now)
	r.advance(300 * time.Millisecond)
	is.Equal(beat(4), uint64(2)) // may have waited
	r.advance(time.Second)
	is.Equal(beat(5), uint64(5))
	r.now += 2 * time.Second
	r.relay.Tick(r.now) // the tick may be the first to notice the pause
	is.Equal(beat(6), uint64(5))
}

// TestQuestionDecides guards against resets of living flows that an agent's belief has caused: at an
// agent that was restarted, a late heartbeat of an ended start is the first one of another start.
// Only the upstream's answer to the question resets a flow, and only until it has sent a packet of it.
func TestQuestionDecides(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	request := func(n int) error {
		return r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(n, segment.Ack, 2, 1001, 50)))
	}
	for _, n := range []int{1, 2, 3} {
		is.NoErr(request(n))
		is.NoErr(r.fromUpstream(encode(caller(n), true, segment.Ack, 1001, 52, 100)))
	}
	kept := append([]byte(nil), r.last...) // the last packet of caller 3
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 5, Slots: 3})
	r.take()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Sequence: 9, Slots: 3})
	is.Equal(r.take(), "question; question; question")
	is.NoErr(r.fromUpstream(encode(caller(2), true, segment.Ack, 1101, 52, 100)))
	is.Equal(r.take(), "owned 10.0.1.1; caller")
	is.NoErr(r.run([]string{"bounce-questions"}))
	is.Equal(r.take(), "reset 1001; reset 1001") // of callers 1 and 3
	platform.MarkBounced(kept)
	is.NoErr(r.fromUpstream(kept))
	is.Equal(r.take(), "deliver 10.0.0.2") // a packet of the caller, for the next candidate
}

// TestLateDeregistrationResetsNoLaterFlow guards against the reset of living flows by a late
// deregistration of an ended start whose successor has the same id.
func TestLateDeregistrationResetsNoLaterFlow(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.open(t, 1, 1)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	r.take()
	r.advance(time.Second)
	is.True(!r.relay.Leaving(r.now))
	r.relay.HandleDeregistration(r.now, "u-1")
	r.advance(time.Second)
	is.True(r.relay.Leaving(r.now)) // a probe of the agent decides
	r.relay.Stop(r.now)
	is.Equal(r.take(), "")
}
