package admission

import (
	"math"
	"slices"
	"time"
)

type (
	// Terms are the conditions under which an opening waits.
	Terms struct {
		// Priority is that of its route: 0 comes first.
		Priority uint8
		// Until is when it is refused.
		Until time.Duration
	}

	// Queue holds the openings that wait for an upstream, each with a value of type T.
	// Urgent routes come first, and the newest within a priority: in an overload the
	// oldest would be answered late, and so would all others after it.
	Queue[T any] struct {
		max int
		options
		waiting []entry[T]    // in order of arrival
		passed  map[uint8]int // places that went to others while openings of the priority waited
	}

	// Option configures a Queue in NewQueue.
	Option func(*options)

	options struct {
		share    int
		displace bool
	}

	entry[T any] struct {
		terms Terms
		value T
	}
)

// WithShare gives each priority of which openings wait every nth place at least, so that
// more urgent ones cannot starve it. With 0, the default, the most urgent ones always
// come first.
func WithShare(n int) Option { return func(o *options) { o.share = n } }

// WithDisplacement sets whether an opening may displace a less urgent one from a full
// queue, as by default.
func WithDisplacement(on bool) Option { return func(o *options) { o.displace = on } }

// NewQueue returns an empty queue for up to max openings.
func NewQueue[T any](max int, opts ...Option) *Queue[T] {
	o := options{displace: true}
	for _, option := range opts {
		option(&o)
	}
	return &Queue[T]{max: max, options: o, passed: make(map[uint8]int)}
}

// Len returns the number of waiting openings.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add adds an opening. If the queue is full, the opening displaces the oldest of the
// least urgent ones, which Add returns. It reports false if none is less urgent than
// the opening.
func (q *Queue[T]) Add(value T, terms Terms) (displaced []T, ok bool) {
	if len(q.waiting) >= q.max {
		last := q.leastUrgent()
		if last < 0 || !q.displace || q.waiting[last].terms.Priority <= terms.Priority {
			return nil, false
		}
		displaced = []T{q.removeAt(last)}
	}
	q.waiting = append(q.waiting, entry[T]{terms: terms, value: value})
	return displaced, true
}

// leastUrgent returns the index of the oldest of the least urgent openings, -1 if none
// waits.
func (q *Queue[T]) leastUrgent() int {
	last := -1
	for i, e := range q.waiting {
		if last < 0 || e.terms.Priority > q.waiting[last].terms.Priority {
			last = i
		}
	}
	return last
}

// Contains reports whether match returns true for a waiting opening.
func (q *Queue[T]) Contains(match func(T) bool) bool {
	return slices.ContainsFunc(q.waiting, func(e entry[T]) bool { return match(e.value) })
}

// MostUrgent returns the priority of the most urgent opening, and false if none waits.
func (q *Queue[T]) MostUrgent() (priority uint8, ok bool) {
	priority = math.MaxUint8
	for _, e := range q.waiting {
		priority = min(priority, e.terms.Priority)
	}
	return priority, len(q.waiting) > 0
}

// Next removes and returns the opening that gets the next place, and false if there is
// none.
func (q *Queue[T]) Next() (value T, ok bool) {
	if len(q.waiting) == 0 {
		return value, false
	}
	next := len(q.waiting) - 1
	for i := next - 1; i >= 0; i-- {
		if q.comesBefore(q.waiting[i].terms.Priority, q.waiting[next].terms.Priority) {
			next = i
		}
	}
	q.countPlace(q.waiting[next].terms.Priority)
	return q.removeAt(next), true
}

// Pass counts a place for an opening that has not waited. It reports false, and counts
// nothing, if the place is due to the share of another priority.
func (q *Queue[T]) Pass(priority uint8) bool {
	for _, e := range q.waiting {
		if p := e.terms.Priority; p != priority && q.isDue(p) {
			return false
		}
	}
	q.countPlace(priority)
	return true
}

// comesBefore reports whether the next place goes to priority a rather than to b.
func (q *Queue[T]) comesBefore(a, b uint8) bool {
	if dueA, dueB := q.isDue(a), q.isDue(b); dueA != dueB {
		return dueA
	}
	return a < b
}

// isDue reports whether the next place is due to the share of the priority.
func (q *Queue[T]) isDue(priority uint8) bool {
	return q.share > 0 && q.passed[priority] >= q.share-1
}

// countPlace records that a priority gets the next place. Each other priority of which
// openings wait has been passed.
func (q *Queue[T]) countPlace(priority uint8) {
	counted := map[uint8]bool{priority: true}
	for _, e := range q.waiting {
		if p := e.terms.Priority; !counted[p] {
			counted[p] = true
			q.passed[p]++
		}
	}
	delete(q.passed, priority)
}

// removeAt removes and returns the opening at an index.
func (q *Queue[T]) removeAt(i int) T {
	value := q.waiting[i].value
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return value
}

// Unreachable removes and returns, in order of arrival, the openings that would get their
// places after their time has passed even if no others arrived. wait returns the
// estimated time until the nth place from now on of a priority, counting the places of
// more urgent ones.
func (q *Queue[T]) Unreachable(now time.Duration, wait func(priority uint8, n int) time.Duration) []T {
	counts := make(map[uint8]int)
	for _, e := range q.waiting {
		counts[e.terms.Priority]++
	}
	newer := make(map[uint8]int) // kept ones of the same priority
	unreachable := make([]bool, len(q.waiting))
	for i, e := range slices.Backward(q.waiting) {
		p := e.terms.Priority
		if now+wait(p, q.place(p, newer[p], counts)) > e.terms.Until {
			unreachable[i] = true
			continue
		}
		newer[p]++
	}
	i := -1
	return q.remove(func(Terms) bool { i++; return unreachable[i] })
}

// place returns how many places from now on it takes until the opening with the given
// number of newer ones of its priority has its own. counts holds the number of openings
// by priority.
func (q *Queue[T]) place(priority uint8, newer int, counts map[uint8]int) int {
	urgent := 0
	for p, n := range counts {
		if p < priority {
			urgent += n
		}
	}
	place := urgent + newer + 1
	if q.share > 0 && urgent > 0 {
		place = min(place, max(1, (newer+1)*q.share-q.passed[priority]))
	}
	return place
}

// Expired removes and returns the openings whose time has passed, in order of arrival.
func (q *Queue[T]) Expired(now time.Duration) []T {
	return q.remove(func(t Terms) bool { return now >= t.Until })
}

// Clear removes and returns all openings, in order of arrival.
func (q *Queue[T]) Clear() []T {
	return q.remove(func(Terms) bool { return true })
}

// remove removes and returns the openings for which match returns true.
func (q *Queue[T]) remove(match func(Terms) bool) []T {
	var out []T
	q.waiting = slices.DeleteFunc(q.waiting, func(e entry[T]) bool {
		if match(e.terms) {
			out = append(out, e.value)
			return true
		}
		return false
	})
	return out
}
