package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestRememberLeavesRoomForOpenFlows covers a snapshot with a limit lower than the
// number of flows of a busy entry. Flows that were closed or have moved to another
// entry must not displace flows that are in use.
func TestRememberLeavesRoomForOpenFlows(t *testing.T) {
	is := is.New(t)
	var sent []peer.Addr
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, recordingPort{&sent})
	vip := vipAt(1)
	d.SetConfig(route.New(1, []route.Route{{Name: "pages", VIP: vip, Idempotent: true, Shares: []route.Share{{Service: "maklerlink", Weight: 1}}}}))
	agent := peer.Addr{10, 0, 0, 2}
	d.HandleReport(0, agent, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u-1", Born: 1, Taking: true, Slots: 2})
	// openFlow opens a flow, and sends another packet of it with the given flags.
	openFlow := func(now time.Duration, caller int, flags segment.Flags) segment.Flow {
		flow := segment.NewFlow(vipAt(1000+caller), vip)
		d.HandleReport(now, agent, peer.Status{Incarnation: 1, Sequence: uint64(caller + 2), Service: "maklerlink", Upstream: "u-1", Born: 1, Heartbeat: uint64(caller), Taking: true, Slots: 2})
		is.NoErr(d.HandleCallerPacket(now, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Open}, false)))
		is.NoErr(d.HandleAgentDatagram(now, agent, proven(flow, peer.StartID("u-1", 1), 7)))
		is.NoErr(d.HandleCallerPacket(now, platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Acknowledged: 7}, false)))
		return flow
	}
	moved := openFlow(time.Second, 1, segment.Ack)
	openFlow(7*time.Second, 2, segment.Ack|segment.Fin)
	openFlow(7*time.Second, 3, segment.Ack|segment.Fin)
	open := openFlow(8*time.Second, 4, segment.Ack)
	newer := openFlow(9*time.Second, 5, segment.Ack)

	var got []segment.Flow
	for _, r := range d.SnapshotFlows(9*time.Second, 5) {
		got = append(got, r.Flow)
	}
	is.Equal(got, []segment.Flow{open, newer, moved})
	is.Equal(len(d.SnapshotFlows(9*time.Second, 2)), 2)
	is.Equal(d.Flows(), 5)
	d.Tick(13*time.Second, 0)
	is.Equal(d.Flows(), 3) // the closed flows are removed
}

// TestUnrepeatableFlowsAreSavedFirst guards against the loss of requests that must not be
// repeated after a loss of power: at an entry with more flows than it saves, flows whose
// callers pause for long must not give way to flows whose requests may be repeated.
func TestUnrepeatableFlowsAreSavedFirst(t *testing.T) {
	is := is.New(t)
	var sent []peer.Addr
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, recordingPort{&sent})
	shares := []route.Share{{Service: "maklerlink", Weight: 1}}
	feeds, bookings := vipAt(1), vipAt(2)
	d.SetConfig(route.New(1, []route.Route{
		{Name: "feeds", VIP: feeds, Idempotent: true, Shares: shares},
		{Name: "bookings", VIP: bookings, Shares: shares},
	}))
	agent := peer.Addr{10, 0, 0, 2}
	d.HandleReport(0, agent, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u-1", Born: 1, Taking: true, Slots: 2})
	open := func(caller int, flow segment.Flow) segment.Flow {
		now := time.Duration(caller) * time.Second
		is.NoErr(d.HandleAgentDatagram(now, agent, proven(flow, peer.StartID("u-1", 1), 7)))
		is.NoErr(d.HandleCallerPacket(now, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 7}, false)))
		return flow
	}
	paused := open(1, segment.NewFlow(vipAt(1001), bookings))
	feed := open(9, segment.NewFlow(vipAt(1002), feeds))
	d.HandleReport(9*time.Second, agent, peer.Status{Incarnation: 1, Sequence: 2, Service: "maklerlink", Upstream: "u-1", Born: 1, Heartbeat: 2, Taking: true, Slots: 2})

	saved := d.SnapshotFlows(9*time.Second, 1)
	is.Equal(len(saved), 1)
	is.Equal(saved[0].Flow, paused)
	is.Equal(d.SnapshotFlows(9*time.Second, 2)[1].Flow, feed)
}

