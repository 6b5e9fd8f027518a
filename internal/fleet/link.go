package fleet

import (
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/route"
)

type (
	// linkUse is what an entry knows about the use of its link and decides from it.
	linkUse struct {
		link *capacity.Link
		// config is the configuration whose targets apply, and rotation decides whether the
		// entry is in rotation. Both are used by the tick task only.
		config   *route.Config
		rotation capacity.Rotation
		out      atomic.Bool // of rotation
		status   atomic.Pointer[rotationStatus]
	}

	// linkStatus describes a link and the rotation for operators.
	linkStatus struct {
		capacity.Status
		Rotation rotationStatus `json:"rotation"`
	}
)

// newLinkUse returns the use of a link with a capacity in bytes a second.
func newLinkUse(rate float64) *linkUse {
	u := &linkUse{link: capacity.New(rate)}
	u.status.Store(&rotationStatus{In: true, Reason: capacity.InRotation})
	return u
}

// checkLink measures the use of the link, and takes over the targets of a new
// configuration.
func (e *Entry) checkLink(now time.Duration) {
	if e.link == nil {
		return
	}
	e.link.link.Tick(now)
	if c := e.director.Config(); c != nil && c != e.link.config {
		e.link.config = c
		e.link.link.SetMaxDelay(capacity.MaxDelay(shortestTarget(c)))
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

// linkStatus returns the state of the link and the rotation for the metrics, nil if its rate is not given.
func (e *Entry) linkStatus() any {
	if e.link == nil {
		return nil
	}
	return linkStatus{Status: e.link.link.Status(), Rotation: *e.link.status.Load()}
}

// inRotation reports whether the entry's link is needed by its failure domain.
func (e *Entry) inRotation() bool { return e.link == nil || !e.link.out.Load() }
