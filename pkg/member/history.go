package member

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/flow"
)

const (
	// HomesPerFlow is the number of leading members in the order of a flow with
	// which its owner registers, as far as they rank ahead of the owner: the home,
	// and the member that becomes the home if the home fails.
	HomesPerFlow = 2
	// searchDepth is the number of leading members in the order of a flow under
	// a view that are searched if the flow's home is unavailable. The owner of a
	// flow is usually one of these members of the view under which it was opened.
	searchDepth = 4

	// maxPastViews limits the past views that are kept. At the limit the oldest
	// ones stay and newer ones are not added, because every owner has registered
	// its flows under the oldest ones.
	maxPastViews = 64
)

type (
	// History holds the current view of a service and the past views that other
	// nodes may still use, or under which owners registered flows that they may
	// not have registered again under the current view. It is immutable.
	History struct {
		current *View
		past    []pastView
	}

	// pastView is a view and the time at which a newer one replaced it.
	pastView struct {
		view       *View
		replacedAt time.Time
	}
)

// NewHistory returns a history that begins with view. A member that has just
// started passes its own ID as joined: the view without it becomes a past view,
// because the other members may still use that one. Others pass 0.
func NewHistory(now time.Time, view *View, joined ID) *History {
	h := &History{current: view}
	if view.Find(joined) != nil {
		h.past = append(h.past, pastView{view: view.Without(joined), replacedAt: now})
	}
	return h
}

// Current returns the newest view.
func (h *History) Current() *View { return h.current }

// Settled reports whether the current view is the only one in use.
func (h *History) Settled() bool { return len(h.past) == 0 }

// WithView returns a history in which view is the current view and the present
// one, replaced at now, is a past view unless maxPastViews are kept already.
func (h *History) WithView(now time.Time, view *View) *History {
	past := slices.Clone(h.past)
	if len(past) < maxPastViews {
		past = append(past, pastView{view: h.current, replacedAt: now})
	}
	return &History{current: view, past: past}
}

// CurrentSince reports whether the current view came into force before t. It is
// true if there are no past views. Once maxPastViews are kept, the time at which the
// last of them was replaced is used.
func (h *History) CurrentSince(t time.Time) bool {
	return len(h.past) == 0 || h.past[len(h.past)-1].replacedAt.Before(t)
}

// Settle returns a history without the past views. Call it once every member that is
// not leaving has registered its flows under the current view.
func (h *History) Settle() *History { return &History{current: h.current} }

// IsHomeInAllViews reports whether id is the home of the flow under the current
// and every past view.
func (h *History) IsHomeInAllViews(d flow.Digest, id ID) bool {
	if !isHome(h.current, d, id) {
		return false
	}
	for i := range h.past {
		if !isHome(h.past[i].view, d, id) {
			return false
		}
	}
	return true
}

// SearchTargets appends to dst the members that may own the flow or hold its
// registration: the home under each view in use and, if unavailable reports true for
// that home, the first searchDepth members in the flow's order under that view. IDs that
// dst already contains are not appended again.
func (h *History) SearchTargets(d flow.Digest, unavailable func(ID) bool, dst []ID) []ID {
	dst = appendSearchTargets(dst, h.current, d, unavailable)
	for i := range h.past {
		dst = appendSearchTargets(dst, h.past[i].view, d, unavailable)
	}
	return dst
}

// Find returns the member from the newest view that contains it, or nil.
func (h *History) Find(id ID) *Member {
	if m := h.current.Find(id); m != nil {
		return m
	}
	for i := len(h.past) - 1; i >= 0; i-- {
		if m := h.past[i].view.Find(id); m != nil {
			return m
		}
	}
	return nil
}

// isHome reports whether id is the first member in the order of the flow.
func isHome(v *View, d flow.Digest, id ID) bool {
	var home [1]ID
	return v.Top(d, home[:]) == 1 && home[0] == id
}

// appendSearchTargets appends the members of one view for SearchTargets.
func appendSearchTargets(dst []ID, v *View, d flow.Digest, unavailable func(ID) bool) []ID {
	var top [searchDepth]ID
	n := v.Top(d, top[:])
	if n > 0 && !unavailable(top[0]) {
		n = 1
	}
	for _, id := range top[:n] {
		if !slices.Contains(dst, id) {
			dst = append(dst, id)
		}
	}
	return dst
}
