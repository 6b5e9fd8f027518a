// Package kvstandin is an in-memory stand-in for the platform's store, served
// over HTTP, for tests of the store's client and of the code that uses it. It
// has revisions, conditions, leases, watches, compaction, faults, and eras: it can
// come back from an older copy of itself.
//
// # Usage
//
//	store := kvstandin.New(kvstandin.WithClock(clock))
//	server := httptest.NewServer(store)
//	store.SetFault(kvstandin.LoseResponses)
//	store.RestoreCopy(3 * time.Second) // loses what was written in the last 3 s
package kvstandin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The faults of a store, for SetFault.
const (
	// Healthy is no fault: each call is answered.
	Healthy Fault = iota
	// Busy refuses each call with 503 without running it.
	Busy
	// RateLimited refuses each call with 429 without running it.
	RateLimited
	// ResetConnections closes the connection of each call without running it.
	ResetConnections
	// LoseResponses runs each call and closes the connection without a response.
	LoseResponses
	// Unresponsive neither runs nor answers calls; they end when the client gives up.
	Unresponsive
)

const (
	// firstRevision is the revision of an empty store, and firstEra its era.
	firstRevision = 100
	firstEra      = 1
	// eraHeader is the header with the era in each response.
	eraHeader = "Store-Era"
	// copyInterval is the least time between two copies, and maxCopies how many are
	// kept: those of the last 30 s.
	copyInterval = 100 * time.Millisecond
	maxCopies    = 300
)

