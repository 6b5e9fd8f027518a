package main

import (
	"encoding/binary"
	"net/netip"
)

// The packet format of PROTOCOL.md.
const (
	headerSize = 32
	maxData    = 1200

	rst     = 1
	syn     = 2
	bounced = 4
	ack     = 64
	fin     = 128
)

// flowKey names a flow by its caller and its virtual address.
type flowKey struct{ caller, vip netip.AddrPort }

type header struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	len      int
	echo     uint32
}

func (h header) has(f byte) bool { return h.flags&f != 0 }

func decode(b []byte) (header, []byte, bool) {
	if len(b) < headerSize {
		return header{}, nil, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte(b[at : at+4])) }
	h := header{
		src: netip.AddrPortFrom(addr(4), binary.BigEndian.Uint16(b[14:])),
		dst: netip.AddrPortFrom(addr(8), binary.BigEndian.Uint16(b[12:])),
		seq: binary.BigEndian.Uint32(b[16:]), ack: binary.BigEndian.Uint32(b[20:]),
		flags: b[24], len: int(binary.BigEndian.Uint16(b[26:])), echo: binary.BigEndian.Uint32(b[28:]),
	}
	if len(b) != headerSize+h.len {
		return header{}, nil, false
	}
	return h, b[headerSize:], true
}

// encode returns a packet. Its sum is a keyed sum of the ends; these stand-ins use a fixed key.
func encode(h header, data []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(data))
	s, d := h.src.Addr().As4(), h.dst.Addr().As4()
	copy(b[4:], s[:])
	copy(b[8:], d[:])
	binary.BigEndian.PutUint16(b[12:], h.dst.Port())
	binary.BigEndian.PutUint16(b[14:], h.src.Port())
	binary.BigEndian.PutUint32(b[16:], h.seq)
	binary.BigEndian.PutUint32(b[20:], h.ack)
	b[24] = h.flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(data)))
	b = append(b, data...)
	binary.BigEndian.PutUint32(b[0:], sum(b))
	return b
}

// sum covers all fields but echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	const key = 0x9e3779b9
	h := uint32(2166136261) ^ key
	for i, c := range b[4:] {
		at := i + 4
		switch {
		case at == 25 || at >= 28 && at < 32:
			continue
		case at == 24:
			c &^= bounced
		}
		h = (h ^ uint32(c)) * 16777619
	}
	return max(1, h)
}

func sumOK(b []byte) bool { return binary.BigEndian.Uint32(b) == sum(b) }
