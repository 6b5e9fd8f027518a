package fleet

import (
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

// watchLoad takes the entry out of rotation while packets wait too long in its
// socket and others of its place can do the work.
func (e *Entry) watchLoad(now time.Duration) {
	lag, err := e.lag.send(now)
	if err != nil {
		e.log.Warn("lag not measured", daemon.Err(err))
		return
	}
	e.counts.measure("waiting-in-socket", lag)
	if lag >= reportEvery {
		e.director.MarkDelayed(now)
	}
	ready, away := tally(now, e.entries.neighbours(e.settings.Place))
	if !e.overload.observe(now, lag, enough(ready, away)) {
		return
	}
	e.overloaded.Store(e.overload.on)
	e.greet()
	if e.overload.on {
		e.log.Warn("overloaded, not ready", zap.Duration("lag", lag), zap.Int("ready-neighbours", ready), zap.Duration("at-least", e.overload.hold))
		return
	}
	e.log.Info("no longer overloaded", zap.Duration("lag", lag))
}
