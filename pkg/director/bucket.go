package director

import (
	"sync"
	"time"
)

// tokenBucket limits a rate to queriesPerSecond with bursts of queryBurst. The zero
// value is a full bucket.
type tokenBucket struct {
	mu      sync.Mutex
	used    float64 // tokens that were taken and have not been refilled
	updated time.Duration
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-(now-b.updated).Seconds()*queriesPerSecond)
	b.updated = now
	if b.used+1 > queryBurst {
		return false
	}
	b.used++
	return true
}
