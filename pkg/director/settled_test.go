package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestNotSettledWhileDelayed covers an entry that is too slow to read its
// datagrams: reports of running agents may wait in its socket, so that it must not
// be settled.
func TestNotSettledWhileDelayed(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
	d.MergeHolders(nil, 1)
	d.SetRegistered(0, []peer.Addr{{10, 0, 0, 1}, {10, 0, 0, 2}})
	report := func(at time.Duration, sequence uint64) {
		d.HandleReport(at, peer.Addr{10, 0, 0, 1}, peer.Status{Incarnation: 1, Sequence: sequence, Service: "maklerlink"})
	}
	report(11900*time.Millisecond, 1)
	is.True(d.Settled(12 * time.Second)) // the wait for the other agent has ended
	d.MarkDelayed(12 * time.Second)
	report(12900*time.Millisecond, 2)
	is.True(!d.Settled(13 * time.Second))
	report(13400*time.Millisecond, 3)
	is.True(d.Settled(13500 * time.Millisecond))
}

// TestSettledWithAnOldList covers an entry that starts after a loss of all power
// with a list that names agents which no longer exist. It must wait for them for a
// while, and must then be settled unless most agents are missing.
func TestSettledWithAnOldList(t *testing.T) {
	agent := func(n int) peer.Addr { return peer.Addr{10, 0, 0, byte(n)} }
	for _, c := range []struct {
		name     string
		listed   int
		reported int
		at       time.Duration
		want     bool
	}{
		{"all reported", 4, 4, 700 * time.Millisecond, true},
		{"one has not reported yet", 4, 3, 700 * time.Millisecond, false},
		{"one may be cut off", 4, 3, 9 * time.Second, false},
		{"one is gone for good", 4, 3, 10500 * time.Millisecond, true},
		{"half are gone for good", 4, 2, 10500 * time.Millisecond, true},
		{"cut off from most", 4, 1, 10500 * time.Millisecond, false},
		{"cut off from all", 4, 0, 10500 * time.Millisecond, false},
		{"first start", 0, 0, 700 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
			d.MergeHolders(nil, 1)
			var listed []peer.Addr
			for n := range c.listed {
				listed = append(listed, agent(n))
			}
			d.SetRegistered(10*time.Millisecond, listed)
			d.SetRegistered(100*time.Millisecond, listed) // the list was read again
			for n := range c.reported {
				d.HandleReport(c.at-100*time.Millisecond, agent(n), peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink"})
			}
			is.Equal(d.Settled(c.at), c.want)
		})
	}
}

// TestSkippedVersionUnsettles covers an entry that was paused while the configuration changed
// twice: it does not know the services under which others placed flows meanwhile, and must
// not take a flow for lost before it has their record.
func TestSkippedVersionUnsettles(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	d.SetConfig(manyConfig(5, time.Second, sameService))
	d.MergeHolders(nil, 5)
	d.SetRegistered(0, nil)
	is.True(d.Settled(time.Minute))
	d.SetConfig(manyConfig(6, time.Second, sameService))
	is.True(d.Settled(time.Minute)) // the next version
	d.SetConfig(manyConfig(8, time.Second, sameService))
	is.True(!d.Settled(time.Minute))
	d.MergeHolders(map[netip.AddrPort][]string{vipAt(3): {"exposeserver"}}, 8)
	is.True(d.Settled(time.Minute))
	is.Equal(d.Holders()[vipAt(3)], []string{"maklerlink", "exposeserver"})
}

// TestOldReportOfNoUpstreamProvesNothing guards against the reset of a living flow: an agent has
// reported that no upstream runs, was restarted, and has not reached this entry since. Its upstream
// may have started again and accepted flows.
func TestOldReportOfNoUpstreamProvesNothing(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
	d.MergeHolders(nil, 1)
	ended, other := peer.Addr{10, 0, 0, 1}, peer.Addr{10, 0, 0, 2}
	d.SetRegistered(0, []peer.Addr{ended, other})
	d.HandleReport(time.Second, ended, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Empty: true})
	d.HandleReport(3*time.Second, other, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "v", Taking: true, Slots: 2})
	is.True(!d.Settled(3 * time.Second))
}
