// Package peer implements the UDP protocol between entries and agents.
//
// Frames carry packets of flows: from an entry to an agent, from agent to agent
// along a list of candidates that the entry has written, and back to the entry if
// no candidate accepts the packet. Messages carry the state of a process.
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
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/segment"
)

const (
	// Place offers a new flow to the agents of a service.
	Place Kind = iota + 1
	// Deliver carries a packet to the agent that the entry has recorded as the owner
	// of its flow.
	Deliver
	// Search carries a packet of an open flow to agents that may own it, one after
	// the other.
	Search
	// Returned carries a packet back to the entry because no candidate accepted it.
	Returned
	// Owned informs an entry that the sender's upstream holds a flow. It carries an
	// OwnerMessage.
	Owned
	// OwnerQuery asks an agent whether its upstream holds a flow. It carries an
	// OwnerMessage.
	OwnerQuery
	// Report carries the Status of an agent.
	Report
	// Hello carries the HelloMessage of an entry.
	Hello
	// Goodbye carries a GoodbyeMessage: the sender is about to stop.
	Goodbye
	kindEnd
)

const (
	// MaxCandidates is the maximum length of a frame's list of candidates: that of the list in a
	// datagram, which holds the digest of the service, too.
	MaxCandidates = maxListed - digestSlots
	// MaxFrame is the maximum size of a frame in bytes: header, list of addresses and a
	// packet of 1500.
	MaxFrame = headerSize + addrSize*maxListed + 1500

	// maxListed is the maximum number of addresses in a datagram. Builds up to 7053056 reject
	// longer lists.
	maxListed = 32
	addrSize  = 4

	// patienceUnit is the unit of Frame.Patience in a datagram.
	patienceUnit = 8 * time.Millisecond

	magic      = 0x68
	headerSize = 20

	flagUncertain = 1
	flagForced    = 2
	flagAbridged  = 4

	// The flags of an OwnerMessage.
	flagWaiting   = 1
	flagSequence  = 2
	flagHeartbeat = 4

	// ownerSize is the size of an OwnerMessage in bytes without its last two fields, which
	// messages of builds up to 4332ead lack.
	ownerSize = 20
)

// ErrInvalidFrame reports a datagram that is not a valid frame or message, or is of a
// kind that the receiver does not handle.
var ErrInvalidFrame = errors.New("not a frame")

type (
	// Kind is the type of a datagram.
	Kind uint8

	// Addr is the IPv4 address of a process. All processes use the same port.
	Addr [4]byte

	// Frame is a packet of a flow that is forwarded between processes.
	Frame struct {
		Kind Kind
		// OriginalKind is the kind that a Returned frame had before: Place, Deliver
		// or Search.
		OriginalKind Kind
		// Uncertain means that an agent forwarded the packet although its upstream
		// may hold the flow: only its flow table was checked.
		Uncertain bool
		// Entry is the entry that received the packet from the caller.
		Entry Addr
		// Service is the service that the packet is for. Agents of other services,
		// and all agents if it is none, deliver the packet only if its flow is in their
		// flow table.
		Service ServiceID
		// Abridged means that the sender has left out the digest of Service, as the agent most
		// likely has the flow in its table. One that has not returns the frame as an Uncertain
		// one. Builds up to 7053056 compare the short identifiers.
		Abridged bool
		// Stage is the number of candidate lists that the entry has tried before
		// for this packet.
		Stage int
		// Round numbers the searches of a flow, so that the entry can ignore results
		// of earlier ones.
		Round uint8
		// Hop is the index in Candidates of the agent that the frame is sent to, and
		// the length of Candidates in a Returned frame.
		Hop int
		// Best is 1 + the index in Candidates of the least loaded agent so far that
		// forwarded an opening but may be forced to accept it, 0 if there is none,
		// and BestLoad its load in eighths of a request per slot.
		Best     int
		BestLoad uint8
		// Forced means that the agent must offer the opening to its upstream even if
		// all slots are busy or the upstream is ejected, but not if the upstream is
		// draining or does not run.
		Forced bool
		// Priority of an opening is its route's: 0 comes first.
		Priority uint8
		// Patience is how long an agent may let the opening wait for its upstream. It is
		// sent in units of patienceUnit, and is 2.04 s at most.
		Patience time.Duration
		// Candidates are the agents that may receive the packet, in order.
		Candidates []Addr
		// Packet is the caller's packet. Decode does not copy it.
		Packet []byte
	}
)

