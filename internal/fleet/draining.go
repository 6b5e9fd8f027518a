package fleet

import "time"

const (
	// minNotReady is the least time for which a stopping entry reports not ready
	// before it ends: the routers probe twice a second and stop sending after
	// two failed probes, and packets in flight take a few milliseconds. The
	// entry ends earlier if its grace time runs out, see graceMargin.
	minNotReady = 1300 * time.Millisecond
	// quietPeriod is the time without packets of callers after which a stopping
	// entry ends once minNotReady has passed.
	quietPeriod = 300 * time.Millisecond
	// graceMargin is the part of the grace time that is reserved for the last
	// messages, on an instance that is five times slower than usual.
	graceMargin = 1200 * time.Millisecond
	// readyDetectionTime is how long the routers may take to detect that an
	// entry is ready: they probe twice a second.
	readyDetectionTime = 600 * time.Millisecond
	// restartTimeout is how long after its last hello message a neighbour that
	// stopped is expected to return. An entry needs 2.5 s to stop, start and
	// become ready.
	restartTimeout = 4 * time.Second
	// maxReadyAfterStop is how long an entry may stay ready after it was told to
	// stop. The routers must have stopped sending to it 4 s after it was told,
	// and take up to 1 s to do so.
	maxReadyAfterStop = 2 * time.Second
)

// neighbour is the state of another entry of the same failure domain.
type neighbour struct {
	lastHello  time.Duration // 0 before the first
	ready      bool
	readySince time.Duration // when ready last became true; 0 if it never did
}

// mayTurnNotReady reports whether an entry that was told to stop may report not
// ready. It must wait, for at most maxReadyAfterStop, while too many neighbours are
// unavailable: with less than half of a domain's entries ready the routers send to
// all of them, including those that have ended. waited is the time since the entry
// was told to stop.
func mayTurnNotReady(now, waited time.Duration, neighbours []neighbour) bool {
	if waited >= maxReadyAfterStop {
		return true
	}
	ready, unavailable := countNeighbours(now, neighbours)
	return unavailable == 0 || enoughReady(ready, unavailable)
}

// enoughReady reports whether the routers send to the ready neighbours alone
// once this entry is not ready. They do if the ready ones are at least half of
// the domain's entries, this one included.
func enoughReady(ready, unavailable int) bool { return ready > 0 && 2*ready >= 1+ready+unavailable }

// countNeighbours counts the neighbours to which the routers send packets
// (alive, and ready for at least readyDetectionTime), and those others that sent
// a hello message within restartTimeout and so may become ready soon.
func countNeighbours(now time.Duration, neighbours []neighbour) (ready, unavailable int) {
	for _, n := range neighbours {
		switch {
		case n.ready && now-n.lastHello <= entryTimeout && (n.readySince == 0 || now-n.readySince >= readyDetectionTime):
			ready++
		case now-n.lastHello <= restartTimeout:
			unavailable++
		}
	}
	return ready, unavailable
}
