package member

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/flow"
)

const (
	// HomesPerFlow is the number of first members that know where a flow is:
	// the home, and the member that becomes home when the home is lost.
	HomesPerFlow = 2
	// searchedHomes is how many members are asked under a view whose home is
	// gone: the owner of a flow is among the first of the view that it was
	// opened under.
	searchedHomes = 4

	// maxPastViews bounds the views in use. The oldest ones are kept: they are
	// the ones that every owner has registered under.
	maxPastViews = 64
)

type (
	// History holds the current view of a service and those that other nodes
	// may still use, or that owners may not have replaced in their
	// registrations. It is immutable.
	History struct {
		current *View
		past    []pastView
	}

	pastView struct {
		view     *View
		replaced time.Time
	}
)

// NewHistory returns a history that begins with view. A member that has just
// started passes itself as joined: for the other members the view without it
// is still in use.
func NewHistory(now time.Time, view *View, joined ID) *History {
	h := &History{current: view}
	if view.Find(joined) != nil {
		h.past = append(h.past, pastView{view: view.Without(joined), replaced: now})
	}
	return h
}

// Current returns the newest view.
func (h *History) Current() *View { return h.current }

// Settled reports whether no past view is in use any more.
func (h *History) Settled() bool { return len(h.past) == 0 }

// WithView returns the history with view as the newest.
func (h *History) WithView(now time.Time, view *View) *History {
	past := slices.Clone(h.past)
	if len(past) < maxPastViews {
		past = append(past, pastView{view: h.current, replaced: now})
	}
	return &History{current: view, past: past}
}

// CurrentSince reports whether the current view has been in force since the
// bound.
func (h *History) CurrentSince(bound time.Time) bool {
	return len(h.past) == 0 || h.past[len(h.past)-1].replaced.Before(bound)
}

// Settle returns the history without past views. Call it once every member
// has registered its flows under the current view.
func (h *History) Settle() *History { return &History{current: h.current} }

// IsHomeInAllViews reports whether id is the home of the flow in every view in use.
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

// SearchTargets appends to dst the members that may know of the flow: the home
// under every view in use and, where the home is gone, the next ones.
func (h *History) SearchTargets(d flow.Digest, gone func(ID) bool, dst []ID) []ID {
	dst = appendWitness(dst, h.current, d, gone)
	for i := range h.past {
		dst = appendWitness(dst, h.past[i].view, d, gone)
	}
	return dst
}

// Find returns the member in the newest view that has it, or nil.
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

func isHome(v *View, d flow.Digest, id ID) bool {
	var first [1]ID
	return v.Top(d, first[:]) == 1 && first[0] == id
}

func appendWitness(dst []ID, v *View, d flow.Digest, gone func(ID) bool) []ID {
	var top [searchedHomes]ID
	n := v.Top(d, top[:])
	if n > 0 && !gone(top[0]) {
		n = 1
	}
	for _, id := range top[:n] {
		if !slices.Contains(dst, id) {
			dst = append(dst, id)
		}
	}
	return dst
}
