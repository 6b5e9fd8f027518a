// Package evacuation holds which failure domains are evacuated, as far as a process knows.
//
// Operators request evacuations in the platform's store. Processes read the set of evacuated
// domains there, or learn it from each other. Sets are ordered by the era and the revision of
// the store at which they were read, whatever the order of their arrival.
//
// # Usage
//
//	tracker := evacuation.New()
//	change := tracker.HandleRead(startOfRead, era, revision, domains)
//	change = tracker.HandleMessage(now, message) // of another process
//	domains := tracker.InForce()
//	message, known := tracker.Message() // for other processes
//
// A Tracker has no clock; the times that are passed to it count from the start of the
// process. It is not safe for concurrent use.
package evacuation

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
)

const (
	// restoreHold is how long the set that was in force before a restore of the store
	// stays in force. Within that time operators write again what the restore has lost.
	restoreHold = 3 * time.Second
	// maxWithdrawn bounds how many domains whose evacuation has ended are remembered, in
	// case a restored store names them again. A site has a few.
	maxWithdrawn = 64
)

type (
	// Tracker holds the newest known set and derives from it the one in force.
	Tracker struct {
		known  bool
		newest set           // of the store
		since  time.Duration // when the first set of this era arrived
		// held is set until the era is known to be older than restoreHold. Until then the
		// store may be a copy that lacks what was written last, and the set in force
		// consists of previous, kept, and newest without withheld.
		held      bool
		previous  set      // in force before this era, empty if this process had none
		kept      []string // in force before this era according to other processes
		withheld  []string // in newest only because the store is an older copy
		withdrawn []string // domains whose evacuation has ended, the last one at the end
		inForce   []string
	}

	// set is a set of domains at a point in the history of the store.
	set struct {
		era      uint64
		revision uint64
		domains  []string // in alphabetical order
	}

	// Change is the difference between two sets in force.
	Change struct {
		Evacuated []string
		TakenBack []string
	}
)

// New returns a Tracker that knows no set.
func New() *Tracker { return &Tracker{} }

// Domains returns all domains of the change.
func (c Change) Domains() []string { return union(c.Evacuated, c.TakenBack) }

// HandleRead takes over the domains that a read of the store has returned. startedAt is the
// time at the start of the read. It returns the change of the set in force.
func (t *Tracker) HandleRead(startedAt time.Duration, era, revision uint64, domains []string) Change {
	isRecent := !t.known || era != t.newest.era || startedAt-t.since < restoreHold
	return t.HandleMessage(startedAt, peer.Evacuation{Era: era, Revision: revision, Domains: union(domains), Provisional: isRecent})
}

// HandleMessage takes over what another process knows. It returns the change of the set in
// force.
func (t *Tracker) HandleMessage(now time.Duration, m peer.Evacuation) Change {
	before := t.inForce
	received := set{era: m.Era, revision: m.Revision, domains: union(m.Domains)}
	switch {
	case !t.known || m.Era > t.newest.era:
		t.beginEra(now, received)
	case m.Era < t.newest.era:
		received.domains = union(difference(m.Domains, m.Withheld), m.Kept)
		t.handleEarlierEra(received)
	case received.isAfter(t.newest):
		t.handleLater(received)
	}
	if m.Era == t.newest.era {
		t.handleProvisional(m, !t.newest.isAfter(received))
	}
	t.inForce = t.derive()
	c := Change{Evacuated: difference(t.inForce, before), TakenBack: difference(before, t.inForce)}
	t.rememberWithdrawn(c.TakenBack)
	return c
}

// beginEra takes over the first set of an era.
func (t *Tracker) beginEra(now time.Duration, first set) {
	if t.known {
		t.previous = set{era: t.newest.era, revision: t.newest.revision, domains: t.inForce}
		t.withheld = intersection(t.withdrawn, first.domains)
	}
	t.known, t.newest, t.since, t.held, t.kept = true, first, now, true, nil
}

// handleLater takes over a later set of the same era. A domain that has left the set was
// withdrawn in this era, so that a hold no longer keeps it.
func (t *Tracker) handleLater(received set) {
	ended := difference(t.newest.domains, received.domains)
	t.newest = received
	t.withheld = intersection(t.withheld, received.domains)
	t.previous.domains = difference(t.previous.domains, ended)
	t.kept = difference(t.kept, ended)
}

// handleEarlierEra takes over a set from before the current era, while what was in force
// then matters, if it is newer than the known one.
func (t *Tracker) handleEarlierEra(received set) {
	if !t.held || !received.isAfter(t.previous) {
		return
	}
	ended := difference(t.previous.domains, received.domains)
	t.rememberWithdrawn(ended)
	t.withheld = union(t.withheld, intersection(ended, t.newest.domains))
	t.kept = difference(t.kept, ended)
	t.previous = received
}

// handleProvisional ends the hold if the sender knows that the era is older than restoreHold.
// Otherwise it takes over what the sender knows of the time before the era. isNewest is false
// for an older set than the known one: a domain that was withheld then may have been
// requested since.
func (t *Tracker) handleProvisional(m peer.Evacuation, isNewest bool) {
	switch {
	case !t.held:
	case !m.Provisional:
		t.held, t.previous, t.kept, t.withheld = false, set{}, nil, nil
	default:
		t.kept = union(t.kept, difference(m.Kept, t.withdrawn))
		if isNewest {
			t.withheld = union(t.withheld, intersection(m.Withheld, t.newest.domains))
		}
	}
}

// derive returns the set in force.
func (t *Tracker) derive() []string {
	if !t.held {
		return t.newest.domains
	}
	return union(t.previous.domains, t.kept, difference(t.newest.domains, t.withheld))
}

// rememberWithdrawn records the domains whose evacuation has ended, and removes those that
// are in force.
func (t *Tracker) rememberWithdrawn(ended []string) {
	t.withdrawn = append(difference(t.withdrawn, union(t.inForce, ended)), difference(ended, t.inForce)...)
	t.withdrawn = t.withdrawn[max(0, len(t.withdrawn)-maxWithdrawn):]
}

// Known reports whether any set has arrived.
func (t *Tracker) Known() bool { return t.known }

// InForce returns the domains in force, in alphabetical order. The caller must not change it.
func (t *Tracker) InForce() []string { return t.inForce }

// Message returns what other processes are told, and false if nothing is known.
func (t *Tracker) Message() (peer.Evacuation, bool) {
	m := peer.Evacuation{Era: t.newest.era, Revision: t.newest.revision, Domains: t.newest.domains}
	if t.held {
		m.Provisional = true
		m.Kept, m.Withheld = difference(t.inForce, t.newest.domains), difference(t.newest.domains, t.inForce)
	}
	return m, t.known
}

// isAfter reports whether s is of a later point in the history of the store than other.
func (s set) isAfter(other set) bool {
	return s.era > other.era || s.era == other.era && s.revision > other.revision
}

// union returns the elements of the lists, each once, in alphabetical order.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// intersection returns the elements of a that are in b.
func intersection(a, b []string) []string { return difference(a, difference(a, b)) }
