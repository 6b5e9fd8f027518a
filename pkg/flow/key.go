// Package flow identifies flows and keeps tables of them.
//
// A flow is all datagrams between one caller address and one address of a
// service (the VIP). Its Key holds the addresses; its Digest is a keyed
// 128-bit hash of the Key, the same on every node that shares the hash key,
// and the identity under which nodes speak of the flow.
//
// # Usage
//
//	hasher := flow.NewHasher([16]byte{1, 2, 3})
//	key := flow.NewKey(service, transport, caller, vip)
//	digest := hasher.Digest(key)
//	table := flow.NewTable[state](1000)
//	table.With(digest, func(s *flow.Shard[state]) { s.Put(digest, state{}) })
package flow

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/dchest/siphash"
)

const (
	// UDP is the IP protocol number of UDP.
	UDP Transport = 17

	keyBytes = 4 + 1 + 2*(16+2)
)

type (
	// ServiceID names a service between processes.
	ServiceID uint32

	// Transport is an IP protocol number.
	Transport uint8

	// Epoch tells successive flows with the same Key apart. A later flow has
	// a larger epoch. Unit: nanoseconds since 1970 at the node that opened it.
	Epoch uint64

	// Digest identifies a flow between nodes.
	Digest [16]byte

	// Key holds the addresses of a flow.
	Key struct {
		service   ServiceID
		transport Transport
		caller    netip.AddrPort
		vip       netip.AddrPort
	}

	// Hasher computes digests under one secret key.
	Hasher struct {
		k0, k1 uint64
	}
)

// NewKey returns the key of a flow. IPv4 addresses in IPv6 form are unmapped.
func NewKey(service ServiceID, transport Transport, caller, vip netip.AddrPort) Key {
	return Key{
		service:   service,
		transport: transport,
		caller:    unmap(caller),
		vip:       unmap(vip),
	}
}

// Service returns the service of the flow.
func (k Key) Service() ServiceID { return k.service }

// Transport returns the IP protocol number of the flow.
func (k Key) Transport() Transport { return k.transport }

// Caller returns the address of the caller.
func (k Key) Caller() netip.AddrPort { return k.caller }

// VIP returns the address of the service that the caller uses.
func (k Key) VIP() netip.AddrPort { return k.vip }

// String returns the key as "service caller>vip".
func (k Key) String() string { return k.caller.String() + ">" + k.vip.String() }

// NewHasher returns a hasher with a 128-bit secret. All nodes of a site share it.
func NewHasher(secret [16]byte) Hasher {
	return Hasher{
		k0: binary.LittleEndian.Uint64(secret[:8]),
		k1: binary.LittleEndian.Uint64(secret[8:]),
	}
}

// Digest returns the digest of a key. It does not allocate.
func (h Hasher) Digest(k Key) Digest {
	var b [keyBytes]byte
	binary.BigEndian.PutUint32(b[0:], uint32(k.service))
	b[4] = byte(k.transport)
	putAddr(b[5:], k.caller)
	putAddr(b[5+18:], k.vip)
	lo, hi := siphash.Hash128(h.k0, h.k1, b[:])
	var d Digest
	binary.BigEndian.PutUint64(d[:8], lo)
	binary.BigEndian.PutUint64(d[8:], hi)
	return d
}

// RendezvousKey returns the part of the digest that orders members for the flow.
func (d Digest) RendezvousKey() uint64 { return binary.BigEndian.Uint64(d[8:]) }

// String returns the first half of the digest in hexadecimal, for log lines.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Compare orders digests.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

func (d Digest) shard() int { return int(d[0]) % shardCount }

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}
