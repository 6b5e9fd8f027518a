package fleet

import "time"

const (
	// leaveAfter is how long an entry that stops is not ready before it ends:
	// the routers ask twice a second and let go after two misses, and packets
	// still on their way take a few milliseconds.
	leaveAfter = 1300 * time.Millisecond
	// quietFor is the time without packets after which a stopping entry ends.
	quietFor = 300 * time.Millisecond
	// leaveMargin is kept of the grace time for the last messages, on an instance
	// that is five times slower than usual.
	leaveMargin = 1200 * time.Millisecond
	// noticed is how long the routers may take to see that an entry is ready:
	// they ask twice a second.
	noticed = 600 * time.Millisecond
	// absentFor is how long an entry that has gone is waited for: it needs 2.5 s
	// to stop, start and be ready.
	absentFor = 4 * time.Second
	// waitAtMost is how long an entry that was told to stop may stay ready. The
	// routers must have let go 4 s after that, which takes them up to 1 s.
	waitAtMost = 2 * time.Second
)

// neighbour is another entry of the same place.
type neighbour struct {
	heard      time.Duration
	ready      bool
	readySince time.Duration
}

// mayLeave decides whether an entry that has been told to stop may say that it
// is not ready. It waits while too many neighbours are away: with less than half
// of a place's entries ready the routers send to all of them, also to those that
// have ended. waited is the time since it was told to stop.
func mayLeave(now, waited time.Duration, neighbours []neighbour) bool {
	if waited >= waitAtMost {
		return true
	}
	ready, away := tally(now, neighbours)
	return away == 0 || enough(ready, away)
}

// enough reports whether the routers send to the ready neighbours alone if this
// entry is not ready: if they are half of the place's entries at least.
func enough(ready, away int) bool { return ready > 0 && 2*ready >= 1+ready+away }

// tally counts the neighbours that the routers send to, and those that may be
// back soon.
func tally(now time.Duration, neighbours []neighbour) (ready, away int) {
	for _, n := range neighbours {
		switch {
		case n.ready && now-n.heard <= entryLost && (n.readySince == 0 || now-n.readySince >= noticed):
			ready++
		case now-n.heard <= absentFor:
			away++
		}
	}
	return ready, away
}
