package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/rendezvous"
)

const (
	maxEntries = 1024

	heartbeatInterval = time.Second
	// watcherCount is how many entries an agent sends heartbeats to.
	watcherCount = 2
	// entryForget is how long a silent entry is remembered.
	entryForget = 10 * time.Minute
)

// Entries keeps the entries that an agent knows and when each was last heard.
// The cores of one process share it, so that heartbeats are sent once for all.
type Entries struct {
	mu      sync.RWMutex
	entries map[netip.AddrPort]*atomic.Int64 // nanoseconds since 1970
	sorted  []netip.AddrPort
	pingAt  time.Time
}

// NewEntries returns a table that begins with the given entries.
func NewEntries(known []netip.AddrPort) *Entries {
	t := &Entries{entries: make(map[netip.AddrPort]*atomic.Int64)}
	for _, address := range known {
		t.heard(address, 0)
	}
	return t
}

// heard notes that the entry sent a packet at the given time.
func (t *Entries) heard(address netip.AddrPort, nanos int64) {
	t.mu.RLock()
	last, ok := t.entries[address]
	t.mu.RUnlock()
	if ok {
		last.Store(max(last.Load(), nanos))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= maxEntries {
		return
	}
	last = &atomic.Int64{}
	last.Store(nanos)
	t.entries[address] = last
	t.sorted = append(t.sorted, address)
	slices.SortFunc(t.sorted, compareAddresses)
}

func (t *Entries) heardSince(address netip.AddrPort, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	last, ok := t.entries[address]
	return ok && last.Load() >= since.UnixNano()
}

// choose returns a live entry for the flow.
func (t *Entries) choose(d flow.Digest, since time.Time) (netip.AddrPort, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var best netip.AddrPort
	var bestHash uint64
	for i, address := range t.sorted {
		if t.entries[address].Load() < since.UnixNano() {
			continue
		}
		hash := rendezvous.Hash(d.RendezvousKey(), uint64(i+1))
		if !best.IsValid() || hash > bestHash {
			best, bestHash = address, hash
		}
	}
	return best, best.IsValid()
}

// watchers returns up to n entries that this member sends heartbeats to.
func (t *Entries) watchers(id member.ID, n int) []netip.AddrPort {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ranked := slices.Clone(t.sorted)
	slices.SortFunc(ranked, func(a, b netip.AddrPort) int {
		return cmp.Compare(addressHash(b, id), addressHash(a, id))
	})
	return ranked[:min(n, len(ranked))]
}

// forget removes entries that have been silent since the bound.
func (t *Entries) forget(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sorted = slices.DeleteFunc(t.sorted, func(address netip.AddrPort) bool {
		last := t.entries[address].Load()
		if last == 0 || last >= since.UnixNano() {
			return false
		}
		delete(t.entries, address)
		return true
	})
}

// heardCount returns how many entries were heard since the bound.
func (t *Entries) heardCount(since time.Time) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, last := range t.entries {
		if last.Load() >= since.UnixNano() {
			n++
		}
	}
	return n
}

// due reports whether heartbeats are to be sent now, and notes that they are.
func (t *Entries) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.pingAt) {
		return false
	}
	t.pingAt = now.Add(heartbeatInterval)
	return true
}

func compareAddresses(a, b netip.AddrPort) int { return a.Compare(b) }

func addressHash(a netip.AddrPort, id member.ID) uint64 {
	return rendezvous.Hash(uint64(id), uint64(member.IDOf(a.String())))
}
