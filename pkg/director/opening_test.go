package director_test

import (
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

// framePort records the frames that a director sends, without owner queries, and counts the
// packets to callers, all of which are resets.
type framePort struct {
	recordingPort
	frames []peer.Frame
	resets int
}

func (p *framePort) ToProcess(_ peer.Addr, datagram []byte) {
	if kind, err := peer.KindOf(datagram); err == nil && kind == peer.OwnerQuery {
		return
	}
	var f peer.Frame
	if err := f.Decode(append([]byte(nil), datagram...)); err != nil {
		panic(err)
	}
	p.frames = append(p.frames, f)
}

func (p *framePort) ToCaller(segment.Flow, []byte) { p.resets++ }

// last returns the frame that was sent last.
func (p *framePort) last() peer.Frame { return p.frames[len(p.frames)-1] }

const (
	feedService = "maklerlink"
	pageService = "exposeserver"
)

// newBusySite returns a director with a route of most flows to six upstreams of one
// service and of the rest to two of another.
func newBusySite(port director.Port, shares ...route.Share) *director.Director {
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	d.MergeHolders(nil, 1)
	d.SetConfig(route.New(1, []route.Route{{VIP: vipAt(2), Shares: shares, Timeout: 2 * time.Second, Priority: 3, Idempotent: true}}))
	var agents []peer.Addr
	for n := range 8 {
		service := feedService
		if n >= 6 {
			service = pageService
		}
		agents = append(agents, peer.Addr{10, 0, 1, byte(n)})
		d.HandleReport(time.Second, agents[n], peer.Status{Incarnation: 1, Sequence: 1, Service: service, Upstream: "u", Born: 5, Taking: true, Slots: 3})
	}
	d.SetRegistered(time.Second, agents)
	return d
}

// returnLast returns the last frame to the director, whose candidate i was the least busy
// one with the load.
func (p *framePort) returnLast(t *testing.T, d *director.Director, i int, load uint8) {
	t.Helper()
	f := p.last()
	f.OriginalKind, f.Kind, f.Hop, f.Best, f.BestLoad = f.Kind, peer.Returned, len(f.Candidates), i+1, load
	if err := d.HandleAgentDatagram(1010*time.Millisecond, f.Candidates[0], f.Append(nil)); err != nil {
		t.Fatal(err)
	}
}

// TestOpeningStagesInOverload covers an overloaded service: a flow is offered to five of
// its agents, then to the other service of its route, which has free slots, and only then
// does it wait, at the least busy agent of its own service. Its caller is reset once that
// agent refuses it, too.
func TestOpeningStagesInOverload(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 9}, route.Share{Service: pageService, Weight: 1})
	flow := feedFlow(route.Route{Shares: []route.Share{{Service: feedService, Weight: 9}, {Service: pageService, Weight: 1}}})
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)))
	is.Equal(len(port.last().Candidates), 5)
	is.Equal(port.last().Service, peer.Service(feedService))
	leastBusy := port.last().Candidates[3]

	port.returnLast(t, d, 3, 20)
	is.Equal(len(port.last().Candidates), 2)
	is.Equal(port.last().Service, peer.Service(pageService))
	is.Equal(port.last().Patience, time.Duration(0))

	port.returnLast(t, d, 0, 10) // the other service is for free slots, not for waiting
	is.Equal(port.last().Candidates, []peer.Addr{leastBusy})
	is.Equal(port.last().Service, peer.Service(feedService))
	is.True(port.last().Forced)
	is.Equal(port.last().Patience, 496*time.Millisecond) // a quarter of the timeout, in units of 8 ms
	is.Equal(port.last().Priority, uint8(3))
	is.Equal(port.resets, 0)

	port.returnLast(t, d, 0, 20)
	is.Equal(port.resets, 1)
	is.Equal(d.Flows(), 0)
}

// TestOpeningGoesToOtherAgentsIfNoneOfTheChosenRuns covers upstreams that ended since their
// agents' last reports: nothing can wait for them, and the other agents of the service are
// tried.
func TestOpeningGoesToOtherAgentsIfNoneOfTheChosenRuns(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)))
	port.returnLast(t, d, -1, 0)
	is.Equal(len(port.last().Candidates), 1) // the sixth agent of the service
	is.Equal(port.last().Service, peer.Service(feedService))
	is.Equal(port.last().Patience, time.Duration(0))
	port.returnLast(t, d, -1, 0)
	is.Equal(port.resets, 1)
}

// TestOpeningDoesNotOverflowToServiceWithoutWeight covers a service from which operators
// have taken all new flows: also in an overload, it gets none.
func TestOpeningDoesNotOverflowToServiceWithoutWeight(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 9}, route.Share{Service: pageService})
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)))
	for port.resets == 0 {
		is.Equal(port.last().Service, peer.Service(feedService))
		port.returnLast(t, d, 0, 20)
	}
}

// TestRetransmittedOpeningFollowsWaitingOne covers the copies that a caller sends while
// its opening waits: they go to the agent where it waits, not to a second one.
func TestRetransmittedOpeningFollowsWaitingOne(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
	flow := segment.NewFlow(vipAt(1), vipAt(2))
	opening := platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)
	is.NoErr(d.HandleCallerPacket(time.Second, opening))
	waitsAt := port.last().Candidates[4]
	waiting := peer.OwnerMessage{Kind: peer.Owned, Flow: flow, Waiting: true}
	is.NoErr(d.HandleAgentDatagram(1010*time.Millisecond, waitsAt, waiting.Append(nil)))
	is.NoErr(d.HandleCallerPacket(1200*time.Millisecond, opening))
	is.Equal(port.last().Candidates, []peer.Addr{waitsAt})
}

// feedFlow returns a flow that the weights of the route send to feedService.
func feedFlow(r route.Route) segment.Flow {
	for n := range uint16(100) {
		f := segment.NewFlow(netipPort(vipAt(1), n+1), vipAt(2))
		if name, _ := r.Pick(f.Hash()); name == feedService {
			return f
		}
	}
	panic("no flow of the service")
}

// netipPort returns the address with another port.
func netipPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// TestOpeningIsResetIfAllUpstreamsAreEvacuated covers openings for a service whose failure
// domains are all evacuated: they must neither wait nor go there, and be told from overload.
func TestOpeningIsResetIfAllUpstreamsAreEvacuated(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
	open := platform.EncodePacket(segment.Header{Flow: feedFlow(route.Route{Shares: []route.Share{{Service: feedService, Weight: 1}}}), Flags: segment.Open}, false)
	d.SetEvacuated([]string{""}) // the failure domain of all agents
	is.Equal(len(d.AgentsIn([]string{""})), 8)
	is.NoErr(d.HandleCallerPacket(time.Second, open))
	is.Equal(len(port.frames), 0)
	is.Equal(port.resets, 1)
	d.SetEvacuated(nil)
	is.NoErr(d.HandleCallerPacket(time.Second, open))
	is.Equal(len(port.frames), 1)
}

// TestOpeningIsRefusedWhileHoldersAreIncomplete guards against openings without an agent that
// wait for their timeout, as flows of other services may be unknown after a skipped version.
func TestOpeningIsRefusedWhileHoldersAreIncomplete(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
	d.SetConfig(route.New(5, []route.Route{{VIP: vipAt(2), Shares: []route.Share{{Service: "archive", Weight: 1}}, Timeout: 2 * time.Second}}))
	is.True(!d.HoldersComplete())
	flow := feedFlow(route.Route{Shares: []route.Share{{Service: feedService, Weight: 1}}})
	is.NoErr(d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)))
	is.Equal(port.resets, 1)
}
