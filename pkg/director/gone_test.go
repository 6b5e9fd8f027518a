package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// goneSite is a director that has restored the flow of a caller after the return of all
// power, and the agent of the flow's upstream, which has restarted, too.
type goneSite struct {
	*director.Director
	flow   segment.Flow
	owner  peer.Addr
	resets int
	sent   []peer.Addr // processes to which the director has sent datagrams
}

// proven returns the announcement of a flow that is open at the announced start if the caller
// acknowledges sequence and the start sends a heartbeat with a number above 1.
func proven(flow segment.Flow, start, sequence uint32) []byte {
	return peer.OwnerMessage{
		Kind: peer.Owned, Flow: flow, Start: start, Sequence: sequence, SequenceKnown: true, Heartbeat: 1, HeartbeatKnown: true,
	}.Append(nil)
}

// newGoneSite returns a site at which the agent reports the new start of its upstream at
// time.Second.
func newGoneSite(acknowledged uint32) *goneSite {
	s := &goneSite{flow: segment.NewFlow(vipAt(1), vipAt(2)), owner: peer.Addr{10, 0, 0, 3}}
	s.Director = director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, resetCountingPort{recordingPort{&s.sent}, &s.resets})
	s.SetConfig(manyConfig(1, time.Second, sameService))
	s.RestoreFlows(0, []director.FlowSnapshot{{Flow: s.flow, Owner: s.owner, Service: peer.Service("maklerlink"), Start: peer.StartID("old", 1), Acknowledged: acknowledged, Proven: true}})
	s.HandleReport(time.Second, s.owner, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "new", Born: 5, Taking: true, Slots: 2})
	return s
}

// tickUntil ticks the director every 100 ms from 1 s on.
func (s *goneSite) tickUntil(end time.Duration) {
	const interval = 100 * time.Millisecond
	for now := time.Second; now < end; now += interval {
		s.Tick(now, interval)
	}
}

// send sends a packet of the flow's caller to the director.
func (s *goneSite) send(t *testing.T, now time.Duration, flags segment.Flags) {
	t.Helper()
	is.New(t).NoErr(s.HandleCallerPacket(now, platform.EncodePacket(segment.Header{Flow: s.flow, Flags: flags, Acknowledged: 9}, false)))
}

// TestResetOfGoneFlowIsSentAgain answers the return of all power: the links are full and
// drop most of the resets that the entries send first. A caller that misses the reset
// sends its next request, which is lost if it must not be repeated.
func TestResetOfGoneFlowIsSentAgain(t *testing.T) {
	is := is.New(t)
	s := newGoneSite(9)
	is.Equal(s.resets, 1)
	s.tickUntil(1200 * time.Millisecond)
	is.Equal(s.resets, 1)
	s.tickUntil(4 * time.Second)
	is.Equal(s.resets, 4) // after 0.2, 0.6 and 1.4 s
}

// TestPacketOfGoneFlowIsResetWithoutSearch answers the same pattern: searches for hundreds of
// flows that are known to be gone would visit all agents of their service.
func TestPacketOfGoneFlowIsResetWithoutSearch(t *testing.T) {
	for _, c := range []struct {
		name         string
		acknowledged uint32
		flags        segment.Flags
		want         int // resets
		sent         int // frames to agents
	}{
		{"request", 9, segment.Ack, 2, 0},
		{"request of a flow without an acknowledgement", 0, segment.Ack, 0, 1},
		{"request of another flow with the same addresses", 900009, segment.Ack, 1, 1},
		{"reset of the caller", 9, segment.Reset, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newGoneSite(c.acknowledged)
			s.send(t, 1100*time.Millisecond, c.flags)
			is.Equal(s.resets, c.want)
			is.Equal(len(s.sent), c.sent)
			s.tickUntil(4 * time.Second)
			is.Equal(s.resets, c.want) // the caller knows, or the flow is another one
		})
	}
}

// TestGoneFlowThatOpensAgainIsServed covers a caller that opens a flow from the same port.
func TestGoneFlowThatOpensAgainIsServed(t *testing.T) {
	is := is.New(t)
	s := newGoneSite(9)
	s.send(t, 1100*time.Millisecond, segment.Open)
	is.Equal(s.sent, []peer.Addr{s.owner})
	s.send(t, 1150*time.Millisecond, segment.Ack)
	s.tickUntil(4 * time.Second)
	is.Equal(s.resets, 1) // only the one of the flow before
}

// returnAll returns all frames that were sent to the owner of the flow alone, as of an upstream that
// does not hold it.
func (s *lateSite) returnAll(t *testing.T, owner peer.Addr) {
	t.Helper()
	frames := s.port.frames
	s.port.frames = nil
	for _, f := range frames {
		if f.Kind == peer.Deliver && f.Candidates[0] == owner {
			s.returned(t, f, f.Packet)
		}
	}
}

