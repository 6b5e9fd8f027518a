package fleet_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/pkg/peer"
)

// TestStartingEntryGreetsSilentAgentsAgain covers an entry that joins while flows are in use,
// and whose first hello message to an agent is lost. Until the agent reports to it, searches
// from the entry miss the flows of that agent's upstream: for two seconds and more, all of a
// flow's packets that the routers send to this entry would reach other upstreams only.
func TestStartingEntryGreetsSilentAgentsAgain(t *testing.T) {
	is := is.New(t)
	const hellos = 4
	site := newTestSite(t, 99)
	agent := site.listen(site.ip(4), site.port) // it never reports
	list, err := cbor.Marshal([]peer.Addr{{127, 0, 99, 4}})
	is.NoErr(err)
	site.store.Set("hickoryhook/agents", list)
	site.putConfig(1, "198.18.0.1:443")
	entry, err := fleet.NewEntry(site.settings(1), zap.NewNop())
	is.NoErr(err)
	defer site.start(entry)()
	buf := make([]byte, peer.MaxFrame)
	is.NoErr(agent.SetReadDeadline(time.Now().Add(waitTimeout)))
	for range hellos {
		n, err := agent.Read(buf)
		is.NoErr(err)
		kind, err := peer.KindOf(buf[:n])
		is.NoErr(err)
		is.Equal(kind, peer.Hello)
	}
}
