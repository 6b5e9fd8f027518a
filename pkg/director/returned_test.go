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

// nowhere drops what leaves a director, but for where it sends.
type nowhere struct{ sent *[]peer.Addr }

func (n nowhere) ToProcess(to peer.Addr, _ []byte)            { *n.sent = append(*n.sent, to) }
func (nowhere) ToCaller(segment.Flow, []byte)                 {}
func (nowhere) RecordLatency(director.Measure, time.Duration) {}
func (nowhere) RecordDecision(director.Decision)              {}

// TestReturnedToARestartedEntry covers an agent that stood still with a frame
// and returns it to an entry that has started again and has no configuration.
func TestReturnedToARestartedEntry(t *testing.T) {
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	for _, kind := range []peer.Kind{peer.Place, peer.Deliver, peer.Search} {
		for _, flags := range []segment.Flags{segment.Open, segment.Ack} {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nowhere{new([]peer.Addr)})
			f := peer.Frame{
				Kind: peer.Returned, OriginalKind: kind, Entry: peer.Addr{10, 0, 0, 1}, Service: peer.Service("maklerlink"),
				Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1,
				Packet: platform.EncodePacket(segment.Header{Flow: flow, Flags: flags}, false),
			}
			is.NoErr(d.HandleAgentDatagram(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
		}
	}
}

// TestReturnedAfterAFlowWasForgotten covers a packet that its supposed owner
// returns when the entry has forgotten the flow: it is searched, not sent to
// nobody.
func TestReturnedAfterAFlowWasForgotten(t *testing.T) {
	is := is.New(t)
	var sent []peer.Addr
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nowhere{&sent})
	d.SetConfig(manyConfig(1, time.Second, one))
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
