package fleet

import "time"

const (
	// overloadThreshold is how long a packet may wait in the socket before the
	// entry counts as overloaded: half of the time after which a caller
	// retransmits its packet, so that the waiting causes no retransmissions.
	overloadThreshold = 100 * time.Millisecond
	// recoveryThreshold is the longest wait of a packet at which an overload may
	// end while enough other entries are ready; see tryEnd.
	recoveryThreshold = 20 * time.Millisecond
	// overloadSamples is how many samples in a row of at least overloadThreshold
	// make an overload. A shorter burst is not worth leaving rotation for, as flows
	// that move to another entry cost searches.
	overloadSamples = 3
	// minHold and maxHold bound the hold time: how long an overloaded entry stays
	// out of rotation at least, while enough other entries are ready. It stays out
	// longer while packets still wait. An entry without callers shows no load even
	// if it is still slow, so the hold time doubles with each relapse instead.
	minHold = 4 * time.Second
	maxHold = 16 * time.Second
	// relapseWindow is the time after the end of an overload within which the
	// next one is a relapse, for which the hold time doubles.
	relapseWindow = 3 * time.Second
)

// overloadDetector decides whether an entry is too slow for the packets that it
// receives, from how long packets wait in its socket. The zero value is not
// overloaded. Times are those of process.now.
type overloadDetector struct {
	active    bool
	samples   int           // consecutive samples of at least overloadThreshold
	hold      time.Duration // hold time of the current or last overload
	holdUntil time.Duration // end of the hold time; see tryEnd
	endedAt   time.Duration // end of the last overload; 0 before the first
}

// observe processes a sample: how long a packet has waited, and whether the
// other entries of the failure domain are enough for the routers to send to them alone.
// An overload begins after overloadSamples samples in a row of at least
// overloadThreshold, if there are enough others and the hold time of the last
// overload is over. observe reports whether the state has changed.
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

// tryEnd ends the overload once its hold time is over and packets wait at most
// recoveryThreshold, or at once if there are no longer enough other entries. In
// the latter case the next overload cannot begin before the hold time is over, so
// that entries which leave rotation at the same time do not return and leave in
// step. tryEnd reports whether it has ended the overload.
func (o *overloadDetector) tryEnd(now, lag time.Duration, enoughOthers bool) bool {
	if enoughOthers && (now < o.holdUntil || lag > recoveryThreshold) {
		return false
	}
	o.active, o.samples, o.endedAt = false, 0, now
	return true
}
