package agent

import (
	"maps"
	"time"

	"hickoryhook.example/pkg/member"
)

// maxDeparted bounds the members that are remembered as having left.
const maxDeparted = 4096

// SetView replaces the view of the service. Owned flows whose homes differ are
// registered anew, paced to the control rate. A member that the view marks as
// draining, or no longer has, takes no new flows from here on.
func (c *Core) SetView(now time.Time, view *member.View) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	old := c.state.Load()
	before := old.history.Current()
	c.state.Store(&state{
		history:  old.history.WithView(now, view),
		departed: departed(old.departed, before, view),
		draining: drainsIn(view, c.id),
	})
	c.requeueChanged(now, before, view)
}

// Drain makes the member refuse new flows, whatever its view says.
func (c *Core) Drain() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	next := *c.state.Load()
	next.draining = true
	c.state.Store(&next)
}

// settleViews drops past views once every member has registered its flows
// under the current one and the settle time is over.
func (c *Core) settleViews(now time.Time) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	old := c.state.Load()
	if old.history.Settled() || !old.history.CurrentSince(now.Add(-c.config.settle)) {
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

// departed returns the members that have left: those known before and those
// that the new view lacks, less those that are back.
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
