package agent

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentFirstPacketsAddEntryOnce covers two first packets of an entry that
// arrive at the same time. An entry that was added twice made removeSilent panic.
func TestConcurrentFirstPacketsAddEntryOnce(t *testing.T) {
	const (
		rounds  = 20000
		callers = 4
	)
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	for range rounds {
		entries := NewEntries(nil)
		var ready, done sync.WaitGroup
		ready.Add(callers)
		for range callers {
			done.Go(func() {
				ready.Done()
				ready.Wait()
				entries.markAlive(address, 1)
			})
		}
		done.Wait()
		is.Equal(len(entries.sorted), 1)
		entries.removeSilent(time.Unix(1, 0))
		is.Equal(len(entries.sorted), 0)
	}
}
