package director_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// lateSite is a director with two agents and a flow whose opening it has placed at the first.
type lateSite struct {
	*director.Director
	port    *framePort
	flow    segment.Flow
	opening []byte
	place   peer.Frame
}

const lateSequence = 77

func newLateSite(t *testing.T) *lateSite {
	t.Helper()
	is := is.New(t)
	s := &lateSite{port: &framePort{}, flow: segment.NewFlow(vipAt(1), vipAt(2))}
	s.Director = director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, s.port)
	s.SetConfig(manyConfig(1, time.Second, sameService))
	for _, a := range []peer.Addr{{10, 0, 0, 3}, {10, 0, 0, 4}} {
		s.HandleReport(time.Second, a, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Born: 5, Taking: true, Slots: 2})
	}
	s.opening = platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Open, Sequence: lateSequence}, false)
	is.NoErr(s.HandleCallerPacket(time.Second, s.opening))
	s.place = s.port.last()
	s.port.frames = nil
	return s
}

// send passes a packet of the caller, other than its opening.
func (s *lateSite) send(t *testing.T, flags segment.Flags) {
	t.Helper()
	is.New(t).NoErr(s.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: s.flow, Flags: flags, Sequence: lateSequence + 1, Acknowledged: 900001}, false)))
}

// returned passes a frame of the opening that its candidates have returned.
func (s *lateSite) returned(t *testing.T, f peer.Frame, packet []byte) {
	t.Helper()
	f.OriginalKind, f.Kind, f.Packet, f.Hop = f.Kind, peer.Returned, packet, len(f.Candidates)
	is.New(t).NoErr(s.HandleAgentDatagram(time.Second, f.Candidates[0], f.Append(nil)))
}

// TestLateReturnedOpeningKeepsFlowInUse covers an announcement of an accepted flow that is lost:
// the caller sends its request, and a copy of the opening is returned after that. The copy must
// neither be offered again nor reset the flow, as the request may have run.
func TestLateReturnedOpeningKeepsFlowInUse(t *testing.T) {
	for _, c := range []struct {
		name      string
		flags     segment.Flags // of the caller's packet, Ack by default
		delivered bool          // the copy was sent to the recorded owner only
		searched  bool          // the request was returned, and a search for the owner has started
		stage     int
	}{
		{name: "first stage"},
		{name: "last stage", stage: 3},
		{name: "last stage during a search", stage: 3, searched: true},
		{name: "last stage during a search for a packet without an acknowledgement", flags: segment.Fin, stage: 3, searched: true},
		{name: "copy for the owner", delivered: true},
		{name: "copy for the owner during a search", delivered: true, searched: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			s.send(t, cmp.Or(c.flags, segment.Ack))
			if c.searched {
				f := s.port.last()
				s.returned(t, f, f.Packet)
			}
			s.port.frames = nil
			f := s.place
			f.Stage = c.stage
			if c.delivered {
				f.Kind, f.Candidates = peer.Deliver, f.Candidates[:1]
			}
			s.returned(t, f, s.opening)
			is.Equal(s.port.resets, 0)
			is.Equal(len(s.port.frames), 0)
		})
	}
}

// TestReturnedOpeningOfUnknownFlowIsDropped covers an entry that restarts while copies of an
// opening are on their way. It does not know whether another copy was accepted, so it must not
// reset the flow.
func TestReturnedOpeningOfUnknownFlowIsDropped(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	restarted := &framePort{}
	s.Director = director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, restarted)
	s.SetConfig(manyConfig(1, time.Second, sameService))
	f := s.place
	f.Stage = 2
	s.returned(t, f, s.opening)
	is.Equal(restarted.resets, 0)
	is.Equal(len(restarted.frames), 0)
}

// TestNewOpeningWithSameAddressesIsPlaced covers a caller that uses its address and port again
// for another flow: its opening must not be taken for a late copy of the earlier one.
func TestNewOpeningWithSameAddressesIsPlaced(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	s.send(t, segment.Ack)
	s.port.frames = nil
	is.NoErr(s.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Open, Sequence: lateSequence + 1000}, false)))
	is.Equal(len(s.port.frames), 1)
	is.Equal(s.port.last().Kind, peer.Place)
}

// TestFlowOfNewStartSurvivesLostAnnouncement covers an upstream that restarts and accepts a
// flow before its first heartbeat: its agent announces the flow with the last start, and the
// second announcement is lost or arrives after the report. The flow must not be reset, as the
// new start holds it; one that the new start returns must be.
func TestFlowOfNewStartSurvivesLostAnnouncement(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration // from the announcement to the report of the new start
		heard    uint64        // number of the last heartbeat of the earlier start that is reported
		returned bool          // the new start does not hold the flow
		resets   int
	}{
		{"announced just before", 10 * time.Millisecond, 1, false, 0},
		{"the new start's first heartbeat is late", 2 * time.Second, 1, false, 0},
		{"announced before the last heartbeat of the earlier start", 2 * time.Second, 2, false, 0},
		{"announced just before, of the earlier start", 10 * time.Millisecond, 1, true, 1},
		{"of the earlier start", 2 * time.Second, 2, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			s.send(t, segment.Ack)
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
			s.HandleReport(time.Second, owner, peer.Status{Incarnation: 1, Sequence: 2, Service: "maklerlink", Upstream: "u", Born: 5, Heartbeat: c.heard, Taking: true, Slots: 2})
			s.port.frames = nil
			s.HandleReport(time.Second+c.after, owner, peer.Status{Incarnation: 1, Sequence: 3, Service: "maklerlink", Upstream: "u", Born: 6, Taking: true, Slots: 2})
			is.Equal(s.port.resets, 0)
			is.Equal(len(s.port.frames), 1)
			if f := s.port.last(); c.returned {
				s.returned(t, f, f.Packet)
			}
			is.Equal(s.port.resets, c.resets)
		})
	}
}
