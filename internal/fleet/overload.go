package fleet

import "time"

const (
	// overloadLag is how long a packet may wait in the socket before the entry
	// counts as overloaded: half of the time after which a caller sends its
	// packet again, so that waiting makes no copies.
	overloadLag = 100 * time.Millisecond
	// relaxedLag is the wait below which the overload may be over.
	relaxedLag = 20 * time.Millisecond
	// overloadedLooks is how many observations in a row make an overload: a
	// burst that passes in less is better waited out, as flows that move to
	// another entry cost searches.
	overloadedLooks = 3
	// holdAtLeast and holdAtMost bound how long an overloaded entry stays out of
	// rotation. An entry without callers looks relaxed, so the time doubles with
	// each overload soon after the last. Instances were slow for 2 to 6 s on the
	// users' days.
	holdAtLeast = 4 * time.Second
	holdAtMost  = 16 * time.Second
	// relapseWithin is how soon after its return an overload is a relapse.
	relapseWithin = 3 * time.Second
)

// overload decides whether an entry is too slow for the packets that it gets,
// from how long packets wait in its socket. Its zero value is not overloaded.
type overload struct {
	on      bool
	looks   int           // observations in a row that show an overload
	hold    time.Duration // how long the last one lasted at least
	until   time.Duration // no change before
	endedAt time.Duration // 0 before the first
}

// observe takes in how long a packet has waited, and whether the other entries
// of the place are enough for the routers to send to them alone. It reports
// whether the decision has changed.
func (o *overload) observe(now, lag time.Duration, othersEnough bool) bool {
	if o.on {
		return o.mayEnd(now, lag, othersEnough)
	}
	if lag < overloadLag {
		o.looks = 0
		return false
	}
	o.looks++
	if o.looks < overloadedLooks || !othersEnough || now < o.until {
		return false
	}
	o.hold = max(holdAtLeast, min(2*o.hold, holdAtMost))
	if o.endedAt == 0 || now-o.endedAt >= relapseWithin {
		o.hold = holdAtLeast
	}
	o.on, o.until = true, now+o.hold
	return true
}

// mayEnd ends the overload after its time, or at once if the others have
// become too few. Then the next one has to wait, so that entries which leave
// at the same time do not return and leave in step.
func (o *overload) mayEnd(now, lag time.Duration, othersEnough bool) bool {
	if othersEnough && (now < o.until || lag > relaxedLag) {
		return false
	}
	o.on, o.looks, o.endedAt = false, 0, now
	return true
}
