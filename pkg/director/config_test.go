package director_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// manyRoutes is the number of routes of a large configuration.
const manyRoutes = 5000

// vipAt returns a distinct VIP for each number.
func vipAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

// manyConfig returns a configuration of manyRoutes routes with one service each.
func manyConfig(version uint64, timeout time.Duration, service func(i int) string) *route.Config {
	routes := make([]route.Route, manyRoutes)
	for i := range routes {
		routes[i] = route.Route{
			Name: fmt.Sprint(i), VIP: vipAt(i), Timeout: timeout, Shares: []route.Share{{Service: service(i), Weight: 1}},
		}
	}
	return route.New(version, routes)
}

// sameService assigns all routes to one service.
func sameService(int) string { return "maklerlink" }

// TestSetConfigOrderAndHolders applies configurations with many routes in quick
// succession. SetConfig must ignore versions that are not newer, and must report a
// change of holders, which is written to the store, only if the services that may
// hold flows change.
func TestSetConfigOrderAndHolders(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	newer, holders := d.SetConfig(manyConfig(10, time.Second, sameService))
	is.True(newer)
	is.True(holders)
	for version := uint64(11); version < 40; version++ {
		newer, holders = d.SetConfig(manyConfig(version, time.Duration(version)*time.Second, sameService))
		is.True(newer)
		is.True(!holders) // only the timeouts differ
	}
	newer, _ = d.SetConfig(manyConfig(39, time.Second, sameService))
	is.True(!newer)
	newer, _ = d.SetConfig(manyConfig(12, time.Second, sameService))
	is.True(!newer)
	is.Equal(d.Config().Version(), uint64(39))
	moved := func(i int) string {
		if i == 7 {
			return "exposeserver"
		}
		return "maklerlink"
	}
	newer, holders = d.SetConfig(manyConfig(45, time.Second, moved))
	is.True(newer)
	is.True(holders)
	is.Equal(d.Holders()[vipAt(7)], []string{"exposeserver", "maklerlink"})
	is.Equal(d.Holders()[vipAt(8)], []string{"maklerlink"})
	is.Equal(len(d.Holders()), manyRoutes)
}

// TestHoldersSurviveRestart covers an entry that starts after the configuration has
// assigned a VIP to another service, when no running process knows the earlier
// service. Merging the stored holders must add the earlier service.
func TestHoldersSurviveRestart(t *testing.T) {
	is := is.New(t)
	before := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	before.SetConfig(manyConfig(1, time.Second, sameService))
	after := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	after.SetConfig(manyConfig(2, time.Second, func(int) string { return "exposeserver" }))
	is.True(!after.Settled(time.Minute)) // the earlier holders are unknown
	after.MergeHolders(before.Holders(), before.HoldersThrough())
	is.Equal(after.Holders()[vipAt(3)], []string{"exposeserver", "maklerlink"})
}

// TestFlowWithoutRouteIsResetOnlyIfConfigurationIsCurrent guards against the reset of a flow whose
// route a newer configuration has, which this entry has not received: it is cut off from the store
// and from other entries, and its last verification is less than 2 s old.
func TestFlowWithoutRouteIsResetOnlyIfConfigurationIsCurrent(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.SetConfig(route.New(7, nil))
	flow := feedFlow(route.Route{Shares: []route.Share{{Service: feedService, Weight: 1}}})
	packet := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 1001, Length: 50}, false)
	send := func(at time.Duration) { is.NoErr(d.HandleCallerPacket(at, packet)) }
	check := func(now time.Duration, resets int) {
		t.Helper()
		d.ResetVerified(now)
		is.Equal(port.resets, resets)
	}
	d.MarkVerified(9900 * time.Millisecond)
	send(10 * time.Second)
	check(10100*time.Millisecond, 0) // verified before the packet arrived
	d.MarkVerifiedElsewhere(10200*time.Millisecond, peer.Addr{10, 0, 0, 2})
	check(10300*time.Millisecond, 0) // the message may have been under way for long
	d.MarkVerified(10250 * time.Millisecond)
	check(10400*time.Millisecond, 1)

	send(11 * time.Second)
	d.SetConfig(route.New(8, []route.Route{{VIP: flow.VIP(), Shares: []route.Share{{Service: feedService, Weight: 1}}}}))
	d.MarkVerified(11100 * time.Millisecond)
	check(11200*time.Millisecond, 1) // the newer version has the route

	d.SetConfig(route.New(9, nil))
	send(13 * time.Second)
	d.Tick(15100*time.Millisecond, 100*time.Millisecond)
	d.MarkVerified(15200 * time.Millisecond)
	check(15300*time.Millisecond, 1) // the caller has sent the packet again or gives up

	send(16 * time.Second)
	d.MarkVerified(16100 * time.Millisecond)
	d.MarkUnverified() // as when the store has come back from an older copy
	check(16200*time.Millisecond, 1)
}

// TestOpeningWithoutRouteIsResetBeforeItsCopies guards against the reset of a flow that another
// entry has opened by a copy of the opening, under a version that has the route, while the store was
// slow to answer this one.
func TestOpeningWithoutRouteIsResetBeforeItsCopies(t *testing.T) {
	for _, c := range []struct {
		name   string
		copies uint32
		after  time.Duration // from the arrival of the opening to the answer of the store
		resets int
	}{
		{"at once", 0, 20 * time.Millisecond, 1},
		{"after the first copy", 0, 200 * time.Millisecond, 0},
		{"of the first copy", 1, 20 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
			d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
			d.SetConfig(route.New(7, nil))
			h := segment.Header{Flow: segment.NewFlow(vipAt(1), vipAt(2)), Flags: segment.Open, Sequence: 7, Acknowledged: c.copies}
			is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(h, false)))
			d.MarkVerified(time.Second + 1)
			d.ResetVerified(time.Second + c.after)
			is.Equal(port.resets, c.resets)
		})
	}
}

// TestResetsForWantOfRouteLeaveRoom guards against a flood of packets without a route that leaves no
// room for the resets of flows without an owner, and against one that takes memory without bound.
func TestResetsForWantOfRouteLeaveRoom(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	unrouted := segment.NewFlow(s.flow.Caller(), netipPort(vipAt(2), 9))
	for port := uint16(10); unrouted.Hash()%16 != s.flow.Hash()%16; port++ { // of the same shard
		unrouted = segment.NewFlow(s.flow.Caller(), netipPort(vipAt(2), port))
	}
	for range 5000 {
		is.NoErr(s.HandleCallerPacket(3*time.Second, platform.EncodePacket(segment.Header{Flow: unrouted, Flags: segment.Ack, Acknowledged: 5}, false)))
	}
	s.foundNobody()
	s.verify(3001*time.Millisecond, 3010*time.Millisecond)
	is.Equal(s.port.resets, 256+1)
}
