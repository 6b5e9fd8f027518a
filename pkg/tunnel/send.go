package tunnel

import "net/netip"

// OutgoingPacket is a packet and the process to send it to.
type OutgoingPacket struct {
	address netip.AddrPort
	packet  Packet
}

// NewOutgoingPacket returns a packet on its way to the address.
func NewOutgoingPacket(address netip.AddrPort, p *Packet) OutgoingPacket {
	return OutgoingPacket{address: address, packet: *p}
}

// Address returns the UDP address of the receiver.
func (s *OutgoingPacket) Address() netip.AddrPort { return s.address }

// Packet returns the packet.
func (s *OutgoingPacket) Packet() *Packet { return &s.packet }
