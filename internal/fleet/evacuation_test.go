package fleet_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
)

const (
	// evacuationKey requests the evacuation of the failure domain of a site's processes.
	evacuationKey = "op/evacuate/graz-nord"
	// evacuationTimeout is within the bound of an evacuation, 5 s.
	evacuationTimeout = 4 * time.Second
	heartbeatInterval = 300 * time.Millisecond
)

// evacuated reports whether a process knows that graz-nord, and nothing else, is evacuated.
func (s *testSite) evacuated(host byte) bool {
	return fmt.Sprint(s.evacuation(host)["domains"]) == "[graz-nord]"
}

// notEvacuated reports whether a process knows that no domain is evacuated.
func (s *testSite) notEvacuated(host byte) bool {
	state := s.evacuation(host)
	domains, _ := state["domains"].([]any)
	return state["known"] == true && len(domains) == 0
}

// offersSlots reports whether the agent tells entries that its upstream accepts new flows.
func (s *testSite) offersSlots() bool {
	status, _ := s.gauge(2, "status").(map[string]any)
	return status["Taking"] == true
}

func (s *testSite) evacuation(host byte) map[string]any {
	state, _ := s.gauge(host, "evacuation").(map[string]any)
	return state
}

// soon waits until f returns true, and fails the test after evacuationTimeout.
func (s *testSite) soon(what string, f func() bool) {
	s.t.Helper()
	started := time.Now()
	s.eventually(what, f)
	if took := time.Since(started); took > evacuationTimeout {
		s.t.Fatalf("%s: after %v", what, took)
	}
}

// keepUpstreamAlive sends heartbeats of the upstream until the test ends, as an agent takes
// one without heartbeats for ended.
func (s *testSite) keepUpstreamAlive() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := 2; ctx.Err() == nil; sequence++ {
			s.sendHeartbeat("ready", sequence)
			time.Sleep(heartbeatInterval)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-done })
}

// opens reports whether the upstream gets an opening; otherwise the caller is refused.
func (s *testSite) opens(callerPort int) bool {
	receiver, _ := s.openFlow(vipText, callerPort)
	return receiver == "upstream"
}

// startEntryWithoutStore starts an entry on host 4 that finds its peers by the entry on host 1,
// and whose store refuses all calls.
func (s *testSite) startEntryWithoutStore() {
	s.t.Helper()
	refusing := kvstandin.New()
	refusing.SetFault(kvstandin.Busy)
	server := httptest.NewServer(refusing)
	s.t.Cleanup(server.Close)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	settings.StoreAddress = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	entry, err := fleet.NewEntry(settings, zap.NewNop())
	is.New(s.t).NoErr(err)
	s.start(entry)
}

// TestEvacuationReachesAllProcesses covers entries that the store refuses and agents, which
// do not read it: they must learn of a request and of its end from other entries. An opening
// is then refused at once, and accepted again after the end.
func TestEvacuationReachesAllProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t, 111)
	s.putConfig(1, vipText)
	s.startPair()
	s.keepUpstreamAlive()
	s.startEntryWithoutStore()
	s.eventually("the second entry is ready", func() bool { return s.readyAt(4) })
	is.True(s.opens(3001))
	s.store.Set(evacuationKey, []byte("{}"))
	for _, host := range []byte{1, 2, 4} {
		s.soon("the process knows the request", func() bool { return s.evacuated(host) })
	}
	is.True(!s.opens(3002))
	is.True(!s.offersSlots())
	s.store.Delete(evacuationKey)
	for _, host := range []byte{1, 2, 4} {
		s.soon("the process knows the end", func() bool { return s.notEvacuated(host) })
	}
	s.soon("openings are accepted", func() bool { return s.opens(3003) })
	is.True(s.offersSlots())
}

// TestProcessesThatStartDuringEvacuation covers an entry without the store and an agent that
// start during an evacuation: neither may place or accept an opening.
func TestProcessesThatStartDuringEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t, 112)
	s.putConfig(1, vipText)
	s.store.Set(evacuationKey, []byte("{}"))
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	s.start(entry)
	s.startEntryWithoutStore()
	s.eventually("the second entry has the configuration", func() bool { return s.gauge(4, "config-version") == 1.0 })
	is.True(s.evacuated(4))
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	s.sendHeartbeat("ready", 1)
	s.keepUpstreamAlive()
	s.soon("the agent knows the request", func() bool { return s.evacuated(2) })
	s.eventually("the entry is settled", func() bool { return s.gauge(1, "settled") == true })
	is.True(!s.offersSlots())
	is.True(!s.opens(3001))
}

// TestEvacuationIsReadAgain covers changes that a watch does not return: a deletion that it
// misses, changes in a history that the store has compacted, and a request that is withdrawn
// within a second.
func TestEvacuationIsReadAgain(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 113)
	s.putConfig(1, vipText)
	s.startPair()
	s.keepUpstreamAlive()
	request := func() {
		s.t.Helper()
		s.store.Set(evacuationKey, []byte("{}"))
		s.soon("the agent knows the request", func() bool { return s.evacuated(2) })
	}
	request()
	s.store.DeleteUnseen(evacuationKey)
	s.soon("the missed deletion is found", func() bool { return s.notEvacuated(1) && s.notEvacuated(2) })

	request()
	s.store.SetFault(kvstandin.ResetConnections)
	s.store.Delete(evacuationKey)
	s.store.Compact()
	s.store.SetFault(kvstandin.Healthy)
	s.soon("the set is read after the compaction", func() bool { return s.notEvacuated(1) && s.notEvacuated(2) })

	s.store.Set(evacuationKey, []byte("{}"))
	time.Sleep(100 * time.Millisecond)
	s.store.Delete(evacuationKey)
	time.Sleep(time.Second)
	s.soon("openings are accepted", func() bool { return s.opens(3001) })
	is.New(t).True(s.notEvacuated(1) && s.notEvacuated(2))
}

// TestEvacuationOutlivesRestore covers a store that comes back from a copy that lacks a
// request: the domain stays evacuated for the time in which the operator writes it again. In
// a copy with a request that was withdrawn, the request does not count within this time.
// After it the set of the store applies.
func TestEvacuationOutlivesRestore(t *testing.T) {
	t.Parallel()
	for n, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("lost=%t", lost), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestSite(t, byte(114+n))
			before, after := s.notEvacuated, s.evacuated // of the copy
			s.putConfig(1, vipText)
			s.startPair()
			s.keepUpstreamAlive()
			s.store.Set(evacuationKey, []byte("{}"))
			s.soon("the request is in force", func() bool { return s.evacuated(1) && s.evacuated(2) })
			age := time.Minute
			if !lost {
				time.Sleep(200 * time.Millisecond) // so that a copy with the request exists
				s.store.Delete(evacuationKey)
				deleted := time.Now()
				s.soon("the end is in force", func() bool { return s.notEvacuated(1) && s.notEvacuated(2) })
				before, after, age = s.evacuated, s.notEvacuated, time.Since(deleted)
			}
			s.store.RestoreCopy(age)
			s.putConfig(1, vipText)
			restored := time.Now()
			for time.Since(restored) < 2500*time.Millisecond {
				is.True(after(1) && after(2))
				is.Equal(s.opens(int(3000+time.Since(restored).Milliseconds())), !lost)
				time.Sleep(pollInterval)
			}
			s.eventually("the set of the store is in force", func() bool { return before(1) && before(2) })
			is.True(time.Since(restored) < 5*time.Second)
		})
	}
}
