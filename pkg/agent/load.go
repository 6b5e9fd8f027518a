package agent

import (
	"time"

	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// loadShare is the share of the control rate that load reports may take.
	loadShare = 0.15
	// loadBytes is the size of a load report on the wire.
	loadBytes = 96
	// loadMaxAge is how long a peer's report is used.
	loadMaxAge = 10 * time.Second
	// minWarmth is the share of its capacity that a new upstream starts with.
	minWarmth = 0.1
	// openFlowWork is the work that an open flow with no unanswered packet
	// counts for. Unit: requests.
	openFlowWork = 0.01
)

// load returns the work of this member per unit of capacity, and its capacity.
// Units: requests per slot of nominal speed, slots of nominal speed.
func (c *Core) load(now time.Time) (work, capacity float64) {
	capacity = float64(c.config.slots) * c.warmth(now) * c.speed()
	requests := float64(c.outstanding.Load()) + openFlowWork*float64(c.owned.Load())
	return requests / capacity, capacity
}

// warmth rises from minWarmth to 1 while the upstream warms up (slow start).
func (c *Core) warmth(now time.Time) float64 {
	age := now.Sub(c.started)
	if age >= c.config.warmUp {
		return 1
	}
	return max(minWarmth, float64(age)/float64(c.config.warmUp))
}

// speed is the weight of this member relative to the nominal one.
func (c *Core) speed() float64 {
	m := c.state.Load().history.Current().Find(c.id)
	if m == nil || m.Weight() == 0 {
		return 1
	}
	return float64(m.Weight()) / nominalWeight
}

// estimate returns what is known of a member's load. A member that was not
// heard lately is taken to be as loaded as this one, less a share for its
// distance, so that it neither attracts nor repels every flow.
func (c *Core) estimate(now time.Time, id member.ID) placement.Estimate {
	work, capacity := c.load(now)
	if id == c.id {
		return placement.NewEstimate(work, capacity)
	}
	if known, ok := c.board.Estimate(id, now.Add(-loadMaxAge)); ok {
		return known
	}
	return placement.NewEstimate(work, capacity)
}

// tickLoad reports this member's load to one of its peers after the other.
func (c *Core) tickLoad(now time.Time, out *Output) {
	if now.Before(c.loadAt) {
		return
	}
	c.loadAt = now.Add(c.loadInterval())
	members := c.state.Load().history.Current().Members()
	if len(members) == 0 {
		return
	}
	c.loadNext = (c.loadNext + 1) % len(members)
	to := &members[c.loadNext]
	if to.ID() == c.id {
		return
	}
	p := c.newPacket(tunnel.Load, to.ID())
	if c.isSynced(to.ID()) {
		p.UpdateFlags(tunnel.FlagSynced, 0)
	}
	c.sendTo(now, to.Address(), &p, out)
}

// loadRound is how long it takes to report to every peer once.
func (c *Core) loadRound() time.Duration {
	return time.Duration(c.state.Load().history.Current().Len()) * c.loadInterval()
}

func (c *Core) loadInterval() time.Duration {
	return time.Duration(loadBytes / (loadShare * float64(c.config.controlRate)) * float64(time.Second))
}
