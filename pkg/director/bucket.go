package director

import (
	"sync"
	"time"
)

// bucket bounds a rate: asksAtOnce at once and asksPerSecond in the long run.
// The zero value is full.
type bucket struct {
	mu    sync.Mutex
	used  float64
	since time.Duration
}

// take reports whether there is one left, and takes it.
func (b *bucket) take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-(now-b.since).Seconds()*asksPerSecond)
	b.since = now
	if b.used+1 > asksAtOnce {
		return false
	}
	b.used++
	return true
}
