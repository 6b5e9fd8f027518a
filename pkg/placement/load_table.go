package placement

import (
	"sync"
	"time"
)

const (
	// minCapacity bounds the divisor where one flow is added to a member's work.
	minCapacity = 0.01

	// maxPeers bounds the table; further peers are ignored.
	maxPeers = 4096
)

type (
	// Estimate is a member's estimate of a candidate's load. It implements
	// Candidate.
	Estimate struct {
		work     float64
		capacity float64
	}

	// LoadTable holds a member's estimates of its peers' load. Peers report their
	// own load; between reports, the flows that the member itself has sent to a
	// peer are added.
	LoadTable[K comparable] struct {
		mu    sync.Mutex
		peers map[K]peerLoad
	}

	// peerLoad is the last report of a peer, with the flows sent to it since.
	peerLoad struct {
		work       float64
		capacity   float64
		reportedAt time.Time
	}
)

// NewEstimate returns an estimate of the work per unit of capacity, in requests per
// slot of nominal speed, and of the capacity, in slots of nominal speed.
func NewEstimate(work, capacity float64) Estimate {
	return Estimate{work: work, capacity: capacity}
}

// Work returns the work per unit of capacity, in requests per slot of nominal speed.
func (e Estimate) Work() float64 { return e.work }

// Capacity returns the capacity in slots of nominal speed.
func (e Estimate) Capacity() float64 { return e.capacity }

// NewLoadTable returns an empty table.
func NewLoadTable[K comparable]() *LoadTable[K] {
	return &LoadTable[K]{peers: make(map[K]peerLoad)}
}

// Update stores the load that a peer reports. A new peer is ignored when the table
// is full.
func (t *LoadTable[K]) Update(now time.Time, peer K, work, capacity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[peer]; !ok && len(t.peers) >= maxPeers {
		return
	}
	t.peers[peer] = peerLoad{work: work, capacity: capacity, reportedAt: now}
}

// AddFlow adds one request to the work of the peer, for a flow that was sent to it.
// A peer that has not reported is ignored.
func (t *LoadTable[K]) AddFlow(peer K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[peer]
	if !ok {
		return
	}
	p.work += 1 / max(p.capacity, minCapacity)
	t.peers[peer] = p
}

// Estimate returns the estimated load of the peer, and false if the peer has not
// reported at or after since.
func (t *LoadTable[K]) Estimate(peer K, since time.Time) (Estimate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[peer]
	if !ok || p.reportedAt.Before(since) {
		return Estimate{}, false
	}
	return Estimate{work: p.work, capacity: p.capacity}, true
}
