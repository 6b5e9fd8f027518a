// Package member describes the members of a service (the endpoints that can serve
// it) and the views of the membership that nodes hold.
//
// A View is an immutable list of members that can be ordered for any flow. The
// first member in the order of a flow is its home. Nodes receive views at
// different times. A History keeps the past views that other nodes may still use,
// so that a node can determine which other members may own a flow or hold its
// registration.
//
// # Usage
//
//	a := member.New("a", addr, member.WithWeight(100), member.WithFailureDomain("north"))
//	view := member.NewView(service, 1, []member.Member{a})
//	var order [3]member.ID
//	n := view.Top(digest, order[:])
package member

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/rendezvous"
)

const (
	// Ready members receive new flows.
	Ready State = iota
	// Draining members keep their flows and receive no new flows.
	Draining
	// Suspect members have not responded recently. They stay in the order. Other
	// members send them no new flows, but they may open those of which they are the
	// home.
	Suspect
	// Leaving members must own no flows and are excluded from the order. They still
	// process searches for flows that other members own.
	Leaving

	// DefaultWeight is the weight of a member for which none is set.
	DefaultWeight = 100
)

type (
	// ID identifies a member. It is a hash of the member's name, so it is the
	// same after a restart.
	ID uint64

	// State determines whether a member receives new flows and whether it is ranked
	// in the orders of flows.
	State uint8

	// Member is one endpoint of a service together with the agent beside it.
	Member struct {
		id          ID
		name        string
		address     netip.AddrPort
		domain      string // failure domain
		weight      uint32
		state       State
		incarnation uint64
	}

	// Option sets a field of a new Member.
	Option func(*Member)

	// View is an immutable list of the members of one service. Nodes may hold
	// different views of the service at the same time.
	View struct {
		service     flow.ServiceID
		number      uint64
		fingerprint uint64
		members     []Member
		table       *rendezvous.Table
	}
)

// IDOf returns the identifier of the member with the given name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// New returns a Member in state Ready whose agent has the given UDP address.
func New(name string, address netip.AddrPort, opts ...Option) Member {
	m := Member{
		id:      IDOf(name),
		name:    name,
		address: address,
		weight:  DefaultWeight,
	}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// WithWeight sets the relative share of flows for which the member is the home. Package
// agent also takes it as the member's relative speed.
func WithWeight(weight uint32) Option {
	return func(m *Member) { m.weight = weight }
}

// WithFailureDomain sets the failure domain of the member.
func WithFailureDomain(domain string) Option {
	return func(m *Member) { m.domain = domain }
}

// WithState sets the state of the member.
func WithState(state State) Option {
	return func(m *Member) { m.state = state }
}

// WithIncarnation sets the incarnation number, which increases with each start of
// the member's agent.
func WithIncarnation(incarnation uint64) Option {
	return func(m *Member) { m.incarnation = incarnation }
}

// ID returns the identifier of the member.
func (m Member) ID() ID { return m.id }

// Name returns the name of the member.
func (m Member) Name() string { return m.name }

// Address returns the UDP address of the member's agent.
func (m Member) Address() netip.AddrPort { return m.address }

// FailureDomain returns the failure domain of the member.
func (m Member) FailureDomain() string { return m.domain }

// Weight returns the relative share of flows for which the member is the home.
func (m Member) Weight() uint32 { return m.weight }

// State returns the state of the member.
func (m Member) State() State { return m.state }

// Incarnation returns the incarnation number of the member's running agent.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Apply returns a copy of the member with the options applied.
func (m Member) Apply(opts ...Option) Member {
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Suspect:
		return "suspect"
	default:
		return "leaving"
	}
}

// NewView returns a view of the members of a service. The number is only for log
// lines and metrics; no decision compares the numbers of two nodes.
func NewView(service flow.ServiceID, number uint64, members []Member) *View {
	v := &View{
		service: service,
		number:  number,
		members: slices.Clone(members),
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.id, b.id) })
	nodes := make([]rendezvous.Node, 0, len(v.members))
	for _, m := range v.members {
		if m.state != Leaving {
			nodes = append(nodes, rendezvous.NewNode(uint64(m.id), m.weight))
		}
	}
	v.table = rendezvous.New(nodes)
	v.fingerprint = fingerprintOf(v.members)
	return v
}

// fingerprintOf hashes the identifiers and weights, which determine the homes of
// flows, and the incarnations, because flows must be registered again with a home
// that has restarted. It skips members in state Leaving.
func fingerprintOf(members []Member) uint64 {
	var b []byte
	for _, m := range members {
		if m.state == Leaving {
			continue
		}
		b = binary.BigEndian.AppendUint64(b, uint64(m.id))
		b = binary.BigEndian.AppendUint32(b, m.weight)
		b = binary.BigEndian.AppendUint64(b, m.incarnation)
	}
	return xxhash.Sum64(b)
}

// Service returns the service of the view.
func (v *View) Service() flow.ServiceID { return v.service }

// Number returns the number of the view.
func (v *View) Number() uint64 { return v.number }

// Fingerprint returns a hash of the members that are not leaving, their weights
// and their incarnations. Nodes with equal fingerprints compute the same homes for
// every flow.
func (v *View) Fingerprint() uint64 { return v.fingerprint }

// Len returns the number of members.
func (v *View) Len() int { return len(v.members) }

// Members returns the members sorted by identifier. The slice must not be
// modified.
func (v *View) Members() []Member { return v.members }

// Find returns the member with the given identifier, or nil.
func (v *View) Find(id ID) *Member {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m Member, id ID) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return &v.members[i]
}

// NameOf returns the name of a member, or its identifier in hexadecimal if the
// view does not contain it.
func (v *View) NameOf(id ID) string {
	if m := v.Find(id); m != nil {
		return m.name
	}
	return strconv.FormatUint(uint64(id), 16)
}

// Top writes the first members in the rendezvous order of the flow into dst and
// returns the number written, at most rendezvous.MaxTop. It does not allocate.
func (v *View) Top(d flow.Digest, dst []ID) int {
	var ids [rendezvous.MaxTop]uint64
	n := v.table.Top(d.RendezvousKey(), ids[:min(len(dst), len(ids))])
	for i := range n {
		dst[i] = ID(ids[i])
	}
	return n
}

// Without returns a copy of the view that lacks one member.
func (v *View) Without(id ID) *View {
	rest := slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return m.id == id })
	return NewView(v.service, v.number, rest)
}
