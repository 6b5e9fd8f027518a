package main

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

// answerDelay is how long the store takes for an answer.
const answerDelay = 4 * time.Millisecond

type (
	// store is the platform's metadata store.
	store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]item
		events   []item
		leases   map[uint64]*lease
		changed  chan struct{} // closed at each change
	}

	item struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Rev     uint64 `json:"rev"`
		Created uint64 `json:"created,omitempty"`
		Lease   uint64 `json:"lease"`
		Deleted bool   `json:"deleted,omitempty"`
		AsOf    uint64 `json:"as-of,omitempty"`
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}
)

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// set writes a key as the operator does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(item{Key: key, Value: value})
}

func (s *store) put(it item) {
	it.Rev, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.tell(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.tell(item{Key: key, Rev: s.revision, Deleted: true})
	}
}

func (s *store) tell(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the leases that have ended, with their keys.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// ServeHTTP handles a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerDelay)
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	status, out := http.StatusNotFound, any(nil)
	switch r.Method + " " + call {
	case "GET kv-key":
		status, out = s.get(r.URL.Query().Get("key"))
	case "GET kv-range":
		status, out = s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "GET kv-watch":
		status, out = s.watch(r)
	case "POST kv-txn":
		status, out = s.commit(body)
	case "POST kv-lease":
		status, out = s.grant(body)
	case "POST kv-keep":
		status, out = s.keep(id)
	case "DELETE kv-lease-end":
		status, out = s.revoke(id)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out) // the caller may have gone
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
	it.AsOf = s.revision
	return http.StatusOK, it
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.items[key])
		}
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
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
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "as-of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) commit(body []byte) (int, any) {
	var txn struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, e := range txn.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	if len(txn.Writes)+len(txn.Remove) > 0 {
		s.revision++
	}
	for _, w := range txn.Writes {
		s.put(w)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"rev": s.revision}
}

func (s *store) grant(body []byte) (int, any) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.Unmarshal(body, &in) != nil || in.TTL < 1000 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl-ms": in.TTL}
}

func (s *store) keep(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	n, err := strconv.ParseUint(id, 10, 64)
	l := s.leases[n]
	if err != nil || l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
}

func (s *store) revoke(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || s.leases[n] == nil {
		return http.StatusNotFound, nil
	}
	s.end(n)
	return http.StatusOK, map[string]any{}
}
