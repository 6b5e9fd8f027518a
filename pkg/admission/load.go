// Package admission decides, beside an upstream, how many requests the upstream is
// given at a time, and in which order the openings of flows that wait for it follow.
//
// An upstream serves as many requests at once as it has slots and queues the others,
// first come, first served, until it sheds them. What waits beside it instead can still
// be put in order, be offered elsewhere, or be refused. So the upstream is given just
// enough requests to keep its slots busy.
//
// # Usage
//
//	var load admission.Load
//	load.SetSlots(now, 3)
//	if load.HasRoom(now) {
//		opening := load.Open(now, priority) // the flow is offered to the upstream
//		load.Begin(now, opening, priority)  // its first request has arrived
//		load.End(now, priority, answered)
//	}
//
//	queue := admission.NewQueue[string](256)
//	queue.Add("a", admission.Terms{Until: now + 500*time.Millisecond})
//	next, ok := queue.Next()
//
// Times count from a fixed point, such as the start of the process. The types are not
// safe for concurrent use.
package admission

import (
	"math"
	"time"
)

const (
	// initialRequestDelay is the assumed time from the offer of a flow to its first
	// request until one has been observed.
	initialRequestDelay = 50 * time.Millisecond
	// maxRequestDelay bounds the observed one: a caller retransmits after that time.
	maxRequestDelay = 200 * time.Millisecond
	// delayGain, varianceGain and varianceWeight are those of the retransmission
	// timeout of TCP (RFC 6298).
	delayGain      = 1.0 / 8
	varianceGain   = 1.0 / 4
	varianceWeight = 4

	// answerDecay is the factor by which an answer counts less with each further one
	// in the observed service time, which then covers the last 30 answers or so.
	answerDecay = 0.97
	// minLookahead is how many requests more than it has slots an upstream may be
	// given, so that a slot is not idle until the next request is offered.
	minLookahead = 1
	// maxLookaheadPerSlot bounds the lookahead: upstreams queue few requests.
	maxLookaheadPerSlot = 2
)

type (
	// Load tracks the requests of one upstream. Until SetSlots, the number of slots is
	// not known: the load then limits nothing, and counts as having one slot.
	Load struct {
		slots    int
		running  int        // requests without an answer
		openings []*Opening // in order of time; some have ended
		expected int        // openings that have not ended
		// busyBy counts running and expected requests by the priority of their routes.
		busyBy map[uint8]int
		opened map[uint8]bool // priorities of the flows that have been offered so far

		delay    time.Duration // smoothed time from an opening to its request; 0 before the first
		variance time.Duration // smoothed deviation from delay

		changedAt time.Duration // when running or slots last changed
		busy      float64       // time of busy slots in seconds, decayed with each answer
		answers   float64       // number of answers, decayed in the same way
	}

	// Opening is a flow that was offered to the upstream and whose first request is
	// expected.
	Opening struct {
		at       time.Duration
		priority uint8
		ended    bool
	}
)

// SetSlots sets how many requests the upstream serves at once.
func (l *Load) SetSlots(now time.Duration, slots int) {
	l.advance(now)
	l.slots = slots
}

// Slots returns how many requests the upstream serves at once, at least 1.
func (l *Load) Slots() int { return max(1, l.slots) }

// Running returns the number of requests without an answer.
func (l *Load) Running() int { return l.running }

// Busy returns the number of requests that run or are expected at once: callers open a
// flow when they have a request.
func (l *Load) Busy(now time.Duration) int {
	l.expire(now)
	return l.running + l.expected
}

// HasFreeSlot reports whether a further request would be served at once.
func (l *Load) HasFreeSlot(now time.Duration) bool { return l.Busy(now) < l.Slots() }

// HasRoom reports whether the upstream should be given a further request.
func (l *Load) HasRoom(now time.Duration) bool {
	if l.slots == 0 {
		return true
	}
	return l.Busy(now) < l.Slots()+l.lookahead()
}

// HasRoomFor reports whether the upstream should be given a further request of a route
// with the priority. Less urgent requests do not count: most of them arrive on open flows
// and pass the queue, so that urgent openings would wait for room that is never left.
func (l *Load) HasRoomFor(now time.Duration, priority uint8) bool {
	return l.HasRoom(now) || l.busyUpTo(now, priority) < l.Slots()+l.lookahead()
}

// Mixed reports whether flows of routes with different priorities have been offered.
func (l *Load) Mixed() bool { return len(l.opened) > 1 }

