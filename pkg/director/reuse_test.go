package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

type (
	// reusePort records the frames that a director sends, and the sequence numbers of its
	// resets.
	reusePort struct {
		frames []sentFrame
		resets []uint32
		fail   bool // ToProcess and ToCaller panic
	}

	sentFrame struct {
		peer.Frame
		to peer.Addr
	}

	// reuseSite is a director with two agents of one service. Callers use one address and
	// port again.
	reuseSite struct {
		*director.Director
		port          *reusePort
		flow          segment.Flow
		first, second peer.Addr // agents
		sequence      uint64    // of the agents' last reports
	}
)

func (p *reusePort) ToProcess(to peer.Addr, datagram []byte) {
	if p.fail {
		panic("a fault")
	}
	var f peer.Frame
	if kind, err := peer.KindOf(datagram); err != nil || kind == peer.OwnerQuery {
		return
	}
	if err := f.Decode(append([]byte(nil), datagram...)); err != nil {
		panic(err)
	}
	p.frames = append(p.frames, sentFrame{Frame: f, to: to})
}

func (p *reusePort) ToCaller(_ segment.Flow, packet []byte) {
	if p.fail {
		panic("a fault")
	}
	h, err := platform.DecodeFromUpstream(packet)
	if err != nil {
		panic(err)
	}
	p.resets = append(p.resets, h.Sequence)
}

func (*reusePort) RecordLatency(director.Measure, time.Duration) {}
func (*reusePort) RecordDecision(director.Decision)              {}

// last returns the last frame that was sent.
func (p *reusePort) last() sentFrame { return p.frames[len(p.frames)-1] }

// newReuseSite returns a site at which the first agent has free slots and the second none.
func newReuseSite(t testing.TB) *reuseSite {
	t.Helper()
	s := &reuseSite{port: &reusePort{}, flow: segment.NewFlow(vipAt(1), vipAt(2)), first: peer.Addr{10, 0, 0, 3}, second: peer.Addr{10, 0, 0, 4}}
	s.Director = director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, s.port)
	s.SetConfig(route.New(1, []route.Route{{Name: "pages", VIP: vipAt(2), Timeout: time.Second, Shares: []route.Share{{Service: "maklerlink", Weight: 1}}}}))
	s.MergeHolders(nil, 1)
	s.SetRegistered(0, []peer.Addr{s.first, s.second})
	s.report(time.Second, 0, 9)
	return s
}

// report makes both agents report so many running requests.
func (s *reuseSite) report(now time.Duration, first, second int) {
	s.sequence++
	for agent, running := range map[peer.Addr]int{s.first: first, s.second: second} {
		s.HandleReport(now, agent, peer.Status{
			Incarnation: 1, Sequence: s.sequence, Service: "maklerlink", Upstream: "u", Born: 1, Taking: true, Slots: 2, Running: running, FailureDomain: agent.String(),
		})
	}
}

// packet returns a packet of the caller.
func (s *reuseSite) packet(flags segment.Flags, sequence, acknowledged uint32) []byte {
	return platform.EncodePacket(segment.Header{Flow: s.flow, Flags: flags, Sequence: sequence, Acknowledged: acknowledged}, false)
}

func (s *reuseSite) send(t *testing.T, now time.Duration, flags segment.Flags, sequence, acknowledged uint32) {
	t.Helper()
	is.New(t).NoErr(s.HandleCallerPacket(now, s.packet(flags, sequence, acknowledged)))
}

// own makes an agent report that its upstream holds the flow.
func (s *reuseSite) own(t *testing.T, now time.Duration, agent peer.Addr) {
	t.Helper()
	is.New(t).NoErr(s.HandleAgentDatagram(now, agent, peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Start: peer.StartID("u", 1)}.Append(nil)))
}

// sendBack makes an agent return a frame, which all its candidates refused.
func (s *reuseSite) sendBack(t *testing.T, now time.Duration, f sentFrame) {
	t.Helper()
	f.OriginalKind, f.Kind, f.Hop = f.Kind, peer.Returned, len(f.Candidates)
	is.New(t).NoErr(s.HandleAgentDatagram(now, f.Candidates[len(f.Candidates)-1], f.Append(nil)))
}