// TestFlowOpenAtAnotherUpstreamIsNotReset guards against the reset of a living flow: copies of
// one opening were accepted by two upstreams, the entry has recorded the one with which the
// caller did not go on, and that one restarts or ends.
func TestFlowOpenAtAnotherUpstreamIsNotReset(t *testing.T) {
	start := peer.StartID("u", 5)
	earlierBuild := peer.OwnerMessage{Kind: peer.Owned, Start: start}
	present := peer.OwnerMessage{Kind: peer.Owned, Start: start, Sequence: 2000, SequenceKnown: true, Heartbeat: 1, HeartbeatKnown: true}
	noNumber := peer.OwnerMessage{Kind: peer.Owned, Start: start, Heartbeat: 1, HeartbeatKnown: true}
	for _, c := range []struct {
		name         string
		announcement peer.OwnerMessage
		status       peer.Status // of the recorded agent, some seconds later
	}{
		{"restarts, announced by an earlier build", earlierBuild, peer.Status{Upstream: "u", Born: 6, Taking: true, Slots: 2}},
		{"ends, announced by an earlier build", earlierBuild, peer.Status{Upstream: "u", Born: 5, Empty: true, Slots: 2}},
		{"restarts, announced without the upstream's number", noNumber, peer.Status{Upstream: "u", Born: 6, Taking: true, Slots: 2}},
		{"restarts", present, peer.Status{Upstream: "u", Born: 6, Taking: true, Slots: 2}},
		{"ends", present, peer.Status{Upstream: "u", Born: 5, Heartbeat: 3, Empty: true, Slots: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			c.announcement.Flow = s.flow
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, c.announcement.Append(nil)))
			s.send(t, segment.Ack) // acknowledges what the other upstream has sent
			s.HandleReport(3*time.Second, owner, peer.Status{Incarnation: 1, Sequence: 2, Service: "maklerlink", Upstream: "u", Born: 5, Heartbeat: 3, Taking: true, Slots: 2})
			c.status.Incarnation, c.status.Sequence, c.status.Service = 1, 3, "maklerlink"
			s.port.frames = nil
			s.HandleReport(5*time.Second, owner, c.status)
			s.returnAll(t, owner)
			is.Equal(s.port.resets, 0)
			s.port.frames = nil
			s.send(t, segment.Ack)
			is.Equal(len(s.port.frames), 1)
			s.returnAll(t, owner)
			is.Equal(s.port.resets, 0)
			is.Equal(s.port.last().Kind, peer.Search)
		})
	}
}

// TestLateAnnouncementDoesNotMoveFlow guards against packets that are sent to an upstream that has
// accepted a copy of the opening: its announcement comes last, but the caller goes on with another.
func TestLateAnnouncementDoesNotMoveFlow(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	owner, other := s.place.Candidates[0], s.place.Candidates[1]
	is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
	s.send(t, segment.Ack)
	is.NoErr(s.HandleAgentDatagram(time.Second, other, proven(s.flow, peer.StartID("u", 5), 2000)))
	s.port.frames = nil
	s.send(t, segment.Ack)
	is.Equal(len(s.port.frames), 1)
	is.Equal(s.port.last().Candidates, []peer.Addr{owner})
}

// TestAnnouncedLaterFlowIsNotReset guards against a reset that the living flow's caller would see if
// the numbers of both flows were close: a later flow with the same addresses was opened through
// another entry at the same start of an upstream, whose agent has announced it here.
func TestAnnouncedLaterFlowIsNotReset(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	owner := s.place.Candidates[0]
	is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
	s.send(t, segment.Ack)
	later := peer.OwnerMessage{
		Kind: peer.Owned, Flow: s.flow, Start: peer.StartID("u", 5), Sequence: 800000009, SequenceKnown: true, Heartbeat: 2, HeartbeatKnown: true,
	}
	s.reportStart(2*time.Second, owner, 2, 5, 2)
	is.NoErr(s.HandleAgentDatagram(3*time.Second, owner, later.Append(nil)))
	s.port.frames = nil
	s.reportStart(4*time.Second, owner, 3, 6, 1)
	s.returnAll(t, owner)
	is.Equal(s.port.resets, 0)
}

// TestLaterFlowWithSameAddressesIsNotReset guards against the reset of a living flow: its caller
// uses the address and port of an earlier flow, which was proven to be open at another upstream.
func TestLaterFlowWithSameAddressesIsNotReset(t *testing.T) {
	for _, restored := range []bool{false, true} {
		is := is.New(t)
		s := newLateSite(t)
		owner := s.place.Candidates[0]
		if restored {
			s.flow = segment.NewFlow(vipAt(9), vipAt(2))
			s.RestoreFlows(time.Second, []director.FlowSnapshot{{Flow: s.flow, Owner: owner, Start: peer.StartID("u", 5), Acknowledged: 900001, Proven: true}})
		} else {
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
			s.send(t, segment.Ack)
		}
		s.reportStart(2*time.Second, owner, 2, 5, 2)
		is.NoErr(s.HandleCallerPacket(3*time.Second, platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Sequence: 7, Acknowledged: 800000009}, false)))
		s.port.frames = nil
		s.reportStart(4*time.Second, owner, 3, 6, 1)
		s.returnAll(t, owner)
		is.Equal(s.port.resets, 0)
	}
}

// TestReturnedPacketOfLaterFlowIsSearched guards against packets that are sent to no agent: one of
// a later flow with the addresses of a flow that is gone is returned by its recorded owner.
func TestReturnedPacketOfLaterFlowIsSearched(t *testing.T) {
	is := is.New(t)
	s := newGoneSite(9)
	f := peer.Frame{
		Kind: peer.Returned, OriginalKind: peer.Deliver, Entry: peer.Addr{10, 0, 0, 1}, Candidates: []peer.Addr{s.owner}, Hop: 1,
		Packet: platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Acknowledged: 900009}, false),
	}
	is.NoErr(s.HandleAgentDatagram(1100*time.Millisecond, s.owner, f.Append(nil)))
	is.Equal(s.sent, []peer.Addr{s.owner})
	is.Equal(s.resets, 1)
}
