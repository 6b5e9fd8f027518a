package relay

import (
	"math"
	"net/netip"
	"time"
)

const (
	// suddenFactor is how many times faster than usual an answer must be to count as sudden.
	// The times of real work on one route differ by less as a rule.
	suddenFactor = 4
	// suddenAnswers is how many sudden answers in a row show that the upstream answers
	// without doing the work. Before that, they may be cheap requests.
	suddenAnswers = 10
	// minAnswers is how many answers of a route must be known before any counts as sudden.
	minAnswers = 50
	// answerMemory is the number of answers over which the usual time is averaged: after some
	// hundreds of faster answers, these are usual. It must outlast a fault of some seconds.
	answerMemory = 500
	// maxAnswerRoutes bounds the routes whose times are kept.
	maxAnswerRoutes = 64
)

type (
	// answerTimes detects an upstream that answers each request at once, as one does that
	// rejects all of them while its health check succeeds. Answers are not read; the time that
	// they take is compared with that of earlier ones of the same route. Such an upstream looks
	// idle, so that it would be offered more new flows than any other.
	answerTimes struct {
		routes map[netip.AddrPort]*answerTime
		sudden int // sudden answers in a row
	}

	// answerTime is the usual time of the answers of one route.
	answerTime struct {
		count   int
		meanLog float64 // mean logarithm of the time in seconds, so that a few long ones weigh little
	}
)

// record adds the time of an answer, and reports whether the answer counts as a failure: it is
// one of at least suddenAnswers in a row that came much sooner than usual.
func (a *answerTimes) record(vip netip.AddrPort, elapsed time.Duration) (failed bool) {
	t := a.routes[vip]
	if t == nil {
		if len(a.routes) >= maxAnswerRoutes {
			return false
		}
		if a.routes == nil {
			a.routes = make(map[netip.AddrPort]*answerTime)
		}
		t = &answerTime{}
		a.routes[vip] = t
	}
	seconds := math.Log(max(elapsed, time.Microsecond).Seconds())
	if t.count >= minAnswers && seconds < t.meanLog-math.Log(suddenFactor) {
		a.sudden++
	} else {
		a.sudden = 0
	}
	t.count++
	t.meanLog += (seconds - t.meanLog) / float64(min(t.count, answerMemory))
	return a.sudden >= suddenAnswers
}