// TestOpeningOfLaterFlowIsPlaced guards against an opening that is taken for a retransmission
// of the one with which an earlier caller opened a flow from the same address and port: it
// would go to that flow's upstream, which may be evacuated or busy.
func TestOpeningOfLaterFlowIsPlaced(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.send(t, time.Second, segment.Open, 100, 0)
	is.Equal(s.port.last().to, s.first)
	s.own(t, 1010*time.Millisecond, s.first)
	s.SetEvacuated([]string{s.first.String()})
	s.send(t, 1200*time.Millisecond, segment.Open, 100, 1)
	is.Equal(s.port.last().to, s.first) // a retransmission
	is.Equal(s.port.last().Kind, peer.Deliver)
	s.send(t, 1300*time.Millisecond, segment.Open, 7000, 0)
	is.Equal(s.port.last().to, s.second)
	is.Equal(s.port.last().Kind, peer.Place)
}

// moveRoute puts a configuration in force whose route leads to another service, of a third agent.
func (s *reuseSite) moveRoute(now time.Duration) peer.Addr {
	third := peer.Addr{10, 0, 0, 5}
	s.SetNextConfig(route.New(2, []route.Route{{Name: "pages", VIP: vipAt(2), Timeout: time.Second, Shares: []route.Share{{Service: "exposeserver", Weight: 1}}}}), 1)
	s.HandleReport(now, third, peer.Status{Incarnation: 1, Sequence: 1, Service: "exposeserver", Upstream: "v", Born: 1, Taking: true, Slots: 2, FailureDomain: "c"})
	return third
}

// TestOpeningOfAnnouncedFlowIsPlaced guards against an opening that is taken for a copy of that of an
// earlier flow from the same address and port, which an agent has announced to this entry: it
// would go to a service to which the route does not lead any more.
func TestOpeningOfAnnouncedFlowIsPlaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		copies uint32
		after  time.Duration
		copied bool
	}{
		{"a copy", 1, 600 * time.Millisecond, true},
		{"the first packet of a later flow", 0, 600 * time.Millisecond, false},
		{"a copy of the opening of a later flow", 1, 1400 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newReuseSite(t)
			s.own(t, time.Second, s.first)
			third := s.moveRoute(1100 * time.Millisecond)
			s.report(time.Second+c.after, 0, 9)
			s.send(t, time.Second+c.after, segment.Open, 7000, c.copies)
			if c.copied {
				is.Equal(s.port.last().to, s.first)
				is.Equal(s.port.last().Kind, peer.Deliver)
				return
			}
			is.Equal(s.port.last().to, third)
			is.Equal(s.port.last().Kind, peer.Place)
		})
	}
}

// TestCopyFollowsRoute guards against a copy of an opening that follows the placement of the one
// before although no upstream has taken that and the route has moved since.
func TestCopyFollowsRoute(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.send(t, time.Second, segment.Open, 7000, 0)
	is.Equal(s.port.last().to, s.first)
	s.send(t, 1200*time.Millisecond, segment.Open, 7000, 1)
	is.Equal(s.port.last().to, s.first)
	third := s.moveRoute(1300 * time.Millisecond)
	s.send(t, 1600*time.Millisecond, segment.Open, 7000, 2)
	is.Equal(s.port.last().to, third)

	s = newReuseSite(t)
	s.send(t, time.Second, segment.Open, 7000, 0)
	s.own(t, 1010*time.Millisecond, s.first) // its upstream has taken the first packet
	s.moveRoute(1100 * time.Millisecond)
	s.send(t, 1200*time.Millisecond, segment.Open, 7000, 1)
	is.Equal(s.port.last().to, s.first)
}

// TestReturnedOpeningOfEarlierFlowIsDropped guards against a late return of an opening: the
// flow that the next caller has opened from the same address and port must neither be reset
// nor be replaced by that of the earlier opening.
func TestReturnedOpeningOfEarlierFlowIsDropped(t *testing.T) {
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver} {
		is := is.New(t)
		s := newReuseSite(t)
		s.send(t, time.Second, segment.Open, 100, 0)
		late := s.port.last()
		late.Kind, late.Stage = kind, 3
		s.report(1100*time.Millisecond, 9, 0)
		s.send(t, 1200*time.Millisecond, segment.Open, 7000, 0)
		sent := len(s.port.frames)
		is.Equal(s.port.last().to, s.second)
		s.sendBack(t, 1300*time.Millisecond, late)
		is.Equal(len(s.port.frames), sent)
		is.Equal(len(s.port.resets), 0)
		s.send(t, 1400*time.Millisecond, segment.Open, 7000, 1)
		is.Equal(s.port.last().to, s.second)
	}
}

