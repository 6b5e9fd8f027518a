package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The flags of a packet.
const (
	flagReset   = 1
	flagOpen    = 2
	flagBounced = 4
	flagAck     = 64
	flagFin     = 128

	headSize = 32
	maxData  = 1200
)

// packet is a datagram of a flow, as PROTOCOL.md lays it out.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	echo     uint32
	data     []byte
	sum      uint32
}

// encode returns the packet with the sum of its sender. The sum of a reset of the system is 0.
func (p packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[4:], src[:])
	copy(b[8:], dst[:])
	binary.BigEndian.PutUint16(b[12:], p.dst.Port())
	binary.BigEndian.PutUint16(b[14:], p.src.Port())
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b, sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of the two ends"))
	h.Write(b[4:24])
	h.Write([]byte{b[24] &^ flagBounced})
	h.Write(b[26:28])
	h.Write(b[headSize:])
	return max(1, h.Sum32())
}

// decode returns the packet in a datagram, and false if it is none.
func decode(b []byte) (packet, bool) {
	if len(b) < headSize || len(b) > headSize+maxData || int(binary.BigEndian.Uint16(b[26:])) != len(b)-headSize {
		return packet{}, false
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:])), binary.BigEndian.Uint16(b[12:])),
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		flags: b[24],
		echo:  binary.BigEndian.Uint32(b[28:]),
		sum:   binary.BigEndian.Uint32(b),
		data:  append([]byte(nil), b[headSize:]...),
	}
	return p, true
}

// genuine reports whether an end of a flow has written the packet.
func genuine(b []byte) bool { return binary.BigEndian.Uint32(b) == sumOf(b) }
