package fleetdemo

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryhook.example/platform"
)

const (
	// annexDomain is the failure domain of every second upstream, which a soak evacuates;
	// all other processes are in mainDomain.
	mainDomain  = "loopback"
	annexDomain = "annex"
	// evacuationBound is the time within which the request for an evacuation must be in
	// force.
	evacuationBound = 5 * time.Second
	// maxEvacuationPause bounds the time between a withdrawal and the next request,
	// maxEvacuation that from a request to its withdrawal.
	maxEvacuationPause = 3 * time.Second
	maxEvacuation      = 10 * time.Second
)

// evacuation is the operator's request to evacuate annexDomain.
type evacuation struct {
	mu     sync.Mutex
	since  time.Time // of the store's acknowledgement; zero if nothing is requested
	opened int       // flows that upstreams of the domain accepted after evacuationBound
}

// requestEvacuation writes the request for the evacuation to the store, or removes it.
func (s *site) requestEvacuation(requested bool) {
	e := &s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since = time.Time{}
	if requested {
		e.since = time.Now()
	}
	s.writeEvacuation()
}

// repeatEvacuation writes again what the operator has requested last, as the store may have
// lost it.
func (s *site) repeatEvacuation() {
	s.evacuation.mu.Lock()
	defer s.evacuation.mu.Unlock()
	s.writeEvacuation()
}

// writeEvacuation writes or removes the operator's key. The caller holds the lock.
func (s *site) writeEvacuation() {
	const key = platform.OperatorPrefix + "evacuate/" + annexDomain
	if s.evacuation.since.IsZero() {
		s.store.Delete(key)
		return
	}
	s.store.Set(key, []byte("{}"))
}

// checkOpening records that an upstream of a failure domain has accepted a flow.
func (s *site) checkOpening(domain string) {
	e := &s.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	if domain == annexDomain && !e.since.IsZero() && time.Since(e.since) > evacuationBound {
		e.opened++
		s.log.Error("flow opened in an evacuated failure domain")
	}
}

// openedWhileEvacuated returns the number of flows that upstreams of the evacuated domain
// accepted after the bound.
func (s *site) openedWhileEvacuated() int {
	s.evacuation.mu.Lock()
	defer s.evacuation.mu.Unlock()
	return s.evacuation.opened
}

// evacuateUntil requests the evacuation and withdraws it at random times. In the end it is
// withdrawn.
func (k *soak) evacuateUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for time.Now().Before(end) {
		time.Sleep(below(maxEvacuationPause))
		length := below(maxEvacuation)
		k.announceFault(fmt.Sprintf("failure domain %s is evacuated for %s", annexDomain, length))
		k.site.requestEvacuation(true)
		time.Sleep(length)
		k.site.requestEvacuation(false)
	}
}
