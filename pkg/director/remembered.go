package director

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// Remembered is what has to outlive an entry about an open flow, so that the
// entry knows after a power loss whom to tell that the flow is gone.
type Remembered struct {
	_            struct{} `cbor:",toarray"`
	Flow         segment.Flow
	Owner        peer.Addr
	Service      peer.ServiceID
	Start        uint32 // of the owner's upstream
	Acknowledged uint32
	// Unrepeatable says that the flow's requests must not be repeated: a caller
	// who learns only from its next request that the flow is gone loses it.
	Unrepeatable bool
}

// Remember returns at most limit open flows, first those whose requests must
// not be repeated, and of them those that were quiet for longest.
func (d *Director) Remember(limit int) []Remembered {
	type aged struct {
		Remembered
		seen time.Duration
	}
	var all []aged
	config := d.config.Load()
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for flow, rec := range s.flows {
			if !rec.open || rec.start == 0 {
				continue
			}
			r := Remembered{Flow: flow, Owner: rec.owner, Service: rec.service, Start: rec.start, Acknowledged: rec.acknowledged}
			if config != nil {
				if route, ok := config.Lookup(flow.VIP()); ok {
					r.Unrepeatable = !route.Idempotent
				}
			}
			all = append(all, aged{r, rec.seen})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b aged) int {
		if a.Unrepeatable != b.Unrepeatable {
			if a.Unrepeatable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.seen, b.seen), cmp.Compare(a.Flow.Hash(), b.Flow.Hash()))
	})
	out := make([]Remembered, 0, min(limit, len(all)))
	for _, a := range all[:min(limit, len(all))] {
		out = append(out, a.Remembered)
	}
	return out
}

// Recall takes in what an earlier process remembered. A flow whose upstream has
// started anew since is reset as soon as its agent has been heard.
func (d *Director) Recall(now time.Duration, flows []Remembered) {
	for _, r := range flows {
		s := d.lock(r.Flow)
		if s.flows[r.Flow] == nil {
			s.flows[r.Flow] = &record{
				owner: r.Owner, service: r.Service, start: r.Start, open: true, acknowledged: r.Acknowledged, seen: now, created: now,
			}
		}
		s.mu.Unlock()
	}
	for _, a := range d.members.list() {
		if start, empty := d.members.start(a); start != 0 || empty {
			d.resetOwned(a, start)
		}
	}
}
