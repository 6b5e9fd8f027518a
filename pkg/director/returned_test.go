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

func (p recordingPort) ToProcess(to peer.Addr, _ []byte)            { *p.sent = append(*p.sent, to) }
func (recordingPort) ToCaller(segment.Flow, []byte)                 {}
func (recordingPort) RecordLatency(director.Measure, time.Duration) {}
func (recordingPort) RecordDecision(director.Decision)              {}

// TestReturnedToARestartedEntry covers an agent that was paused with a frame and
// returns it to an entry that has restarted and has no configuration yet. The entry
// must ignore the frame.
func TestReturnedToARestartedEntry(t *testing.T) {
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

// TestReturnedAfterAFlowWasForgotten covers a packet that the owner returns after
// the entry has forgotten the flow. The entry must search for the owner instead of
// sending the packet to the zero address.
func TestReturnedAfterAFlowWasForgotten(t *testing.T) {
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
