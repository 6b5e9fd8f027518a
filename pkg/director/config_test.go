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
// route a newer configuration has, which this entry has not received.
func TestFlowWithoutRouteIsResetOnlyIfConfigurationIsCurrent(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.SetConfig(route.New(7, nil))
	packet := platform.EncodePacket(segment.Header{Flow: feedFlow(route.Route{Shares: []route.Share{{Service: feedService, Weight: 1}}}), Flags: segment.Ack, Acknowledged: 1001, Length: 50}, false)
	for _, c := range []struct {
		at     time.Duration
		verify bool
		resets int
	}{
		{10 * time.Second, false, 0},
		{10 * time.Second, true, 1},
		{11900 * time.Millisecond, false, 2},
		{12100 * time.Millisecond, false, 2}, // verified too long ago
		{13 * time.Second, true, 3},
	} {
		if c.verify {
			d.MarkVerified(c.at)
		}
		is.NoErr(d.HandleCallerPacket(c.at, packet))
		is.Equal(port.resets, c.resets)
	}
	d.MarkUnverified() // as when the store has come back from an older copy
	is.NoErr(d.HandleCallerPacket(13*time.Second, packet))
	is.Equal(port.resets, 3)
}