// NewAddr returns the Addr of an IPv4 address, which may be mapped to IPv6. It panics
// for any other address.
func NewAddr(a netip.Addr) Addr { return a.Unmap().As4() }

// Addr returns the address as a netip.Addr.
func (a Addr) Addr() netip.Addr { return netip.AddrFrom4(a) }

// String returns the address in dotted decimal form.
func (a Addr) String() string { return a.Addr().String() }

// ID returns the address as a number, for hashing.
func (a Addr) ID() uint64 { return uint64(binary.BigEndian.Uint32(a[:])) }

// KindOf returns the kind of a datagram, or ErrInvalidFrame if the magic number or
// the kind is not valid.
func KindOf(b []byte) (Kind, error) {
	if len(b) < 2 || b[0] != magic || b[1] == 0 || Kind(b[1]) >= kindEnd {
		return 0, ErrInvalidFrame
	}
	return Kind(b[1]), nil
}

// Append appends the encoded frame to b.
//
// Layout: magic, kind, original kind, flags, entry (4), short identifier of the service (4), hop,
// count, stage, round, best, best load, patience, priority, count addresses (4 each), packet.
//
// The digest of the service, if known and not left out, stands at the head of the list, as digestSlots addresses
// that the frame has passed already: hop and best count them. Builds up to 7053056 forward and
// return such a frame as any other, with the list as it is.
func (f *Frame) Append(b []byte) []byte {
	var flags byte
	if f.Uncertain {
		flags |= flagUncertain
	}
	if f.Forced {
		flags |= flagForced
	}
	if f.Abridged {
		flags |= flagAbridged
	}
	b = append(b, magic, byte(f.Kind), byte(f.OriginalKind), flags)
	b = append(b, f.Entry[:]...)
	b = binary.BigEndian.AppendUint32(b, f.Service.short)
	passed, best := 0, f.Best
	if f.Service.Complete() && !f.Abridged {
		passed = digestSlots
	}
	if best > 0 {
		best += passed
	}
	b = append(b, byte(passed+f.Hop), byte(passed+len(f.Candidates)), byte(f.Stage), f.Round, byte(best), f.BestLoad, encodePatience(f.Patience), f.Priority)
	if passed > 0 {
		b = f.Service.appendDigest(b)
	}
	for _, c := range f.Candidates {
		b = append(b, c[:]...)
	}
	return append(b, f.Packet...)
}

// encodePatience returns d in units of patienceUnit, at most 255.
func encodePatience(d time.Duration) byte { return byte(min(d/patienceUnit, math.MaxUint8)) }

// Decode decodes a frame. It reuses f.Candidates; Packet points into b. It returns
// ErrInvalidFrame if the header is invalid, but does not check the kind.
func (f *Frame) Decode(b []byte) error {
	if len(b) < headerSize || b[0] != magic {
		return ErrInvalidFrame
	}
	f.Kind, f.OriginalKind = Kind(b[1]), Kind(b[2])
	f.Uncertain, f.Forced = b[3]&flagUncertain != 0, b[3]&flagForced != 0
	copy(f.Entry[:], b[4:])
	f.Hop = int(b[12])
	count := int(b[13])
	f.Stage, f.Round = int(b[14]), b[15]
	f.Best, f.BestLoad = int(b[16]), b[17]
	f.Priority = b[19]
	f.Patience = time.Duration(b[18]) * patienceUnit
	if count > maxListed || f.Hop > count || f.Best > count || len(b) < headerSize+addrSize*count {
		return ErrInvalidFrame
	}
	f.Service = decodeServiceID(b[8:], b[headerSize:], count)
	f.Abridged = b[3]&flagAbridged != 0 && !f.Service.Complete()
	b = b[headerSize:]
	if f.Service.Complete() {
		if f.Hop < digestSlots || 0 < f.Best && f.Best <= digestSlots {
			return ErrInvalidFrame
		}
		b, count, f.Hop, f.Best = b[addrSize*digestSlots:], count-digestSlots, f.Hop-digestSlots, max(0, f.Best-digestSlots)
	}
	f.Candidates = f.Candidates[:0]
	for range count {
		f.Candidates = append(f.Candidates, Addr(b))
		b = b[addrSize:]
	}
	f.Packet = b
	return nil
}

