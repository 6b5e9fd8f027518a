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
	// maxEntries bounds the table; further entries are ignored.
	maxEntries = 1024

	heartbeatInterval = time.Second
	// heartbeatTargetCount is the number of entries that an agent sends heartbeats to.
	heartbeatTargetCount = 2
	// entryExpiry is the time without packets after which an entry that has sent one
	// is removed, see Core.sendHeartbeats.
	entryExpiry = 10 * time.Minute
)

// Entries is the table of known entries with the time of the last packet from
// each. The cores of a process share it, so that heartbeats are sent once per
// process.
type Entries struct {
	mu            sync.RWMutex
	entries       map[netip.AddrPort]*atomic.Int64 // last packet, in nanoseconds since 1970, or 0
	sorted        []netip.AddrPort
	nextHeartbeat time.Time
}

// NewEntries returns a table with the given entries. They count as alive only after
// their first packet.
func NewEntries(known []netip.AddrPort) *Entries {
	t := &Entries{entries: make(map[netip.AddrPort]*atomic.Int64)}
	for _, address := range known {
		t.markAlive(address, 0)
	}
	return t
}

// markAlive records that the entry sent a packet at the given time, in nanoseconds
// since 1970, and adds the entry if it is new.
func (t *Entries) markAlive(address netip.AddrPort, nanos int64) {
	t.mu.RLock()
	last, ok := t.entries[address]
	t.mu.RUnlock()
	if ok {
		last.Store(max(last.Load(), nanos))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.entries[address]; ok { // a concurrent call has added it
		last.Store(max(last.Load(), nanos))
		return
	}
	if len(t.entries) >= maxEntries {
		return
	}
	last = &atomic.Int64{}
	last.Store(nanos)
	t.entries[address] = last
	t.sorted = append(t.sorted, address)
	slices.SortFunc(t.sorted, compareAddresses)
}

// aliveSince reports whether a packet from the entry arrived at or after since.
func (t *Entries) aliveSince(address netip.AddrPort, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	last, ok := t.entries[address]
	return ok && last.Load() >= since.UnixNano()
}

// chooseLive returns the entry for a flow's replies among those that sent a packet
// at or after since. A hash of the flow and of the entry's position in the sorted
// list spreads the flows over them. It returns false if there is none.
func (t *Entries) chooseLive(d flow.Digest, since time.Time) (netip.AddrPort, bool) {
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

// heartbeatTargets returns up to n entries for the heartbeats of member id. Each
// member ranks the entries by other hashes, which spreads the heartbeats of all
// agents over the entries.
func (t *Entries) heartbeatTargets(id member.ID, n int) []netip.AddrPort {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ranked := slices.Clone(t.sorted)
	slices.SortFunc(ranked, func(a, b netip.AddrPort) int {
		return cmp.Compare(addressHash(b, id), addressHash(a, id))
	})
	return ranked[:min(n, len(ranked))]
}

// removeSilent removes the entries whose last packet arrived before since. Entries
// that have not sent any packet yet stay.
func (t *Entries) removeSilent(since time.Time) {
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

// aliveCount returns the number of entries that sent a packet at or after since.
func (t *Entries) aliveCount(since time.Time) int {
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

// heartbeatDue reports whether heartbeats are to be sent now. If so, it schedules
// the next ones after heartbeatInterval.
func (t *Entries) heartbeatDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextHeartbeat) {
		return false
	}
	t.nextHeartbeat = now.Add(heartbeatInterval)
	return true
}

func compareAddresses(a, b netip.AddrPort) int { return a.Compare(b) }

// addressHash returns the hash by which a member ranks an entry for its heartbeats.
func addressHash(a netip.AddrPort, id member.ID) uint64 {
	return rendezvous.Hash(uint64(id), uint64(member.IDOf(a.String())))
}
