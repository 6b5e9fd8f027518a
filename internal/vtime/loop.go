// Package vtime runs events in virtual time, in one goroutine.
//
// # Usage
//
//	loop := vtime.New(start)
//	loop.After(time.Second, func() { ... })
//	loop.RunUntil(start.Add(time.Minute))
package vtime

import (
	"container/heap"
	"time"
)

type (
	// Loop runs events in the order of their times.
	Loop struct {
		now    time.Time
		events eventQueue
		next   uint64
	}

	event struct {
		at    time.Time
		order uint64
		run   func()
	}

	eventQueue []event
)

// New returns a loop whose clock stands at start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the time of the event that runs, or at which the loop stands.
func (l *Loop) Now() time.Time { return l.now }

// After runs f when the delay is over.
func (l *Loop) After(delay time.Duration, f func()) {
	l.next++
	heap.Push(&l.events, event{at: l.now.Add(delay), order: l.next, run: f})
}

// Every runs f at each interval until it returns false.
func (l *Loop) Every(first, interval time.Duration, f func() bool) {
	l.After(first, func() {
		if f() {
			l.Every(interval, interval, f)
		}
	})
}

// RunUntil runs all events up to and including the given time.
func (l *Loop) RunUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
