package fleet

import (
	"time"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/route"
)

// linkUse is an entry's link with the configuration whose targets apply to it.
type linkUse struct {
	*capacity.Link
	config *route.Config // used by the tick task only
}

// checkLink measures the use of the link, and takes over the targets of a new
// configuration.
func (e *Entry) checkLink(now time.Duration) {
	if e.link == nil {
		return
	}
	e.link.Tick(now)
	if c := e.director.Config(); c != nil && c != e.link.config {
		e.link.config = c
		e.link.SetMaxDelay(capacity.MaxDelay(shortestTarget(c)))
	}
}

// shortestTarget returns the shortest target of the routes, 0 if none has one.
func shortestTarget(c *route.Config) time.Duration {
	shortest := time.Duration(0)
	c.Each(func(r route.Route) {
		if r.Target > 0 && (shortest == 0 || r.Target < shortest) {
			shortest = r.Target
		}
	})
	return shortest
}

// linkStatus returns the state of the link for the metrics, nil if its rate is not given.
func (e *Entry) linkStatus() any {
	if e.link == nil {
		return nil
	}
	return e.link.Status()
}
