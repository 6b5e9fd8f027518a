package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// TestResultOfForgottenSearchResetsNothing guards against the reset of a living flow by a packet of a
// search that a paused agent returns late: the entry has forgotten the flow since and searches
// for it again, through an agent that the earlier search did not visit.
func TestResultOfForgottenSearchResetsNothing(t *testing.T) {
	is := is.New(t)
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
	is.Equal(len(s.port.resets), 0)
}
