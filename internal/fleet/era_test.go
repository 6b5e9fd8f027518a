package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/platform"
)

// restoreTimeout is how soon after the return of the store the keys of the entries must be
// back.
const restoreTimeout = 2 * time.Second

// startPair starts an agent with a ready upstream and an entry, and waits until the entry is
// settled and has written its keys.
func (s *testSite) startPair() (stopEntry func()) {
	s.t.Helper()
	is := is.New(s.t)
	agent, err := fleet.NewAgent(s.settings(2), zap.NewNop())
	is.NoErr(err)
	s.start(agent)
	entry, err := fleet.NewEntry(s.settings(1), zap.NewNop())
	is.NoErr(err)
	stopEntry = s.start(entry)
	s.sendHeartbeat("ready", 1)
	s.eventually("the entry is ready", s.ready)
	s.eventually("the entry is settled", func() bool { return s.gauge(1, "settled") == true })
	s.eventually("the keys are written", func() bool { return len(s.missingKeys()) == 0 })
	return stopEntry
}

// missingKeys returns the keys of the entry that the store does not have.
func (s *testSite) missingKeys() []string {
	var missing []string
	for _, key := range []string{"hickoryhook/agents", "hickoryhook/holders", "hickoryhook/flow-holders", "hickoryhook/entry/" + s.ip(1)} {
		if _, ok := s.store.Get(key); !ok {
			missing = append(missing, key)
		}
	}
	return missing
}

// TestKeysReturnInNewEra covers a store that comes back from a copy without the keys of the
// entries, at once or after a moment in which it is away, and twice in a row. A starting
// entry would take the older keys for complete.
func TestKeysReturnInNewEra(t *testing.T) {
	for n, c := range []struct {
		name     string
		away     time.Duration
		restores int
	}{
		{"at once", 0, 1},
		{"after a moment away", 300 * time.Millisecond, 1},
		{"twice in a row", 50 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t, byte(83+n))
			s.putConfig(5, vipText)
			s.startPair()
			for range c.restores {
				s.store.SetFault(kvstandin.ResetConnections)
				time.Sleep(c.away)
				s.store.RestoreCopy(time.Minute)
				s.store.SetFault(kvstandin.Healthy)
			}
			s.putConfig(5, vipText) // the operator repeats it
			returned := time.Now()
			s.eventually("the keys are back", func() bool { return len(s.missingKeys()) == 0 })
			is.True(time.Since(returned) < restoreTimeout)
		})
	}
}

// TestConfigurationDoesNotGoBackInNewEra covers a store that comes back with an older
// configuration: the newer one stays in force, and the next change is applied although its
// revision is lower than those of the lost era.
func TestConfigurationDoesNotGoBackInNewEra(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 86)
	s.putConfig(5, vipText)
	time.Sleep(200 * time.Millisecond) // so that a copy with this version exists
	s.putConfig(6, vipText, "198.18.0.9")
	for range 50 {
		s.store.Set("of-another-writer", nil) // revisions that will be lost
	}
	s.startPair()
	is.Equal(s.gauge(1, "config-version"), 6.0)

	s.store.RestoreCopy(time.Minute)
	s.putConfig(5, vipText)
	time.Sleep(1500 * time.Millisecond) // the entry reads it each second
	is.Equal(s.gauge(1, "config-version"), 6.0)
	calls := s.store.Calls()
	time.Sleep(time.Second)
	is.True(s.store.Calls()["kv-range"]-calls["kv-range"] <= 3) // it does not read without pause

	s.putConfig(6, vipText, "198.18.0.9")
	s.putConfig(7, vipText)
	changed := time.Now()
	s.eventually("the next change is in force", func() bool { return s.gauge(1, "config-version") == 7.0 })
	is.True(time.Since(changed) < restoreTimeout)
}

// TestEntryThatStartsInNewEraFollowsOthers covers an entry that starts between the return of
// the store and the operator's repeat: it must take the configuration, the agents and the
// flow holders from the entry that knows them, not from the older copy.
func TestEntryThatStartsInNewEraFollowsOthers(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, 87)
	s.putConfig(5, vipText)
	time.Sleep(200 * time.Millisecond)
	s.putConfig(6, vipText, "198.18.0.9")
	s.startPair()
	time.Sleep(2100 * time.Millisecond) // the second entry is to be clearly younger

	s.store.RestoreCopy(time.Minute)
	s.putConfig(5, vipText)
	settings := s.settings(4)
	settings.Seeds = []netip.Addr{netip.MustParseAddr(s.ip(1))}
	second, err := fleet.NewEntry(settings, zap.NewNop())
	is.NoErr(err)
	s.start(second)
	s.eventually("the second entry is ready", func() bool { return s.readyAt(4) })
	// Its metrics are served by another task, which may start after it is ready.
	s.eventually("the metrics answer", func() bool { return s.gauge(4, "config-version") != nil })
	is.Equal(s.gauge(4, "config-version"), 6.0) // from its first packet on
	s.eventually("the second entry is settled", func() bool { return s.gauge(4, "settled") == true })
	_, ok := s.store.Get(platform.ConfigKey)
	is.True(ok)
}
