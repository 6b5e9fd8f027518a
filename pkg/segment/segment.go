// Package segment describes the packets that callers and upstreams exchange.
//
// A flow carries the bytes of one connection in packets of its own transport.
// The load balancer routes by the head of a packet and never changes what a
// sender wrote.
//
// # Usage
//
//	flow := segment.NewFlow(caller, vip)
//	if head.Has(segment.Open) { ... }
package segment

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// Open asks for a new flow, or accepts one when Ack is set as well.
	Open Flags = 1 << iota
	// Ack says that the acknowledgement number is valid.
	Ack
	// Fin says that the sender has no more data.
	Fin
	// Reset aborts the flow.
	Reset
	// Bounced marks a packet that an upstream returned because it holds no
	// such flow or cannot take it.
	Bounced
)

const flowBytes = 12

var (
	// ErrBounced reports a packet that claims to have been returned by an
	// upstream but came from a caller.
	ErrBounced = errors.New("bounced packet of a caller")

	errShortFlow = errors.New("short flow")
)

type (
	// Flags is a set of packet flags.
	Flags uint8

	// Flow identifies a flow by its two ends: the caller and the address of
	// the service (the VIP). It is comparable and small, to serve as a map key.
	Flow struct {
		caller     [4]byte
		vip        [4]byte
		callerPort uint16
		vipPort    uint16
	}

	// Header is the decoded head of a packet.
	Header struct {
		// Flow names the two ends, whichever of them sent the packet.
		Flow Flow
		// Sequence numbers the first byte of data that the packet carries.
		Sequence uint32
		// Acknowledged is the next byte that the sender expects; on a copy of
		// an opening packet it counts the copies.
		Acknowledged uint32
		// Flags are the packet's flags.
		Flags Flags
		// Length is the number of bytes of data.
		Length uint16
		// Tag comes back unchanged in a bounced packet.
		Tag uint32
	}
)

// NewFlow returns the flow between an IPv4 caller and an IPv4 VIP.
func NewFlow(caller, vip netip.AddrPort) Flow {
	return Flow{
		caller:     caller.Addr().Unmap().As4(),
		vip:        vip.Addr().Unmap().As4(),
		callerPort: caller.Port(),
		vipPort:    vip.Port(),
	}
}

// Caller returns the caller's end.
func (f Flow) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.caller), f.callerPort)
}

// VIP returns the service's end.
func (f Flow) VIP() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(f.vip), f.vipPort) }

// Hash returns a hash of the flow that is the same on every node.
func (f Flow) Hash() uint64 {
	h := uint64(binary.BigEndian.Uint32(f.caller[:]))<<32 | uint64(binary.BigEndian.Uint32(f.vip[:]))
	h ^= (uint64(f.callerPort)<<16 | uint64(f.vipPort)) * 0x9e3779b97f4a7c15
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Compare orders flows.
func (f Flow) Compare(other Flow) int {
	var a, b [flowBytes]byte
	return bytes.Compare(f.Append(a[:0]), other.Append(b[:0]))
}

// String returns the flow as "caller>vip", the id that log lines use.
func (f Flow) String() string { return fmt.Sprintf("%s>%s", f.Caller(), f.VIP()) }

// Has reports whether all the given flags are set.
func (h Header) Has(f Flags) bool { return h.Flags&f == f }

// Opens reports whether a caller sent the packet to open a flow.
func (h Header) Opens() bool { return h.Flags&(Open|Ack) == Open }

// Append appends the 12 bytes of the flow to b.
func (f Flow) Append(b []byte) []byte {
	b = append(b, f.caller[:]...)
	b = append(b, f.vip[:]...)
	b = binary.BigEndian.AppendUint16(b, f.callerPort)
	return binary.BigEndian.AppendUint16(b, f.vipPort)
}

// DecodeFlow decodes what Append wrote.
func DecodeFlow(b []byte) (Flow, error) {
	var f Flow
	if len(b) < flowBytes {
		return f, errShortFlow
	}
	copy(f.caller[:], b[0:])
	copy(f.vip[:], b[4:])
	f.callerPort = binary.BigEndian.Uint16(b[8:])
	f.vipPort = binary.BigEndian.Uint16(b[10:])
	return f, nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (f Flow) MarshalBinary() ([]byte, error) { return f.Append(nil), nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (f *Flow) UnmarshalBinary(b []byte) error {
	decoded, err := DecodeFlow(b)
	*f = decoded
	return err
}
