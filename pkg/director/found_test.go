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

// TestFoundOwnerIsRecordedWithItsStart guards against a search whose line can't be compared with
// the reset of the same flow by another entry, which names a start of the upstream.
func TestFoundOwnerIsRecordedWithItsStart(t *testing.T) {
	is := is.New(t)
	port := &decisionPort{framePort: framePort{recordingPort: recordingPort{new([]peer.Addr)}}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.SetConfig(manyConfig(1, time.Second, sameService))
	owner := peer.Addr{10, 0, 0, 3}
	d.HandleReport(time.Second, owner, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Born: 5, Taking: true, Slots: 2})
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	f := peer.Frame{
		Kind: peer.Returned, OriginalKind: peer.Deliver, Entry: peer.Addr{10, 0, 0, 1}, Candidates: []peer.Addr{{10, 0, 0, 2}}, Hop: 1,
		Packet: platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack}, false),
	}
	is.NoErr(d.HandleAgentDatagram(time.Second, peer.Addr{10, 0, 0, 2}, f.Append(nil)))
	is.NoErr(d.HandleAgentDatagram(2*time.Second, owner, peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Start: 7}.Append(nil)))
	is.Equal(port.decisions, []director.Decision{
		{Event: director.Searched, Flow: flow},
		{Event: director.OwnerFound, Flow: flow, Agent: owner, Reported: 7, Age: time.Second},
	})
}
