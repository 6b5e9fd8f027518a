package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// reportStart passes a report of an agent that names a start of its upstream and the number of its
// last heartbeat.
func (s *lateSite) reportStart(now time.Duration, agent peer.Addr, sequence uint64, born int64, heartbeat uint64) {
	s.HandleReport(now, agent, peer.Status{
		Incarnation: 1, Sequence: sequence, Service: "maklerlink", Upstream: "u", Born: born, Heartbeat: heartbeat, Taking: true, Slots: 2,
	})
}

// TestLateHeartbeatOfEndedStartResetsNoFlow guards against the reset of a living flow: an agent
// goes on after a pause, in which its upstream was replaced. The new start accepts the flow, and
// only then the agent handles a heartbeat that the ended start has sent before.
func TestLateHeartbeatOfEndedStartResetsNoFlow(t *testing.T) {
	is := is.New(t)
	s := newLateSite(t)
	owner := s.place.Candidates[0]
	is.NoErr(s.HandleAgentDatagram(time.Second, owner, proven(s.flow, peer.StartID("u", 5), 900001)))
	s.send(t, segment.Ack)
	s.reportStart(1010*time.Millisecond, owner, 2, 5, 2) // the heartbeat that waited in the agent's socket
	s.reportStart(1020*time.Millisecond, owner, 3, 6, 1)
	is.Equal(s.port.resets, 0)
}