type (
	// Fault is a kind of failure of the store.
	Fault int

	// Store holds keys in memory. It is an http.Handler and safe for concurrent
	// use.
	Store struct {
		mu                sync.Mutex
		clock             func() time.Time
		pageSize          int
		revision          uint64
		compactedRevision uint64 // events up to this revision have been dropped
		items             map[string]item
		events            []item
		leases            map[uint64]*lease
		changed           chan struct{} // closed and replaced at each change
		fault             Fault
		calls             map[string]int // by the first segment of the path
		era               uint64
		copies            []storeCopy // the oldest first
	}

	// storeCopy is the state of a store at a time.
	storeCopy struct {
		at       time.Time
		revision uint64
		items    map[string]item
		leases   map[uint64]lease
	}

	// Option configures a store that New returns.
	Option func(*Store)

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"rev"`
		Created  uint64 `json:"created,omitempty"`
		Lease    uint64 `json:"lease"`
		Deleted  bool   `json:"deleted,omitempty"`
		AsOf     uint64 `json:"as-of,omitempty"`
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	txn struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
)

// WithClock sets the clock by which leases expire.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.clock = now } }

// WithPageSize sets the largest number of items in a page of a range; the
// default is 500.
func WithPageSize(n int) Option { return func(s *Store) { s.pageSize = n } }

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		clock: time.Now, pageSize: 500, revision: firstRevision, items: make(map[string]item),
		leases: make(map[uint64]*lease), changed: make(chan struct{}), calls: make(map[string]int), era: firstEra,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFault makes the store fail in the given way from the next call on. Healthy
// ends the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Compact drops the history of changes. Watches from an earlier revision are
// answered with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
}

// RestoreCopy replaces the state of the store by a copy that is at least as old as age, or
// by the oldest one, and begins a new era. The revisions and leases since are given out
// again, and watches from them are answered with 410.
func (s *Store) RestoreCopy(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c := storeCopy{revision: firstRevision}
	for _, candidate := range s.copies {
		if now.Sub(candidate.at) >= age {
			c = candidate
		}
	}
	s.revision, s.items, s.leases = c.revision, maps.Clone(c.items), make(map[uint64]*lease)
	if s.items == nil {
		s.items = make(map[string]item)
	}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: now.Add(l.ttl)}
	}
	s.events = slices.DeleteFunc(s.events, func(e item) bool { return e.Revision > c.revision })
	s.compactedRevision = min(s.compactedRevision, c.revision)
	s.copies = slices.DeleteFunc(s.copies, func(later storeCopy) bool { return later.at.After(c.at) })
	s.era++
	s.wakeWatches()
}

// saveCopy keeps a copy of the state before a change, at most every copyInterval.
func (s *Store) saveCopy() {
	now := s.clock()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	c := storeCopy{at: now, revision: s.revision, items: maps.Clone(s.items), leases: make(map[uint64]lease, len(s.leases))}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	s.copies = append(s.copies, c)
	if len(s.copies) > maxCopies {
		s.copies = s.copies[1:]
	}
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Set writes a key without a lease, as an operator or another writer does.
func (s *Store) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveCopy()
	s.revision++
	s.put(item{Key: key, Value: value})
}

// Delete removes a key, if it exists, as an operator or another writer does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.saveCopy()
		s.revision++
		s.remove(key)
	}
}

// SetUnseen is like Set, but watches miss the change.
func (s *Store) SetUnseen(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveCopy()
	s.revision++
	old := s.items[key]
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: max(old.Created, 1)}
}

// DeleteUnseen is like Delete, but watches miss the change.
func (s *Store) DeleteUnseen(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.saveCopy()
		s.revision++
		delete(s.items, key)
	}
}

// Get returns the value of a key, and whether it exists.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	return it.Value, ok
}

// Calls returns the number of calls by the first segment of their path, refused
// ones included.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// ServeHTTP handles one call, subject to the fault in force.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	s.mu.Lock()
	s.calls[name]++
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case ResetConnections:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		// The server detects that the client has closed the connection only once
		// the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	status, body := s.dispatch(name, rest, r)
	w.Header().Set(eraHeader, strconv.FormatUint(s.Era(), 10)) // a watch may have waited for a new one
	if fault == LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the client may have closed the connection
	}
}

// dispatch runs a call and returns the status and the body of the response. name is
// the first segment of the path, rest what follows it.
func (s *Store) dispatch(name, rest string, r *http.Request) (int, any) {
	switch r.Method + " " + name {
	case "GET kv-key":
		return s.get(r.URL.Query().Get("key"))
	case "GET kv-range":
		return s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "GET kv-watch":
		return s.watch(r)
	case "POST kv-txn":
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return http.StatusBadRequest, nil
		}
		return s.commit(t)
	case "POST kv-lease":
		return s.grantLease(r)
	case "POST kv-keep":
		return s.renewLease(rest)
	case "DELETE kv-lease-end":
		return s.revokeLease(rest)
	}
	return http.StatusNotFound, nil
}

// get returns a key, with the store's revision in as-of.
func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	it.AsOf = s.revision
	return http.StatusOK, it
}

// list returns a page of the keys with a prefix that follow after.
func (s *Store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > s.pageSize
	items := []item{}
	for _, k := range keys[:min(len(keys), s.pageSize)] {
		items = append(items, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.revision}
}

// watch returns the changes of keys with a prefix after a revision. If there are
// none yet, it waits for one, for at most wait-ms, which may not exceed 30000. It
// does not remove expired leases: their end shows only once another call does.
func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || wait > 30000 {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// commit applies a transaction if its conditions hold and its leases exist.
func (s *Store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var current []item
	matched := true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		matched = matched && it.Revision == e.Rev
	}
	if !matched {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	if len(t.Writes)+len(t.Remove) == 0 {
		return http.StatusOK, map[string]any{"rev": s.revision}
	}
	s.saveCopy()
	s.revision++
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"rev": s.revision}
}

// grantLease grants a lease whose identifier is a new revision of the store.
func (s *Store) grantLease(r *http.Request) (int, any) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveCopy()
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: s.clock().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl-ms": in.TTL}
}

func (s *Store) renewLease(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	n, err := strconv.ParseUint(id, 10, 64)
	l, ok := s.leases[n]
	if err != nil || !ok {
		return http.StatusNotFound, nil
	}
	l.expires = s.clock().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
}

func (s *Store) revokeLease(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.ParseUint(id, 10, 64)
	if _, ok := s.leases[n]; err != nil || !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(n)
	return http.StatusOK, nil
}

// expire removes the leases that have expired, with their keys.
func (s *Store) expire() {
	now := s.clock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(k)
		}
	}
}

// put writes an item at the current revision.
func (s *Store) put(it item) {
	old, ok := s.items[it.Key]
	it.Revision, it.Created = s.revision, s.revision
	if ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.appendEvent(it)
}

// remove deletes a key, if it exists, at the current revision.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.appendEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

// appendEvent adds a change to the history and wakes the watches.
func (s *Store) appendEvent(it item) {
	s.events = append(s.events, it)
	s.wakeWatches()
}

// wakeWatches makes the waiting watches look at the history again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
