package fleet

import "time"

const (
	// minNotReady is how long an entry that stops is not ready before it ends:
	// the routers ask twice a second and let go after two misses, and packets
	// still on their way take a few milliseconds.
	minNotReady = 1300 * time.Millisecond
	// quietPeriod is the time without packets after which a stopping entry ends.
	quietPeriod = 300 * time.Millisecond
	// graceMargin is kept of the grace time for the last messages, on an instance
	// that is five times slower than usual.
	graceMargin = 1200 * time.Millisecond
	// readyDetectionTime is how long the routers may take to see that an entry is ready:
	// they ask twice a second.
	readyDetectionTime = 600 * time.Millisecond
	// restartTimeout is how long an entry that has gone is waited for: it needs 2.5 s
	// to stop, start and be ready.
	restartTimeout = 4 * time.Second
	// maxReadyAfterStop is how long an entry that was told to stop may stay ready. The
	// routers must have let go 4 s after that, which takes them up to 1 s.
	maxReadyAfterStop = 2 * time.Second
)

// neighbour is another entry of the same place.
type neighbour struct {
	lastGreeting time.Duration
	ready        bool
	readySince   time.Duration
}

// mayTurnNotReady decides whether an entry that has been told to stop may say that it
// is not ready. It waits while too many neighbours are away: with less than half
// of a place's entries ready the routers send to all of them, also to those that
// have ended. waited is the time since it was told to stop.
func mayTurnNotReady(now, waited time.Duration, neighbours []neighbour) bool {
	if waited >= maxReadyAfterStop {
		return true
	}
	ready, away := countNeighbours(now, neighbours)
	return away == 0 || enoughReady(ready, away)
}

// enoughReady reports whether the routers send to the ready neighbours alone if this
// entry is not ready: if they are half of the place's entries at least.
func enoughReady(ready, away int) bool { return ready > 0 && 2*ready >= 1+ready+away }

// countNeighbours counts the neighbours that the routers send to, and those that may be
// back soon.
func countNeighbours(now time.Duration, neighbours []neighbour) (ready, away int) {
	for _, n := range neighbours {
		switch {
		case n.ready && now-n.lastGreeting <= entryTimeout && (n.readySince == 0 || now-n.readySince >= readyDetectionTime):
			ready++
		case now-n.lastGreeting <= restartTimeout:
			away++
		}
	}
	return ready, away
}
