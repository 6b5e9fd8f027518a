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

// TestUnreadableRouteIsNotMissing guards against resets of flows whose route could not be read:
// open flows reach their upstream, known here or found by a search, and openings are dropped.
func TestUnreadableRouteIsNotMissing(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	feed := route.Route{VIP: vipAt(2), Shares: []route.Share{{Service: feedService, Weight: 1}}}
	d.SetConfig(route.New(7, []route.Route{feed}))
	d.MergeHolders(nil, 7)
	agent := peer.Addr{10, 0, 1, 1}
	d.HandleReport(time.Second, agent, peer.Status{Incarnation: 1, Sequence: 1, Service: feedService, Upstream: "u", Born: 5, Taking: true, Slots: 3})
	d.SetRegistered(time.Second, []peer.Addr{agent})
	send := func(callerPort uint16, flags segment.Flags) (frames, resets int) {
		frames, resets = len(port.frames), port.resets
		flow := segment.NewFlow(netipPort(vipAt(1), callerPort), vipAt(2))
		h := segment.Header{Flow: flow, Flags: flags, Acknowledged: 1001}
		is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(h, false)))
		d.MarkVerified(time.Second + 1)
		d.ResetVerified(time.Second + 1)
		return len(port.frames) - frames, port.resets - resets
	}
	check := func(callerPort uint16, flags segment.Flags, wantFrames, wantResets int) {
		t.Helper()
		frames, resets := send(callerPort, flags)
		is.Equal(frames, wantFrames)
		is.Equal(resets, wantResets)
	}
	check(1, segment.Open, 1, 0) // placed
	d.SetNextConfig(route.New(9, nil, route.WithUnreadable(1)), 7)
	check(1, segment.Ack, 1, 0)  // known here
	check(2, segment.Ack, 1, 0)  // searched for
	check(3, segment.Open, 0, 0) // dropped
	is.True(!d.Settled(2 * time.Second))
	d.SetNextConfig(route.New(11, nil), 9)
	check(1, segment.Ack, 0, 1) // the route is missing indeed
	is.NoErr(d.HandleCallerPacket(2*time.Second, platform.EncodePacket(segment.Header{Flow: segment.NewFlow(netipPort(vipAt(1), 4), vipAt(2)), Flags: segment.Ack}, false)))
	d.SetNextConfig(route.New(13, nil, route.WithUnreadable(1)), 11)
	d.MarkVerified(2100 * time.Millisecond)
	resets := port.resets
	d.ResetVerified(2200 * time.Millisecond)
	is.Equal(port.resets, resets) // the newer version may have a route
}
