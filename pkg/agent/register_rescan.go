package agent

import (
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

// rescan is the progress of a scan of the table for the flows of one home that did
// not fit into its queue. It advances through the shards as the queue empties.
type rescan struct {
	nextShard  int // shard to scan next
	shardsLeft int // shards to scan until all have been scanned
}

// add queues an item for a home. If the queue is full, it starts (or restarts) a
// rescan, which finds the flow again. Closed flows that do not fit are left out,
// as the records of the homes expire. r.mu must be held.
func (r *registrar) add(queue registerQueue, target member.ID, item queuedFlow) {
	if len(queue[target]) < maxQueued {
		queue[target] = append(queue[target], item)
		return
	}
	if item.closed {
		return
	}
	scan := r.rescans[target]
	if scan == nil {
		scan = &rescan{}
		r.rescans[target] = scan
	}
	scan.shardsLeft = flow.NumShards()
}

// runRescans queues more flows for each home with a rescan and no queued existing
// flows.
func (c *Core) runRescans(now time.Time) {
	for _, target := range c.rescanTargets() {
		for c.registrar.needsRescan(target) {
			c.rescanShard(now, target)
		}
	}
}

// rescanTargets returns the homes with a rescan and no queued existing flows. It
// discards the rescans for homes that have left.
func (c *Core) rescanTargets() []member.ID {
	st := c.state.Load()
	r := &c.registrar
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []member.ID
	for _, id := range sortedKeys(r.rescans) {
		if st.hasDeparted(id) {
			delete(r.rescans, id)
			continue
		}
		if len(r.existing[id]) == 0 {
			targets = append(targets, id)
		}
	}
	return targets
}

// needsRescan reports whether to scan one more shard for the home: shards are left
// and its queue of existing flows is less than half full. It ends a rescan without
// shards left.
func (r *registrar) needsRescan(target member.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	scan := r.rescans[target]
	if scan == nil || len(r.existing[target]) >= maxQueued/2 {
		return false
	}
	if scan.shardsLeft == 0 {
		delete(r.rescans, target)
		return false
	}
	return true
}

// rescanShard queues the owned flows in the next shard that are to be registered
// with the home.
func (c *Core) rescanShard(now time.Time, target member.ID) {
	c.registrar.mu.Lock()
	scan := c.registrar.rescans[target]
	at := scan.nextShard
	scan.nextShard = (scan.nextShard + 1) % flow.NumShards()
	scan.shardsLeft--
	c.registrar.mu.Unlock()
	view := c.state.Load().history.Current()
	c.flows.WithShardAt(at, func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			if rec.kind == recordOwned && c.isRegisterTarget(view, d, target) {
				c.registrar.mu.Lock()
				c.registrar.add(c.registrar.existing, target, queuedFlow{digest: d, queuedAt: now})
				c.registrar.mu.Unlock()
			}
			return true
		})
	})
}

// isRegisterTarget reports whether a flow owned here is to be registered with the
// target under the view.
func (c *Core) isRegisterTarget(view *member.View, d flow.Digest, target member.ID) bool {
	var homes [member.HomesPerFlow]member.ID
	for _, id := range homes[:c.registerTargets(view, d, homes[:])] {
		if id == target {
			return true
		}
	}
	return false
}