// TestAddedFlows covers callers whose flows opened just before a loss of all power: those whose
// requests must not be repeated are saved between two whole snapshots, so that their callers
// are reset before they use them. A flow that moved to another start counts as added.
func TestAddedFlows(t *testing.T) {
	is := is.New(t)
	at := func(port uint16, start uint32, repeatable bool) director.FlowSnapshot {
		return director.FlowSnapshot{Flow: segment.NewFlow(netipPort(vipAt(1), port), vipAt(2)), Owner: peer.Addr{10, 0, 1, 1}, Start: start, Repeatable: repeatable}
	}
	written := []director.FlowSnapshot{at(1, 5, false), at(2, 5, false)}
	acknowledged := at(1, 5, false)
	acknowledged.Acknowledged = 9 // does not make the flow another one
	added := director.AddedFlows(written, []director.FlowSnapshot{acknowledged, at(2, 6, false), at(3, 5, false), at(4, 5, true)})
	is.Equal(added, []director.FlowSnapshot{at(2, 6, false), at(3, 5, false)})
	is.Equal(len(director.AddedFlows(added, added)), 0)
}

// TestRestoredFlowHasTheStartSavedLast guards against the reset of a living flow by an entry that
// was restarted: the flow was first saved with the start of its upstream that the agent knew
// before the first heartbeat of a new one, and then, among the added flows, with the new start.
func TestRestoredFlowHasTheStartSavedLast(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, port)
	agent := peer.Addr{10, 0, 0, 2}
	saved := director.FlowSnapshot{Flow: segment.NewFlow(vipAt(1001), vipAt(1)), Owner: agent, Start: peer.StartID("u-1", 1), Acknowledged: 1001, Proven: true}
	d.RestoreFlows(0, []director.FlowSnapshot{saved})
	saved.Start = peer.StartID("u-1", 2)
	d.RestoreFlows(0, []director.FlowSnapshot{saved})
	d.HandleReport(time.Second, agent, peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u-1", Born: 2, Taking: true, Slots: 2})
	is.Equal(port.resets, 0)
}

// TestUnprovenFlowsAreNotSaved guards against the reset of a living flow by a restarted entry: a
// flow is saved only once the caller has acknowledged what the recorded upstream has sent, and
// the recorded start has sent a heartbeat after the flow was opened.
func TestUnprovenFlowsAreNotSaved(t *testing.T) {
	for _, c := range []struct {
		name         string
		acknowledged uint32 // by the caller; the upstream sends 900001 next
		heartbeat    uint64 // last one that is reported; the flow was opened after the first
		want         int
	}{
		{"proven", 900001, 2, 1},
		{"the caller goes on with another upstream", 2000, 2, 0},
		{"another start may have accepted the flow", 900001, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
			is.NoErr(s.HandleCallerPacket(time.Second, platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Sequence: lateSequence + 1, Acknowledged: c.acknowledged}, false)))
			s.HandleReport(2*time.Second, owner, peer.Status{Incarnation: 1, Sequence: 2, Service: "maklerlink", Upstream: "u", Born: 5, Heartbeat: c.heartbeat, Taking: true, Slots: 2})
			is.Equal(len(s.SnapshotFlows(2*time.Second, 10)), c.want)
		})
	}
}

// TestRestoreKeepsFlowInUse guards against a reset that the caller ignores: between the two parts
// of the saved flows, the caller has acknowledged more than the second part says.
func TestRestoreKeepsFlowInUse(t *testing.T) {
	is := is.New(t)
	s := newGoneSite(0)
	flow := segment.NewFlow(vipAt(9), vipAt(2))
	saved := director.FlowSnapshot{Flow: flow, Owner: s.owner, Service: peer.Service("maklerlink"), Start: peer.StartID("new", 5), Acknowledged: 9, Proven: true}
	s.RestoreFlows(time.Second, []director.FlowSnapshot{saved})
	is.NoErr(s.HandleCallerPacket(1100*time.Millisecond, platform.EncodePacket(segment.Header{Flow: flow, Flags: segment.Ack, Acknowledged: 500009}, false)))
	s.RestoreFlows(1200*time.Millisecond, []director.FlowSnapshot{saved})
	got := s.SnapshotFlows(1200*time.Millisecond, 10)
	is.Equal(len(got), 1)
	is.Equal(got[0].Acknowledged, uint32(500009))
}
