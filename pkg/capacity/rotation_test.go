package capacity_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/capacity"
)

const (
	tick          = 100 * time.Millisecond
	helloInterval = 400 * time.Millisecond
	helloTimeout  = 1300 * time.Millisecond
	returnTimeout = 4 * time.Second // for which a stopped entry counts as one of the domain
	routersNotice = time.Second     // until the routers follow a change of readiness
)

type (
	// rotationLoad is a load of the entries of one domain, whose links are Links.
	rotationLoad struct {
		Load      string    `json:"load"`
		Links     []float64 `json:"links"`
		Tolerated int       `json:"tolerated"`
		Seconds   float64   `json:"seconds"`
		Demand    []struct {
			From  float64 `json:"from-s"`
			Bytes float64 `json:"bytes-per-s"`
		} `json:"demand"`
		// Down are times in which an entry does not run, and Deaf those in which it gets no
		// hello messages.
		Down []period `json:"down"`
		Deaf []period `json:"deaf"`
		// EndOut are the entries out of rotation at the end. MaxChanges bounds the changes of
		// each entry, and LeastReady the running entries that are in rotation at any time.
		EndOut     []int `json:"end-out"`
		MaxChanges int   `json:"max-changes"`
		LeastReady int   `json:"least-ready"`
		// AllReady is a time in which all running entries are in rotation; Entry is unused.
		AllReady period `json:"all-ready"`
	}

	// period is a time of an entry, by its index in Links.
	period struct {
		Entry int     `json:"entry"`
		From  float64 `json:"from-s"`
		To    float64 `json:"to-s"`
	}

	// rotatingEntry is an entry of the domain, with its last hello message as the others
	// know it.
	rotatingEntry struct {
		self      capacity.Entry
		rotation  *capacity.Rotation // nil while the entry does not run
		startedAt time.Duration
		hello     capacity.Entry
		helloAt   time.Duration // 0 before the first
		changedAt time.Duration // of the state in hello
		routedAt  time.Duration // when the readiness last changed
		routed    bool          // the routers send to the entry
		changes   int
	}
)

func contains(periods []period, entry int, now time.Duration) bool {
	return slices.ContainsFunc(periods, func(p period) bool {
		return p.Entry == entry && now.Seconds() >= p.From && now.Seconds() < p.To
	})
}

// ready reports whether the entry is in rotation.
func (e *rotatingEntry) ready() bool { return e.rotation != nil && !e.rotation.Out() }

// update starts and stops the entry, and lets the routers follow its readiness.
func (e *rotatingEntry) update(now time.Duration, down bool) {
	switch {
	case down && e.rotation != nil:
		e.rotation, e.routedAt = nil, now
	case !down && e.rotation == nil:
		e.rotation, e.startedAt, e.routedAt = &capacity.Rotation{}, now, now
	}
	if e.routed != e.ready() && now-e.routedAt >= routersNotice {
		e.routed = e.ready()
	}
}

// sendHello publishes the state of the entry.
func (e *rotatingEntry) sendHello(now time.Duration) {
	e.self.Ready = e.ready()
	if e.helloAt == 0 || e.self.Ready != e.hello.Ready || e.startedAt > e.helloAt {
		e.changedAt = now
	}
	e.hello, e.helloAt = e.self, now
}

// domainOf returns what entry i knows from the hello messages of the others.
func domainOf(entries []*rotatingEntry, i int, now time.Duration, l *rotationLoad) capacity.Domain {
	e := entries[i]
	d := capacity.Domain{Self: e.self, Tolerated: l.Tolerated}
	d.Self.Ready = true
	ready, unavailable := 0, 0
	for j, o := range entries {
		if j == i || o.helloAt == 0 || contains(l.Deaf, i, now) || o.helloAt < e.startedAt {
			continue
		}
		age := now - o.helloAt
		d.ChangedAt = max(d.ChangedAt, o.changedAt)
		switch {
		case age <= helloTimeout && o.hello.Ready:
			ready++
		case age <= returnTimeout:
			unavailable++
		}
		if age <= helloTimeout {
			d.Others = append(d.Others, o.hello)
		} else {
			d.ChangedAt = max(d.ChangedAt, o.helloAt+helloTimeout)
		}
	}
	d.EnoughOthers = ready > 0 && 2*ready >= 1+ready+unavailable
	return d
}

// spread sends the demand to the entries as the routers do.
func spread(entries []*rotatingEntry, demand float64) {
	n := 0
	for _, e := range entries {
		if e.routed {
			n++
		}
	}
	all := 2*n < len(entries)
	if all {
		n = len(entries)
	}
	for _, e := range entries {
		e.self.CallerRate = 0
		if e.rotation != nil && (all || e.routed) {
			e.self.CallerRate = min(e.self.LinkRate, demand/float64(n))
		}
	}
}

// play plays a load and checks LeastReady at each tick.
func (l *rotationLoad) play(t *testing.T) []*rotatingEntry {
	var entries []*rotatingEntry
	for i, link := range l.Links {
		entries = append(entries, &rotatingEntry{self: capacity.Entry{ID: [4]byte{10, 0, 0, byte(i)}, LinkRate: link}})
	}
	for now := tick; now.Seconds() < l.Seconds; now += tick {
		demand := 0.0
		for _, d := range l.Demand {
			if now.Seconds() >= d.From {
				demand = d.Bytes
			}
		}
		spread(entries, demand)
		ready, running := 0, 0
		for i, e := range entries {
			e.update(now, contains(l.Down, i, now))
			if e.rotation == nil {
				continue
			}
			running++
			if e.rotation.Observe(now, domainOf(entries, i, now, l)) {
				e.changes, e.routedAt = e.changes+1, now
				e.sendHello(now)
				t.Logf("%v entry %d out %t: %s %+v", now, i, e.rotation.Out(), e.rotation.Reason(), e.rotation.Plan())
			}
			if now%helloInterval == 0 {
				e.sendHello(now)
			}
			if e.ready() {
				ready++
			}
		}
		least := l.LeastReady
		if contains([]period{l.AllReady}, 0, now) {
			least = running
		}
		if ready < min(least, running) {
			t.Fatalf("%v: %d in rotation", now, ready)
		}
	}
	return entries
}

// TestRotationLoads plays loads on the entries of a domain. It guards against small entries
// in rotation while the large ones have room for all, against fewer entries in rotation
// than the routers and the tolerated loss need, and against entries that leave and return.
func TestRotationLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/rotation-*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no loads", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile(file)
			is.NoErr(err)
			var l rotationLoad
			is.NoErr(json.Unmarshal(b, &l))
			t.Log(l.Load)
			out := []int{}
			for i, e := range l.play(t) {
				if e.rotation != nil && e.rotation.Out() {
					out = append(out, i)
				}
				is.True(e.changes <= l.MaxChanges)
			}
			is.Equal(out, l.EndOut)
		})
	}
}
