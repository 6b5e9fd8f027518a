package tunnel

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
)

const (
	// ipUDPHeaderBytes is the total length of the IPv4 and UDP headers.
	ipUDPHeaderBytes = 28

	// Every packet starts with magic (2 bytes, "hk") and version (1 byte).
	magic   = 0x686b
	version = 1

	// Offsets of the fields of the fixed-size header, in bytes.
	offMagic           = 0
	offVersion         = 2
	offKind            = 3
	offFlags           = 4
	offHops            = 5
	offTried           = 6
	offKeyID           = 7
	offService         = 8
	offSender          = 12
	offDest            = 20
	offSequence        = 28
	offViewFingerprint = 36
	offWork            = 44
	offCapacity        = 48
	headerBytes        = 52

	// Lengths of encoded fields, in bytes.
	digestBytes = 16
	epochBytes  = 8
	tagBytes    = 16

	// Address families, the first byte of an encoded address.
	familyIPv4 = 4
	familyIPv6 = 6
	familyNone = 0
	// Lengths of encoded fields of addresses and candidates, in bytes.
	portBytes          = 2
	memberIDBytes      = 8
	candidateLoadBytes = 8 // work and capacity of a candidate
)

// encodedSize returns the length in bytes of the encoded packet without the tag.
func (p *Packet) encodedSize() int {
	n := headerBytes
	if p.kind.hasFlow() {
		n += digestBytes + epochBytes + 1 // transport
		n += addrSize(p.key.Caller()) + addrSize(p.key.VIP()) + addrSize(p.entryAddress)
		n++ // candidateCount
		n += candidatesSize(p.Candidates())
		n += candidateLoadBytes * bits.OnesCount8(p.tried)
		if p.HasFlags(FlagSearch) {
			// initiator, visited and targetCount, targets
			n += memberIDBytes + 2 + candidatesSize(p.search.targets[:p.search.targetCount])
		}
	}
	if p.kind == HeartbeatAck {
		n += addrSize(p.entryAddress)
	}
	return n + len(p.payload)
}

// candidatesSize returns the encoded length of the candidates, without their loads, in
// bytes.
func candidatesSize(list []Candidate) int {
	n := 0
	for _, c := range list {
		n += memberIDBytes + addrSize(c.address)
	}
	return n
}

// SealedSize returns the size in bytes of the sealed packet, without UDP and IP
// headers.
func (p *Packet) SealedSize() int { return p.encodedSize() + tagBytes }

// WireSize returns the size in bytes of the sealed packet on the wire, with UDP and
// IPv4 headers.
func (p *Packet) WireSize() int { return p.SealedSize() + ipUDPHeaderBytes }

// appendTo appends the encoded packet, without the tag, to b.
func (p *Packet) appendTo(b []byte, keyID uint8) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, version, byte(p.kind), byte(p.flags), p.hops, p.tried, keyID)
	b = binary.BigEndian.AppendUint32(b, uint32(p.service))
	b = binary.BigEndian.AppendUint64(b, uint64(p.sender))
	b = binary.BigEndian.AppendUint64(b, uint64(p.dest))
	b = binary.BigEndian.AppendUint64(b, p.sequence)
	b = binary.BigEndian.AppendUint64(b, p.viewFingerprint)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(p.work))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(p.capacity))
	if p.kind.hasFlow() {
		b = p.appendFlow(b)
	}
	if p.kind == HeartbeatAck {
		b = appendAddr(b, p.entryAddress)
	}
	return append(b, p.payload...)
}

// appendFlow appends the fields of packets that belong to a flow.
func (p *Packet) appendFlow(b []byte) []byte {
	b = append(b, p.digest[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(p.epoch))
	b = append(b, byte(p.key.Transport()))
	b = appendAddr(b, p.key.Caller())
	b = appendAddr(b, p.key.VIP())
	b = appendAddr(b, p.entryAddress)
	b = append(b, p.candidateCount)
	b = appendCandidates(b, p.Candidates())
	for i, c := range p.Candidates() {
		if p.Tried(i) {
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(c.work))
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(c.capacity))
		}
	}
	if !p.HasFlags(FlagSearch) {
		return b
	}
	b = binary.BigEndian.AppendUint64(b, uint64(p.search.initiator))
	b = append(b, p.search.visited, p.search.targetCount)
	return appendCandidates(b, p.search.targets[:p.search.targetCount])
}

func appendCandidates(b []byte, list []Candidate) []byte {
	for _, c := range list {
		b = binary.BigEndian.AppendUint64(b, uint64(c.id))
		b = appendAddr(b, c.address)
	}
	return b
}

