package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

// third is an agent that newReuseSite does not know.
var third = peer.Addr{10, 0, 0, 5}

// reportThird makes the third agent report, with a service.
func (s *reuseSite) reportThird(now time.Duration, service string) {
	s.HandleReport(now, third, peer.Status{Incarnation: 1, Sequence: 1, Service: service, Upstream: "w", Born: 1, Taking: true, Slots: 2})
}

// TestIncompleteSearchResetsNothing guards against the reset of a living flow after a search that
// all of its candidates have returned, although another agent may hold the flow.
func TestIncompleteSearchResetsNothing(t *testing.T) {
	const start = 1100 * time.Millisecond
	for _, c := range []struct {
		name     string
		before   func(*reuseSite)                         // the search
		during   func(*testing.T, *reuseSite, *sentFrame) // before the frame is returned
		returned time.Duration                            // after the start of the search
		resets   int
	}{
		{name: "all agents were asked", resets: 1},
		{name: "an agent checked only its table", during: func(_ *testing.T, _ *reuseSite, f *sentFrame) { f.Uncertain = true }},
		{name: "a registered agent has not reported", before: func(s *reuseSite) { s.SetRegistered(start, []peer.Addr{s.first, s.second, third}) }},
		{name: "an agent of another service has fallen silent", returned: 1250 * time.Millisecond, before: func(s *reuseSite) {
			s.reportThird(time.Second, "exposeserver")
		}, during: func(_ *testing.T, s *reuseSite, _ *sentFrame) { s.report(2*time.Second, 0, 9) }},
		{name: "the flow holders are not complete", before: func(s *reuseSite) {
			s.SetConfig(route.New(3, []route.Route{{Name: "pages", VIP: vipAt(2), Shares: []route.Share{{Service: "maklerlink", Weight: 1}}}}))
		}},
		{name: "an agent was added", during: func(_ *testing.T, s *reuseSite, _ *sentFrame) { s.reportThird(start, "maklerlink") }},
		{name: "an agent was added, and another search has started", returned: 500 * time.Millisecond, during: func(t *testing.T, s *reuseSite, _ *sentFrame) {
			s.reportThird(start, "maklerlink")
			s.send(t, start+450*time.Millisecond, segment.Ack, 101, 9)
			is.New(t).Equal(len(s.port.last().Candidates), 3)
		}},
		{name: "another service may hold the flow, too", before: func(s *reuseSite) {
			s.reportThird(start, "exposeserver")
			s.SetNextConfig(route.New(2, []route.Route{{Name: "pages", VIP: vipAt(2), Shares: []route.Share{{Service: "exposeserver", Weight: 1}}}}), 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newReuseSite(t)
			if c.before != nil {
				c.before(s)
			}
			s.send(t, start, segment.Ack, 101, 9)
			search := s.port.last()
			is.Equal(search.Kind, peer.Search)
			if c.during != nil {
				c.during(t, s, &search)
			}
			s.sendBack(t, start+c.returned, search)
			s.MarkVerified(start + c.returned + 1)
			s.ResetVerified(start + c.returned + 1)
			is.Equal(len(s.port.resets), c.resets)
		})
	}
}
