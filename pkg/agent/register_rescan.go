package agent

import (
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

// rescan finds the flows for one home that did not fit into its queue. It goes
// through the shards of the table as the queue empties.
type rescan struct {
	next int // shard to look at next
	left int // shards to look at until all were seen
}

// add queues an item for a home. What does not fit is found again by a rescan;
// ended flows that do not fit are left out, as homes forget them in time.
func (r *registrar) add(queue registerQueue, target member.ID, item queued) {
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
	scan.left = flow.NumShards()
}

// tickRescans queues more flows for the homes whose queues have emptied.
func (c *Core) tickRescans(now time.Time) {
	for _, target := range c.emptyRescans() {
		for c.register.needsMore(target) {
			c.rescanShard(now, target)
		}
	}
}

// emptyRescans returns the homes with a rescan and an empty queue. A rescan for
// a home that has left ends.
func (c *Core) emptyRescans() []member.ID {
	st := c.state.Load()
	r := &c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []member.ID
	for _, id := range sortedKeys(r.rescans) {
		if st.hasDeparted(id) {
			delete(r.rescans, id)
			continue
		}
		if len(r.bulk[id]) == 0 {
			targets = append(targets, id)
		}
	}
	return targets
}

// needsMore reports whether to look at one more shard for the home.
func (r *registrar) needsMore(target member.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	scan := r.rescans[target]
	if scan == nil || len(r.bulk[target]) >= maxQueued/2 {
		return false
	}
	if scan.left == 0 {
		delete(r.rescans, target)
		return false
	}
	return true
}

// rescanShard queues the flows of the next shard that the home must know of.
func (c *Core) rescanShard(now time.Time, target member.ID) {
	c.register.mu.Lock()
	scan := c.register.rescans[target]
	at := scan.next
	scan.next = (scan.next + 1) % flow.NumShards()
	scan.left--
	c.register.mu.Unlock()
	view := c.state.Load().history.Current()
	c.flows.WithShardAt(at, func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			if rec.kind == recordOwned && c.mustTell(view, d, target) {
				c.register.mu.Lock()
				c.register.add(c.register.bulk, target, queued{digest: d, at: now})
				c.register.mu.Unlock()
			}
			return true
		})
	})
}

func (c *Core) mustTell(view *member.View, d flow.Digest, target member.ID) bool {
	var homes [member.HomesPerFlow]member.ID
	for _, id := range homes[:c.registerTargets(view, d, homes[:])] {
		if id == target {
			return true
		}
	}
	return false
}
