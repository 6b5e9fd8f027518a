package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestNotSettledAfterStart guards against resets of living flows by an entry that has just started:
// it has no list of agents yet, or agents that are missing from the list have not reported yet.
func TestNotSettledAfterStart(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
	d.MergeHolders(nil, 1)
	is.True(!d.Settled(2 * time.Second))
	d.SetRegistered(0, nil)
	is.True(!d.Settled(500 * time.Millisecond))
	is.True(d.Settled(700 * time.Millisecond))
}

// TestNotSettledAfterPause guards against resets of living flows by an entry that was paused: its
// list of agents and their reports are from before.
func TestNotSettledAfterPause(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, nil)
	d.MergeHolders(nil, 1)
	d.SetRegistered(0, nil)
	d.Tick(2*time.Second, 100*time.Millisecond)
	is.True(d.Settled(2 * time.Second))
	d.Tick(12*time.Second, 10*time.Second)
	is.True(!d.Settled(12500 * time.Millisecond))
	is.True(d.Settled(14 * time.Second))
}

// TestRestoreKeepsAnnouncedFlow guards against the reset of a living flow by an entry that was
// restarted: the flow is announced, and the record that is read after that names an ended start.
func TestRestoreKeepsAnnouncedFlow(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	owner := s.place.Candidates[0]
	flow := segment.NewFlow(vipAt(9), vipAt(2))
	is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(flow, peer.StartID("u", 5), 900001)))
	s.RestoreFlows(time.Second, []director.FlowSnapshot{{Flow: flow, Owner: owner, Start: peer.StartID("u", 4), Acknowledged: 9, Proven: true}})
	is.Equal(s.port.resets, 0)
}
