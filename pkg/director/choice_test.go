package director

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
)

// TestCostOrder covers which of two agents a new flow is offered to first.
func TestCostOrder(t *testing.T) {
	near := func(s peer.Status) *agent {
		s.FailureDomain = "a"
		if s.Slots == 0 {
			s.Slots = 3
		}
		return &agent{status: s}
	}
	far := func(s peer.Status) *agent {
		a := near(s)
		a.status.FailureDomain = "b"
		return a
	}
	for _, c := range []struct {
		name          string
		first, second *agent
	}{
		{"fewer running requests", near(peer.Status{Running: 1}), near(peer.Status{Running: 2})},
		{"more slots at the same load", near(peer.Status{Running: 2, Slots: 6}), near(peer.Status{Running: 2})},
		{"fewer flows in use", near(peer.Status{Flows: 5}), near(peer.Status{Flows: 9})},
		{"upstreams that have turned slow get fewer flows", near(peer.Status{Running: 3, ServiceTime: 22000}), near(peer.Status{Running: 2, ServiceTime: 110000})},
		{"a cold upstream gets its share only once it is as fast as the others", near(peer.Status{Running: 2, ServiceTime: 22000}), near(peer.Status{Running: 2, ServiceTime: 35000, ColdFor: 500})},
		{"a cold upstream without requests comes after an idle warm one", near(peer.Status{}), near(peer.Status{ColdFor: 2000})},
		{"the own failure domain at the same load", near(peer.Status{Running: 2}), far(peer.Status{Running: 2})},
		{"another failure domain if the own is much busier", far(peer.Status{Running: 1}), near(peer.Status{Running: 3})},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers()
			m.domain = "a"
			usual := usualServiceTime([]*agent{c.first, c.second})
			is.True(m.cost(time.Millisecond, c.first, usual) < m.cost(time.Millisecond, c.second, usual))
		})
	}
}
