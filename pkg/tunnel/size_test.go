package tunnel_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

// TestOverhead checks the sizes of packets without payload that the operators' page
// states: an ordinary packet with 3 candidates, and the largest with a search.
func TestOverhead(t *testing.T) {
	for _, c := range []struct {
		address           string
		ordinary, largest int
	}{
		{"192.0.2.1:1", 160, 337},
		{"[2001:db8::1]:1", 232, 517},
	} {
		is := is.New(t)
		address := netip.MustParseAddrPort(c.address)
		newPacket := func(candidates int) tunnel.Packet {
			p := tunnel.NewPacket(tunnel.Data, 1, 1, 1)
			p.SetFlow(flow.NewKey(1, flow.UDP, address, address), flow.Digest{}, 0).SetEntryAddress(address)
			for i := range candidates {
				p.AddCandidate(tunnel.NewCandidate(tunnel.MemberID(i+1), address))
			}
			return p
		}
		p := newPacket(3)
		is.Equal(p.SealedSize(), c.ordinary)
		p = newPacket(tunnel.MaxCandidates)
		p.UpdateFlags(tunnel.FlagSearch, 0).StartSearch(1)
		for i := range tunnel.MaxCandidates {
			p.MarkTried(i, 1, 1)
		}
		for i := range tunnel.MaxSearchTargets {
			p.AddSearchTarget(tunnel.NewCandidate(tunnel.MemberID(i+1), address))
		}
		is.Equal(p.SealedSize(), c.largest)
	}
}
