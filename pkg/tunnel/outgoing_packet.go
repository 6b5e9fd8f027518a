package tunnel

import "net/netip"

// OutgoingPacket is a packet and the UDP address to send it to.
type OutgoingPacket struct {
	address netip.AddrPort
	packet  Packet
}

// NewOutgoingPacket returns a copy of the packet to be sent to the address.
func NewOutgoingPacket(address netip.AddrPort, p *Packet) OutgoingPacket {
	return OutgoingPacket{address: address, packet: *p}
}

// Address returns the UDP address of the destination.
func (o *OutgoingPacket) Address() netip.AddrPort { return o.address }

// Packet returns the packet to send, which may be modified in place.
func (o *OutgoingPacket) Packet() *Packet { return &o.packet }
