package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// decisionPort records the decisions of a director, too.
type decisionPort struct {
	framePort
	decisions []director.Decision
	sequence  uint32 // of the last reset
}

func (p *decisionPort) ToCaller(f segment.Flow, packet []byte) {
	p.framePort.ToCaller(f, packet)
	if h, err := platform.DecodeFromUpstream(packet); err == nil {
		p.sequence = h.Sequence
	}
}

func (p *decisionPort) RecordDecision(d director.Decision) { p.decisions = append(p.decisions, d) }

// openingOf returns a copy of the opening of a caller's flow, 0 the first one.
func openingOf(port uint16, copies uint32) []byte {
	flow := segment.NewFlow(netipPort(vipAt(1), port), vipAt(2))
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open, Acknowledged: copies}, false)
}

// dataOf returns a full packet of data of a caller's flow.
func dataOf(port uint16) []byte {
	flow := segment.NewFlow(netipPort(vipAt(1), port), vipAt(2))
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 1, Length: 1200}, false)
}

// fullSite returns a director whose link is reserved for an upload of port 1, and the link.
func fullSite(t *testing.T) (*director.Director, *decisionPort, *capacity.Link) {
	t.Helper()
	link := capacity.New(100_000)
	port := &decisionPort{framePort: framePort{recordingPort: recordingPort{new([]peer.Addr)}}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port, director.WithLink(link))
	d.MergeHolders(nil, 1)
	d.SetConfig(route.New(1, []route.Route{{VIP: vipAt(2), Shares: []route.Share{{Service: feedService, Weight: 1}}}}))
	agent := peer.Addr{10, 0, 1, 1}
	d.HandleReport(time.Second, agent, peer.Status{Incarnation: 1, Sequence: 1, Service: feedService, Upstream: "u", Born: 5, Taking: true, Slots: 3})
	d.SetRegistered(time.Second, []peer.Addr{agent})
	send := func(b []byte) {
		if err := d.HandleCallerPacket(time.Second, b); err != nil {
			t.Fatal(err)
		}
	}
	send(openingOf(1, 0))
	for range 20 {
		send(dataOf(1))
	}
	if link.Status().Reserved == 0 {
		t.Fatal("nothing reserved")
	}
	port.frames, port.decisions = nil, nil
	return d, port, link
}

// TestFullLinkRefusesEachCopy guards against a refused flow that is offered all the same: a
// caller behind a full link has sent the second copy before it receives the reset of the
// first. Both are reset, and neither is offered to an agent. The sequence number of the reset
// counts the copies, so that a caller whose flow is open ignores it.
func TestFullLinkRefusesEachCopy(t *testing.T) {
	is := is.New(t)
	d, port, _ := fullSite(t)
	for copies := range uint32(3) {
		is.NoErr(d.HandleCallerPacket(time.Second, openingOf(2, copies)))
		is.Equal(port.resets, int(copies)+1)
		is.Equal(port.sequence, copies)
		is.Equal(port.decisions[copies].Event, director.LinkFull)
		is.True(port.decisions[copies].Link.Delay > capacity.MaxDelay(0))
	}
	is.Equal(len(port.frames), 0)
	is.Equal(len(port.decisions), 3)
	is.Equal(d.Flows(), 1) // nothing of the refused one
}

// TestFullLinkRefusesNoCopyOfPlacedOpening guards against the reset of an opening that this
// entry has offered to an agent: its caller would give up a flow that an upstream accepts.
// That holds for late copies in any order, and after the agent has left.
func TestFullLinkRefusesNoCopyOfPlacedOpening(t *testing.T) {
	is := is.New(t)
	d, port, _ := fullSite(t)
	for _, copies := range []uint32{1, 0} {
		is.NoErr(d.HandleCallerPacket(time.Second, openingOf(1, copies)))
		is.Equal(port.last().Kind, peer.Deliver)
	}
	is.NoErr(d.HandleCallerPacket(time.Second, dataOf(1)))
	is.Equal(port.last().Kind, peer.Deliver) // open flows are not touched

	other := peer.Addr{10, 0, 1, 2}
	d.HandleReport(time.Second, other, peer.Status{Incarnation: 1, Sequence: 1, Service: feedService, Upstream: "v", Born: 5, Taking: true, Slots: 3})
	d.SetRegistered(time.Second, []peer.Addr{{10, 0, 1, 1}, other})
	d.HandleGoodbye(time.Second, peer.Addr{10, 0, 1, 1}, false)
	is.NoErr(d.HandleCallerPacket(time.Second, openingOf(1, 2)))
	is.Equal(port.last().Kind, peer.Place)
	is.Equal(port.last().Candidates, []peer.Addr{other})
	is.Equal(port.resets, 0)
}

// TestReservationsEndWithFlows guards against reservations that outlive their flows and so
// refuse openings for good: the caller closes its flow, the upstream ends, the flow expires.
func TestReservationsEndWithFlows(t *testing.T) {
	flow := segment.NewFlow(netipPort(vipAt(1), 1), vipAt(2))
	owner := peer.Addr{10, 0, 1, 1}
	for name, end := range map[string]func(*director.Director, *decisionPort) error{
		"closed": func(d *director.Director, _ *decisionPort) error {
			return d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack | segment.Fin, Acknowledged: 1}, false))
		},
		"answered": func(d *director.Director, _ *decisionPort) error {
			return d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 500}, false))
		},
		"upstream ended": func(d *director.Director, port *decisionPort) error {
			if err := d.HandleAgentDatagram(time.Second, owner, proven(flow, peer.StartID("u", 5), 1)); err != nil {
				return err
			}
			if err := d.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 1}, false)); err != nil {
				return err
			}
			d.HandleReport(2*time.Second, owner, peer.Status{Incarnation: 1, Sequence: 2, Service: feedService, Upstream: "u", Born: 5, Heartbeat: 2, Taking: true, Slots: 3})
			d.HandleReport(6*time.Second, owner, peer.Status{Incarnation: 1, Sequence: 3, Service: feedService, Upstream: "v", Born: 6, Taking: true, Slots: 3})
			f := port.last() // the agent was asked whether the flow has ended
			f.OriginalKind, f.Kind, f.Hop = f.Kind, peer.Returned, 1
			return d.HandleAgentDatagram(6*time.Second, owner, f.Append(nil))
		},
		"silent": func(d *director.Director, _ *decisionPort) error {
			d.Tick(1500*time.Millisecond, 100*time.Millisecond)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, port, link := fullSite(t)
			is.NoErr(end(d, port))
			is.Equal(link.Status().Reserved, int64(0))
			is.NoErr(d.HandleCallerPacket(time.Second, openingOf(2, 0)))
			is.Equal(port.last().Kind, peer.Place)
		})
	}
}

// TestPacketsOfOpenFlowsAllocateNothingForLink guards the packet path: the account of a
// flow's bytes must not allocate.
func TestPacketsOfOpenFlowsAllocateNothingForLink(t *testing.T) {
	is := is.New(t)
	link := capacity.New(100_000)
	var f capacity.Flow
	is.Equal(testing.AllocsPerRun(100, func() { link.Received(time.Second, &f, vipAt(2), 1232, 1200) }), 0.0)
}
