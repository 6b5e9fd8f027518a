package director

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/segment"
)

// A flow may have been placed under a version of the configuration that this entry has not heard
// of yet, at a service that it does not know. The opening of a flow precedes its other packets. So
// a reset waits until the configuration in force was the newest one after the packet had arrived,
// see MarkVerified.

const (
	// verificationWait is how long a reset waits: the store answers within a second or not.
	verificationWait = 2 * time.Second
	// maxUnverified bounds the resets that wait in one shard, and with it their memory, 2 MB in
	// all shards: the flows of a third of the upstreams may end at once.
	maxUnverified = 1024
	// maxUnrouted bounds those for want of a route, so that they leave room for the others.
	maxUnrouted = 256
)

// unverifiedReset is a reset that waits for a verification of the configuration.
type unverifiedReset struct {
	header    segment.Header // of the packet to which it replies
	arrivedAt time.Duration  // when the packet had arrived
	since     time.Duration
	event     Event         // OwnerNotFound, NoRoute or RouteDropped
	rec       *flowRecord   // of OwnerNotFound
	returned  []searchStage // of OwnerNotFound: the agents that do not hold the flow
}

// verifiedAfter reports whether the configuration in force was the newest one after a time.
func (d *Director) verifiedAfter(at time.Duration) bool { return d.confirmed.Load() > int64(at) }

// awaitVerification lets a reset wait, unless too many do. It reports whether it waits.
func (d *Director) awaitVerification(s *shard, u *unverifiedReset) bool {
	if n := len(s.unverified); n >= maxUnverified || u.event != OwnerNotFound && n >= maxUnrouted {
		return false
	}
	s.unverified = append(s.unverified, u)
	return true
}

// AwaitsVerification reports whether resets wait for a verification of the configuration, see
// MarkVerified and ResetVerified: those of flows without an owner, and those for want of a route.
func (d *Director) AwaitsVerification() (unheld, unrouted bool) {
	d.eachShard(func(s *shard) {
		for _, u := range s.unverified {
			unheld = unheld || u.event == OwnerNotFound
			unrouted = unrouted || u.event != OwnerNotFound
		}
	})
	return unheld, unrouted
}

// ResetVerified sends the resets that have waited for the verification of the configuration that
// was recorded last. It is called after MarkVerified.
func (d *Director) ResetVerified(now time.Duration) {
	d.eachShard(func(s *shard) { d.resetVerified(now, s) })
}

// resetVerified sends the resets of a shard that are proven, and discards those that are
// disproved or have waited for verificationWait.
func (d *Director) resetVerified(now time.Duration, s *shard) {
	s.unverified = slices.DeleteFunc(s.unverified, func(u *unverifiedReset) bool {
		switch {
		case u.event == OwnerNotFound && (u.rec.unverified != u || s.flows[u.header.Flow] != u.rec):
			return true // an owner has been found, or the packet of a later flow has arrived
		case d.verifiedAfter(u.arrivedAt):
			d.resetIfProven(now, s, u)
			return true
		case now-u.since > verificationWait:
			d.dropUnverified(u)
			return true
		}
		return false
	})
}

// resetIfProven sends a reset that has waited, unless the newest configuration disproves it.
func (d *Director) resetIfProven(now time.Duration, s *shard, u *unverifiedReset) {
	if u.event != OwnerNotFound {
		c := d.config.Load()
		if _, routed := c.Lookup(u.header.Flow.VIP()); !routed && c.Unreadable() == 0 && !u.mayOpenElsewhere(now) {
			d.resetUnrouted(now, s, u)
		}
		return
	}
	if !d.provesNobody(now, u.header.Flow, u.returned) {
		d.dropUnverified(u)
		return
	}
	d.resetUnheld(now, s, u.header, u.returned)
}

// mayOpenElsewhere reports whether the reset is one of an opening of which the caller may have sent
// a copy: another entry may have placed that under a version since the verified one.
func (u *unverifiedReset) mayOpenElsewhere(now time.Duration) bool {
	return u.header.Opens() && now-openingSent(u.arrivedAt, u.header) >= firstCopyAfter
}

// dropUnverified discards a reset that cannot be proven. The next packet of a flow without an
// owner starts another search.
func (d *Director) dropUnverified(u *unverifiedReset) {
	if u.event != OwnerNotFound {
		return
	}
	u.rec.unverified, u.rec.inconclusive = nil, true
	d.port.RecordDecision(Decision{Event: OwnerUncertain, Flow: u.header.Flow})
}

// waitsForReset reports whether a packet is of the flow whose reset waits.
func (r *flowRecord) waitsForReset(h segment.Header) bool {
	return r.unverified != nil && (!h.Has(segment.Ack) || near(h.Acknowledged, r.unverified.header.Acknowledged, confirmWindow))
}
