// Package placement implements policies that choose which of a few candidate
// members opens a new flow.
//
// A policy implements Policy for any type of candidate that has a work and a
// capacity. With a sequential policy (Sequential returns true), the first
// datagram of the flow is sent from one candidate to the next, the flow's home first:
// each accepts the flow, or adds its load to the datagram and sends it on, and
// the last one chooses among all. The loads compared are then about as old as
// the flow's first packet. With any other policy the home chooses, by the
// latest load reports of the others.
//
// # Usage
//
//	policy, err := placement.New[placement.Estimate](placement.LeastWorkName)
//	if policy.Accepts(own) { ... }
//	chosen := policy.Pick(candidates, random)
//
// Policies are immutable and safe for concurrent use. The source of randomness
// is passed in; its concurrent use is the responsibility of the calling code.
package placement

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

type (
	// Candidate is a member that may open a flow.
	Candidate interface {
		// Work returns the outstanding work of the member per unit of its
		// capacity, in requests per slot of nominal speed.
		Work() float64
		// Capacity returns the capacity of the member in slots of nominal speed.
		Capacity() float64
	}

	// Random is a source of random numbers.
	Random interface {
		// IntN returns a random number in [0, n).
		IntN(n int) int
	}

	// Policy chooses one of the candidates.
	Policy[C Candidate] interface {
		// Name returns the name of the policy as used in settings and reports.
		Name() string
		// Sequential reports whether the flow is sent from one candidate to the next
		// until one accepts it.
		Sequential() bool
		// Accepts reports whether a candidate with load own accepts the flow
		// without comparison to the others. It is used by sequential policies.
		Accepts(own C) bool
		// Pick returns the index of the chosen candidate. candidates must not be
		// empty; the home is first unless it may not open the flow.
		Pick(candidates []C, random Random) int
	}

	// UnknownPolicyError is the error for a name that no policy has.
	UnknownPolicyError struct {
		name string
	}

	// policyFactory pairs the name of a policy with its constructor.
	policyFactory[C Candidate] struct {
		name string
		make func() Policy[C]
	}
)

// Error returns a message with the unknown name and the known ones.
func (e *UnknownPolicyError) Error() string {
	return "unknown placement policy " + e.name + ", want one of " + strings.Join(Names(), ", ")
}

// policyFactories returns the factories of all policies.
func policyFactories[C Candidate]() []policyFactory[C] {
	return []policyFactory[C]{
		{name: HashName, make: func() Policy[C] { return NewHash[C]() }},
		{name: RandomTwoName, make: func() Policy[C] { return NewRandomTwo[C]() }},
		{name: ThresholdName, make: func() Policy[C] { return NewThreshold[C](DefaultThreshold) }},
		{name: LeastWorkName, make: func() Policy[C] { return NewLeastWork[C]() }},
	}
}

// New returns the policy with the given name. The error wraps an
// UnknownPolicyError if there is none.
func New[C Candidate](name string) (Policy[C], error) {
	all := policyFactories[C]()
	i := slices.IndexFunc(all, func(f policyFactory[C]) bool { return f.name == name })
	if i < 0 {
		return nil, errors.Wrap(&UnknownPolicyError{name: name}, "placement")
	}
	return all[i].make(), nil
}

// Names returns the names of all policies.
func Names() []string {
	var names []string
	for _, f := range policyFactories[Estimate]() {
		names = append(names, f.name)
	}
	return names
}

// workAfter returns the work per unit of capacity that c has with one more request.
func workAfter[C Candidate](c C) float64 {
	return c.Work() + 1/max(c.Capacity(), minCapacity)
}