// decode decodes b, a packet without its tag, into p. The payload aliases b. It
// returns errTruncated or errMalformed if b is not a valid packet.
func decode(b []byte, p *Packet) error {
	if len(b) < headerBytes {
		return errTruncated
	}
	if binary.BigEndian.Uint16(b[offMagic:]) != magic || b[offVersion] != version {
		return errMalformed
	}
	kind := Kind(b[offKind])
	if kind == 0 || kind >= kindEnd {
		return errMalformed
	}
	*p = Packet{
		kind:            kind,
		flags:           Flags(b[offFlags]),
		hops:            b[offHops],
		tried:           b[offTried],
		service:         flow.ServiceID(binary.BigEndian.Uint32(b[offService:])),
		sender:          member.ID(binary.BigEndian.Uint64(b[offSender:])),
		dest:            member.ID(binary.BigEndian.Uint64(b[offDest:])),
		sequence:        binary.BigEndian.Uint64(b[offSequence:]),
		viewFingerprint: binary.BigEndian.Uint64(b[offViewFingerprint:]),
		work:            math.Float32frombits(binary.BigEndian.Uint32(b[offWork:])),
		capacity:        math.Float32frombits(binary.BigEndian.Uint32(b[offCapacity:])),
	}
	if !isFinite(p.work) || !isFinite(p.capacity) {
		return errMalformed
	}
	r := reader{rest: b[headerBytes:]}
	if kind.hasFlow() {
		p.readFlow(&r)
	}
	if kind == HeartbeatAck && len(r.rest) > 0 { // earlier versions sent no address
		p.entryAddress = r.addr()
	}
	p.payload = r.rest
	return r.err
}

// readFlow decodes the fields that appendFlow encodes.
func (p *Packet) readFlow(r *reader) {
	copy(p.digest[:], r.bytes(digestBytes))
	p.epoch = flow.Epoch(r.uint64())
	transport := flow.Transport(r.byte())
	caller := r.addr()
	vip := r.addr()
	p.key = flow.NewKey(p.service, transport, caller, vip)
	p.entryAddress = r.addr()
	p.candidateCount = r.candidates(r.byte(), p.candidates[:])
	if p.tried>>p.candidateCount != 0 {
		r.fail(errMalformed)
	}
	for i := range p.Candidates() {
		if p.Tried(i) {
			p.candidates[i].work = r.float32()
			p.candidates[i].capacity = r.float32()
		}
	}
	if !p.HasFlags(FlagSearch) {
		return
	}
	p.search.initiator = member.ID(r.uint64())
	p.search.visited = r.byte()
	p.search.targetCount = r.candidates(r.byte(), p.search.targets[:])
	if p.search.visited > p.search.targetCount {
		r.fail(errMalformed)
	}
}

// reader decodes the fields of a datagram in order. It keeps the first error; after
// an error its methods return zero values.
type reader struct {
	rest []byte
	err  error
}

// fail records err, unless an earlier error is recorded, and stops further reads.
func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// bytes returns the next n bytes.
func (r *reader) bytes(n int) []byte {
	if len(r.rest) < n {
		r.fail(errTruncated)
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) byte() byte {
	b := r.bytes(1)
	if b == nil {
		return 0
	}
	return b[0]
}

// float32 reads a number. It fails if the number is infinite or NaN.
func (r *reader) float32() float32 {
	b := r.bytes(4)
	if b == nil {
		return 0
	}
	f := math.Float32frombits(binary.BigEndian.Uint32(b))
	if !isFinite(f) {
		r.fail(errMalformed)
	}
	return f
}

func (r *reader) uint64() uint64 {
	b := r.bytes(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// candidates reads count candidates into dst and returns count. It fails if dst is
// too short.
func (r *reader) candidates(count byte, dst []Candidate) uint8 {
	if int(count) > len(dst) {
		r.fail(errMalformed)
		return 0
	}
	for i := range dst[:count] {
		id := member.ID(r.uint64())
		dst[i] = Candidate{id: id, address: r.addr()}
	}
	return count
}

// addr reads an address that appendAddr encoded.
func (r *reader) addr() netip.AddrPort {
	var ip netip.Addr
	switch r.byte() {
	case familyNone:
		return netip.AddrPort{}
	case familyIPv4:
		b := r.bytes(4)
		if b == nil {
			return netip.AddrPort{}
		}
		ip = netip.AddrFrom4([4]byte(b))
	case familyIPv6:
		b := r.bytes(16)
		if b == nil {
			return netip.AddrPort{}
		}
		ip = netip.AddrFrom16([16]byte(b))
	default:
		r.fail(errMalformed)
		return netip.AddrPort{}
	}
	port := r.bytes(portBytes)
	if port == nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(port))
}

// appendAddr appends the address family, the IP address and the port; for an
// invalid address, only the family familyNone.
func appendAddr(b []byte, a netip.AddrPort) []byte {
	switch ip := a.Addr(); {
	case !ip.IsValid():
		return append(b, familyNone)
	case ip.Is4():
		ip4 := ip.As4()
		b = append(b, familyIPv4)
		b = append(b, ip4[:]...)
	default:
		ip16 := ip.As16()
		b = append(b, familyIPv6)
		b = append(b, ip16[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// addrSize returns the encoded length of an address in bytes.
func addrSize(a netip.AddrPort) int {
	switch ip := a.Addr(); {
	case !ip.IsValid():
		return 1
	case ip.Is4():
		return 1 + 4 + portBytes
	default:
		return 1 + 16 + portBytes
	}
}

func isFinite(f float32) bool {
	return !math.IsNaN(float64(f)) && !math.IsInf(float64(f), 0)
}
