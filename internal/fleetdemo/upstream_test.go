package fleetdemo

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestRequestOfAnotherUpstreamsFlow guards against the failure of soak seeds 706 and 714: two
// upstreams had accepted copies of one opening, and the one with which the caller did not go on
// ran its request, too. The platform's upstreams bounce a packet that does not acknowledge their
// own sequence number.
func TestRequestOfAnotherUpstreamsFlow(t *testing.T) {
	is := is.New(t)
	s := &site{store: kvstandin.New(), log: zap.NewNop(), requests: requestLog{ran: make(map[requestID]bool)}}
	u := &upstream{site: s, settings: &platform.Settings{}, random: rand.New(rand.NewPCG(1, 1)), flows: make(map[segment.Flow]*heldFlow)}
	flow := segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1001"), vip)
	response := func(h segment.Header) segment.Header {
		b, err := u.handlePacket(platform.EncodePacket(h, false))
		is.NoErr(err)
		got, err := platform.DecodeFromUpstream(b)
		is.NoErr(err)
		return got
	}
	isn := response(segment.Header{Flow: flow, Flags: segment.Open, Sequence: 1}).Sequence
	request := segment.Header{Flow: flow, Flags: segment.Ack, Sequence: 2, Acknowledged: isn + 1000, Length: requestBytes}
	is.True(response(request).Has(segment.Bounced))
	request.Acknowledged = isn + 1
	is.Equal(response(request).Length, uint16(responseBytes))
	is.Equal(s.requests.repeatedRuns(), 0)
}

// TestOverlappingCrashes guards against the failure of soak seed 44: when two
// crashes overlapped, the restart at the end of the longer one kept the flows
// that the upstream had accepted after the restart of the shorter one.
func TestOverlappingCrashes(t *testing.T) {
	is := is.New(t)
	u := &upstream{site: &site{}, flows: make(map[segment.Flow]*heldFlow)}
	var crashes sync.WaitGroup
	crashes.Go(func() { u.crash(300 * time.Millisecond) })
	u.crash(0)
	u.mu.Lock()
	u.flows[segment.Flow{}] = &heldFlow{isn: 7}
	u.mu.Unlock()
	isn, _, ok := u.holds(segment.Flow{})
	is.True(ok)
	is.Equal(isn, uint32(7))
	crashes.Wait()
	_, _, ok = u.holds(segment.Flow{})
	is.True(!ok)
}
