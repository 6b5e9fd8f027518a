// Package peer is the protocol between entries and agents, over UDP.
//
// Frames carry packets of flows from an entry to an agent, from agent to agent
// along a list that the entry has written, and back to the entry if no agent on
// the list takes the packet. Messages carry what processes tell of themselves.
//
// # Usage
//
//	f := peer.Frame{Kind: peer.Search, Entry: self, Service: id, Candidates: agents, Packet: packet}
//	datagram := f.Append(nil)
//	err := f.Decode(datagram)
package peer

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/segment"
)

const (
	// Place asks the agents of a service to take a new flow.
	Place Kind = iota + 1
	// Deliver carries a packet to the flow's owner, as the entry knows it.
	Deliver
	// Search carries a packet of an open flow past agents that may own it.
	Search
	// Returned carries a packet back to the entry: nobody on the list took it.
	Returned
	// Owned tells an entry who owns a flow. It carries no packet.
	Owned
	// OwnerQuery asks an agent whether its upstream holds a flow. It carries no
	// packet.
	OwnerQuery
	// Report is what an agent tells of itself.
	Report
	// Hello is what an entry tells of itself.
	Hello
	// Goodbye says that a process is about to stop.
	Goodbye
	kindEnd
)

const (
	// MaxCandidates is the longest list of a frame.
	MaxCandidates = 32
	// MaxFrame bounds a frame: its head, the list and the largest packet.
	MaxFrame = headBytes + 4*MaxCandidates + 1500

	magic     = 0x68
	headBytes = 20

	flagUncertain = 1
	flagForced    = 2
)

// ErrInvalidFrame reports a datagram that is not a frame.
var ErrInvalidFrame = errors.New("not a frame")

type (
	// Kind says what a frame is for.
	Kind uint8

	// ServiceID is a hash of a service's name. 0 names none.
	ServiceID uint32

	// Addr is the IPv4 address of a process. All use the same port.
	Addr [4]byte

	// Frame is a packet of a flow on its way between processes.
	Frame struct {
		Kind Kind
		// OriginalKind is what a Returned frame was before: Place, Deliver or Search.
		OriginalKind Kind
		// Uncertain says that an agent passed the packet on without knowing
		// whether its upstream holds the flow.
		Uncertain bool
		// Entry is the process that the caller's packet reached.
		Entry Addr
		// Service is the service that may receive the packet; 0 allows the
		// owner of the flow only.
		Service ServiceID
		// Stage counts the lists that the entry has tried for this packet.
		Stage int
		// Round is the entry's number of the search.
		Round uint8
		// Hop is the index in Candidates of the agent that has the frame.
		Hop int
		// Best is 1 + the index in Candidates of the least busy agent so far that
		// passed an opening on, 0 if there is none, and BestLoad its load in
		// eighths of a request for each slot.
		Best     int
		BestLoad uint8
		// Forced says that the agent must take the opening if its upstream does.
		Forced bool
		// Candidates are the agents that the packet may visit, in order.
		Candidates []Addr
		// Packet is the caller's packet. Decode does not copy it.
		Packet []byte
	}
)

// Service returns the identifier of a service's name.
func Service(name string) ServiceID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return ServiceID(max(1, h.Sum32()))
}

// NewAddr returns the address of a process.
func NewAddr(a netip.Addr) Addr { return a.Unmap().As4() }

// Addr returns the address as the network packages have it.
func (a Addr) Addr() netip.Addr { return netip.AddrFrom4(a) }

// String returns the address in dotted form.
func (a Addr) String() string { return a.Addr().String() }

// ID returns the address as a number, for hashing.
func (a Addr) ID() uint64 { return uint64(binary.BigEndian.Uint32(a[:])) }

// KindOf returns the kind of a datagram.
func KindOf(b []byte) (Kind, error) {
	if len(b) < 2 || b[0] != magic || b[1] == 0 || Kind(b[1]) >= kindEnd {
		return 0, ErrInvalidFrame
	}
	return Kind(b[1]), nil
}

// Append appends the encoded frame to b.
//
// Layout: magic, kind, for, flags, entry (4), service (4), hop, count, stage,
// round, best, load of the best, two zeros, count addresses (4 each), packet.
func (f *Frame) Append(b []byte) []byte {
	var flags byte
	if f.Uncertain {
		flags |= flagUncertain
	}
	if f.Forced {
		flags |= flagForced
	}
	b = append(b, magic, byte(f.Kind), byte(f.OriginalKind), flags)
	b = append(b, f.Entry[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Service))
	b = append(b, byte(f.Hop), byte(len(f.Candidates)), byte(f.Stage), f.Round, byte(f.Best), f.BestLoad, 0, 0)
	for _, c := range f.Candidates {
		b = append(b, c[:]...)
	}
	return append(b, f.Packet...)
}

// Decode decodes a frame. It reuses f.Candidates; Packet points into b.
func (f *Frame) Decode(b []byte) error {
	if len(b) < headBytes || b[0] != magic {
		return ErrInvalidFrame
	}
	f.Kind, f.OriginalKind = Kind(b[1]), Kind(b[2])
	f.Uncertain, f.Forced = b[3]&flagUncertain != 0, b[3]&flagForced != 0
	copy(f.Entry[:], b[4:])
	f.Service = ServiceID(binary.BigEndian.Uint32(b[8:]))
	f.Hop = int(b[12])
	count := int(b[13])
	f.Stage, f.Round = int(b[14]), b[15]
	f.Best, f.BestLoad = int(b[16]), b[17]
	if count > MaxCandidates || f.Hop > count || f.Best > count || len(b) < headBytes+4*count {
		return ErrInvalidFrame
	}
	b = b[headBytes:]
	f.Candidates = f.Candidates[:0]
	for range count {
		f.Candidates = append(f.Candidates, Addr(b))
		b = b[4:]
	}
	f.Packet = b
	return nil
}

// OwnerMessage is what an agent tells an entry about a flow that its upstream holds, or
// what an entry asks about.
type OwnerMessage struct {
	// Kind is Owned or Asked.
	Kind Kind
	Flow segment.Flow
	// Start identifies the start of the upstream, see StartOf; 0 if the agent
	// does not know it yet. Of Owned only.
	Start uint32
	// Acknowledged is what the caller acknowledged last, 0 if not known: two
	// upstreams may have answered its opening. Of Asked only.
	Acknowledged uint32
}

// StartID returns a hash that differs between two starts of an upstream. It is
// never 0.
func StartID(id string, born int64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(born)))
	return max(1, h.Sum32())
}

// Append appends the encoded datagram to b.
func (o OwnerMessage) Append(b []byte) []byte {
	b = append(b, magic, byte(o.Kind), 0, 0)
	number := o.Start
	if o.Kind == OwnerQuery {
		number = o.Acknowledged
	}
	b = binary.BigEndian.AppendUint32(b, number)
	return o.Flow.Append(b)
}

// Decode decodes an Owned or an Asked datagram.
func (o *OwnerMessage) Decode(b []byte) error {
	if len(b) < 8 || b[0] != magic || Kind(b[1]) != Owned && Kind(b[1]) != OwnerQuery {
		return ErrInvalidFrame
	}
	o.Kind = Kind(b[1])
	o.Start, o.Acknowledged = binary.BigEndian.Uint32(b[4:]), 0
	if o.Kind == OwnerQuery {
		o.Start, o.Acknowledged = 0, o.Start
	}
	flow, err := segment.DecodeFlow(b[8:])
	o.Flow = flow
	return err
}
