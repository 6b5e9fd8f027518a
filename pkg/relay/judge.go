package relay

import "time"

const (
	// judgedOutcomes is how many of the last requests the verdict on an
	// upstream rests on: those of 0.3 s on the users' busy days.
	judgedOutcomes = 20
	// failingOutcomes is how many of them must have failed. An upstream that is
	// merely overloaded reset 3 in 100.
	failingOutcomes = 4
	// ejectAtLeast and ejectAtMost bound how long a failing upstream gets no
	// new flows; the time doubles with each verdict soon after the last.
	// Upstreams that failed by turns did so for 1 to 2 s.
	ejectAtLeast = time.Second
	ejectAtMost  = 8 * time.Second
	// trialEvery is the interval of the new flows that an upstream gets on
	// trial, and trialSuccesses how many answers in a row end it.
	trialEvery     = 200 * time.Millisecond
	trialSuccesses = 5
	// steadyAfter is how long an upstream must serve for an earlier verdict to
	// be forgotten.
	steadyAfter = 15 * time.Second
)

const (
	serving standing = iota
	ejected
	onTrial
)

type (
	// standing is what a judge makes of an upstream.
	standing uint8

	// judge watches how an upstream's requests end: answered, or reset by the
	// upstream itself. An upstream that fails fast has the fewest flows and
	// nothing running, so without a judge it would be offered most new flows.
	judge struct {
		standing standing
		ring     [judgedOutcomes]bool // true: failed
		next     int
		failures int // in ring
		inARow   int // successes
		hold     time.Duration
		since    time.Duration // of the standing
		trialAt  time.Duration // of the last new flow on trial
	}
)

// succeeded takes in an answer.
func (j *judge) succeeded(now time.Duration) {
	j.note(false)
	j.inARow++
	if j.standing == onTrial && j.inARow >= trialSuccesses {
		j.become(now, serving)
	}
}

// failed takes in a request or a flow that the upstream has reset. It reports
// whether the upstream is ejected for it.
func (j *judge) failed(now time.Duration) bool {
	j.note(true)
	j.inARow = 0
	switch {
	case j.standing == ejected:
		return false
	case j.standing == serving && j.failures < failingOutcomes:
		return false
	case j.standing == serving && now-j.since > steadyAfter:
		j.hold = 0
	}
	j.hold = max(ejectAtLeast, min(2*j.hold, ejectAtMost))
	j.become(now, ejected)
	return true
}

// restarted takes in that the upstream has started anew unasked: it may do so
// again, and take the requests of its new flows with it.
func (j *judge) restarted(now time.Duration) { j.become(now, onTrial) }

// takes reports whether the upstream may be offered a new flow.
func (j *judge) takes(now time.Duration) bool {
	if j.standing == ejected && now-j.since >= j.hold {
		j.become(now, onTrial)
	}
	switch j.standing {
	case ejected:
		return false
	case onTrial:
		if j.trialAt > 0 && now-j.trialAt < trialEvery {
			return false
		}
		j.trialAt = now
	}
	return true
}

// failing reports whether others should be preferred to the upstream.
func (j *judge) failing(now time.Duration) bool {
	return j.standing == ejected && now-j.since < j.hold
}

func (j *judge) become(now time.Duration, s standing) {
	j.standing, j.since, j.trialAt, j.inARow = s, now, 0, 0
	if s != ejected {
		j.ring, j.failures = [judgedOutcomes]bool{}, 0
	}
}

func (j *judge) note(failed bool) {
	if j.ring[j.next] {
		j.failures--
	}
	j.ring[j.next] = failed
	j.next = (j.next + 1) % judgedOutcomes
	if failed {
		j.failures++
	}
}