// TestPacketOfEarlierFlowDoesNotCirculate guards against a late packet of an earlier flow with
// the same addresses that its owner refuses, and that is sent to the owner again after each
// search, as packets of the present flow end the search.
func TestPacketOfEarlierFlowDoesNotCirculate(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.send(t, time.Second, segment.Open, 7000, 0)
	s.own(t, 1010*time.Millisecond, s.first)
	s.send(t, 1100*time.Millisecond, segment.Ack, 105, 50) // of the earlier flow
	s.sendBack(t, 1110*time.Millisecond, s.port.last())
	search := s.port.last()
	is.Equal(search.Kind, peer.Search)
	s.send(t, 1115*time.Millisecond, segment.Ack, 7001, 90001) // of the present flow
	s.own(t, 1120*time.Millisecond, s.first)
	sent := len(s.port.frames)
	s.sendBack(t, 1130*time.Millisecond, search)
	is.Equal(len(s.port.frames), sent)
	is.Equal(len(s.port.resets), 0)
}

// TestResetForEarlierFlowNamesItsNumbers guards against a reset that ends the present flow: a
// late packet of an earlier flow with the same addresses finds no owner. The reset names what
// that packet acknowledged, which the caller of the present flow does not expect, and the
// present flow is found by its next packet.
func TestResetForEarlierFlowNamesItsNumbers(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.send(t, time.Second, segment.Open, 7000, 0)
	s.own(t, 1010*time.Millisecond, s.first)
	s.send(t, 1020*time.Millisecond, segment.Ack, 7001, 90001)
	s.send(t, 1100*time.Millisecond, segment.Ack, 105, 50)
	s.sendBack(t, 1110*time.Millisecond, s.port.last())
	s.sendBack(t, 1120*time.Millisecond, s.port.last())
	s.MarkVerified(1130 * time.Millisecond)
	s.ResetVerified(1140 * time.Millisecond)
	is.Equal(s.port.resets, []uint32{50})
	s.send(t, 1200*time.Millisecond, segment.Ack, 7001, 90001)
	is.Equal(s.port.last().Kind, peer.Search)
	is.True(s.port.last().to == s.first || len(s.port.last().Candidates) == 2)
}

// TestLateOwnerMessageOfEarlierFlowIsCorrected covers an owner message that is late: it names
// the upstream of an earlier flow with the same addresses. That agent returns the packets of
// the present flow, and a search finds its owner.
func TestLateOwnerMessageOfEarlierFlowIsCorrected(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.send(t, time.Second, segment.Open, 7000, 0)
	s.own(t, 1010*time.Millisecond, s.first)
	s.own(t, 1020*time.Millisecond, s.second) // late
	s.send(t, 1100*time.Millisecond, segment.Ack, 7001, 90001)
	is.Equal(s.port.last().to, s.second)
	s.sendBack(t, 1110*time.Millisecond, s.port.last())
	is.Equal(s.port.last().Kind, peer.Search)
	is.Equal(len(s.port.last().Candidates), 2)
	s.own(t, 1120*time.Millisecond, s.first)
	s.send(t, 1200*time.Millisecond, segment.Ack, 7001, 90001)
	is.Equal(s.port.last().to, s.first)
	is.Equal(len(s.port.resets), 0)
}

// TestSavedFlowOfEarlierCallerIsNotReset guards against a reset of the present flow: an entry
// starts with the saved flow of an earlier caller with the same address and port, whose
// upstream has ended. The repeated resets stop at the opening of the present flow.
func TestSavedFlowOfEarlierCallerIsNotReset(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.RestoreFlows(time.Second, []director.FlowSnapshot{{Flow: s.flow, Owner: s.first, Service: peer.Service("maklerlink"), Start: peer.StartID("old", 1), Acknowledged: 50, Proven: true}})
	is.Equal(s.port.resets, []uint32{50})
	s.send(t, 1100*time.Millisecond, segment.Open, 7000, 0)
	s.own(t, 1110*time.Millisecond, s.first)
	for now := 1200 * time.Millisecond; now < 4*time.Second; now += 100 * time.Millisecond {
		s.Tick(now, 100*time.Millisecond)
	}
	is.Equal(s.port.resets, []uint32{50})
}

// panics reports whether f panics.
func panics(f func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	f()
	return false
}

