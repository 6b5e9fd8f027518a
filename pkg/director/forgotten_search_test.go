package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// TestResultOfForgottenSearchResetsNothing guards against the reset of a living flow by a packet of a
// search that a paused agent returns late: the entry has forgotten the flow since, or was restarted,
// and searches for it again, through an agent that the earlier search did not visit.
func TestResultOfForgottenSearchResetsNothing(t *testing.T) {
	is := is.New(t)
	earlier := newReuseSite(t)
	earlier.send(t, 1100*time.Millisecond, segment.Ack, 101, 9)
	restarted := newReuseSite(t)
	restarted.reportThird(time.Second, "maklerlink")
	restarted.send(t, 1100*time.Millisecond, segment.Ack, 101, 9)
	is.Equal(len(restarted.port.last().Candidates), 3)
	restarted.sendBack(t, 1200*time.Millisecond, earlier.port.last())
	restarted.MarkVerified(1300 * time.Millisecond)
	restarted.ResetVerified(1300 * time.Millisecond)
	is.Equal(len(restarted.port.resets), 0)

	s := newReuseSite(t)
	s.send(t, 1100*time.Millisecond, segment.Ack, 101, 9)
	late := s.port.last()
	is.Equal(len(late.Candidates), 2)
	s.Tick(30*time.Second, 100*time.Millisecond) // the agents are evicted, the flow is forgotten
	is.Equal(s.Flows(), 0)
	s.report(30*time.Second, 0, 9)
	s.reportThird(30*time.Second, "maklerlink")
	s.send(t, 30*time.Second, segment.Ack, 101, 9)
	is.Equal(s.port.last().Kind, peer.Search)
	is.Equal(len(s.port.last().Candidates), 3)
	s.sendBack(t, 30100*time.Millisecond, late)
	s.MarkVerified(30200 * time.Millisecond)
	s.ResetVerified(30200 * time.Millisecond)
	is.Equal(len(s.port.resets), 0)
}

// TestStageOfEarlierSearchProvesNothing guards against the reset of a living flow by a packet of an
// earlier search, whose last stage had the same agents as that of the present one, and whose
// first stage lacked one.
func TestStageOfEarlierSearchProvesNothing(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.report(2900*time.Millisecond, emptyAgent, true)
	s.report(2900*time.Millisecond, runningAgent, false)
	s.send(3 * time.Second)
	s.returned(3 * time.Second)
	late := s.port.last()
	is.Equal(late.Candidates, []peer.Addr{emptyAgent})
	s.report(3100*time.Millisecond, third, false)
	s.send(3500 * time.Millisecond)
	is.Equal(len(s.port.last().Candidates), 2)
	late.OriginalKind, late.Kind, late.Hop = late.Kind, peer.Returned, len(late.Candidates)
	is.NoErr(s.HandleAgentDatagram(3600*time.Millisecond, emptyAgent, late.Append(nil)))
	s.verify(3700*time.Millisecond, 3700*time.Millisecond)
	is.Equal(s.port.resets, 0)
}
