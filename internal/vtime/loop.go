// Package vtime is an event loop for discrete-event simulations: it runs
// scheduled functions in virtual time, in one goroutine.
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
	// Loop runs scheduled events in the order of their times. Events at the same
	// time run in the order in which they were scheduled. The methods of a Loop
	// must not be called concurrently.
	Loop struct {
		now    time.Time
		events eventQueue
		last   uint64 // order of the event that was scheduled last
	}

	event struct {
		at    time.Time
		order uint64 // of scheduling; breaks ties between equal times
		run   func()
	}

	eventQueue []event
)

// New returns a loop without events whose clock is at start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time: that of the running event or, outside of
// RunUntil, the end of the last RunUntil (initially the start).
func (l *Loop) Now() time.Time { return l.now }

// After schedules f to run once after the delay.
func (l *Loop) After(delay time.Duration, f func()) {
	l.last++
	heap.Push(&l.events, event{at: l.now.Add(delay), order: l.last, run: f})
}

// Every schedules f to run after the duration first and then at each interval,
// until f returns false.
func (l *Loop) Every(first, interval time.Duration, f func() bool) {
	l.After(first, func() {
		if f() {
			l.Every(interval, interval, f)
		}
	})
}

// RunUntil runs all events up to and including the time end, and sets the clock
// to end.
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
