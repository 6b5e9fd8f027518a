package director

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// FlowSnapshot is what has to outlive an entry about an open flow, so that the
// entry knows after a power loss whom to tell that the flow is gone.
type FlowSnapshot struct {
	Flow         segment.Flow
	Owner        peer.Addr
	Service      peer.ServiceID
	Start        uint32 // of the owner's upstream
	Acknowledged uint32
}

const (
	// resetWindow is how far a reset's sequence may lie from what the caller
	// acknowledged last, and rememberedDrift how far it may move before the
	// flow is written again: half of it. Unit: bytes.
	resetWindow     = 76800
	rememberedDrift = resetWindow / 2
	// awayAfter is the time without packets after which a flow has likely moved
	// to another entry: callers pause for 1 to 3 s between requests.
	awayAfter = 5 * time.Second
	// rememberedChange is the share of flows that may be missing or too many
	// in what is written: one in rememberedChange.
	rememberedChange = 12
)

// SnapshotFlows returns at most limit open flows. Those whose requests must not be
// repeated come first: a caller who learns only from its next request that its
// flow is gone loses that request. Of each kind those that were quiet for
// longest come first, as their callers ask next, but for those that seem to
// have moved away.
func (d *Director) SnapshotFlows(now time.Duration, limit int) []FlowSnapshot {
	type aged struct {
		FlowSnapshot
		seen  time.Duration
		class int // 0: requests must not be repeated; +2: moved away
	}
	var all []aged
	config := d.config.Load()
	if config == nil {
		return nil
	}
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for flow, rec := range s.flows {
			r, ok := config.Lookup(flow.VIP())
			if !rec.open || rec.done || rec.start == 0 || !ok {
				continue
			}
			class := 0
			if r.Idempotent {
				class = 1
			}
			if now-rec.seen > awayAfter {
				class += 2
			}
			all = append(all, aged{FlowSnapshot{
				Flow: flow, Owner: rec.owner, Service: rec.service, Start: rec.start, Acknowledged: rec.acknowledged,
			}, rec.seen, class})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b aged) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seen, b.seen), cmp.Compare(a.Flow.Hash(), b.Flow.Hash()))
	})
	out := make([]FlowSnapshot, 0, min(limit, len(all)))
	for _, a := range all[:min(limit, len(all))] {
		out = append(out, a.FlowSnapshot)
	}
	return out
}

// SnapshotOutdated reports whether flows differ enough from what was written
// to be written again.
func SnapshotOutdated(written, flows []FlowSnapshot) bool {
	old := make(map[segment.Flow]FlowSnapshot, len(written))
	for _, r := range written {
		old[r.Flow] = r
	}
	changed := 0
	for _, r := range flows {
		before, ok := old[r.Flow]
		delete(old, r.Flow)
		if !ok || before.Owner != r.Owner || before.Start != r.Start || r.Acknowledged-before.Acknowledged > rememberedDrift {
			changed++
		}
	}
	changed += len(old)
	return changed*rememberedChange > len(flows)
}

// RestoreFlows takes in what an earlier process remembered. A flow whose upstream has
// started anew since is reset as soon as its agent has been heard.
func (d *Director) RestoreFlows(now time.Duration, flows []FlowSnapshot) {
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
