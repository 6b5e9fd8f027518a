package director

import (
	"sync"
	"time"
)

// tokenBucket limits a rate and its bursts. The zero value is a full bucket.
type tokenBucket struct {
	mu      sync.Mutex
	used    float64 // tokens that were taken and have not been refilled
	updated time.Duration
}

// take takes n tokens of a bucket that holds burst of them and is refilled at the given rate a
// second, and reports whether there were as many.
func (b *tokenBucket) take(now time.Duration, n, rate, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-(now-b.updated).Seconds()*rate)
	b.updated = now
	if b.used+n > burst {
		return false
	}
	b.used += n
	return true
}
