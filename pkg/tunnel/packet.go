// Package tunnel is the datagram protocol between the processes of the load
// balancer: entries, which face callers, and agents, which stand beside
// upstreams.
//
// A packet has a fixed outer header, the addresses of a flow, a list of
// candidate members and a payload. The payload of Data and Reply is a
// caller's datagram; that of Register and RegisterAck is a protobuf message.
// Every packet names its service and its sender, and carries a sequence
// number and an authentication tag, which Sealer adds and Opener checks.
//
// # Usage
//
//	sealer := tunnel.NewSealer(keys, firstSequence)
//	datagram, err := sealer.Seal(buf[:0], packet)
//
//	opener := tunnel.NewOpener(keys, maxSenders)
//	var packet tunnel.Packet
//	if err := opener.Open(datagram, &packet); err != nil {
//		reason := tunnel.ReasonOf(err) // counted
//	}
//
// Neither Seal nor Open allocates when the buffer is large enough.
package tunnel

import (
	"net/netip"
	"slices"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

const (
	// Data carries a caller's datagram towards the owner of its flow.
	Data Kind = iota + 1
	// Reply carries an upstream's datagram to an entry.
	Reply
	// Register tells a home which flows the sender owns.
	Register
	// RegisterAck confirms a Register.
	RegisterAck
	// Load reports the sender's load to another agent.
	Load
	// Heartbeat tells an entry that the sender is alive.
	Heartbeat
	// HeartbeatAck answers a Heartbeat.
	HeartbeatAck

	kindEnd
)

const (
	// FlagPlaced marks Data whose flow the receiver may open.
	FlagPlaced Flags = 1 << iota
	// FlagNotFound marks Data that its sender does not own the flow of.
	FlagNotFound
	// FlagSearch marks Data that visits the members that may own its flow,
	// before the seeker opens the flow.
	FlagSearch
	// FlagSynced marks a Load whose sender has registered every flow that the
	// receiver is a home of, under the view that the packet names.
	FlagSynced
	// FlagDecided marks Data whose flow the receiver opens without regard to
	// other candidates.
	FlagDecided
)

const (
	// MaxCandidates is the largest number of candidates in a packet.
	MaxCandidates = 4
	// MaxSearchTargets is the largest number of members that a search visits.
	MaxSearchTargets = 8
	// MaxDatagram is the largest packet, in bytes, that the protocol accepts.
	MaxDatagram = 9000
)

type (
	// Kind is the type of a packet.
	Kind uint8

	// Flags modify a packet.
	Flags uint8

	// Candidate is a member that may own a flow, with the address of its agent.
	// While a flow is being placed, it also carries what the member said of
	// its load.
	Candidate struct {
		id       member.ID
		address  netip.AddrPort
		work     float32
		capacity float32
	}

	// search is the state of a search, carried by its datagram.
	search struct {
		seeker    member.ID
		visited   uint8
		count     uint8
		witnesses [MaxSearchTargets]Candidate
	}

	// Packet is one message between processes. The zero value is an empty
	// packet; the methods that set a field return the packet, so that calls
	// can be chained.
	Packet struct {
		kind       Kind
		flags      Flags
		hops       uint8
		asked      uint8
		service    flow.ServiceID
		sender     member.ID
		dest       member.ID
		sequence   uint64
		view       uint64
		load       float32
		capacity   float32
		digest     flow.Digest
		epoch      flow.Epoch
		key        flow.Key
		via        netip.AddrPort
		count      uint8
		candidates [MaxCandidates]Candidate
		search     search
		payload    []byte
	}
)

// NewCandidate returns a candidate.
func NewCandidate(id member.ID, address netip.AddrPort) Candidate {
	return Candidate{id: id, address: address}
}

// ID returns the member.
func (c Candidate) ID() member.ID { return c.id }

// Address returns the UDP address of the member's agent.
func (c Candidate) Address() netip.AddrPort { return c.address }

// Load returns the work per unit of capacity and the capacity that the member
// noted. A capacity of 0 means that it refused the flow or was not asked.
func (c Candidate) Load() (work, capacity float64) { return float64(c.work), float64(c.capacity) }

// NewPacket returns a packet of a service from sender to dest.
func NewPacket(kind Kind, service flow.ServiceID, sender, dest member.ID) Packet {
	return Packet{kind: kind, service: service, sender: sender, dest: dest}
}

// Kind returns the type of the packet.
func (p *Packet) Kind() Kind { return p.kind }

// Service returns the service of the packet.
func (p *Packet) Service() flow.ServiceID { return p.service }

// Sender returns the process or member that sent the packet.
func (p *Packet) Sender() member.ID { return p.sender }

// Dest returns the member that the packet is for; 0 for an entry.
func (p *Packet) Dest() member.ID { return p.dest }

// Sequence returns the sequence number that the sealer gave the packet.
func (p *Packet) Sequence() uint64 { return p.sequence }

// HasFlags reports whether all of the flags are set.
func (p *Packet) HasFlags(f Flags) bool { return p.flags&f == f }

// UpdateFlags sets and clears flags.
func (p *Packet) UpdateFlags(set, clear Flags) *Packet {
	p.flags = p.flags&^clear | set
	return p
}

// Hops returns how many agents have forwarded the packet.
func (p *Packet) Hops() int { return int(p.hops) }

// Forward readies the packet for the next agent: it sets both ends and adds a
// hop.
func (p *Packet) Forward(sender, dest member.ID) *Packet {
	p.sender = sender
	p.dest = dest
	p.hops++
	return p
}

// Tried reports whether candidate i was asked to take the flow.
func (p *Packet) Tried(i int) bool { return p.asked&(1<<i) != 0 }

// MarkTried notes that candidate i was asked, and its load; a capacity of 0
// means that it refused.
func (p *Packet) MarkTried(i int, work, capacity float64) *Packet {
	p.asked |= 1 << i
	p.candidates[i].work = float32(work)
	p.candidates[i].capacity = float32(capacity)
	return p
}

// ViewFingerprint returns the fingerprint of the sender's view.
func (p *Packet) ViewFingerprint() uint64 { return p.view }

// SetViewFingerprint sets the fingerprint of the sender's view.
func (p *Packet) SetViewFingerprint(fingerprint uint64) *Packet {
	p.view = fingerprint
	return p
}

// Load returns the sender's work per unit of capacity and its capacity.
func (p *Packet) Load() (load, capacity float64) {
	return float64(p.load), float64(p.capacity)
}

// SetLoad sets the sender's work per unit of capacity and its capacity.
func (p *Packet) SetLoad(load, capacity float64) *Packet {
	p.load = float32(load)
	p.capacity = float32(capacity)
	return p
}

// Digest returns the digest of the flow.
func (p *Packet) Digest() flow.Digest { return p.digest }

// Epoch returns the epoch of the flow; 0 if the sender does not know it.
func (p *Packet) Epoch() flow.Epoch { return p.epoch }

// SetEpoch sets the epoch of the flow.
func (p *Packet) SetEpoch(e flow.Epoch) *Packet {
	p.epoch = e
	return p
}

// Key returns the addresses of the flow.
func (p *Packet) Key() flow.Key { return p.key }

// SetFlow sets the flow that the packet belongs to.
func (p *Packet) SetFlow(k flow.Key, d flow.Digest, e flow.Epoch) *Packet {
	p.key = k
	p.digest = d
	p.epoch = e
	return p
}

// EntryAddress returns the address of the entry that received the caller's datagram.
func (p *Packet) EntryAddress() netip.AddrPort { return p.via }

// SetEntryAddress sets the address of the entry.
func (p *Packet) SetEntryAddress(entry netip.AddrPort) *Packet {
	p.via = entry
	return p
}

// Candidates returns the candidates, the home first.
func (p *Packet) Candidates() []Candidate { return p.candidates[:p.count] }

// SetHome puts a candidate first. The last one falls out of a full list.
func (p *Packet) SetHome(c Candidate) *Packet {
	list := p.candidates[:p.count]
	at := slices.IndexFunc(list, func(other Candidate) bool { return other.id == c.id })
	if at < 0 {
		p.count = min(p.count+1, MaxCandidates)
		at = int(p.count) - 1
	}
	copy(p.candidates[1:at+1], p.candidates[:at])
	p.candidates[0] = c
	p.asked = 0
	return p
}

// AddCandidate appends a candidate. It does nothing when the list is full.
func (p *Packet) AddCandidate(c Candidate) *Packet {
	if int(p.count) < MaxCandidates {
		p.candidates[p.count] = c
		p.count++
	}
	return p
}

// SearchInitiator returns the member that wants to open the flow.
func (p *Packet) SearchInitiator() member.ID { return p.search.seeker }

// StartSearch makes the member the seeker and empties the list of witnesses.
func (p *Packet) StartSearch(seeker member.ID) *Packet {
	p.search = search{seeker: seeker}
	return p
}

// AddSearchTarget adds a member for the search to visit, unless the list has it or
// is full.
func (p *Packet) AddSearchTarget(c Candidate) *Packet {
	s := &p.search
	for _, w := range s.witnesses[:s.count] {
		if w.id == c.id {
			return p
		}
	}
	if s.count < MaxSearchTargets {
		s.witnesses[s.count] = c
		s.count++
	}
	return p
}

// SkipSearchTarget adds a member that the search passes over, also when others name
// it. Call it before AddWitness.
func (p *Packet) SkipSearchTarget(c Candidate) *Packet {
	p.AddSearchTarget(c)
	p.search.visited = p.search.count
	return p
}

// NextSearchTarget returns the next member to visit and notes the visit. It reports
// false if all were visited.
func (p *Packet) NextSearchTarget() (Candidate, bool) {
	s := &p.search
	if s.visited >= s.count {
		return Candidate{}, false
	}
	s.visited++
	return s.witnesses[s.visited-1], true
}

// Payload returns the payload. After Open it aliases the datagram.
func (p *Packet) Payload() []byte { return p.payload }

// SetPayload sets the payload without a copy.
func (p *Packet) SetPayload(b []byte) *Packet {
	p.payload = b
	return p
}

// IsControl reports whether the packet carries no caller's datagram.
func (p *Packet) IsControl() bool { return p.kind != Data && p.kind != Reply }

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "data", "reply", "register", "register-ack", "load", "heartbeat", "heartbeat-ack"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

func (k Kind) hasFlow() bool { return k == Data || k == Reply }
