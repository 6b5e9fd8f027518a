package fleetdemo

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/segment"
)

// TestOverlappingCrashes covers soak seed 44: the end of the longer of two
// crashes was a new start that still held the flows of the one before.
func TestOverlappingCrashes(t *testing.T) {
	is := is.New(t)
	u := &upstream{flows: make(map[segment.Flow]*held)}
	var crashes sync.WaitGroup
	crashes.Go(func() { u.crash(300 * time.Millisecond) })
	u.crash(0)
	u.mu.Lock()
	u.flows[segment.Flow{}] = &held{first: 7}
	u.mu.Unlock()
	is.True(u.holds(segment.Flow{}, 7))
	crashes.Wait()
	is.True(!u.holds(segment.Flow{}, 7))
}
