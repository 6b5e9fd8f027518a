package fleet

import (
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

// checkOverload takes the entry out of rotation while packets wait too long in its
// socket and others of its place can do the work.
func (e *Entry) checkOverload(now time.Duration) {
	lag, err := e.lagProbe.send(now)
	if err != nil {
		e.log.Warn("lag not measured", daemon.Err(err))
		return
	}
	e.metrics.recordLatency("waiting-in-socket", lag)
	if lag >= reportInterval {
		e.director.MarkDelayed(now)
	}
	ready, away := countNeighbours(now, e.entries.neighbours(e.settings.Place))
	if !e.overload.observe(now, lag, enoughReady(ready, away)) {
		return
	}
	e.overloaded.Store(e.overload.active)
	e.greet()
	if e.overload.active {
		e.log.Warn("overloaded, not ready", zap.Duration("lag", lag), zap.Int("ready-neighbours", ready), zap.Duration("at-least", e.overload.hold))
		return
	}
	e.log.Info("no longer overloaded", zap.Duration("lag", lag))
}
