// Package member describes the members of a service (the endpoints that may
// carry it) and the views that nodes hold of them.
//
// A View is an immutable list of members with their order for any flow. Views
// reach nodes at different times; a History keeps the views that other nodes
// may still use, so that a node can tell which other members may know of a
// flow.
//
// # Usage
//
//	a := member.New("a", addr, member.WithWeight(100), member.WithPlace("north"))
//	view := member.NewView(service, 1, []member.Member{a})
//	var order [3]uint64
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
	// Draining members keep their flows and receive no new ones.
	Draining
	// Suspect members did not answer lately. They stay in the order and
	// receive no new flows.
	Suspect
	// Leaving members have no flows and are out of the order. They still
	// answer what they know of other members' flows.
	Leaving

	// DefaultWeight is the weight of a member that states none.
	DefaultWeight = 100
)

type (
	// ID identifies a member. It is derived from the member's name and
	// survives a restart.
	ID uint64

	// State tells which flows a member may receive.
	State uint8

	// Member is one endpoint of a service and the agent that stands beside it.
	Member struct {
		id          ID
		name        string
		address     netip.AddrPort
		place       string
		weight      uint32
		state       State
		incarnation uint64
	}

	// Option sets a field of a new Member.
	Option func(*Member)

	// View is the list of members of one service as one node knows it.
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

// New returns a ready member reached at the address of its agent.
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

// WithWeight sets the share of flows that the member is home to.
func WithWeight(weight uint32) Option {
	return func(m *Member) { m.weight = weight }
}

// WithPlace sets the failure domain of the member.
func WithPlace(place string) Option {
	return func(m *Member) { m.place = place }
}

// WithState sets the state of the member.
func WithState(state State) Option {
	return func(m *Member) { m.state = state }
}

// WithIncarnation sets the number that grows with each start of the member's
// agent.
func WithIncarnation(incarnation uint64) Option {
	return func(m *Member) { m.incarnation = incarnation }
}

// ID returns the identifier of the member.
func (m Member) ID() ID { return m.id }

// Name returns the name of the member.
func (m Member) Name() string { return m.name }

// Address returns the UDP address of the agent of the member.
func (m Member) Address() netip.AddrPort { return m.address }

// Place returns the failure domain of the member.
func (m Member) Place() string { return m.place }

// Weight returns the relative share of flows that the member is home to.
func (m Member) Weight() uint32 { return m.weight }

// State returns the state of the member.
func (m Member) State() State { return m.state }

// Incarnation returns the number of the present start of the member's agent.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Apply returns a copy of the member with the options applied.
func (m Member) Apply(opts ...Option) Member {
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// String returns the name of the state.
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

// NewView returns a view. The number serves log lines and metrics; no
// decision compares the numbers of two nodes.
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

// fingerprintOf hashes what the order of the members depends on.
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

// Fingerprint returns a hash of what homes depend on: the members, their
// weights and their incarnations. Nodes with equal fingerprints agree on the
// homes of every flow.
func (v *View) Fingerprint() uint64 { return v.fingerprint }

// Len returns the number of members.
func (v *View) Len() int { return len(v.members) }

// Members returns the members in the order of their identifiers. The caller
// must not change the slice.
func (v *View) Members() []Member { return v.members }

// Find returns the member with the given identifier, or nil.
func (v *View) Find(id ID) *Member {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m Member, id ID) int { return cmp.Compare(m.id, id) })
	if !ok {
		return nil
	}
	return &v.members[i]
}

// NameOf returns the name of a member, or its identifier if the view does not
// have it.
func (v *View) NameOf(id ID) string {
	if m := v.Find(id); m != nil {
		return m.name
	}
	return strconv.FormatUint(uint64(id), 16)
}

// Top writes the first members in the order of the flow into dst and returns
// how many it wrote. It does not allocate.
func (v *View) Top(d flow.Digest, dst []ID) int {
	var ids [rendezvous.MaxTop]uint64
	n := v.table.Top(d.RendezvousKey(), ids[:min(len(dst), len(ids))])
	for i := range n {
		dst[i] = ID(ids[i])
	}
	return n
}

// Without returns the view less one member.
func (v *View) Without(id ID) *View {
	rest := slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return m.id == id })
	return NewView(v.service, v.number, rest)
}
