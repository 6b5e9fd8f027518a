package director

import (
	"slices"
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
		{"the own failure domain with more flows, while slots are free there", near(peer.Status{Flows: 19, Running: 1}), far(peer.Status{Flows: 14})},
		{"another failure domain with fewer flows, once the own slots are in use", far(peer.Status{Flows: 15, Running: 2}), near(peer.Status{Flows: 20, Running: 2})},
		{"another failure domain that has less than half of the flows", far(peer.Status{Flows: 8}), near(peer.Status{Flows: 20})},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers()
			m.domain = "a"
			agents := []*agent{c.second, c.first}
			m.sortByCost(time.Millisecond, agents, usualServiceTime(agents))
			is.Equal(agents[0], c.first)
		})
	}
}

// TestComparedAgents covers the candidates of a new flow at a deployment with many failure
// domains, in which few of the first agents in a flow's order would be of the own one, and
// at domains with fewer agents than are compared.
func TestComparedAgents(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains string // of the agents in rendezvous order; "a" is the entry's
		want    []int  // indexes of the compared agents
	}{
		{"own ones first", "bcabcaab", []int{2, 5, 6, 0, 1}},
		{"few own ones", "bcabcd", []int{2, 0, 1, 3, 4}},
		{"no own one", "bcbcbc", []int{0, 1, 2, 3, 4}},
		{"only own ones", "aaaaaa", []int{0, 1, 2, 3, 4}},
		{"fewer than compared", "ba", []int{1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers()
			m.domain = "a"
			var agents []*agent
			for _, domain := range c.domains {
				agents = append(agents, &agent{status: peer.Status{FailureDomain: string(domain)}})
			}
			var got []int
			for _, a := range m.compared(agents) {
				got = append(got, slices.Index(agents, a))
			}
			is.Equal(got, c.want)
		})
	}
}