// TestPanicLeavesNoLockAndNoRecord guards against an entry that hangs or handles a flow wrongly
// after a panic while a packet of it was handled: all locks are released, and the flow is not
// cached.
func TestPanicLeavesNoLockAndNoRecord(t *testing.T) {
	is := is.New(t)
	s := newReuseSite(t)
	s.port.fail = true
	is.True(panics(func() { s.send(t, time.Second, segment.Open, 100, 0) }))
	is.Equal(s.Flows(), 0)
	returned := peer.Frame{
		Kind: peer.Returned, OriginalKind: peer.Deliver, Candidates: []peer.Addr{s.first}, Hop: 1, Packet: s.packet(segment.Ack, 101, 9),
	}
	is.True(panics(func() { _ = s.HandleAgentDatagram(time.Second, s.first, returned.Append(nil)) }))
	is.Equal(s.Flows(), 0)
	s.port.fail = false
	s.send(t, 1100*time.Millisecond, segment.Open, 100, 1)
	is.Equal(s.Flows(), 1)
	s.Tick(1200*time.Millisecond, 100*time.Millisecond)

	is.NoErr(s.HandleAgentDatagram(1300*time.Millisecond, s.first, proven(s.flow, peer.StartID("u", 5), 9)))
	s.send(t, 1400*time.Millisecond, segment.Ack, 101, 9)
	s.HandleReport(2*time.Second, s.first, peer.Status{Incarnation: 1, Sequence: 98, Service: "maklerlink", Upstream: "u", Born: 5, Heartbeat: 2, Taking: true, Slots: 2})
	s.port.fail = true
	is.True(panics(func() {
		s.HandleReport(6*time.Second, s.first, peer.Status{Incarnation: 1, Sequence: 99, Service: "maklerlink", Upstream: "u", Born: 7, Taking: true, Slots: 2})
	}))
	s.port.fail = false
	s.Tick(6200*time.Millisecond, 100*time.Millisecond) // asks the agent again
	asked := s.port.last()
	is.Equal(asked.to, s.first)
	asked.OriginalKind, asked.Kind, asked.Hop = asked.Kind, peer.Returned, 1
	s.port.fail = true
	is.True(panics(func() { _ = s.HandleAgentDatagram(6300*time.Millisecond, s.first, asked.Append(nil)) }))
	s.port.fail = false
	s.Tick(6400*time.Millisecond, 100*time.Millisecond)
	is.Equal(s.Flows(), 0)
}

// FuzzHandleCallerPacket checks that no packet of a caller makes a director panic, after
// packets of a flow that is open, is searched for, or is gone.
func FuzzHandleCallerPacket(f *testing.F) {
	s := newReuseSite(f)
	f.Add(s.packet(segment.Open, 100, 0), uint16(0))
	f.Add(s.packet(segment.Ack, 101, 9), uint16(500))
	f.Add(s.packet(segment.Reset, 101, 9), uint16(5000))
	f.Add([]byte{}, uint16(1))
	f.Fuzz(func(t *testing.T, b []byte, wait uint16) {
		s := newReuseSite(t)
		now := time.Second
		s.own(t, now, s.first)
		for _, packet := range [][]byte{s.packet(segment.Open, 100, 0), b, s.packet(segment.Ack, 101, 9), b} {
			now += time.Duration(wait) * time.Millisecond
			_ = s.HandleCallerPacket(now, packet)
			s.Tick(now, 100*time.Millisecond)
		}
		s.SnapshotFlows(now, 10)
	})
}

// FuzzHandleAgentDatagram checks that no datagram of an agent makes a director panic, after
// packets of a flow that is placed, open or searched for.
func FuzzHandleAgentDatagram(f *testing.F) {
	s := newReuseSite(f)
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver, peer.Search} {
		for _, flags := range []segment.Flags{segment.Open, segment.Ack, segment.Ack | segment.Fin} {
			f.Add((&peer.Frame{
				Kind: peer.Returned, OriginalKind: kind, Service: peer.Service("maklerlink"), Round: 1, Hop: 1, Best: 1,
				Candidates: []peer.Addr{s.first}, Packet: s.packet(flags, 100, 0),
			}).Append(nil), uint8(flags))
		}
	}
	f.Add(peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Start: 1}.Append(nil), uint8(0))
	f.Add(peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Waiting: true}.Append(nil), uint8(0))
	f.Fuzz(func(t *testing.T, b []byte, flags uint8) {
		s := newReuseSite(t)
		_ = s.HandleCallerPacket(time.Second, s.packet(segment.Flags(flags)&(segment.Open|segment.Ack|segment.Fin), 100, 0))
		for i := range 4 {
			_ = s.HandleAgentDatagram(time.Duration(1000+100*i)*time.Millisecond, s.first, b)
		}
		s.Tick(2*time.Second, 100*time.Millisecond)
	})
}
