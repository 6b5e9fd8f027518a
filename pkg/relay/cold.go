package relay

import (
	"cmp"
	"slices"
	"time"

	"hickoryhook.example/pkg/admission"
)

// agentRestartTime is the least time from the start of an upstream until its agent has
// offered it openings, was killed and runs again: an upstream that started less than that
// before this agent has had no openings from an earlier one.
const agentRestartTime = 100 * time.Millisecond

// coldState bounds the openings that the upstream is offered while it is cold.
type coldState struct {
	until time.Duration
	// unconfirmed means that the upstream counts as cold until its next heartbeat.
	unconfirmed    bool
	overage, slack float64
	limiter        admission.Limiter
	startedAt      time.Duration // of this agent's process
	// onlyAgent means that no earlier process of this agent has offered openings to this
	// start of the upstream.
	onlyAgent bool
	passedOn  int // openings that were not offered for lack of budget
}

// WithColdBounds sets how many openings a cold upstream may be offered in any second: the
// rate of SetColdLimit times overage, plus slack. The default is the rate itself, and so is
// an overage of 0 with a slack of 0.
func WithColdBounds(overage, slack float64) Option {
	return func(r *Relay) { r.cold.overage, r.cold.slack = overage, slack }
}

// WithStart sets when the agent's process started, 0 unless it is set. An earlier process
// may have offered openings in the second before.
func WithStart(at time.Duration) Option { return func(r *Relay) { r.cold.startedAt = at } }

// SetColdLimit sets how many openings a second the upstream bears while it is cold, 0 for
// no limit.
func (r *Relay) SetColdLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := 0.0
	if perSecond > 0 {
		limit = perSecond*r.cold.overage + r.cold.slack
		if r.cold.overage == 0 && r.cold.slack == 0 {
			limit = perSecond
		}
	}
	unlimited := r.cold.limiter.Limit() == 0
	r.cold.limiter.SetLimit(limit)
	if unlimited && limit > 0 {
		r.recordEarlierOffers()
	}
}

// recordEarlierOffers counts the openings that were offered before there was a limit: an
// agent that has just started gets openings before it knows the rate.
func (r *Relay) recordEarlierOffers() {
	var openings []*admission.Opening
	for _, s := range r.flows {
		if s.opening != nil {
			openings = append(openings, s.opening)
		}
	}
	slices.SortFunc(openings, func(a, b *admission.Opening) int { return cmp.Compare(a.At(), b.At()) })
	for _, o := range openings {
		r.cold.limiter.Record(o.At())
	}
}

// isCold reports whether the upstream is in its warm-up or may be.
func (r *Relay) isCold(now time.Duration) bool { return r.cold.unconfirmed || now < r.coldUntil(now) }

// coldUntil returns the end of the warm-up that the present start reports, or another one that may run.
func (r *Relay) coldUntil(now time.Duration) time.Duration {
	return max(r.cold.until, r.starts.coldUntil(now))
}

// coldLimited reports whether openings need budget.
func (r *Relay) coldLimited(now time.Duration) bool {
	return r.cold.limiter.Limit() > 0 && r.isCold(now)
}

// coldWait returns the time until the upstream may be offered a further opening, 0 if it
// may be now.
func (r *Relay) coldWait(now time.Duration) time.Duration {
	if !r.coldLimited(now) {
		return 0
	}
	wait := r.cold.limiter.Wait(now)
	if !r.cold.onlyAgent { // an earlier process may have used the budget just before it ended
		wait = max(wait, r.cold.startedAt+admission.LimiterWindow-now)
	}
	return wait
}

// retryOffer reports whether a copy of an opening that the upstream has not accepted may be
// sent to it, and counts the copy: the upstream may have lost the first one, and a copy is
// then the opening that it takes.
func (r *Relay) retryOffer(now time.Duration) bool {
	if r.coldWait(now) > 0 {
		return false
	}
	r.cold.limiter.Record(now)
	return true
}

// recordWarmUp takes over what a heartbeat says on the warm-up of the upstream. restarted
// means that an earlier start of the upstream was known to this agent.
func (r *Relay) recordWarmUp(now time.Duration, u Upstream, restarted bool) {
	r.cold.until, r.cold.unconfirmed = now+u.ColdFor, false
	if restarted || u.Age > 0 && now-u.Age >= r.cold.startedAt-agentRestartTime {
		r.cold.onlyAgent = true
	}
}

// countPassedOn counts an opening that is passed on, if that is for lack of budget: wait is
// the time until it returns.
func (r *Relay) countPassedOn(wait time.Duration) {
	if wait > 0 {
		r.cold.passedOn++
	}
}
