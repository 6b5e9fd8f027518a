package fleet

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// TestRememberedFlowsRoundTrip guards against saved flows that change or exceed
// the write budget. An entry reads them after a power loss to reset flows that
// no longer exist.
func TestRememberedFlowsRoundTrip(t *testing.T) {
	is := is.New(t)
	var flows []director.FlowSnapshot
	for i := range maxSavedFlows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(1024+i))
		flows = append(flows, director.FlowSnapshot{
			Flow:    segment.NewFlow(caller, netip.MustParseAddrPort("198.18.0.1:443")),
			Owner:   peer.Addr{10, 0, 0, byte(i % 7)},
			Service: 9, Start: uint32(1 + i%7), Acknowledged: uint32(i) << 20,
		})
	}
	b, err := encodeFlows(flows)
	is.NoErr(err)
	// the budget for control traffic is 3 KB a second
	is.True(float64(len(b)+putOverhead) <= 3*1024*flowsPause(len(b)).Seconds())
	got, err := decodeFlows(b)
	is.NoErr(err)
	is.Equal(len(got), len(flows))
	seen := make(map[segment.Flow]director.FlowSnapshot)
	for _, r := range got {
		seen[r.Flow] = r
	}
	for _, f := range flows {
		is.Equal(seen[f.Flow], f)
	}
	_, err = decodeFlows([]byte("of another writer"))
	is.True(err != nil)
}
