package agent

import (
	"maps"
	"time"

	"hickoryhook.example/pkg/member"
)

// maxDeparted is the maximum number of departed members that are tracked.
const maxDeparted = 4096

// SetView replaces the view of the service. Owned flows are registered with the homes
// that the view adds or that have restarted, limited to the control rate. If the view
// marks this member as draining or leaving, or lacks it, the member accepts no new
// flows.
func (c *Core) SetView(now time.Time, view *member.View) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	old := c.state.Load()
	before := old.history.Current()
	c.state.Store(&state{
		history:  old.history.WithView(now, view),
		departed: departed(old.departed, before, view),
		draining: isDrainingIn(view, c.id),
	})
	c.queueAllNewHomes(now, before, view)
}

// Drain makes the member refuse new flows until the next SetView, whatever its state
// in the current view.
func (c *Core) Drain() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	next := *c.state.Load()
	next.draining = true
	c.state.Store(&next)
}

// settleViews discards past views once the settle time is over and every member
// that is not leaving has registered its flows under the current view.
func (c *Core) settleViews(now time.Time) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	old := c.state.Load()
	if old.history.Settled() || !old.history.CurrentSince(now.Add(-c.config.settleTime)) {
		return
	}
	current := old.history.Current()
	for _, m := range current.Members() {
		if m.ID() != c.id && m.State() != member.Leaving && !c.peers.isSynced(m.ID(), current.Fingerprint()) {
			return
		}
	}
	next := *old
	next.history = old.history.Settle()
	c.state.Store(&next)
}

// departed returns the members that have left: those in known and those in the view
// before, less those in the view after. It tracks at most maxDeparted.
func departed(known map[member.ID]struct{}, before, after *member.View) map[member.ID]struct{} {
	next := maps.Clone(known)
	if next == nil {
		next = make(map[member.ID]struct{})
	}
	for _, m := range before.Members() {
		if len(next) < maxDeparted {
			next[m.ID()] = struct{}{}
		}
	}
	for _, m := range after.Members() {
		delete(next, m.ID())
	}
	return next
}
