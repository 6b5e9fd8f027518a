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

// accepted starts an agent whose upstream has accepted the flow of caller 1, of which the caller has
// sent a packet.
func accepted(t *testing.T) *harness {
	t.Helper()
	r := &harness{}
	r.start()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Sequence: 1, Slots: 2})
	r.open(t, 1, 1)
	is.New(t).NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	r.established(t, peer.Deliver, 1001, 50)
	r.take()
	return r
}

// TestPauseBeforeFirstTickIsNoticed guards against a heartbeat that has waited and counts as evidence:
// an agent is paused between its start and its first tick.
func TestPauseBeforeFirstTickIsNoticed(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.now = 50 * time.Millisecond
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2})
	r.now += time.Second // paused
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 2, Slots: 2})
	is.Equal(r.relay.Status(r.now).Heartbeat, uint64(1))
}

// TestHeartbeatAfterShortPauseIsNoEvidence guards against the same after a pause of less than
// maxTickGap: upstreams may be back within 0.1 s.
func TestHeartbeatAfterShortPauseIsNoEvidence(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 5, Slots: 2})
	r.advance(time.Second)
	r.now += 400 * time.Millisecond // paused
	r.open(t, 1, 1)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Open|segment.Ack, 1000, 2, 0)))
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 6, Slots: 2}) // has waited
	is.Equal(r.relay.Status(r.now).Heartbeat, uint64(5))
}

// TestLatePacketOfEndedStartDoesNotEndQuestion guards against a caller that is not told of the end of
// its flow: a packet of the ended start waits in the agent's socket and is handled after the question.
func TestLatePacketOfEndedStartDoesNotEndQuestion(t *testing.T) {
	is := is.New(t)
	r := accepted(t)
	r.advance(time.Second)
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2})
	is.Equal(r.take(), "question")
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Ack, 1001, 52, 100))) // of u-1
	r.take()
	is.NoErr(r.run([]string{"bounce-questions"}))
	is.Equal(r.take(), "reset 1001")
}

// TestLateFinSwallowsNoSearch guards against a search that ends at an upstream that does not run: a late
// FIN has added the flow again.
func TestLateFinSwallowsNoSearch(t *testing.T) {
	is := is.New(t)
	r := accepted(t)
	r.advance(time.Second)
	is.True(r.relay.MarkEnded(r.now, r.now))
	r.fin(t, 1001)
	r.take()
	r.advance(time.Second)
	r.established(t, peer.Search, elsewhere, 50)
	is.Equal(r.take(), "search 10.0.0.2")
}

// TestLateFinAcceptsNoLaterFlow guards against a flow that counts as accepted by a late FIN of an earlier
// one with the same addresses.
func TestLateFinAcceptsNoLaterFlow(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Sequence: 1, Slots: 2})
	r.open(t, 1, 1)
	r.fin(t, 77001)
	_, open := r.relay.Flows()
	is.Equal(open, 0)
}

// TestFlowOfUnknownNumberIsNotAnnounced guards against a caller that is not told of the end of its flow:
// a restarted agent does not know the upstream's number, does not ask, and announces the flow as one of
// the new start, so that the entry does not ask either.
func TestFlowOfUnknownNumberIsNotAnnounced(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Sequence: 1, Slots: 2})
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Ack, 1001, 52, 100)))
	r.established(t, peer.Deliver, 1101, 0)
	r.advance(time.Second)
	r.take()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2})
	is.True(!strings.Contains(r.take(), "owned"))
}

// TestQuestionsFitContexts guards against flows that are not reset, as their questions have overwritten
// each other's contexts.
func TestQuestionsFitContexts(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-1", Sequence: 1, Slots: 9000})
	const flows = 5000 // more than contextCount
	for n := 1; n <= flows; n++ {
		is.NoErr(r.fromUpstream(encode(caller(n), true, segment.Open|segment.Ack, 1000, 2, 0)))
		is.NoErr(r.relay.HandleFrame(r.now, r.frame(peer.Deliver, nil, r.packet(n, segment.Ack, 2, 1001, 0))))
	}
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 9000})
	for range 20 {
		is.NoErr(r.run([]string{"bounce-questions"}))
		r.advance(tickInterval)
	}
	held, _ := r.relay.Flows()
	is.Equal(held, 0)
}

// TestLostQuestionIsRepeated guards against a caller that is not told of the end of its flow: the
// question or its bounce is lost.
func TestLostQuestionIsRepeated(t *testing.T) {
	is := is.New(t)
	r := accepted(t)
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: 1, Slots: 2})
	is.Equal(r.take(), "question")
	r.asked = nil // lost
	for n := uint64(2); n < 10; n++ {
		r.advance(time.Second)
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Sequence: n, Slots: 2})
	}
	is.Equal(r.take(), "question")
}

// TestRepeatedRequestIsNotRunning guards against an upstream that is given too few openings: a request
// that it has answered comes again, as an entry's question, and counts as running.
func TestRepeatedRequestIsNotRunning(t *testing.T) {
	is := is.New(t)
	r := accepted(t)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Ack, 1001, 52, 100)))
	r.established(t, peer.Deliver, 1101, 0)
	r.advance(time.Second)
	r.established(t, peer.Deliver, 1001, 50)
	is.NoErr(r.fromUpstream(encode(caller(1), true, segment.Ack, 1101, 52, 0)))
	is.Equal(r.relay.Status(r.now).Running, 0)
}

// TestSuccessorIsNotForeignAfterPause guards against a new start that is ignored for 3 s: its heartbeat
// and one that the ended start had sent before wait while the agent is paused.
func TestSuccessorIsNotForeignAfterPause(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	r.now = 10 * time.Second
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Born: 1000, Sequence: 1, Slots: 2, Age: time.Second})
	r.advance(time.Second)
	r.now += 5 * time.Second // paused
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-2", Born: 1000, Sequence: 2, Slots: 2, Age: 7 * time.Second})
	r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-3", Born: 5000, Sequence: 5, Slots: 2, Age: 4400 * time.Millisecond})
	id, _ := r.relay.LastHeartbeat()
	is.Equal(id, "u-3")
}

// TestReversedFirstHeartbeatsHideNoStart guards against a living start that is ignored for 3 s: its first
// heartbeat is handled before one that the start before it had sent.
func TestReversedFirstHeartbeatsHideNoStart(t *testing.T) {
	is := is.New(t)
	r := &harness{}
	r.start()
	for _, id := range []string{"u-1", "u-3", "u-2"} {
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: id, Sequence: 1, Slots: 2})
	}
	for n := uint64(2); n < 5; n++ {
		r.advance(500 * time.Millisecond)
		r.relay.HandleHeartbeat(r.now, relay.Upstream{ID: "u-3", Sequence: n, Slots: 2})
	}
	id, _ := r.relay.LastHeartbeat()
	is.Equal(id, "u-3")
}
