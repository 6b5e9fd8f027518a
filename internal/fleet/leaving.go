package fleet

import "time"

const (
	// leaveAfter is how long an entry that stops is not ready before it ends:
	// the routers ask twice a second and let go after two misses, and packets
	// still on their way take a few milliseconds.
	leaveAfter = 1300 * time.Millisecond
	// quietFor is the time without packets after which a stopping entry ends.
	quietFor = 300 * time.Millisecond
	// leaveMargin is kept of the grace time for the last messages.
	leaveMargin = 700 * time.Millisecond
	// noticed is how long the routers may take to see that an entry is ready:
	// they ask twice a second.
	noticed = 600 * time.Millisecond
	// absentFor is how long an entry that has gone is waited for: it needs 2.5 s
	// to stop, start and be ready.
	absentFor = 4 * time.Second
)

// neighbour is another entry of the same place.
type neighbour struct {
	heard      time.Duration
	ready      bool
	readySince time.Duration
}

// mayLeave decides whether an entry that has been told to stop may say that it
// is not ready. While a neighbour is away it waits: with less than half of a
// place's entries ready the routers send to all of them, also to those that
// have ended. waited is the time since it was told to stop.
func mayLeave(now, waited, grace time.Duration, neighbours []neighbour) bool {
	if waited >= grace-leaveAfter-quietFor-leaveMargin {
		return true
	}
	for _, n := range neighbours {
		away := !n.ready || now-n.heard > entryLost
		if away && now-n.heard <= absentFor {
			return false
		}
		if !away && n.readySince > 0 && now-n.readySince < noticed {
			return false
		}
	}
	return true
}
