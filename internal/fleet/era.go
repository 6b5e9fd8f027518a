package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// callsPerEntry is how many writing calls an entry makes when a new era begins: the
	// grant of a lease, its registration, and its flows.
	callsPerEntry = 3
	// eraRateShare is the part of the store's rate of writes that all entries together
	// may use for that.
	eraRateShare = 0.5
	// maxEraSpread bounds the time over which these calls are spread, so that all
	// registrations are back within 2 s.
	maxEraSpread = 1500 * time.Millisecond
	// eraCheckInterval is the least time between two calls that check whether the store
	// is in the era that a hello message names.
	eraCheckInterval = time.Second
)

// eraSignal wakes the tasks of a process when a new era of the store begins.
type eraSignal struct {
	mu      sync.Mutex
	current context.Context // ends when the next era begins
	end     context.CancelFunc
}

func newEraSignal() *eraSignal {
	s := &eraSignal{}
	s.current, s.end = context.WithCancel(context.Background())
	return s
}

// era returns a context that ends when the next era begins.
func (s *eraSignal) era() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// begin ends the context of the current era and begins the next one.
func (s *eraSignal) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	s.current, s.end = context.WithCancel(context.Background())
}

// handleNewEra is called when the store has come back from an older copy. All that this
// process wrote there may be gone, and the revisions and leases that it knows are void.
func (p *process) handleNewEra(old, era uint64) {
	p.metrics.increment("store-eras")
	p.log.Warn("store came back from an older copy, writing again", zap.Uint64("era", era), zap.Uint64("era-before", old))
	p.onNewEra()
	p.eras.begin()
}

// sleepInEra waits for d or until the context ends. If the given era ends before, it returns
// early, once it is this entry's turn to write.
func (p *process) sleepInEra(ctx, era context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-era.Done():
		sleep(ctx, eraSpread(p.rank(), p.settings.StoreWritesPerSecond))
	}
}

// eraSpread returns the time from the beginning of an era until the entry of a rank writes
// its keys again. The entries write one after the other, so that they leave room for others
// in the store's rate of writes; 0 stands for no limit.
func eraSpread(rank int, writesPerSecond float64) time.Duration {
	if writesPerSecond <= 0 {
		return 0
	}
	d := time.Duration(float64(rank*callsPerEntry) / (writesPerSecond * eraRateShare) * float64(time.Second))
	return min(d, maxEraSpread)
}

// requestEraCheck requests a check of the store's era if another entry has seen a newer one.
// It does not block.
func (e *Entry) requestEraCheck(era uint64) {
	if era <= e.store.Era() {
		return
	}
	select {
	case e.newerEra <- struct{}{}:
	default: // a check is pending
	}
}

// checkEra reads from the store when another entry has seen a newer era: the response shows
// whether there is one. It runs until the context ends.
func (e *Entry) checkEra(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.newerEra:
		}
		sleep(ctx, eraSpread(e.rank(), e.settings.StoreWritesPerSecond))
		e.readEra(ctx)
		sleep(ctx, eraCheckInterval)
	}
}

// readEra makes the cheapest call to the store, as each response names its era.
func (e *Entry) readEra(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.metrics.increment("store-reads")
	if _, err := e.store.Range(ctx, entryPrefix+e.self.String(), "", true); err != nil {
		e.metrics.increment("store-errors")
	}
}
