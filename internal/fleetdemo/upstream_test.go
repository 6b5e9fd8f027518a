package fleetdemo

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/segment"
)

// TestOverlappingCrashes guards against the failure of soak seed 44: when two
// crashes overlapped, the restart at the end of the longer one kept the flows
// that the upstream had accepted after the restart of the shorter one.
func TestOverlappingCrashes(t *testing.T) {
	is := is.New(t)
	u := &upstream{flows: make(map[segment.Flow]*heldFlow)}
	var crashes sync.WaitGroup
	crashes.Go(func() { u.crash(300 * time.Millisecond) })
	u.crash(0)
	u.mu.Lock()
	u.flows[segment.Flow{}] = &heldFlow{isn: 7}
	u.mu.Unlock()
	is.True(u.holds(segment.Flow{}, 7))
	crashes.Wait()
	is.True(!u.holds(segment.Flow{}, 7))
}
