package fleetsim

import (
	"slices"
	"time"
)

type (
	// Capacity is what the upstreams of a pattern can serve over time.
	Capacity struct {
		// Slots is the number of slots of all upstreams that may serve the requests.
		Slots int
		// Outages are the times in which no upstream runs, in order.
		Outages []Outage
		// Cold and ColdFactor describe the warm-up after an outage.
		Cold       time.Duration
		ColdFactor float64
	}

	// Outage is a time in which no upstream runs.
	Outage struct{ From, To time.Duration }

	// Bound is what a scheduler could serve that knows all arrivals and capacities and
	// needs no messages. Each number or pair is that of another schedule.
	Bound struct {
		// Answered is the number of requests that can be answered within their timeouts.
		Answered int
		// InAim is the number that can be answered within their targets.
		InAim int
		// InAimFirst counts the answers within the targets, and AnsweredThen all answers,
		// if requests that are late make no others late.
		InAimFirst, AnsweredThen int
	}

	// job is a request that waits for the scheduler.
	job struct {
		request  *Request
		target   time.Duration
		deadline time.Duration
	}
)

// NewBound returns the bound for the requests. The schedules take the earliest deadline
// first and drop requests that can no longer be answered in time. A request that must not
// be repeated is lost if it was sent on an open flow during an outage: its upstream has
// lost the flow.
func NewBound(requests []*Request, c Capacity) Bound {
	var b Bound
	b.Answered, _ = c.schedule(requests, byDeadline)
	b.AnsweredThen, b.InAimFirst = c.schedule(requests, inAimFirst)
	_, b.InAim = c.schedule(requests, inAimOnly)
	return b
}

// byDeadline, inAimFirst and inAimOnly return the time by which a waiting request is
// ordered: the lowest comes first. ok is false if the request is dropped instead. end is
// when it would be answered.

func byDeadline(j job, end time.Duration) (key time.Duration, ok bool) {
	return j.deadline, end <= j.deadline
}

func inAimOnly(j job, end time.Duration) (key time.Duration, ok bool) {
	return j.target, end <= j.target
}

func inAimFirst(j job, end time.Duration) (key time.Duration, ok bool) {
	if end <= j.target {
		return j.target, true
	}
	return j.deadline + lateRank, end <= j.deadline
}

// lateRank puts late requests behind all others. It exceeds the length of a simulation.
const lateRank = 1000 * time.Hour

// schedule returns how many requests are answered, and how many of these in aim.
func (c Capacity) schedule(requests []*Request, order func(j job, end time.Duration) (time.Duration, bool)) (answered, inAim int) {
	free := make([]time.Duration, c.Slots) // when each slot is free
	var waiting []job
	next := 0
	now := time.Duration(0)
	for next < len(requests) || len(waiting) > 0 {
		slices.Sort(free)
		now = max(now, c.running(free[0]))
		if len(waiting) == 0 {
			now = max(now, c.running(requests[next].At))
		}
		for ; next < len(requests) && requests[next].At <= now; next++ {
			if r := requests[next]; !c.loses(r) {
				waiting = append(waiting, job{r, r.At + r.Kind.Target, r.At + r.Kind.Timeout})
			}
		}
		best, bestKey := -1, time.Duration(0)
		kept := waiting[:0]
		for _, j := range waiting {
			key, ok := order(j, c.end(now, j))
			if !ok {
				continue
			}
			kept = append(kept, j)
			if best < 0 || key < bestKey {
				best, bestKey = len(kept)-1, key
			}
		}
		waiting = kept
		if best < 0 {
			continue
		}
		end := c.end(now, waiting[best])
		if outageEnd, ok := c.interrupted(now, end); ok {
			free[0] = outageEnd
			continue
		}
		free[0] = end
		answered++
		if end <= waiting[best].target {
			inAim++
		}
		waiting = slices.Delete(waiting, best, best+1)
	}
	return answered, inAim
}

// end returns when a request that starts now is answered.
func (c Capacity) end(now time.Duration, j job) time.Duration {
	return now + time.Duration(float64(j.request.Work)*c.slowness(now))
}

// running returns the first time from at on at which the upstreams run.
func (c Capacity) running(at time.Duration) time.Duration {
	for _, o := range c.Outages {
		if at >= o.From && at < o.To {
			return o.To
		}
	}
	return at
}

// interrupted reports whether an outage begins within the time, and when it ends.
func (c Capacity) interrupted(from, to time.Duration) (end time.Duration, ok bool) {
	for _, o := range c.Outages {
		if o.From > from && o.From < to {
			return o.To, true
		}
	}
	return 0, false
}

// loses reports whether no scheduler can have the request answered.
func (c Capacity) loses(r *Request) bool {
	return !r.Kind.Repeatable && r.OnOpenFlow &&
		slices.ContainsFunc(c.Outages, func(o Outage) bool { return r.At >= o.From && r.At < o.To })
}

// slowness returns the factor of the processing time of a request that starts at a time.
func (c Capacity) slowness(at time.Duration) float64 {
	for _, o := range c.Outages {
		if at >= o.To && at < o.To+c.Cold {
			return max(1, c.ColdFactor)
		}
	}
	return 1
}
