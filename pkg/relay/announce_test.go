package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// TestAnnouncementHasEvidence guards against resets of living flows by entries that cannot tell
// whether a flow is open at the announced start of an upstream: the announcement has the
// upstream's next sequence number, and the last heartbeat before the flow was opened, also if the
// flow is announced again later or by an agent that was restarted.
func TestAnnouncementHasEvidence(t *testing.T) {
	is := is.New(t)
	beat := func(sequence uint64) relay.Upstream {
		return relay.Upstream{ID: "u-1", Born: 100, Sequence: sequence, Slots: 2}
	}
	r := newHarness()
	r.now += time.Second
	r.relay.HandleHeartbeat(r.now, beat(2))
	r.open(t, 1, 1)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	want := peer.OwnerMessage{
		Kind: peer.Owned, Flow: caller(1), Start: peer.StartID("u-1", 100), Sequence: 1001, SequenceKnown: true, Heartbeat: 2, HeartbeatKnown: true,
	}
	is.Equal(r.owned, want)
	r.relay.HandleHeartbeat(r.now, beat(3))
	r.owned = peer.OwnerMessage{}
	is.NoErr(r.relay.HandleOwnerQuery(entry, peer.OwnerMessage{Kind: peer.OwnerQuery, Flow: caller(1), Acknowledged: 1001}.Append(nil)))
	is.Equal(r.owned, want)
	is.Equal(r.relay.Status(r.now).Heartbeat, uint64(3))

	restarted := newHarness()
	packet := restarted.packet(1, segment.Ack, 2, 1001, 50)
	is.NoErr(restarted.relay.HandleFrame(restarted.now, restarted.frame(peer.Search, nil, packet)))
	is.NoErr(restarted.fromUpstream(encode(caller(1), true, segment.Ack, 1001, 52, 100)))
	want.Sequence, want.Heartbeat = 1101, 1
	is.Equal(restarted.owned, want)
}

// TestLateProbeResetsNoLaterFlow guards against the reset of living flows by an agent that is slow:
// the connection of its probe was refused, and before it handles that, the next start of the
// upstream has sent a packet or a heartbeat.
func TestLateProbeResetsNoLaterFlow(t *testing.T) {
	for _, heartbeat := range []bool{false, true} {
		is := is.New(t)
		r := newHarness()
		probed := r.now
		r.now += 500 * time.Millisecond
		if heartbeat {
			r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2, Born: 200})
		}
		r.open(t, 1, 1)
		is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
		r.take()
		is.True(!r.relay.MarkEnded(r.now, probed))
		is.Equal(r.take(), "")
		is.True(!r.relay.Status(r.now).Empty)
	}
}
