// Package flow identifies flows and keeps tables of them.
//
// A flow is all datagrams between one caller address and one address of a
// service (the VIP). Its Key holds the addresses. Its Digest is a keyed 128-bit
// hash of the Key: every node that shares the hash secret computes the same
// Digest, and nodes identify the flow by it in the packets that they exchange.
//
// # Usage
//
//	hasher := flow.NewHasher([16]byte{1, 2, 3})
//	key := flow.NewKey(service, transport, caller, vip)
//	digest := hasher.Digest(key)
//	table := flow.NewTable[state](1000)
//	table.WithShard(digest, func(s *flow.Shard[state]) { s.Put(digest, state{}) })
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

	// keyBytes is the length of the hashed key: service, transport and two
	// addresses of an IPv6 address and a port each.
	keyBytes = 4 + 1 + 2*(16+2)
)

type (
	// ServiceID identifies a service in packets between processes.
	ServiceID uint32

	// Transport is an IP protocol number.
	Transport uint8

	// Epoch distinguishes successive flows with the same Key. A later flow has a
	// larger epoch. It is in nanoseconds since 1970, by the clock of the node that
	// opened the flow, or the earlier flow's epoch plus 1 if that is larger.
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

	// Hasher computes digests with one secret SipHash key.
	Hasher struct {
		k0, k1 uint64
	}
)

// NewKey returns the key of a flow. IPv4-mapped IPv6 addresses are converted to
// IPv4.
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

// VIP returns the address of the service to which the caller sends.
func (k Key) VIP() netip.AddrPort { return k.vip }

// String returns the key as "caller>vip".
func (k Key) String() string { return k.caller.String() + ">" + k.vip.String() }

// NewHasher returns a Hasher with a 128-bit secret, which all nodes of a site must
// share.
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

// RendezvousKey returns the last 8 bytes of the digest, which are the key of the
// flow for rendezvous hashing.
func (d Digest) RendezvousKey() uint64 { return binary.BigEndian.Uint64(d[8:]) }

// String returns the first half of the digest in hexadecimal, for log lines.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Compare compares digests bytewise and returns -1, 0 or 1.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

// shard returns the index of the shard of tables and caches that holds d.
func (d Digest) shard() int { return int(d[0]) % shardCount }

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// putAddr writes an address as 16 bytes of IPv6 address and 2 bytes of port.
func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}
