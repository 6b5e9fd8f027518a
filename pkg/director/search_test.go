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

// searchSite is a director that knows all services and agents, and an open flow that it has not
// placed.
type searchSite struct {
	*director.Director
	t    *testing.T
	port *decisionPort
	flow segment.Flow
}

var (
	runningAgent = peer.Addr{10, 0, 0, 1}
	emptyAgent   = peer.Addr{10, 0, 0, 2}
)

func newSearchSite(t *testing.T) *searchSite {
	t.Helper()
	s := &searchSite{t: t, port: &decisionPort{}, flow: segment.NewFlow(vipAt(1), vipAt(2))}
	s.Director = director.New(peer.Addr{10, 0, 1, 1}, platform.PacketCodec{}, s.port)
	s.SetConfig(manyConfig(1, time.Second, sameService))
	s.MergeHolders(nil, 1)
	s.SetRegistered(0, []peer.Addr{runningAgent, emptyAgent})
	return s
}

// report passes the report of an agent of the flow's service.
func (s *searchSite) report(at time.Duration, agent peer.Addr, empty bool) {
	s.HandleReport(at, agent, peer.Status{Incarnation: 1, Sequence: uint64(at), Service: "maklerlink", Upstream: "u-" + agent.String(), Empty: empty, Taking: !empty, Slots: 2})
}

// send passes a packet of the open flow.
func (s *searchSite) send(at time.Duration) {
	s.t.Helper()
	packet := platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Acknowledged: 900001}, false)
	is.New(s.t).NoErr(s.HandleCallerPacket(at, packet))
}

// returned passes the last frame that the director has sent as one that its candidates returned.
func (s *searchSite) returned(at time.Duration) {
	s.t.Helper()
	f := s.port.last()
	f.OriginalKind, f.Kind, f.Hop = f.Kind, peer.Returned, len(f.Candidates)
	is.New(s.t).NoErr(s.HandleAgentDatagram(at, f.Candidates[0], f.Append(nil)))
}

// lastEvent returns the event of the last decision.
func (s *searchSite) lastEvent() director.Event {
	return s.port.decisions[len(s.port.decisions)-1].Event
}

// TestSearchVisitsAgentWithoutUpstream guards against the reset of a living flow by a search that
// leaves out an agent on its report that no upstream runs: the next start has accepted the flow
// since. Agents without an upstream are visited after the others.
func TestSearchVisitsAgentWithoutUpstream(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.report(2900*time.Millisecond, emptyAgent, true)
	s.report(2900*time.Millisecond, runningAgent, false)
	s.send(3 * time.Second)
	is.Equal(s.port.last().Candidates, []peer.Addr{runningAgent})
	s.returned(3 * time.Second)
	is.Equal(s.port.last().Candidates, []peer.Addr{emptyAgent})
	is.Equal(s.port.resets, 0)
	s.returned(3 * time.Second)
	is.Equal(s.port.resets, 1)
	is.Equal(s.lastEvent(), director.OwnerNotFound)
}

// TestSearchMissesAgentThatAppears guards against the reset of a living flow that an agent holds
// which has reported, without an upstream, only after the search was planned.
func TestSearchMissesAgentThatAppears(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.SetRegistered(0, nil)
	s.report(2900*time.Millisecond, runningAgent, false)
	s.send(3 * time.Second)
	s.report(3*time.Second, emptyAgent, true)
	s.returned(3 * time.Second)
	is.Equal(s.port.resets, 0)
	is.Equal(s.lastEvent(), director.OwnerUncertain)
}

// TestSilentAgentThatReturnsPacket covers agents that have not reported to this entry recently: one
// that the search has visited proves that it does not hold the flow, one of another service may
// hold it.
func TestSilentAgentThatReturnsPacket(t *testing.T) {
	for _, c := range []struct {
		name    string
		service string
		event   director.Event
	}{
		{"visited", "maklerlink", director.OwnerNotFound},
		{"not visited", "exposeserver", director.OwnerUncertain},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSearchSite(t)
			s.HandleReport(time.Second, emptyAgent, peer.Status{Incarnation: 1, Sequence: 1, Service: c.service, Upstream: "u", Empty: true})
			s.report(2900*time.Millisecond, runningAgent, false)
			s.send(3 * time.Second)
			s.returned(3 * time.Second)
			if c.event == director.OwnerNotFound {
				s.returned(3 * time.Second)
			}
			is.Equal(s.lastEvent(), c.event)
		})
	}
}
