// Package tunnel implements the datagram protocol between the processes of the load
// balancer: entries, which receive the callers' datagrams, and agents, which run
// beside the upstreams.
//
// A packet has a fixed-size header and a payload. The payload of Data and Reply
// packets is a datagram from or to a caller; between header and payload, these
// packets carry the addresses of the flow and a list of candidate members. The
// payload of Register and RegisterAck packets is a protobuf message. Every packet
// identifies its service and its sender, and carries a sequence number and an
// authentication tag, which Sealer adds and Opener verifies.
//
// # Usage
//
//	sealer := tunnel.NewSealer(keys, firstSequence)
//	datagram, err := sealer.Seal(buf[:0], &packet)
//
//	opener := tunnel.NewOpener(keys, maxSenders)
//	var packet tunnel.Packet
//	if err := opener.Open(datagram, &packet); err != nil {
//		reason := tunnel.ReasonOf(err) // for the drop counters
//	}
//
// Seal does not allocate when the buffer is large enough. Open allocates only for the
// first packet of a sender.
package tunnel

import (
	"net/netip"
	"slices"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

const (
	// Data carries a caller's datagram to the owner of its flow.
	Data Kind = iota + 1
	// Reply carries an upstream's datagram to an entry.
	Reply
	// Register registers flows that the sender owns with one of their homes, and
	// notifies it of flows that the sender has closed.
	Register
	// RegisterAck acknowledges a Register.
	RegisterAck
	// Load reports the sender's load to another agent.
	Load
	// Heartbeat asks an entry or another agent for a HeartbeatAck, which shows
	// that it is alive.
	Heartbeat
	// HeartbeatAck acknowledges a Heartbeat.
	HeartbeatAck

	kindEnd // one more than the last kind
)

const (
	// FlagPlaced marks Data that was forwarded to place its flow: the receiver
	// may open the flow.
	FlagPlaced Flags = 1 << iota
	// FlagNotFound marks Data that its sender returns or redirects because it
	// does not own the flow.
	FlagNotFound
	// FlagSearch marks Data that is forwarded in turn to the members that may
	// own its flow, before the initiator of the search places the flow.
	FlagSearch
	// FlagSynced marks a Load whose sender has registered all of its flows that must
	// be registered with the receiver, under the view given by the packet's view
	// fingerprint.
	FlagSynced
	// FlagDecided marks Data whose placement is decided: the receiver opens the
	// flow without considering other candidates or, if it may not open flows, sends
	// the datagram back.
	FlagDecided
)

const (
	// MaxCandidates is the largest number of candidates in a packet.
	MaxCandidates = 4
	// MaxSearchTargets is the largest number of members in the list of a search.
	MaxSearchTargets = 8
	// MaxDatagram is the largest size of a sealed packet, in bytes, without UDP and
	// IP headers.
	MaxDatagram = 9000
)

type (
	// Kind is the type of a packet.
	Kind uint8

	// Flags is a set of flags of a packet.
	Flags uint8

	// Candidate is a member that may own a flow, with the address of its agent.
	// While a flow is being placed, it also carries the load that the member
	// reported.
	Candidate struct {
		id       member.ID
		address  netip.AddrPort
		work     float32
		capacity float32
	}

	// search is the state of a search for the owner of a flow. The datagram with
	// FlagSearch carries it from member to member. visited is the number of
	// targets at the front of the list that were visited or are to be skipped.
	search struct {
		initiator   member.ID
		visited     uint8
		targetCount uint8
		targets     [MaxSearchTargets]Candidate
	}

	// Packet is one message between processes. The zero value is an empty
	// packet; the methods that set a field return the packet, so that calls
	// can be chained.
	Packet struct {
		kind            Kind
		flags           Flags
		hops            uint8
		tried           uint8 // bit i is set if candidate i was tried
		service         flow.ServiceID
		sender          member.ID
		dest            member.ID
		sequence        uint64
		viewFingerprint uint64
		work            float32 // sender's work per unit of capacity
		capacity        float32 // sender's capacity
		digest          flow.Digest
		epoch           flow.Epoch
		key             flow.Key
		entryAddress    netip.AddrPort
		candidateCount  uint8
		candidates      [MaxCandidates]Candidate
		search          search
		payload         []byte
	}
)

// NewCandidate returns a candidate.
func NewCandidate(id member.ID, address netip.AddrPort) Candidate {
	return Candidate{id: id, address: address}
}

// ID returns the identifier of the member.
func (c Candidate) ID() member.ID { return c.id }

// Address returns the UDP address of the member's agent.
func (c Candidate) Address() netip.AddrPort { return c.address }

// Load returns the work per unit of capacity and the capacity that the member
// reported, in the units of Packet.Load. A capacity of 0 means that it may not open
// the flow or was not tried.
func (c Candidate) Load() (work, capacity float64) { return float64(c.work), float64(c.capacity) }

// NewPacket returns a packet of the given kind and service from sender to dest.
func NewPacket(kind Kind, service flow.ServiceID, sender, dest member.ID) Packet {
	return Packet{kind: kind, service: service, sender: sender, dest: dest}
}

// Kind returns the type of the packet.
func (p *Packet) Kind() Kind { return p.kind }

// Service returns the service of the packet.
func (p *Packet) Service() flow.ServiceID { return p.service }

// Sender returns the identifier of the entry or member that sent the packet.
func (p *Packet) Sender() member.ID { return p.sender }

// Dest returns the member to which the packet is addressed, or 0 for an entry.
func (p *Packet) Dest() member.ID { return p.dest }

// Sequence returns the sequence number that Seal assigned to the packet.
func (p *Packet) Sequence() uint64 { return p.sequence }

// HasFlags reports whether all flags in f are set.
func (p *Packet) HasFlags(f Flags) bool { return p.flags&f == f }

// UpdateFlags clears the flags in clear, then sets those in set.
func (p *Packet) UpdateFlags(set, clear Flags) *Packet {
	p.flags = p.flags&^clear | set
	return p
}

// Hops returns how many times agents have forwarded the packet.
func (p *Packet) Hops() int { return int(p.hops) }

// Forward prepares the packet for forwarding to the next agent: it sets the sender
// and the destination and increments the hop count.
func (p *Packet) Forward(sender, dest member.ID) *Packet {
	p.sender = sender
	p.dest = dest
	p.hops++
	return p
}

// Tried reports whether the flow was offered to candidate i.
func (p *Packet) Tried(i int) bool { return p.tried&(1<<i) != 0 }

// MarkTried records that the flow was offered to candidate i, and the load that the
// candidate reported, in the units of Load. A capacity of 0 means that it may not
// open the flow.
func (p *Packet) MarkTried(i int, work, capacity float64) *Packet {
	p.tried |= 1 << i
	p.candidates[i].work = float32(work)
	p.candidates[i].capacity = float32(capacity)
	return p
}

// ViewFingerprint returns the fingerprint of the sender's view.
func (p *Packet) ViewFingerprint() uint64 { return p.viewFingerprint }

// SetViewFingerprint sets the fingerprint of the sender's view.
func (p *Packet) SetViewFingerprint(fingerprint uint64) *Packet {
	p.viewFingerprint = fingerprint
	return p
}

// Load returns the sender's work per unit of capacity, in requests per slot of
// nominal speed, and its capacity, in slots of nominal speed.
func (p *Packet) Load() (work, capacity float64) {
	return float64(p.work), float64(p.capacity)
}

// SetLoad sets the sender's load, in the units of Load.
func (p *Packet) SetLoad(work, capacity float64) *Packet {
	p.work = float32(work)
	p.capacity = float32(capacity)
	return p
}

// Digest returns the digest of the flow.
func (p *Packet) Digest() flow.Digest { return p.digest }

// Epoch returns the epoch of the flow, or 0 if the sender does not know it.
func (p *Packet) Epoch() flow.Epoch { return p.epoch }

// SetEpoch sets the epoch of the flow.
func (p *Packet) SetEpoch(e flow.Epoch) *Packet {
	p.epoch = e
	return p
}

// Key returns the addresses of the flow.
func (p *Packet) Key() flow.Key { return p.key }

// SetFlow sets the key, the digest and the epoch of the packet's flow.
func (p *Packet) SetFlow(k flow.Key, d flow.Digest, e flow.Epoch) *Packet {
	p.key = k
	p.digest = d
	p.epoch = e
	return p
}

// EntryAddress returns the tunnel address of the entry that received the caller's
// datagram, forwards the reply, or sent the HeartbeatAck. Only Data and Reply packets
// carry it when sealed; for other kinds it is invalid after Opener.Open.
func (p *Packet) EntryAddress() netip.AddrPort { return p.entryAddress }

// SetEntryAddress sets the tunnel address of the entry.
func (p *Packet) SetEntryAddress(entry netip.AddrPort) *Packet {
	p.entryAddress = entry
	return p
}

// Candidates returns the candidates, with the home first.
func (p *Packet) Candidates() []Candidate { return p.candidates[:p.candidateCount] }

// SetHome moves or inserts c at the front of the candidates and marks all of them
// as not tried. If c is new and the list is full, the last candidate is removed.
func (p *Packet) SetHome(c Candidate) *Packet {
	list := p.candidates[:p.candidateCount]
	at := slices.IndexFunc(list, func(other Candidate) bool { return other.id == c.id })
	if at < 0 {
		p.candidateCount = min(p.candidateCount+1, MaxCandidates)
		at = int(p.candidateCount) - 1
	}
	copy(p.candidates[1:at+1], p.candidates[:at])
	p.candidates[0] = c
	p.tried = 0
	return p
}

// AddCandidate appends a candidate. It does nothing when the list is full.
func (p *Packet) AddCandidate(c Candidate) *Packet {
	if int(p.candidateCount) < MaxCandidates {
		p.candidates[p.candidateCount] = c
		p.candidateCount++
	}
	return p
}

// SearchInitiator returns the member that started the search and places the flow if
// no owner is found.
func (p *Packet) SearchInitiator() member.ID { return p.search.initiator }

// StartSearch sets the initiator of the search and empties the list of targets.
func (p *Packet) StartSearch(initiator member.ID) *Packet {
	p.search = search{initiator: initiator}
	return p
}

// AddSearchTarget appends a member for the search to visit, unless the list
// contains it already or is full.
func (p *Packet) AddSearchTarget(c Candidate) *Packet {
	s := &p.search
	for _, target := range s.targets[:s.targetCount] {
		if target.id == c.id {
			return p
		}
	}
	if s.targetCount < MaxSearchTargets {
		s.targets[s.targetCount] = c
		s.targetCount++
	}
	return p
}

// SkipSearchTarget adds a member to the list as already visited, so that the search
// skips it even if another member adds it later. Call it before AddSearchTarget,
// because it marks every target in the list as visited.
func (p *Packet) SkipSearchTarget(c Candidate) *Packet {
	p.AddSearchTarget(c)
	p.search.visited = p.search.targetCount
	return p
}

// NextSearchTarget returns the next member to visit and marks it as visited. It
// returns false if all targets were visited.
func (p *Packet) NextSearchTarget() (Candidate, bool) {
	s := &p.search
	if s.visited >= s.targetCount {
		return Candidate{}, false
	}
	s.visited++
	return s.targets[s.visited-1], true
}

// Payload returns the payload. After Opener.Open it aliases the received datagram.
func (p *Packet) Payload() []byte { return p.payload }

// SetPayload sets the payload without copying it.
func (p *Packet) SetPayload(b []byte) *Packet {
	p.payload = b
	return p
}

// IsControl reports whether the packet is a control packet, which carries no
// datagram from or to a caller.
func (p *Packet) IsControl() bool { return p.kind != Data && p.kind != Reply }

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	names := [...]string{"none", "data", "reply", "register", "register-ack", "load", "heartbeat", "heartbeat-ack"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// hasFlow reports whether packets of the kind carry the fields of a flow.
func (k Kind) hasFlow() bool { return k == Data || k == Reply }
