package relay

import "time"

const (
	// outcomeWindow is the number of most recent requests over which failures
	// are counted.
	outcomeWindow = 20
	// ejectionFailures is how many failures in the window eject an upstream. An
	// upstream that is merely overloaded resets 3 requests in 100.
	ejectionFailures = 4
	// minEjection and maxEjection bound how long an ejected upstream gets no
	// new flows except forced ones; the time doubles with each further ejection, see
	// backoffResetAfter.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// trialInterval is the interval between new flows of an upstream on trial,
	// and trialSuccesses how many consecutive answers end the trial.
	trialInterval  = 200 * time.Millisecond
	trialSuccesses = 5
	// backoffResetAfter is how long an upstream must serve after the trial that
	// follows an ejection for the next ejection to last minEjection again.
	backoffResetAfter = 15 * time.Second
)

const (
	serving healthState = iota
	ejected
	onTrial
)

type (
	// healthState determines which new flows an upstream gets: all (serving), none
	// (ejected), or one per trialInterval (onTrial). Forced openings are exempt.
	healthState uint8

	// outlierDetector ejects an upstream that resets too many requests. It
	// counts how requests end: answered, or reset by the upstream. Without it an
	// upstream that fails fast would be offered most new flows, as it has the
	// fewest flows and no running requests.
	outlierDetector struct {
		state                healthState
		outcomes             [outcomeWindow]bool // ring; true: failed
		next                 int                 // index in outcomes
		failures             int                 // in outcomes
		consecutiveSuccesses int
		ejectionTime         time.Duration // length of the last ejection
		stateSince           time.Duration
		lastTrialAt          time.Duration // of the last new flow on trial; 0 if none
	}
)

// recordSuccess records an answered request. On trial, trialSuccesses of them in a
// row end the trial.
func (d *outlierDetector) recordSuccess(now time.Duration) {
	d.recordOutcome(false)
	d.consecutiveSuccesses++
	if d.state == onTrial && d.consecutiveSuccesses >= trialSuccesses {
		d.setState(now, serving)
	}
}

// recordFailure records a request or a flow that the upstream reset, and reports
// whether it ejects the upstream. On trial, the first failure does.
func (d *outlierDetector) recordFailure(now time.Duration) bool {
	d.recordOutcome(true)
	d.consecutiveSuccesses = 0
	switch {
	case d.state == ejected:
		return false
	case d.state == serving && d.failures < ejectionFailures:
		return false
	case d.state == serving && now-d.stateSince > backoffResetAfter:
		d.ejectionTime = 0
	}
	d.ejectionTime = max(minEjection, min(2*d.ejectionTime, maxEjection))
	d.setState(now, ejected)
	return true
}

// recordRestart puts an upstream that has restarted on trial, also if it had
// deregistered: it may restart again, and the requests of its new flows would be lost.
func (d *outlierDetector) recordRestart(now time.Duration) { d.setState(now, onTrial) }

// allowFlow reports whether the upstream may be offered a new flow now. It puts
// an upstream whose ejection has expired on trial, and on trial it counts the
// flow as offered.
func (d *outlierDetector) allowFlow(now time.Duration) bool {
	if d.state == ejected && now-d.stateSince >= d.ejectionTime {
		d.setState(now, onTrial)
	}
	switch d.state {
	case ejected:
		return false
	case onTrial:
		if d.lastTrialAt > 0 && now-d.lastTrialAt < trialInterval {
			return false
		}
		d.lastTrialAt = now
	}
	return true
}

// isEjected reports whether the upstream is ejected and its ejection has not
// expired.
func (d *outlierDetector) isEjected(now time.Duration) bool {
	return d.state == ejected && now-d.stateSince < d.ejectionTime
}

// setState changes the state. It clears the outcomes unless the new state is
// ejected.
func (d *outlierDetector) setState(now time.Duration, s healthState) {
	d.state, d.stateSince, d.lastTrialAt, d.consecutiveSuccesses = s, now, 0, 0
	if s != ejected {
		d.outcomes, d.failures = [outcomeWindow]bool{}, 0
	}
}

// recordOutcome replaces the oldest outcome in the window.
func (d *outlierDetector) recordOutcome(failed bool) {
	if d.outcomes[d.next] {
		d.failures--
	}
	d.outcomes[d.next] = failed
	d.next = (d.next + 1) % outcomeWindow
	if failed {
		d.failures++
	}
}
