package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
)

// linkDomain is the state of the smallest entry of a domain with the rotation that follows
// from it.
type linkDomain struct {
	entries  *entrySet
	link     *capacity.Link
	rotation capacity.Rotation
	now      time.Duration
}

func newLinkDomain() *linkDomain {
	return &linkDomain{entries: newEntrySet(entryTimeout), link: capacity.New(1.25e6)}
}

// run advances the time. Each of the neighbours sends hello messages: large ones that
// callers send 6 MB/s, and small ones that are full.
func (d *linkDomain) run(period time.Duration, neighbours map[peer.Addr]float64) {
	for end := d.now + period; d.now < end; d.now += tickInterval {
		if d.now%reportInterval == 0 {
			for a, rate := range neighbours {
				d.entries.recordHello(d.now, a, peer.HelloMessage{Incarnation: 1, FailureDomain: "graz", Ready: true, LinkRate: rate, CallerRate: min(rate, 6e6)})
			}
		}
		d.link.Tick(d.now)
		d.rotation.Observe(d.now, domainLinks(d.now, peer.Addr{10, 0, 0, 9}, d.link, true, d.entries, "graz", 0))
	}
}

var (
	smallNeighbours = map[peer.Addr]float64{{10, 0, 0, 3}: 1.25e6, {10, 0, 0, 4}: 1.25e6}
	allNeighbours   = map[peer.Addr]float64{{10, 0, 0, 1}: 25e6, {10, 0, 0, 2}: 25e6, {10, 0, 0, 3}: 1.25e6, {10, 0, 0, 4}: 1.25e6}
)

// TestRotationFollowsHelloMessages guards against a small entry that stays in rotation
// beside large ones with room, and against one that stays out when these vanish, whose
// hello messages become stale, or when it hears of nobody any more.
func TestRotationFollowsHelloMessages(t *testing.T) {
	for name, left := range map[string]map[peer.Addr]float64{"large neighbours vanish": smallNeighbours, "all neighbours vanish": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newLinkDomain()
			d.run(15*time.Second, allNeighbours)
			is.True(d.rotation.Out())
			d.run(entryTimeout-reportInterval, left) // the last hello messages count for a while
			is.True(d.rotation.Out())
			d.run(2*reportInterval, left)
			is.True(!d.rotation.Out())
			is.Equal(d.rotation.Reason(), capacity.TooFewOthers)
			others, changedAt := d.entries.links(d.now, "graz")
			is.Equal(len(others), len(left))         // no stale message counts
			is.True(changedAt >= d.now-entryTimeout) // the loss is a change
		})
	}
}

// TestRotationWaitsAfterChange guards against an entry that leaves rotation while a
// neighbour has just started, stopped or been lost: the routers may still send to that one,
// and the rates of all are those of before.
func TestRotationWaitsAfterChange(t *testing.T) {
	for name, change := range map[string]func(d *linkDomain){
		"started": func(d *linkDomain) {
			d.entries.recordHello(d.now, peer.Addr{10, 0, 0, 1}, peer.HelloMessage{Incarnation: 2, FailureDomain: "graz", Ready: true, LinkRate: 25e6, CallerRate: 6e6})
		},
		"stopped": func(d *linkDomain) { d.entries.markStopped(d.now, peer.Addr{10, 0, 0, 3}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newLinkDomain()
			d.run(7600*time.Millisecond, allNeighbours)
			change(d)
			d.run(2*time.Second, allNeighbours)
			is.True(!d.rotation.Out())
			is.Equal(d.rotation.Reason(), capacity.NeighboursChanged)
			d.run(3*time.Second, allNeighbours)
			is.True(d.rotation.Out())
		})
	}
}

// TestRotationStartsInAfterLossOfAllPower covers a domain that starts at once without
// hello messages: the entry is in rotation, and its link reserves nothing.
func TestRotationStartsInAfterLossOfAllPower(t *testing.T) {
	is := is.New(t)
	d := newLinkDomain()
	d.run(2*time.Second, nil)
	is.True(!d.rotation.Out())
	d.run(5500*time.Millisecond, allNeighbours)
	is.True(!d.rotation.Out())
	is.Equal(d.link.Status().Reserved, int64(0))
}

// TestRotationWithNeighboursWithoutLinkRate covers entries of an older version or without
// link-mbps beside a small one: it leaves for none of them, as their demand is not known.
func TestRotationWithNeighboursWithoutLinkRate(t *testing.T) {
	is := is.New(t)
	d := newLinkDomain()
	d.run(20*time.Second, map[peer.Addr]float64{{10, 0, 0, 1}: 0, {10, 0, 0, 2}: 0})
	is.True(!d.rotation.Out())
}

func TestShortestTarget(t *testing.T) {
	is := is.New(t)
	routes := []route.Route{{Target: 800 * time.Millisecond, VIP: testVIP(1)}, {VIP: testVIP(2)}, {Target: 250 * time.Millisecond, VIP: testVIP(3)}}
	is.Equal(shortestTarget(route.New(1, routes)), 250*time.Millisecond)
	is.Equal(shortestTarget(route.New(1, routes[1:2])), time.Duration(0))
}

func testVIP(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, n}), 80)
}
