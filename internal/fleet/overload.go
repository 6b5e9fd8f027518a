package fleet

import "time"

const (
	// overloadThreshold is how long a packet may wait in the socket before the entry
	// counts as overloaded: half of the time after which a caller sends its
	// packet again, so that waiting makes no copies.
	overloadThreshold = 100 * time.Millisecond
	// recoveryThreshold is the wait below which the overload may be over.
	recoveryThreshold = 20 * time.Millisecond
	// overloadSamples is how many observations in a row make an overload: a
	// burst that passes in less is better waited out, as flows that move to
	// another entry cost searches.
	overloadSamples = 3
	// minHold and holdAtMost bound how long an overloaded entry stays out of
	// rotation. An entry without callers looks relaxed, so the time doubles with
	// each overload soon after the last. Instances were slow for 2 to 6 s on the
	// users' days.
	minHold = 4 * time.Second
	maxHold = 16 * time.Second
	// relapseWindow is how soon after its return an overload is a relapse.
	relapseWindow = 3 * time.Second
)

// overloadDetector decides whether an entry is too slow for the packets that it gets,
// from how long packets wait in its socket. Its zero value is not overloaded.
type overloadDetector struct {
	active    bool
	samples   int           // observations in a row that show an overload
	hold      time.Duration // how long the last one lasted at least
	holdUntil time.Duration // no change before
	endedAt   time.Duration // 0 before the first
}

// observe takes in how long a packet has waited, and whether the other entries
// of the place are enough for the routers to send to them alone. It reports
// whether the decision has changed.
func (o *overloadDetector) observe(now, lag time.Duration, enoughOthers bool) bool {
	if o.active {
		return o.tryEnd(now, lag, enoughOthers)
	}
	if lag < overloadThreshold {
		o.samples = 0
		return false
	}
	o.samples++
	if o.samples < overloadSamples || !enoughOthers || now < o.holdUntil {
		return false
	}
	o.hold = max(minHold, min(2*o.hold, maxHold))
	if o.endedAt == 0 || now-o.endedAt >= relapseWindow {
		o.hold = minHold
	}
	o.active, o.holdUntil = true, now+o.hold
	return true
}

// tryEnd ends the overload after its time, or at once if the others have
// become too few. Then the next one has to wait, so that entries which leave
// at the same time do not return and leave in step.
func (o *overloadDetector) tryEnd(now, lag time.Duration, enoughOthers bool) bool {
	if enoughOthers && (now < o.holdUntil || lag > recoveryThreshold) {
		return false
	}
	o.active, o.samples, o.endedAt = false, 0, now
	return true
}
