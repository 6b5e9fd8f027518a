package agent

import (
	"time"

	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// loadShare is the share of the control rate for load reports.
	loadShare = 0.15
	// loadReportBytes is the size of a load report on the wire, in bytes.
	loadReportBytes = 96
	// loadMaxAge is the age up to which the load in a peer's latest packet, of any
	// kind, is used.
	loadMaxAge = 10 * time.Second
	// minWarmUpFactor is the share of its capacity that a new upstream starts with.
	minWarmUpFactor = 0.1
	// openFlowWork is the work counted for each open flow, in requests, in addition
	// to 1 for a flow with an unanswered packet.
	openFlowWork = 0.01
)

// load returns this member's work per unit of capacity, in requests per slot of
// nominal speed, and its capacity, in slots of nominal speed.
func (c *Core) load(now time.Time) (work, capacity float64) {
	capacity = float64(c.config.slots) * c.warmUpFactor(now) * c.relativeSpeed()
	requests := float64(c.outstanding.Load()) + openFlowWork*float64(c.owned.Load())
	return requests / capacity, capacity
}

// warmUpFactor returns the share of its capacity that the member reports. It rises
// linearly to 1 over the warm-up time (slow start), from minWarmUpFactor on.
func (c *Core) warmUpFactor(now time.Time) float64 {
	age := now.Sub(c.started)
	if age >= c.config.warmUp {
		return 1
	}
	return max(minWarmUpFactor, float64(age)/float64(c.config.warmUp))
}

// relativeSpeed returns this member's weight in the current view divided by
// nominalWeight, or 1 if it is absent from the view or has weight 0.
func (c *Core) relativeSpeed() float64 {
	m := c.state.Load().history.Current().Find(c.id)
	if m == nil || m.Weight() == 0 {
		return 1
	}
	return float64(m.Weight()) / nominalWeight
}

// estimate returns the latest known load of a member. A member without a packet in
// the last loadMaxAge is assumed to have the load of this one, so that the policy
// neither prefers nor avoids it for every flow.
func (c *Core) estimate(now time.Time, id member.ID) placement.Estimate {
	work, capacity := c.load(now)
	if id == c.id {
		return placement.NewEstimate(work, capacity)
	}
	if known, ok := c.loads.Estimate(id, now.Add(-loadMaxAge)); ok {
		return known
	}
	return placement.NewEstimate(work, capacity)
}

// sendLoadReport sends this member's load to the next peer, round-robin, when a
// report is due. It sets FlagSynced if this member has registered with the peer
// every flow that must be registered with it, see hasRegisteredAll. When it is this
// member's own turn, no report is sent.
func (c *Core) sendLoadReport(now time.Time, out *Output) {
	if now.Before(c.nextLoadReport) {
		return
	}
	c.nextLoadReport = now.Add(c.loadInterval())
	members := c.state.Load().history.Current().Members()
	if len(members) == 0 {
		return
	}
	c.loadReportIndex = (c.loadReportIndex + 1) % len(members)
	to := &members[c.loadReportIndex]
	if to.ID() == c.id {
		return
	}
	p := c.newPacket(tunnel.Load, to.ID())
	if c.hasRegisteredAll(to.ID()) {
		p.UpdateFlags(tunnel.FlagSynced, 0)
	}
	c.sendTo(now, to.Address(), &p, out)
}

// loadRound returns the time in which every peer is sent one load report.
func (c *Core) loadRound() time.Duration {
	return time.Duration(c.state.Load().history.Current().Len()) * c.loadInterval()
}

// loadInterval returns the interval between load reports that uses loadShare of the
// control rate.
func (c *Core) loadInterval() time.Duration {
	return time.Duration(loadReportBytes / (loadShare * float64(c.config.controlRate)) * float64(time.Second))
}
