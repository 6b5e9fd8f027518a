package agent

import (
	"sync"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// maxBurst is the time at full rate for which unused tokens accumulate.
	maxBurst = 2 * time.Second
)

// rateLimiter is a token bucket for registrations. A token is one byte.
type rateLimiter struct {
	mu        sync.Mutex
	rate      float64 // tokens per second
	tokens    float64
	updatedAt time.Time
}

// newRateLimiter returns a rate limiter with the tokens of one second.
func newRateLimiter(now time.Time, rate float64) rateLimiter {
	return rateLimiter{rate: rate, tokens: rate, updatedAt: now}
}

// available returns the tokens left at the given time. It is negative after a packet
// larger than the tokens left was sent.
func (l *rateLimiter) available(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.updatedAt) {
		l.tokens = min(l.rate*maxBurst.Seconds(), l.tokens+l.rate*now.Sub(l.updatedAt).Seconds())
		l.updatedAt = now
	}
	return int(l.tokens)
}

// hasSpareRate reports whether the tokens of at least one second are left, that is,
// whether the rate was not used up recently.
func (l *rateLimiter) hasSpareRate(now time.Time) bool {
	return float64(l.available(now)) >= l.rate
}

// spend removes the tokens of a packet that was sent.
func (l *rateLimiter) spend(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens -= float64(bytes)
}

// Tick runs the periodic tasks that are due at the given time and appends the
// resulting actions to out. Call it every TickInterval.
func (c *Core) Tick(now time.Time, out *Output) {
	c.tickMu.Lock()
	defer c.tickMu.Unlock()
	c.settleViews(now)
	c.sendProbes(now, out)
	c.sendHeartbeats(now, out)
	c.sendLoadReport(now, out)
	c.sendRegistrations(now, out)
	c.sweep(now, out)
}

// sendHeartbeats sends heartbeats to heartbeatTargetCount entries, every
// heartbeatInterval, if fewer than that have sent a packet in the last interval. In
// that case it also removes the entries that have been silent for entryExpiry.
func (c *Core) sendHeartbeats(now time.Time, out *Output) {
	if !c.entries.heartbeatDue(now) {
		return
	}
	if c.entries.aliveCount(now.Add(-heartbeatInterval)) >= heartbeatTargetCount {
		return // the datagrams that entries forward show that they are alive
	}
	c.entries.removeSilent(now.Add(-entryExpiry))
	for _, address := range c.entries.heartbeatTargets(c.id, heartbeatTargetCount) {
		p := c.newPacket(tunnel.Heartbeat, 0)
		c.sendTo(now, address, &p, out)
	}
}

// sweep closes idle flows, refreshes registrations and deletes expired records in
// one shard of the table. Each call takes the next shard.
func (c *Core) sweep(now time.Time, out *Output) {
	c.flows.WithShardAt(c.sweepShard, func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			switch {
			case rec.kind == recordOwned:
				c.sweepOwned(now, s, d, rec.own, out)
			case idle(now, rec.lastSeen, c.forwardingRecordTTL()):
				s.Delete(d)
			}
			return true
		})
	})
	c.sweepShard = (c.sweepShard + 1) % flow.NumShards()
}

// forwardingRecordTTL returns the idle time after which a record of another member's
// flow is deleted. It outlasts two lost refreshes by the owner.
func (c *Core) forwardingRecordTTL() time.Duration { return 3 * c.config.refreshInterval }

// sweepOwned closes an owned flow that is idle, or else refreshes its registration
// if that is due.
func (c *Core) sweepOwned(now time.Time, s *shard, d flow.Digest, own *ownedFlow, out *Output) {
	if !idle(now, own.lastSeen, c.config.idleTimeout) {
		if idle(now, own.registeredAt, c.config.refreshInterval) {
			own.registeredAt = now.UnixNano()
			c.queueRefresh(now, d)
		}
		return
	}
	s.Delete(d)
	c.owned.Add(-1)
	if own.unanswered {
		c.outstanding.Add(-1)
	}
	c.queueClosed(now, d, own.epoch)
	out.closedFlows = append(out.closedFlows, ClosedFlow{digest: d, epoch: own.epoch})
	out.addEvent(Event{kind: Ended, digest: d, key: own.key, member: c.id})
}

// idle reports whether at least bound has passed since seen, in nanoseconds since
// 1970.
func idle(now time.Time, seen int64, bound time.Duration) bool {
	return now.UnixNano()-seen >= int64(bound)
}
