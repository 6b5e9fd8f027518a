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

// TestLateReportResetsNothing guards against the reset of a living flow that was restored from the
// store: a report of its agent arrives after a later one, or after the agent's goodbye, and names an
// ended start of the upstream.
func TestLateReportResetsNothing(t *testing.T) {
	for _, c := range []struct {
		name        string
		goodbye     bool
		incarnation int64 // of the late report
		sequence    uint64
	}{
		{"of the same process", false, 7, 2},
		{"of an earlier process of the agent", false, 6, 99},
		{"after a goodbye", true, 7, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			status := peer.Status{Incarnation: 7, Sequence: 3, Service: "maklerlink", Upstream: "u", Born: 5, Heartbeat: 1, Taking: true, Slots: 2}
			s.HandleReport(time.Second, owner, status)
			s.RestoreFlows(time.Second, []director.FlowSnapshot{{
				Flow: segment.NewFlow(vipAt(9), vipAt(2)), Owner: owner, Start: peer.StartID("u", 5), Acknowledged: 9, Proven: true,
			}})
			if c.goodbye {
				s.HandleGoodbye(2*time.Second, owner, false)
			}
			late := status
			late.Incarnation, late.Sequence, late.Born = c.incarnation, c.sequence, 4
			s.HandleReport(2100*time.Millisecond, owner, late)
			is.Equal(s.port.resets, 0)
			status.Incarnation, status.Sequence, status.Born = 8, 1, 6
			s.HandleReport(2200*time.Millisecond, owner, status)
			is.Equal(s.port.resets, 1) // the start has ended
		})
	}
}

// TestHeartbeatOfUnknownOrderProvesNothing guards against the reset of a living flow by an entry that
// was restarted. Its upstream's next start has accepted the flow before its first heartbeat: no
// heartbeat of the announced start is known to have come after that, so that the flow is not saved.
func TestHeartbeatOfUnknownOrderProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		start int64 // of the upstream, from which the entry has heard heartbeat 9
		known bool  // the announcement names the heartbeat before the flow was opened
		saved int
	}{
		{"the announcement names no heartbeat", 6, false, 0},
		{"the entry has heard only the start before the announced one", 5, true, 0},
		{"a later heartbeat of the announced start", 6, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			s.HandleReport(time.Second, owner, peer.Status{
				Incarnation: 1, Sequence: 2, Service: "maklerlink", Upstream: "u", Born: c.start, Heartbeat: 9, Taking: true, Slots: 2,
			})
			m := peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Start: peer.StartID("u", 6), Sequence: 900001, SequenceKnown: true, HeartbeatKnown: c.known}
			if c.known {
				m.Heartbeat = 1
			}
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, m.Append(nil)))
			s.send(t, segment.Ack)
			is.Equal(len(s.SnapshotFlows(time.Second, 10)), c.saved)
		})
	}
}

// TestUnprovenSavedFlowIsNotReset guards against the reset of a living flow by an entry that was
// restarted and reads a record without a proof, as earlier builds have saved it.
func TestUnprovenSavedFlowIsNotReset(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	owner := s.place.Candidates[0]
	saved := director.FlowSnapshot{
		Flow: segment.NewFlow(vipAt(9), vipAt(2)), Owner: owner, Service: peer.Service("maklerlink"), Start: peer.StartID("u", 4), Acknowledged: 9,
	}
	s.RestoreFlows(time.Second, []director.FlowSnapshot{saved})
	is.Equal(s.port.resets, 0)
	saved.Flow, saved.Proven = segment.NewFlow(vipAt(10), vipAt(2)), true
	s.RestoreFlows(time.Second, []director.FlowSnapshot{saved})
	is.Equal(s.port.resets, 1)
}

// TestOpeningIsNotRefusedWhileAgentsAreMissing guards against callers that are told that no upstream
// accepts their flow, although an agent has not reported yet to an entry that has just started.
func TestOpeningIsNotRefusedWhileAgentsAreMissing(t *testing.T) {
	is := is.New(t)
	port := &framePort{recordingPort: recordingPort{new([]peer.Addr)}}
	d := newBusySite(port, route.Share{Service: feedService, Weight: 1})
	d.SetNextConfig(route.New(2, []route.Route{{VIP: vipAt(2), Shares: []route.Share{{Service: "archive", Weight: 1}}}}), 1)
	missing := peer.Addr{10, 0, 2, 1}
	d.SetRegistered(time.Second, append(d.Agents(), missing))
	opening := platform.EncodePacket(segment.Header{Flow: segment.NewFlow(vipAt(1), vipAt(2)), Flags: segment.Open}, false)
	is.NoErr(d.HandleCallerPacket(time.Second, opening))
	is.Equal(port.resets, 0)
	d.HandleReport(1100*time.Millisecond, missing, peer.Status{Incarnation: 1, Sequence: 1, Service: feedService, Upstream: "u", Born: 5, Taking: true, Slots: 3})
	is.NoErr(d.HandleCallerPacket(1200*time.Millisecond, opening))
	is.Equal(port.resets, 1)
}

// TestEvidenceOfAnotherStartProvesNothing guards against the reset of a living flow that was proven
// to be open at one start of an upstream, and has been announced by another one since: it is not
// saved as proven there.
func TestEvidenceOfAnotherStartProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   bool  // another agent announces the flow
		started int64 // the start that it announces
	}{
		{"another agent", true, 5},
		{"another start of the same agent's upstream", false, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLateSite(t)
			owner := s.place.Candidates[0]
			is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
			s.send(t, segment.Ack)
			m := peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Start: peer.StartID("u", c.started), Sequence: 900001, SequenceKnown: true, Heartbeat: 7, HeartbeatKnown: true}
			if c.other {
				owner = s.place.Candidates[1]
				m.Sequence, m.SequenceKnown = 0, false // of an earlier build
			}
			is.NoErr(s.HandleAgentDatagram(1200*time.Millisecond, owner, m.Append(nil)))
			s.reportStart(1300*time.Millisecond, owner, 2, c.started, 3)
			is.Equal(len(s.SnapshotFlows(1400*time.Millisecond, 10)), 0)
		})
	}
}
