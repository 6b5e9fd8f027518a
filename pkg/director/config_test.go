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
	"hickoryhook.example/platform"
)

const manyRoutes = 5000

func vipAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

// manyConfig returns a configuration of many routes to one service each.
func manyConfig(version uint64, timeout time.Duration, service func(i int) string) *route.Config {
	routes := make([]route.Route, manyRoutes)
	for i := range routes {
		routes[i] = route.Route{
			Name: fmt.Sprint(i), VIP: vipAt(i), Timeout: timeout, Shares: []route.Share{{Service: service(i), Weight: 1}},
		}
	}
	return route.New(version, routes)
}

func one(int) string { return "maklerlink" }

// TestStormOfLargeConfigurations covers quick successions of configurations
// with many routes: only those that change who may hold flows are news for the
// store, and a version never goes back.
func TestStormOfLargeConfigurations(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	newer, holders := d.SetConfig(manyConfig(10, time.Second, one))
	is.True(newer)
	is.True(holders)
	for version := uint64(11); version < 40; version++ {
		newer, holders = d.SetConfig(manyConfig(version, time.Duration(version)*time.Second, one))
		is.True(newer)
		is.True(!holders) // other time-outs
	}
	newer, _ = d.SetConfig(manyConfig(39, time.Second, one))
	is.True(!newer)
	newer, _ = d.SetConfig(manyConfig(12, time.Second, one))
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

// TestHoldersOutliveAnEntry covers an entry that starts when the configuration
// has moved an address and nobody is left who knew it before.
func TestHoldersOutliveAnEntry(t *testing.T) {
	is := is.New(t)
	before := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	before.SetConfig(manyConfig(1, time.Second, one))
	after := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	after.SetConfig(manyConfig(2, time.Second, func(int) string { return "exposeserver" }))
	is.True(!after.Settled(time.Minute)) // it does not know yet who held flows
	after.MergeHolders(before.Holders())
	is.Equal(after.Holders()[vipAt(3)], []string{"exposeserver", "maklerlink"})
}
