package admission

import (
	"math"
	"time"
)

// LimiterWindow is the time in which a Limiter bounds the openings: a second, and 50 ms
// more because an opening that was delayed on its way to the upstream arrives closer to
// the next ones.
const LimiterWindow = time.Second + 50*time.Millisecond

// Limiter bounds the openings that an upstream is offered in any second, by a sliding
// window. Its zero value has no limit.
type Limiter struct {
	limit  float64 // 0 for none
	offers []time.Duration
}

// SetLimit sets how many openings may be offered in any second, 0 for no limit. A limiter
// without a limit forgets the openings so far.
func (l *Limiter) SetLimit(perSecond float64) {
	l.limit = 0
	if perSecond > 0 {
		l.limit = min(perSecond, math.MaxInt32)
		return
	}
	l.offers = nil
}

// Limit returns how many openings may be offered in any second, 0 for no limit.
func (l *Limiter) Limit() float64 { return l.limit }

// Record records that an opening is offered. The times of the calls must not decrease.
func (l *Limiter) Record(now time.Duration) {
	if l.limit == 0 {
		return
	}
	l.expire(now)
	l.offers = append(l.offers, now)
}

// Used returns the number of openings in the window.
func (l *Limiter) Used(now time.Duration) int {
	l.expire(now)
	return len(l.offers)
}

// Wait returns the time until a further opening may be offered, 0 if it may be now.
func (l *Limiter) Wait(now time.Duration) time.Duration {
	if l.limit == 0 {
		return 0
	}
	l.expire(now)
	allowed := int(l.limit)
	switch {
	case len(l.offers) < allowed:
		return 0
	case allowed == 0:
		return LimiterWindow
	}
	return l.offers[len(l.offers)-allowed] + LimiterWindow - now
}

// expire drops the openings that have left the window.
func (l *Limiter) expire(now time.Duration) {
	for len(l.offers) > 0 && now-l.offers[0] >= LimiterWindow {
		l.offers = l.offers[1:]
	}
}
