package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswer = 4 * time.Millisecond
	pageItems   = 500
	leaseMin    = time.Second
)

type (
	// store stands in for the platform's metadata store.
	store struct {
		mu      sync.Mutex
		rev     uint64
		items   map[string]storeItem
		events  []storeItem
		leases  map[uint64]*storeLease
		nextID  uint64
		changed chan struct{}
		writes  func(key string, value []byte) // for the record
	}

	storeItem struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Rev     uint64 `json:"rev"`
		Created uint64 `json:"created"`
		Lease   uint64 `json:"lease"`
		AsOf    uint64 `json:"as-of,omitempty"`
		deleted bool
	}

	storeLease struct {
		ttl     time.Duration
		expires time.Time
	}
)

func newStore() *store {
	return &store{
		rev: 10, items: make(map[string]storeItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{}),
		writes: func(string, []byte) {},
	}
}

// set writes a key as the operator does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.wake()
}

func (s *store) put(key string, value []byte, lease uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, storeItem{Key: key, Rev: s.rev, deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	ended := false
	for key, it := range s.items {
		if it.Lease == id {
			if !ended {
				s.rev++
				ended = true
			}
			s.remove(key)
		}
	}
	if ended {
		s.wake()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	status, body := http.StatusNotFound, any(nil)
	q := r.URL.Query()
	switch r.Method + " " + name {
	case "GET kv-key":
		status, body = s.get(q.Get("key"))
	case "GET kv-range":
		status, body = s.list(q.Get("prefix"), q.Get("after"))
	case "GET kv-watch":
		status, body = s.watch(r)
	case "POST kv-txn":
		status, body = s.txn(r)
	case "POST kv-lease":
		status, body = s.grant(r)
	case "POST kv-keep":
		status = s.keep(rest)
	case "DELETE kv-lease-end":
		status = s.end(rest)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	it.AsOf = s.rev
	return http.StatusOK, it
}

func (s *store) list(prefix, after string) (int, any) {
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
	items := []storeItem{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": len(keys) > pageItems, "as-of": s.rev}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil || wait > 30000 {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []any{}
		for _, e := range s.events {
			if e.Rev <= after || !strings.HasPrefix(e.Key, q.Get("prefix")) {
				continue
			}
			if e.deleted {
				events = append(events, map[string]any{"key": e.Key, "rev": e.Rev, "deleted": true})
			} else {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as-of": rev}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "as-of": rev}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, ok := []storeItem{}, true
	for _, e := range t.Expected {
		it, exists := s.items[e.Key]
		if exists {
			current = append(current, it)
		}
		ok = ok && it.Rev == e.Rev
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, w := range t.Writes {
		s.put(w.Key, w.Value, w.Lease)
		s.writes(w.Key, w.Value)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *store) grant(r *http.Request) (int, any) {
	var g struct {
		TTL float64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		return http.StatusBadRequest, nil
	}
	ttl := min(max(time.Duration(g.TTL)*time.Millisecond, leaseMin), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": ttl.Milliseconds()}
}

func (s *store) keep(text string) int {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK
}

func (s *store) end(text string) int {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return http.StatusNotFound
	}
	s.endLease(id)
	return http.StatusOK
}
