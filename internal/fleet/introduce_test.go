package fleet_test

import (
	"net/netip"
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

// TestEntryGreetsAgentThatHasFallenSilent guards against resets of the flows of an agent that
// was restarted and has not heard of this entry: without another hello message it reports to the
// other entries only, and after 10 s this one takes it for gone.
func TestEntryGreetsAgentThatHasFallenSilent(t *testing.T) {
	is := is.New(t)
	const hellos = 6
	site := newTestSite(t, 74)
	agent := site.listen(site.ip(4), site.port)
	site.putConfig(1, "198.18.0.1:443")
	entry, err := fleet.NewEntry(site.settings(1), zap.NewNop())
	is.NoErr(err)
	defer site.start(entry)()
	status := peer.Status{Incarnation: 1, Sequence: 1, Service: "maklerlink", Upstream: "u", Born: 5, Taking: true, Slots: 2, Flows: 1}
	report, err := peer.Encode(peer.Report, status)
	is.NoErr(err)
	to := netip.AddrPortFrom(netip.MustParseAddr(site.ip(1)), uint16(site.port))
	_, err = agent.WriteToUDPAddrPort(report, to)
	is.NoErr(err)
	buf := make([]byte, peer.MaxFrame)
	is.NoErr(agent.SetReadDeadline(time.Now().Add(5 * time.Second))) // well before the agent is evicted
	for range hellos {
		n, err := agent.Read(buf)
		is.NoErr(err)
		kind, err := peer.KindOf(buf[:n])
		is.NoErr(err)
		is.Equal(kind, peer.Hello)
	}
}
