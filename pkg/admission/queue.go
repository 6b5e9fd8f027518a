package admission

import (
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
		max     int
		waiting []entry[T] // in order of arrival
	}

	entry[T any] struct {
		terms Terms
		value T
	}
)

// NewQueue returns an empty queue for up to max openings.
func NewQueue[T any](max int) *Queue[T] { return &Queue[T]{max: max} }

// Len returns the number of waiting openings.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add adds an opening. It reports false if the queue is full.
func (q *Queue[T]) Add(value T, terms Terms) bool {
	if len(q.waiting) >= q.max {
		return false
	}
	q.waiting = append(q.waiting, entry[T]{terms: terms, value: value})
	return true
}

// Contains reports whether match returns true for a waiting opening.
func (q *Queue[T]) Contains(match func(T) bool) bool {
	return slices.ContainsFunc(q.waiting, func(e entry[T]) bool { return match(e.value) })
}

// Next removes and returns the next opening, and false if there is none.
func (q *Queue[T]) Next() (value T, ok bool) {
	if len(q.waiting) == 0 {
		return value, false
	}
	next := len(q.waiting) - 1
	for i := next - 1; i >= 0; i-- {
		if q.waiting[i].terms.Priority < q.waiting[next].terms.Priority {
			next = i
		}
	}
	value = q.waiting[next].value
	q.waiting = slices.Delete(q.waiting, next, next+1)
	return value, true
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
