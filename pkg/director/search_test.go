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

// verify records a verification of the configuration by a call to the store that began at the time.
func (s *searchSite) verify(begin, now time.Duration) {
	s.MarkVerified(begin)
	s.ResetVerified(now)
}

// awaits reports whether the reset of a flow without an owner waits.
func (s *searchSite) awaits() bool {
	unheld, _ := s.AwaitsVerification()
	return unheld
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
	s.verify(3001*time.Millisecond, 3010*time.Millisecond)
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
			s.verify(3001*time.Millisecond, 3010*time.Millisecond)
			is.Equal(s.lastEvent(), c.event)
		})
	}
}

// foundNobody sends a packet at 3 s whose search finds no owner.
func (s *searchSite) foundNobody() {
	s.t.Helper()
	s.SetRegistered(0, nil)
	s.report(2900*time.Millisecond, runningAgent, false)
	s.send(3 * time.Second)
	s.returned(3005 * time.Millisecond)
}

// TestSearchRestsOnLaterVerification guards against the reset of a living flow that another entry
// has placed under a version of the configuration which this one has not heard of yet: only a call
// to the store that began after the packet had arrived proves that there is none.
func TestSearchRestsOnLaterVerification(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.MarkVerified(2999 * time.Millisecond)
	s.foundNobody()
	is.Equal(s.lastEvent(), director.OwnerUnverified)
	is.True(s.awaits())
	s.verify(2999*time.Millisecond, 3010*time.Millisecond) // began before the packet arrived
	is.Equal(s.port.resets, 0)
	s.MarkVerifiedElsewhere(3010*time.Millisecond, peer.Addr{10, 0, 0, 2}) // a message may have been under way for long
	s.ResetVerified(3020 * time.Millisecond)
	is.Equal(s.port.resets, 0)
	s.verify(3001*time.Millisecond, 3030*time.Millisecond)
	is.Equal(s.port.resets, 1)
	is.Equal(s.lastEvent(), director.OwnerNotFound)
	is.True(!s.awaits())
}

// TestNewerVersionNamesHolder guards against the same reset when the verification has found a newer
// version that sends the flow to another service: the next packet is searched for there.
func TestNewerVersionNamesHolder(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.HandleReport(2900*time.Millisecond, emptyAgent, peer.Status{Incarnation: 1, Sequence: 1, Service: "exposeserver", Upstream: "u", Taking: true, Slots: 2})
	s.foundNobody()
	s.SetNextConfig(manyConfig(2, time.Second, func(int) string { return "exposeserver" }), 1)
	s.verify(3001*time.Millisecond, 3010*time.Millisecond)
	is.Equal(s.port.resets, 0)
	is.Equal(s.lastEvent(), director.OwnerUncertain)
	s.send(3200 * time.Millisecond)
	is.Equal(s.port.last().Candidates, []peer.Addr{emptyAgent})
}

// TestOwnerAppearsWhileResetWaits guards against the reset of a flow whose owner has announced it
// after the search.
func TestOwnerAppearsWhileResetWaits(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.foundNobody()
	is.NoErr(s.HandleAgentDatagram(3010*time.Millisecond, runningAgent, peer.OwnerMessage{Kind: peer.Owned, Flow: s.flow, Start: 7}.Append(nil)))
	s.verify(3011*time.Millisecond, 3020*time.Millisecond)
	is.Equal(s.port.resets, 0)
	s.send(3030 * time.Millisecond)
	is.Equal(s.port.last().Kind, peer.Deliver)
}

// TestPauseWhileResetWaits guards against a reset by an entry that has been paused after the search:
// what it knows of the agents is old.
func TestPauseWhileResetWaits(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.foundNobody()
	s.MarkDelayed(3010 * time.Millisecond)
	s.verify(3011*time.Millisecond, 3020*time.Millisecond)
	is.Equal(s.port.resets, 0)
}

// TestLaterFlowWhileResetWaits guards against a reset that names the numbers of an earlier flow
// and takes the record of a later one with the same addresses.
func TestLaterFlowWhileResetWaits(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.foundNobody()
	sent := len(s.port.frames)
	s.send(3010 * time.Millisecond) // again, of the same flow: dropped
	is.Equal(len(s.port.frames), sent)
	later := platform.EncodePacket(segment.Header{Flow: s.flow, Flags: segment.Ack, Acknowledged: 5_000_001}, false)
	is.NoErr(s.HandleCallerPacket(3020*time.Millisecond, later))
	is.Equal(len(s.port.frames), sent+1)
	s.verify(3030*time.Millisecond, 3040*time.Millisecond)
	is.Equal(s.port.resets, 0)
	s.returned(3050 * time.Millisecond)
	s.verify(3060*time.Millisecond, 3070*time.Millisecond)
	is.Equal(s.port.resets, 1)
	is.Equal(s.port.sequence, uint32(5_000_001))
}

// TestResetIsNotVerifiedInTime covers a store that does not answer: the caller gets no reset, and
// its next packet starts another search.
func TestResetIsNotVerifiedInTime(t *testing.T) {
	is := is.New(t)
	s := newSearchSite(t)
	s.foundNobody()
	s.Tick(5100*time.Millisecond, 100*time.Millisecond)
	is.Equal(s.lastEvent(), director.OwnerUncertain)
	is.True(!s.awaits())
	sent := len(s.port.frames)
	s.send(5200 * time.Millisecond)
	is.Equal(len(s.port.frames), sent+1)
	s.verify(5100*time.Millisecond, 5300*time.Millisecond)
	is.Equal(s.port.resets, 0)
}
