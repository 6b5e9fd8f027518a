package agent

import (
	"sync"
	"time"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/tunnel"
)

const (
	// paceBurst is how far registrations may run ahead of their rate.
	paceBurst = 2 * time.Second
)

// pacer is a token bucket for registrations. Unit: bytes.
type pacer struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	at     time.Time
}

func newPacer(now time.Time, rate float64) pacer {
	return pacer{rate: rate, tokens: rate, at: now}
}

func (b *pacer) available(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.After(b.at) {
		b.tokens = min(b.rate*paceBurst.Seconds(), b.tokens+b.rate*now.Sub(b.at).Seconds())
		b.at = now
	}
	return int(b.tokens)
}

// isFull reports whether the rate has not been used lately.
func (b *pacer) isFull(now time.Time) bool {
	return float64(b.available(now)) >= b.rate
}

func (b *pacer) spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(bytes)
}

// Tick does what is due at the given time. Call it every TickInterval.
func (c *Core) Tick(now time.Time, out *Output) {
	c.tickMu.Lock()
	defer c.tickMu.Unlock()
	c.settleViews(now)
	c.tickProbes(now, out)
	c.tickHeartbeats(now, out)
	c.tickLoad(now, out)
	c.tickRegistrations(now, out)
	c.sweep(now, out)
}

// tickHeartbeats asks entries for a sign of life while too few show one.
func (c *Core) tickHeartbeats(now time.Time, out *Output) {
	if !c.entries.due(now) {
		return
	}
	if c.entries.heardCount(now.Add(-heartbeatInterval)) >= watcherCount {
		return // callers' datagrams show which entries are alive
	}
	c.entries.forget(now.Add(-entryForget))
	for _, address := range c.entries.watchers(c.id, watcherCount) {
		p := c.newPacket(tunnel.Heartbeat, 0)
		c.sendTo(now, address, &p, out)
	}
}

// sweep ends idle flows and refreshes registrations in one shard of the table.
func (c *Core) sweep(now time.Time, out *Output) {
	c.flows.WithShardAt(c.sweepAt, func(s *shard) {
		s.Each(func(d flow.Digest, rec record) bool {
			switch {
			case rec.kind == recordOwned:
				c.sweepOwned(now, s, d, rec.own, out)
			case idle(now, rec.seen, c.redirectTTL()):
				s.Delete(d)
			}
			return true
		})
	})
	c.sweepAt = (c.sweepAt + 1) % flow.NumShards()
}

// redirectTTL outlasts two lost refreshes of the owner.
func (c *Core) redirectTTL() time.Duration { return 3 * c.config.refresh }

func (c *Core) sweepOwned(now time.Time, s *shard, d flow.Digest, own *ownedFlow, out *Output) {
	if !idle(now, own.seen, c.config.idleTimeout) {
		if idle(now, own.registered, c.config.refresh) {
			own.registered = now.UnixNano()
			c.queueRefresh(now, d)
		}
		return
	}
	s.Delete(d)
	c.owned.Add(-1)
	if own.waiting {
		c.outstanding.Add(-1)
	}
	c.queueClosed(now, d, own.epoch)
	out.closings = append(out.closings, ClosedFlow{digest: d, epoch: own.epoch})
	out.event(Event{kind: Ended, digest: d, key: own.key, member: c.id})
}

func idle(now time.Time, seen int64, bound time.Duration) bool {
	return now.UnixNano()-seen >= int64(bound)
}
