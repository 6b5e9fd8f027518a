package fleetsim_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
	"hickoryhook.example/pkg/route"
)

// TestStoreListsAgentThatIsCutOff covers seed 990141 of bench fleet -store-restores: an agent
// was missing from the simulated store's list because nothing had read the list for 5 s while
// the store held an older copy. All entries restart, without stored flows, while the agent is
// cut off. They must not reset its flows, as it is listed and has not reported.
func TestStoreListsAgentThatIsCutOff(t *testing.T) {
	is := is.New(t)
	w := fleetsim.New(fleetsim.WithSeed(1), fleetsim.WithoutMechanism(fleetsim.MechanismSnapshots))
	w.AddService("maklerlink", 4, 2)
	w.AddEntries(2)
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
	w.Run(3 * time.Second)
	w.AddCallers(40, vip, time.Second)
	w.Run(3 * time.Second)
	w.LoseStore()
	w.Run(6 * time.Second)
	w.ReturnStore()
	w.Instances("maklerlink")[0].Partition(4 * time.Second)
	w.KillAll(200 * time.Millisecond)
	w.Run(4 * time.Second)
	is.Equal(w.Count("broken"), 0)
	is.True(w.Count("found-nobody-uncertain") > 0) // packets of the flows of the agent that is cut off
}
