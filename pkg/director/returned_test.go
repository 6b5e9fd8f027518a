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

// recordingPort records the processes that a director sends to, and drops the rest.
type recordingPort struct{ sent *[]peer.Addr }

// resetCountingPort counts the packets to callers, all of which are resets.
type resetCountingPort struct {
	recordingPort
	resets *int
}

func (p resetCountingPort) ToCaller(segment.Flow, []byte) { *p.resets++ }

func (p recordingPort) ToProcess(to peer.Addr, _ []byte)            { *p.sent = append(*p.sent, to) }
func (recordingPort) ToCaller(segment.Flow, []byte)                 {}
func (recordingPort) RecordLatency(director.Measure, time.Duration) {}
func (recordingPort) RecordDecision(director.Decision)              {}

// TestReturnedFrameIsIgnoredWithoutConfig covers an agent that was paused with a frame
// and returns it to an entry that has restarted and has no configuration yet. The
// entry must ignore the frame.
func TestReturnedFrameIsIgnoredWithoutConfig(t *testing.T) {
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver, peer.Search} {
		for _, flags := range []segment.Flags{segment.Open, segment.Ack} {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, recordingPort{new([]peer.Addr)})
			f := peer.Frame{
				Kind: peer.Returned, OriginalKind: kind, Entry: peer.Addr{10, 0, 0, 1}, Service: peer.Service("maklerlink"),
				Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1,
				Packet: platform.EncodePacket(segment.Header{Flow: flow, Flags: flags}, false),
			}
			is.NoErr(d.HandleAgentDatagram(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
		}
	}
}

// TestReturnedPacketOfUnknownFlowStartsSearch covers a packet that the owner returns
// after the entry has removed the flow from its cache. The entry must search for the
// owner instead of sending the packet to the zero address.
func TestReturnedPacketOfUnknownFlowStartsSearch(t *testing.T) {
	is := is.New(t)
	var sent []peer.Addr
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, recordingPort{&sent})
	d.SetConfig(manyConfig(1, time.Second, sameService))
	other := peer.Addr{10, 0, 0, 3}
	d.HandleReport(time.Second, other, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Taking: true, Slots: 2})
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	f := peer.Frame{
		Kind: peer.Returned, OriginalKind: peer.Deliver, Entry: peer.Addr{10, 0, 0, 1}, Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1,
		Packet: platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack}, false),
	}
	is.NoErr(d.HandleAgentDatagram(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
	is.Equal(sent, []peer.Addr{other})
}

// TestLateReturnedOpeningKeepsAcceptedFlow covers a caller that retransmits its opening:
// one agent accepts a copy, and another copy is returned later because its candidates
// were busy. The flow must not be reset.
func TestLateReturnedOpeningKeepsAcceptedFlow(t *testing.T) {
	is := is.New(t)
	resets := 0
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, resetCountingPort{recordingPort{new([]peer.Addr)}, &resets})
	d.SetConfig(manyConfig(1, time.Second, sameService))
	owner := peer.Addr{10, 0, 0, 3}
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	is.NoErr(d.HandleAgentDatagram(time.Second, owner, peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Start: 7}.Append(nil)))
	f := peer.Frame{
		Kind: peer.Returned, OriginalKind: peer.Place, Entry: peer.Addr{10, 0, 0, 1}, Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1, Stage: 1,
		Packet: platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false),
	}
	is.NoErr(d.HandleAgentDatagram(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
	is.Equal(resets, 0)
	is.Equal(d.Flows(), 1)
}

// TestReportOfEndedUpstreamResetsItsFlows covers an upstream that ends without starting
// again: its agent reports the same start with Empty. Callers must get a reset as soon as the
// agent has returned the packet that it was asked with, instead of at their next packet.
func TestReportOfEndedUpstreamResetsItsFlows(t *testing.T) {
	is := is.New(t)
	port := &framePort{}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.SetConfig(manyConfig(1, time.Second, sameService))
	owner := peer.Addr{10, 0, 0, 3}
	status := peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Born: 5, Taking: true, Slots: 2}
	d.HandleReport(time.Second, owner, status)
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	is.NoErr(d.HandleAgentDatagram(time.Second, owner, proven(flow, peer.StartID("u", 5), 9)))
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 9}, false)))
	status.Sequence, status.Heartbeat, status.Taking, status.Empty = 2, 2, false, true
	port.frames = nil
	d.HandleReport(2*time.Second, owner, status)
	is.Equal(len(port.frames), 1)
	f := port.last()
	f.OriginalKind, f.Kind, f.Hop = f.Kind, peer.Returned, 1
	is.NoErr(d.HandleAgentDatagram(2*time.Second, owner, f.Append(nil)))
	is.Equal(port.resets, 1)
	is.Equal(d.Flows(), 0)
}

// TestWaitingOpeningOfStoppingAgentIsPlacedAgain answers a rolling restart: the agent beside
// which an opening waits stops and returns it. The caller must not be refused, as another
// upstream may accept the flow.
func TestWaitingOpeningOfStoppingAgentIsPlacedAgain(t *testing.T) {
	const waitingStage = 3
	for _, c := range []struct {
		name    string
		stopped bool
		resets  int
	}{
		{"it stops", true, 0},
		{"the patience is over", false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var sent []peer.Addr
			resets := 0
			d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, resetCountingPort{recordingPort{&sent}, &resets})
			d.SetConfig(manyConfig(1, time.Second, sameService))
			agent, other := peer.Addr{10, 0, 0, 3}, peer.Addr{10, 0, 0, 4}
			for _, a := range []peer.Addr{agent, other} {
				d.HandleReport(time.Second, a, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Taking: true, Slots: 2})
			}
			flow := segment.NewFlow(vipAt(1), vipAt(2))
			opening := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)
			is.NoErr(d.HandleCallerPacket(time.Second, opening))
			is.NoErr(d.HandleAgentDatagram(time.Second, agent, peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Waiting: true}.Append(nil)))
			if c.stopped {
				d.HandleGoodbye(time.Second, agent, true)
			}
			sent = nil
			f := peer.Frame{
				Kind: peer.Returned, OriginalKind: peer.Place, Entry: peer.Addr{10, 0, 0, 1}, Service: peer.Service("maklerlink"),
				Candidates: []peer.Addr{agent}, Hop: 1, Stage: waitingStage, Packet: opening,
			}
			is.NoErr(d.HandleAgentDatagram(time.Second, agent, f.Append(nil)))
			is.Equal(resets, c.resets)
			if c.stopped {
				is.Equal(sent, []peer.Addr{other})
			}
		})
	}
}

// TestFlowWhoseFirstPacketClosesItIsForgotten covers a late Fin of a flow that the entry does
// not know: its record must not stay for the idle timeout.
func TestFlowWhoseFirstPacketClosesItIsForgotten(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, recordingPort{new([]peer.Addr)})
	d.SetConfig(manyConfig(1, time.Second, sameService))
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Fin | segment.Ack}, false)))
	is.Equal(d.Flows(), 1)
	d.Tick(7*time.Second, 0)
	is.Equal(d.Flows(), 0)
}
