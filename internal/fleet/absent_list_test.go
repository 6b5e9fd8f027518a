package fleet

import (
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestAbsentListIsCompleteAtFirstStartOnly guards against the reset of living flows after all
// entries were killed before any had written the list of agents: the store has no list, which
// must not be taken for one without agents.
func TestAbsentListIsCompleteAtFirstStartOnly(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		agents     []peer.Addr // in the store, nil if there is no list
		known      bool
	}{
		{"first start", true, nil, true},
		{"no list", false, nil, false},
		{"empty list", false, []peer.Addr{}, true},
		{"list", false, []peer.Addr{{10, 0, 0, 9}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sync, _ := newTestConfigSync(t, kvstandin.New(), &countingPort{})
			sync.settings, sync.entries = &platform.Settings{FirstStart: c.firstStart}, newEntrySet(entryTimeout)
			e := &Entry{process: sync.process, director: sync.director, config: sync}
			e.setRegistered(registry{agents: c.agents})
			registered, _ := e.director.Registered()
			is.Equal(len(registered), len(c.agents))
			is.Equal(e.discovery.agentsKnown, c.known)
		})
	}
}
