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
	// ipHeaderBytes is the length of the IPv4 and UDP headers.
	ipHeaderBytes = 28

	magic   = 0x686b
	version = 1

	// Offsets, in bytes, in the fixed header.
	offMagic    = 0
	offVersion  = 2
	offKind     = 3
	offFlags    = 4
	offHops     = 5
	offAsked    = 6
	offKeyID    = 7
	offService  = 8
	offSender   = 12
	offDest     = 20
	offSequence = 28
	offView     = 36
	offLoad     = 44
	offCapacity = 48
	headerBytes = 52

	digestBytes = 16
	epochBytes  = 8
	tagBytes    = 16

	family4     = 4
	family6     = 6
	familyNone  = 0
	portBytes   = 2
	memberBytes = 8
	loadBytes   = 8
)

// size returns the number of bytes that the packet takes without the tag.
func (p *Packet) size() int {
	n := headerBytes
	if p.kind.hasFlow() {
		n += digestBytes + epochBytes + 1
		n += addrSize(p.key.Caller()) + addrSize(p.key.VIP()) + addrSize(p.via)
		n++
		n += candidatesSize(p.Candidates())
		n += loadBytes * bits.OnesCount8(p.asked)
		if p.HasFlags(FlagSearch) {
			n += memberBytes + 2 + candidatesSize(p.search.witnesses[:p.search.count])
		}
	}
	return n + len(p.payload)
}

func candidatesSize(list []Candidate) int {
	n := 0
	for _, c := range list {
		n += memberBytes + addrSize(c.address)
	}
	return n
}

// SealedSize returns the size in bytes of the packet on the wire, without the
// headers of UDP and IP.
func (p *Packet) SealedSize() int { return p.size() + tagBytes }

// WireSize returns the size in bytes of the packet on the wire, with the headers
// of UDP and IPv4.
func (p *Packet) WireSize() int { return p.SealedSize() + ipHeaderBytes }

// appendTo appends the encoded packet, without the tag, to b.
func (p *Packet) appendTo(b []byte, keyID uint8) []byte {
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, version, byte(p.kind), byte(p.flags), p.hops, p.asked, keyID)
	b = binary.BigEndian.AppendUint32(b, uint32(p.service))
	b = binary.BigEndian.AppendUint64(b, uint64(p.sender))
	b = binary.BigEndian.AppendUint64(b, uint64(p.dest))
	b = binary.BigEndian.AppendUint64(b, p.sequence)
	b = binary.BigEndian.AppendUint64(b, p.view)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(p.load))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(p.capacity))
	if p.kind.hasFlow() {
		b = p.appendFlow(b)
	}
	return append(b, p.payload...)
}

func (p *Packet) appendFlow(b []byte) []byte {
	b = append(b, p.digest[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(p.epoch))
	b = append(b, byte(p.key.Transport()))
	b = appendAddr(b, p.key.Caller())
	b = appendAddr(b, p.key.VIP())
	b = appendAddr(b, p.via)
	b = append(b, p.count)
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
	b = binary.BigEndian.AppendUint64(b, uint64(p.search.seeker))
	b = append(b, p.search.visited, p.search.count)
	return appendCandidates(b, p.search.witnesses[:p.search.count])
}

func appendCandidates(b []byte, list []Candidate) []byte {
	for _, c := range list {
		b = binary.BigEndian.AppendUint64(b, uint64(c.id))
		b = appendAddr(b, c.address)
	}
	return b
}

// decode reads a packet without its tag. The payload aliases b.
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
		kind:     kind,
		flags:    Flags(b[offFlags]),
		hops:     b[offHops],
		asked:    b[offAsked],
		service:  flow.ServiceID(binary.BigEndian.Uint32(b[offService:])),
		sender:   member.ID(binary.BigEndian.Uint64(b[offSender:])),
		dest:     member.ID(binary.BigEndian.Uint64(b[offDest:])),
		sequence: binary.BigEndian.Uint64(b[offSequence:]),
		view:     binary.BigEndian.Uint64(b[offView:]),
		load:     math.Float32frombits(binary.BigEndian.Uint32(b[offLoad:])),
		capacity: math.Float32frombits(binary.BigEndian.Uint32(b[offCapacity:])),
	}
	if !finite(p.load) || !finite(p.capacity) {
		return errMalformed
	}
	r := reader{rest: b[headerBytes:]}
	if kind.hasFlow() {
		p.readFlow(&r)
	}
	p.payload = r.rest
	return r.err
}

func (p *Packet) readFlow(r *reader) {
	copy(p.digest[:], r.bytes(digestBytes))
	p.epoch = flow.Epoch(r.uint64())
	transport := flow.Transport(r.byte())
	caller := r.addr()
	vip := r.addr()
	p.key = flow.NewKey(p.service, transport, caller, vip)
	p.via = r.addr()
	p.count = r.candidates(r.byte(), p.candidates[:])
	if p.asked>>p.count != 0 {
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
	p.search.seeker = member.ID(r.uint64())
	p.search.visited = r.byte()
	p.search.count = r.candidates(r.byte(), p.search.witnesses[:])
	if p.search.visited > p.search.count {
		r.fail(errMalformed)
	}
}

// reader consumes a datagram. After an error it returns zero values.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

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

func (r *reader) float32() float32 {
	b := r.bytes(4)
	if b == nil {
		return 0
	}
	f := math.Float32frombits(binary.BigEndian.Uint32(b))
	if !finite(f) {
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

// candidates reads count candidates into dst and returns their number.
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

func (r *reader) addr() netip.AddrPort {
	var ip netip.Addr
	switch r.byte() {
	case familyNone:
		return netip.AddrPort{}
	case family4:
		b := r.bytes(4)
		if b == nil {
			return netip.AddrPort{}
		}
		ip = netip.AddrFrom4([4]byte(b))
	case family6:
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

func appendAddr(b []byte, a netip.AddrPort) []byte {
	switch ip := a.Addr(); {
	case !ip.IsValid():
		return append(b, familyNone)
	case ip.Is4():
		four := ip.As4()
		b = append(b, family4)
		b = append(b, four[:]...)
	default:
		sixteen := ip.As16()
		b = append(b, family6)
		b = append(b, sixteen[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

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

func finite(f float32) bool {
	return !math.IsNaN(float64(f)) && !math.IsInf(float64(f), 0)
}
