package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/route"
)

// TestShortestTarget guards against a limit of reserved bytes that ignores the shortest
// target, or that counts a route without a target as one of 0.
func TestShortestTarget(t *testing.T) {
	is := is.New(t)
	vip := netip.MustParseAddrPort("198.18.0.1:80")
	second, third := netip.MustParseAddrPort("198.18.0.2:80"), netip.MustParseAddrPort("198.18.0.3:80")
	routes := []route.Route{{Target: 800 * time.Millisecond, VIP: vip}, {VIP: second}, {Target: 250 * time.Millisecond, VIP: third}}
	is.Equal(shortestTarget(route.New(1, routes)), 250*time.Millisecond)
	is.Equal(shortestTarget(route.New(1, routes[1:2])), time.Duration(0))
}
