package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
)

const (
	headSize = 32
	maxData  = 1200
	window   = 16 // packets in flight

	flagRST     = 1
	flagSYN     = 2
	flagBounced = 4
	flagACK     = 64
	flagFIN     = 128
)

// sumKey is known to the stand-ins of consumers and endpoints only.
var sumKey = []byte("stand-in key of the two ends")

// flowID identifies a flow by the consumer's end and the route's end.
type flowID struct {
	src, dst netip.AddrPort
}

func (f flowID) String() string { return f.src.String() + ">" + f.dst.String() }

// packet is a decoded datagram. src and dst are the ends as the sender wrote them.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
	sum      uint32
	raw      []byte
}

func (p *packet) has(f byte) bool { return p.flags&f == f }

// checksum covers all fields except sum, pad, echo and the BOUNCED bit.
func checksum(b []byte) uint32 {
	c := make([]byte, len(b))
	copy(c, b)
	clear(c[0:4])
	c[24] &^= flagBounced
	c[25] = 0
	clear(c[28:32])
	h := crc32.NewIEEE()
	_, _ = h.Write(sumKey)
	_, _ = h.Write(c)
	_, _ = h.Write(sumKey)
	return h.Sum32() | 1 // never 0, which marks a reset of the system's own
}

func encode(src, dst netip.AddrPort, seq, ack uint32, flags byte, data []byte) []byte {
	b := make([]byte, headSize+len(data))
	s, d := src.Addr().As4(), dst.Addr().As4()
	copy(b[4:], s[:])
	copy(b[8:], d[:])
	binary.BigEndian.PutUint16(b[12:], dst.Port())
	binary.BigEndian.PutUint16(b[14:], src.Port())
	binary.BigEndian.PutUint32(b[16:], seq)
	binary.BigEndian.PutUint32(b[20:], ack)
	b[24] = flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(data)))
	copy(b[headSize:], data)
	binary.BigEndian.PutUint32(b[0:], checksum(b))
	return b
}

func decode(b []byte) (*packet, error) {
	if len(b) < headSize {
		return nil, fmt.Errorf("short packet of %d bytes", len(b))
	}
	if n := int(binary.BigEndian.Uint16(b[26:])); n != len(b)-headSize {
		return nil, fmt.Errorf("length field %d with %d bytes of data", n, len(b)-headSize)
	}
	p := &packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[14:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[12:])),
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		flags: b[24],
		data:  append([]byte(nil), b[headSize:]...),
		sum:   binary.BigEndian.Uint32(b[0:]),
		raw:   append([]byte(nil), b...),
	}
	return p, nil
}

// genuine reports whether the packet is as one of the two ends wrote it.
func (p *packet) genuine() bool { return p.sum == checksum(p.raw) }
