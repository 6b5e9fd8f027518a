package director

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// FlowSnapshot is the stored state of an open flow. After its own restart, as after a
// power loss, the entry uses it to reset the flows whose upstreams have restarted or
// ended.
type FlowSnapshot struct {
	Flow  segment.Flow
	Owner peer.Addr
	// Service may have the short identifier only. The flow is then of the only known service with
	// that one, and of an unknown service if there are several.
	Service      peer.ServiceID
	Start        uint32 // of the owner's upstream, see peer.StartID
	Acknowledged uint32 // last acknowledgement number of the caller
	Repeatable   bool   // its requests may be repeated; false if unknown
	// Proven means that the flow was open at the recorded start, so that it is gone if that one
	// has ended. SnapshotFlows sets it. Records of builds up to 4332ead lack the proof.
	Proven bool
}

const (
	// resetWindow is how far, in bytes, a reset's sequence number may lie from the
	// caller's last acknowledgement for the caller to accept the reset. maxAckDrift
	// is how far, in bytes, the acknowledgement may move before a stored flow counts
	// as changed: half of the window.
	resetWindow = 76800
	maxAckDrift = resetWindow / 2
	// movedAfter is the time without packets after which a flow has likely moved to
	// another entry: callers pause for 1 to 3 s between requests.
	movedAfter = 5 * time.Second
	// changedShare limits how far a stored snapshot may differ: it is outdated if the
	// flows that are missing from it, superfluous in it or changed are more than one
	// in changedShare of those to be stored.
	changedShare = 100
)

// SnapshotFlows returns at most limit open flows to be stored. It leaves out those that
// the caller has closed, of which it is not proven that they are open at the recorded start of
// their upstream, see flowRecord.endsWith, or whose VIP has no route;
// without a configuration it returns none. Flows whose requests must not be repeated
// come first: a caller that learns only from its next request that its flow is gone
// loses that request. Within each kind, flows that have likely moved to another entry come
// last, and those without packets for the longest first, as their callers are the next to
// send.
func (d *Director) SnapshotFlows(now time.Duration, limit int) []FlowSnapshot {
	type ranked struct {
		FlowSnapshot
		seen  time.Duration
		class int // 0: requests must not be repeated, 2: they may be; +1: likely moved to another entry
	}
	var all []ranked
	config := d.config.Load()
	if config == nil {
		return nil
	}
	heard := d.members.lastHeard()
	d.eachShard(func(s *shard) {
		for flow, rec := range s.flows {
			r, ok := config.Lookup(flow.VIP())
			if !rec.open || rec.closed || !rec.endsWith(heard[rec.owner]) || !ok {
				continue
			}
			class := 0
			if r.Idempotent {
				class = 2
			}
			if now-rec.lastSeen > movedAfter {
				class++
			}
			all = append(all, ranked{FlowSnapshot{
				Flow: flow, Owner: rec.owner, Service: rec.service, Start: rec.startID, Acknowledged: rec.acknowledged,
				Repeatable: r.Idempotent, Proven: true,
			}, rec.lastSeen, class})
		}
	})
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seen, b.seen), cmp.Compare(a.Flow.Hash(), b.Flow.Hash()))
	})
	out := make([]FlowSnapshot, 0, min(limit, len(all)))
	for _, a := range all[:min(limit, len(all))] {
		out = append(out, a.FlowSnapshot)
	}
	return out
}

// SnapshotOutdated reports whether flows, a result of SnapshotFlows, differ so much
// from the ones written to the store that they should be stored again.
func SnapshotOutdated(written, flows []FlowSnapshot) bool {
	old := make(map[segment.Flow]FlowSnapshot, len(written))
	for _, r := range written {
		old[r.Flow] = r
	}
	changed := 0
	for _, r := range flows {
		before, ok := old[r.Flow]
		delete(old, r.Flow)
		if !ok || before.Owner != r.Owner || before.Start != r.Start || r.Acknowledged-before.Acknowledged > maxAckDrift {
			changed++
		}
	}
	changed += len(old)
	return changed*changedShare > len(flows)
}

// AddedFlows returns those of flows, a result of SnapshotFlows, that are missing from the
// written ones and whose requests must not be repeated. A caller learns that such a flow is
// gone in time only if the flow was saved; others lose a try.
func AddedFlows(written, flows []FlowSnapshot) []FlowSnapshot {
	type start struct {
		flow  segment.Flow
		owner peer.Addr
		start uint32
	}
	old := make(map[start]bool, len(written))
	for _, r := range written {
		old[start{r.Flow, r.Owner, r.Start}] = true
	}
	var out []FlowSnapshot
	for _, r := range flows {
		if !r.Repeatable && !old[start{r.Flow, r.Owner, r.Start}] {
			out = append(out, r)
		}
	}
	return out
}

// RestoreFlows adds flows that an earlier process stored to the cache, except those that are in
// use. A flow that was restored before and had no packet since is replaced. A
// proven flow is reset, see checkOtherStarts, as soon as its agent has reported another start of
// its upstream that is certain to run, or no known start and no running upstream, unless its
// caller has sent a packet that the agent can be asked with.
func (d *Director) RestoreFlows(now time.Duration, flows []FlowSnapshot) {
	for _, r := range flows {
		d.restoreFlow(now, r)
	}
	d.checkRestored(now)
}

// checkRestored checks the restored flows against the last reports of all agents.
func (d *Director) checkRestored(now time.Duration) {
	reports := make(startReports)
	for _, a := range d.members.list() {
		if start, known, certain := d.members.upstreamStart(a); known {
			reports[a] = startReport{start, certain, d.members.service(a)}
		}
	}
	d.restored.takeRestartedTogether(d.members, reports)
	d.checkOtherStarts(now, reports)
}

// restoreFlow adds a flow to the cache, or replaces one that was restored.
func (d *Director) restoreFlow(now time.Duration, r FlowSnapshot) {
	s := d.lock(r.Flow)
	defer s.mu.Unlock()
	if rec := s.flows[r.Flow]; rec != nil && (!rec.restored || rec.searching || rec.lastSeen > rec.created) {
		return
	}
	proven := r.Proven && r.Acknowledged != 0 && r.Start != 0
	if proven {
		d.restored.add(r.Owner, r.Start)
	}
	s.flows[r.Flow] = &flowRecord{
		owner: r.Owner, service: r.Service, startID: r.Start, open: true, acknowledged: r.Acknowledged, lastSeen: now, created: now,
		restored: true, evidence: evidence{confirmed: proven, startProven: proven},
	}
}