// OwnerMessage is the body of an Owned or an OwnerQuery datagram.
type OwnerMessage struct {
	// Kind is Owned or OwnerQuery.
	Kind Kind
	Flow segment.Flow
	// Start identifies the start of the upstream, see StartID; 0 if the agent does
	// not know it yet. Only in Owned.
	Start uint32
	// Waiting means that the upstream does not hold the flow yet: its opening waits at
	// the agent. Only in Owned.
	Waiting bool
	// Sequence is the sequence number of the byte that the upstream sends next. The flow is
	// open at this upstream if the caller acknowledges numbers near it. Only in Owned, and if
	// SequenceKnown is set.
	Sequence      uint32
	SequenceKnown bool
	// Heartbeat is the number of a heartbeat of Start after which the flow was opened, see
	// Status.Heartbeat, cut off to 32 bits. Only in Owned, and if HeartbeatKnown is set.
	Heartbeat      uint32
	HeartbeatKnown bool
	// Acknowledged is the caller's last acknowledgement number, 0 if unknown. It
	// tells apart two upstreams that both accepted the caller's opening. Only in
	// OwnerQuery.
	Acknowledged uint32
}

// StartID returns an identifier for one start of an upstream, that is one run of
// its process: a hash of the upstream's id and start time that is never 0.
func StartID(id string, born int64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never returns an error
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(born)))
	return max(1, h.Sum32())
}

// Append appends the encoded datagram to b.
//
// Layout: magic, kind, flags, zero, Start or Acknowledged by kind (4), flow (12), and in Owned
// Sequence (4) and Heartbeat (4).
func (o OwnerMessage) Append(b []byte) []byte {
	var flags byte
	if o.Waiting {
		flags |= flagWaiting
	}
	if o.SequenceKnown {
		flags |= flagSequence
	}
	if o.HeartbeatKnown {
		flags |= flagHeartbeat
	}
	b = append(b, magic, byte(o.Kind), flags, 0)
	number := o.Start
	if o.Kind == OwnerQuery {
		number = o.Acknowledged
	}
	b = o.Flow.Append(binary.BigEndian.AppendUint32(b, number))
	if o.Kind == OwnerQuery {
		return b
	}
	b = binary.BigEndian.AppendUint32(b, o.Sequence)
	return binary.BigEndian.AppendUint32(b, o.Heartbeat)
}

// Decode decodes an Owned or an OwnerQuery datagram. It returns ErrInvalidFrame for
// other datagrams and an error of segment.DecodeFlow if the flow is cut short.
func (o *OwnerMessage) Decode(b []byte) error {
	if len(b) < 8 || b[0] != magic || Kind(b[1]) != Owned && Kind(b[1]) != OwnerQuery {
		return ErrInvalidFrame
	}
	o.Kind = Kind(b[1])
	o.Waiting = b[2]&flagWaiting != 0
	o.Sequence, o.SequenceKnown, o.Heartbeat, o.HeartbeatKnown = 0, false, 0, false
	if o.Kind == Owned && len(b) >= ownerSize+8 {
		o.Sequence, o.SequenceKnown = binary.BigEndian.Uint32(b[ownerSize:]), b[2]&flagSequence != 0
		o.Heartbeat, o.HeartbeatKnown = binary.BigEndian.Uint32(b[ownerSize+4:]), b[2]&flagHeartbeat != 0
	}
	o.Start, o.Acknowledged = binary.BigEndian.Uint32(b[4:]), 0
	if o.Kind == OwnerQuery {
		o.Start, o.Acknowledged = 0, o.Start
	}
	flow, err := segment.DecodeFlow(b[8:])
	o.Flow = flow
	return err
}
