package peer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

const (
	// digestSize is the size in bytes of the digest in a ServiceID: too many for two names to share
	// it by chance.
	digestSize = 12
	// digestSlotSize is the number of bytes of the digest in one address of a frame's list,
	// see Frame.Append, and digestSlots the number of addresses that hold it.
	digestSlotSize = 3
	digestSlots    = digestSize / digestSlotSize
)

// ServiceID identifies a service by 128 bits that are made from its name: the first bytes of
// the SHA-256 digest of the name, and a 32-bit FNV-1a hash, the short identifier, which is all
// that builds up to 7053056 exchange. Different names may have the same short identifier. The
// zero value means no service.
//
// A ServiceID with the short identifier alone comes from such a build or from saved flows.
// Matches compares any two; == compares those that Service returns.
type ServiceID struct {
	short  uint32
	digest [digestSize]byte // zero if unknown
}

// Service returns the identifier of the service with the given name.
func Service(name string) ServiceID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never returns an error
	id := ServiceID{short: max(1, h.Sum32())}
	sum := sha256.Sum256([]byte(name))
	copy(id.digest[:], sum[:])
	return id
}

// ShortService returns the ServiceID of which only the short identifier is known.
func ShortService(short uint32) ServiceID { return ServiceID{short: short} }

// Short returns the short identifier, 0 for no service.
func (s ServiceID) Short() uint32 { return s.short }

// IsNone reports whether s stands for no service.
func (s ServiceID) IsNone() bool { return s.short == 0 }

// Complete reports whether more than the short identifier is known.
func (s ServiceID) Complete() bool { return s.digest != [digestSize]byte{} }

// IsShort reports whether only the short identifier of a service is known.
func (s ServiceID) IsShort() bool { return !s.IsNone() && !s.Complete() }

// Matches reports whether both identify the same service, by the short identifiers if only
// that of one is known. No service matches none.
func (s ServiceID) Matches(other ServiceID) bool {
	if s.IsNone() || s.short != other.short {
		return false
	}
	return s.digest == other.digest || !s.Complete() || !other.Complete()
}

// String returns the identifier in hexadecimal digits.
func (s ServiceID) String() string {
	if !s.Complete() {
		return fmt.Sprintf("%08x", s.short)
	}
	return fmt.Sprintf("%08x-%x", s.short, s.digest)
}

// appendDigest appends the digest as addresses whose first byte is 0, which no process has.
func (s ServiceID) appendDigest(b []byte) []byte {
	for d := s.digest[:]; len(d) > 0; d = d[digestSlotSize:] {
		b = append(append(b, 0), d[:digestSlotSize]...)
	}
	return b
}

// decodeDigest returns the digest at the head of a list of count addresses, false if there is none.
func decodeDigest(b []byte, count int) (digest [digestSize]byte, ok bool) {
	if count < digestSlots {
		return digest, false
	}
	for n := range digestSlots {
		slot := b[n*addrSize:]
		if slot[0] != 0 {
			return digest, false
		}
		copy(digest[n*digestSlotSize:], slot[1:addrSize])
	}
	return digest, true
}

// decodeServiceID decodes the short identifier and, from the list of count addresses at the head
// of list, the digest if the sender has sent it.
func decodeServiceID(short, list []byte, count int) ServiceID {
	s := ServiceID{short: binary.BigEndian.Uint32(short)}
	if digest, ok := decodeDigest(list, count); ok && !s.IsNone() {
		s.digest = digest
	}
	return s
}
