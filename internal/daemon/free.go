package daemon

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Loopback is the address that the demo and the benchmarks listen on.
var Loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// FreeAddress returns a loopback address with a UDP port that is not in use. Another
// process may bind the port before it is used.
func FreeAddress() (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(Loopback, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find free port")
	}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if err := conn.Close(); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find free port")
	}
	return address, nil
}
