package fleetsim_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/internal/fleetsim"
	"hickoryhook.example/pkg/route"
)

// TestEntryThatSkippedVersionKeepsFlows covers an entry that is paused while a route moves to
// another service and back. Flows that were opened at that service meanwhile come to the entry
// when it resumes. It must not reset them, although no configuration that it has seen names
// their service.
func TestEntryThatSkippedVersionKeepsFlows(t *testing.T) {
	is := is.New(t)
	w := fleetsim.New(fleetsim.WithSeed(1))
	w.AddService("maklerlink", 4, 2)
	w.AddService("exposeserver", 4, 2)
	w.AddEntries(2)
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
	w.Run(3 * time.Second)
	w.Entry(2).Pause(5 * time.Second)
	w.Run(2 * time.Second)
	w.SetRoute(vip, route.Share{Service: "exposeserver", Weight: 1})
	w.Run(200 * time.Millisecond)
	w.AddCallers(60, vip, time.Second)
	w.Run(2 * time.Second)
	w.SetRoute(vip, route.Share{Service: "maklerlink", Weight: 1})
	w.Run(10 * time.Second)
	is.Equal(w.Count("broken"), 0)
	is.True(w.Count("found") > 0) // the entry has found flows of the other service
}
