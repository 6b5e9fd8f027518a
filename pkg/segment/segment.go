// Package segment describes the packets that callers and upstreams exchange.
//
// A flow carries the data of one connection in packets of its own transport
// protocol. The load balancer routes by the header of a packet and does not change
// what the sender wrote.
//
// # Usage
//
//	flow := segment.NewFlow(caller, vip)
//	if header.Has(segment.Open) { ... }
package segment

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"
)

const (
	// Open requests a new flow. With Ack it accepts one.
	Open Flags = 1 << iota
	// Ack means that the acknowledgement number is valid.
	Ack
	// Fin means that the sender has no more data.
	Fin
	// Reset aborts the flow.
	Reset
	// Bounced marks a caller's packet that an upstream sent back to its agent, as it
	// does not hold the flow or does not accept it. The agent clears the flag before
	// it forwards the packet or returns it to the entry, see peer.Returned.
	Bounced
)

// flowSize is the size of an encoded flow in bytes.
const flowSize = 12

var (
	// ErrBounced reports a packet from a caller that is marked as bounced by an
	// upstream.
	ErrBounced = errors.New("bounced packet of a caller")

	errShortFlow = errors.New("short flow")
)

type (
	// Flags is a set of packet flags.
	Flags uint8

	// Flow identifies a flow by its two endpoints: the caller's address and the
	// VIP. It is comparable and small, so that it can serve as a map key.
	Flow struct {
		caller     [4]byte
		vip        [4]byte
		callerPort uint16
		vipPort    uint16
	}

	// Header is the decoded header of a packet.
	Header struct {
		// Flow identifies the flow, independent of the direction of the packet.
		Flow Flow
		// Sequence is the sequence number of the packet's first byte of data.
		Sequence uint32
		// Acknowledged is the sequence number of the next byte that the sender
		// expects. In a retransmitted opening packet it numbers the copies instead.
		Acknowledged uint32
		// Flags are the packet's flags.
		Flags Flags
		// Length is the number of bytes of data.
		Length uint16
		// Tag is a value that an upstream preserves in a packet that it bounces.
		Tag uint32
	}
)

// NewFlow returns the flow between an IPv4 caller and an IPv4 VIP. It panics if either
// address is not IPv4.
func NewFlow(caller, vip netip.AddrPort) Flow {
	return Flow{
		caller:     caller.Addr().Unmap().As4(),
		vip:        vip.Addr().Unmap().As4(),
		callerPort: caller.Port(),
		vipPort:    vip.Port(),
	}
}

// Caller returns the caller's address.
func (f Flow) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.caller), f.callerPort)
}

// VIP returns the VIP, the address that the caller sends to.
func (f Flow) VIP() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(f.vip), f.vipPort) }

// Hash returns a hash of the flow that is the same in every process. It mixes the
// endpoints with the finalizer of SplitMix64.
func (f Flow) Hash() uint64 {
	h := uint64(binary.BigEndian.Uint32(f.caller[:]))<<32 | uint64(binary.BigEndian.Uint32(f.vip[:]))
	h ^= (uint64(f.callerPort)<<16 | uint64(f.vipPort)) * 0x9e3779b97f4a7c15
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Compare orders flows by their encoded form.
func (f Flow) Compare(other Flow) int {
	var a, b [flowSize]byte
	return bytes.Compare(f.Append(a[:0]), other.Append(b[:0]))
}

// String returns the flow as "caller>vip", the identifier in log lines.
func (f Flow) String() string { return fmt.Sprintf("%s>%s", f.Caller(), f.VIP()) }

// Has reports whether all the given flags are set.
func (h Header) Has(f Flags) bool { return h.Flags&f == f }

// Opens reports whether the packet is a caller's request to open a flow.
func (h Header) Opens() bool { return h.Flags&(Open|Ack) == Open }

// Append appends the 12 bytes of the encoded flow to b.
func (f Flow) Append(b []byte) []byte {
	b = append(b, f.caller[:]...)
	b = append(b, f.vip[:]...)
	b = binary.BigEndian.AppendUint16(b, f.callerPort)
	return binary.BigEndian.AppendUint16(b, f.vipPort)
}

// DecodeFlow decodes a flow that Append encoded. It ignores extra bytes, and returns
// an error if b is too short.
func DecodeFlow(b []byte) (Flow, error) {
	var f Flow
	if len(b) < flowSize {
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
