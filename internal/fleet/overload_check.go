package fleet

import (
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
)

// checkOverload measures the lag and takes the entry out of rotation while
// packets wait too long in its socket and the other entries of its failure domain are
// enough to serve the callers. If the lag reaches reportInterval, reports of
// agents may wait unread, too, and the director must not treat silent agents as
// failed. If the probe of the lag cannot be sent, nothing changes.
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
	ready, unavailable := countNeighbours(now, e.entries.neighbours(e.settings.FailureDomain))
	if !e.overload.observe(now, lag, enoughReady(ready, unavailable)) {
		return
	}
	e.overloaded.Store(e.overload.active)
	e.sendHello()
	if e.overload.active {
		e.log.Warn("overloaded, not ready", zap.Duration("lag", lag), zap.Int("ready-neighbours", ready), zap.Duration("at-least", e.overload.hold))
		return
	}
	e.log.Info("no longer overloaded", zap.Duration("lag", lag))
}