// Open records that a flow of a route with the priority is offered to the upstream.
func (l *Load) Open(now time.Duration, priority uint8) *Opening {
	if l.opened == nil {
		l.opened = make(map[uint8]bool)
	}
	l.opened[priority] = true
	o := &Opening{at: now, priority: priority}
	l.openings = append(l.openings, o)
	l.expected++
	l.count(priority, 1)
	return o
}

// Cancel records that no request of the opening is expected any more. It does nothing
// for nil or if one has begun.
func (l *Load) Cancel(o *Opening) {
	if o != nil && !o.ended {
		o.ended = true
		l.expected--
		l.count(o.priority, -1)
	}
}

// Begin records a request of a route with the priority. o is the opening of its flow if
// it is the first one, else nil.
func (l *Load) Begin(now time.Duration, o *Opening, priority uint8) {
	if o != nil && !o.ended {
		l.observeDelay(now - o.at)
	}
	l.Cancel(o)
	l.advance(now)
	l.running++
	l.count(priority, 1)
}

// End records that a request of a route with the priority was answered, or that no answer
// is expected any more.
func (l *Load) End(now time.Duration, priority uint8, answered bool) {
	l.advance(now)
	l.running--
	l.count(priority, -1)
	if answered {
		l.busy *= answerDecay
		l.answers = l.answers*answerDecay + 1
	}
}

// ServiceTime returns the observed mean time for which a request occupies a slot, 0
// before the first answer. It is the time of busy slots per answer, so that waiting in
// the upstream's queue does not count.
func (l *Load) ServiceTime() time.Duration {
	if l.answers == 0 {
		return 0
	}
	return time.Duration(l.busy / l.answers * float64(time.Second))
}

// WaitFor returns the estimated time until the upstream has room for the nth further
// request of a route with the priority, 0 if it is not known: before the first answer,
// and while the number of slots is not known. Requests that arrive meanwhile are left
// out, so that the time is rather too short than too long.
func (l *Load) WaitFor(now time.Duration, priority uint8, n int) time.Duration {
	if l.slots == 0 || l.answers == 0 {
		return 0
	}
	// The requests in slots count as half answered, as their time so far does. Else the
	// first answers would make the service time look far too long.
	service := l.busy / (l.answers + float64(min(l.running, l.slots))/2)
	ends := l.busyUpTo(now, priority) + n - l.slots - l.lookahead()
	return time.Duration(float64(max(0, ends)) * service / float64(l.slots) * float64(time.Second))
}

// busyUpTo returns the number of requests of the priority, or more urgent ones, that run
// or are expected at once.
func (l *Load) busyUpTo(now time.Duration, priority uint8) int {
	l.expire(now)
	busy := 0
	for p, n := range l.busyBy {
		if p <= priority {
			busy += n
		}
	}
	return busy
}

// count adds n to the requests of the priority that run or are expected.
func (l *Load) count(priority uint8, n int) {
	if l.busyBy == nil {
		l.busyBy = make(map[uint8]int)
	}
	l.busyBy[priority] += n
}

// lookahead returns how many requests more than it has slots the upstream is given: as
// many as its slots answer until a further opening brings its request.
func (l *Load) lookahead() int {
	service := l.ServiceTime()
	if service == 0 {
		return minLookahead
	}
	inTransit := math.Ceil(float64(l.Slots()) * float64(l.delay) / float64(service))
	return min(minLookahead+int(inTransit), maxLookaheadPerSlot*l.Slots())
}

// expire ends the openings whose callers have likely given up.
func (l *Load) expire(now time.Duration) {
	timeout := l.requestTimeout()
	for len(l.openings) > 0 && (l.openings[0].ended || now-l.openings[0].at > timeout) {
		l.Cancel(l.openings[0])
		l.openings = l.openings[1:]
	}
}

// requestTimeout returns how long after its opening a request is expected.
func (l *Load) requestTimeout() time.Duration {
	if l.delay == 0 {
		return initialRequestDelay
	}
	return min(l.delay+varianceWeight*l.variance, maxRequestDelay)
}

// observeDelay updates the smoothed delay and its variance.
func (l *Load) observeDelay(d time.Duration) {
	if l.delay == 0 {
		l.delay, l.variance = d, d/2
		return
	}
	l.variance += time.Duration(varianceGain * float64((d-l.delay).Abs()-l.variance))
	l.delay += time.Duration(delayGain * float64(d-l.delay))
}

// advance adds the time of busy slots since the last change.
func (l *Load) advance(now time.Duration) {
	l.busy += float64(min(l.running, l.Slots())) * (now - l.changedAt).Seconds()
	l.changedAt = now
}
