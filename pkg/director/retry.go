package director

import (
	"net/netip"
	"sync"
	"time"

	"hickoryhook.example/pkg/segment"
)

const retryWindow = 25 * time.Millisecond

type retryTracker struct {
	mu     sync.Mutex
	resets map[netip.Addr]time.Duration
}

func (t *retryTracker) noteReset(now time.Duration, f segment.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resets == nil {
		t.resets = make(map[netip.Addr]time.Duration)
	}
	t.resets[f.Caller().Addr()] = now
}

func (t *retryTracker) isRetry(now time.Duration, f segment.Flow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.resets[f.Caller().Addr()]
	return ok && now-at <= retryWindow
}
