package fleetsim

import (
	"cmp"
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
	// needs no messages.
	Bound struct {
		// Answered is the number of requests that can be answered within their timeouts.
		Answered int
		// InAim is the number that can be answered within their targets, by another
		// schedule.
		InAim int
	}

	// job is a request that waits for the scheduler.
	job struct {
		request  *Request
		deadline time.Duration
	}
)

// NewBound returns the bound for the requests. Both numbers are those of the earliest
// deadline first, which drops requests that can no longer be answered in time. A
// request that must not be repeated is lost if it was sent on an open flow during an
// outage: its upstream has lost the flow.
func NewBound(requests []*Request, c Capacity) Bound {
	timeout := func(r *Request) time.Duration { return r.Kind.Timeout }
	target := func(r *Request) time.Duration { return r.Kind.Target }
	return Bound{Answered: c.answer(requests, timeout), InAim: c.answer(requests, target)}
}

// answer returns how many requests are answered within the time that limit returns.
func (c Capacity) answer(requests []*Request, limit func(*Request) time.Duration) int {
	free := make([]time.Duration, c.Slots) // when each slot is free
	var waiting []job
	answered, next := 0, 0
	now := time.Duration(0)
	for next < len(requests) || len(waiting) > 0 {
		slices.Sort(free)
		now = max(now, c.running(free[0]))
		if len(waiting) == 0 {
			now = max(now, c.running(requests[next].At))
		}
		for ; next < len(requests) && requests[next].At <= now; next++ {
			if r := requests[next]; !c.loses(r) {
				waiting = append(waiting, job{r, r.At + limit(r)})
			}
		}
		if len(waiting) == 0 {
			continue
		}
		slices.SortStableFunc(waiting, func(a, b job) int { return cmp.Compare(a.deadline, b.deadline) })
		end := now + time.Duration(float64(waiting[0].request.Work)*c.slowness(now))
		if outageEnd, ok := c.interrupted(now, end); ok {
			free[0] = outageEnd
			continue
		}
		if end <= waiting[0].deadline {
			free[0] = end
			answered++
		}
		waiting = waiting[1:]
	}
	return answered
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
