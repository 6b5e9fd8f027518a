package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	leases  map[uint64]*lease
	next    uint64
	changed chan struct{}
}

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, next: 7000, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value, 0)
	s.wake()
}

func (s *store) set(key string, value []byte, l uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: l}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(k)
		}
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if path[0] == "kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch path[0] {
	case "kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return 404, struct{}{}
		}
		return 200, struct {
			item
			AsOf uint64 `json:"as-of"`
		}{it, s.rev}
	case "kv-range":
		var list []item
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				list = append(list, it)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		more := len(list) > 500
		if more {
			list = list[:500]
		}
		return 200, map[string]any{"items": append([]item{}, list...), "has-more": more, "as-of": s.rev}
	case "kv-txn":
		return s.commit(r)
	case "kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return 400, struct{}{}
		}
		s.next++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.next] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.next, "ttl-ms": in.TTL}
	case "kv-keep", "kv-lease-end":
		id, _ := strconv.ParseUint(path[len(path)-1], 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return 404, struct{}{}
		}
		if path[0] == "kv-lease-end" {
			s.endLease(id)
			return 200, struct{}{}
		}
		l.end = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
	}
	return 404, struct{}{}
}

func (s *store) commit(r *http.Request) (int, any) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return 400, fmt.Sprint(err)
	}
	failed := false
	now := []item{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			now = append(now, it)
		}
		failed = failed || it.Rev != e.Rev
	}
	if failed {
		return 412, map[string]any{"items": now}
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return 403, struct{}{}
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 404, struct{}{}
		}
	}
	if len(t.Writes)+len(t.Remove) > 0 {
		s.rev++
		for _, w := range t.Writes {
			s.set(w.Key, w.Value, w.Lease)
		}
		for _, k := range t.Remove {
			s.remove(k)
		}
		s.wake()
	}
	return 200, map[string]any{"rev": s.rev}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				list = append(list, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			return 200, map[string]any{"events": list, "as-of": rev}
		}
		select {
		case <-changed:
		case <-timer.C:
			return 200, map[string]any{"events": list, "as-of": rev}
		case <-r.Context().Done():
			return 200, map[string]any{"events": list, "as-of": rev}
		}
	}
}
