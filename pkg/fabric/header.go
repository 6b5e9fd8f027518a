// Package fabric encodes and decodes the datagrams that entries exchange with the
// network fabric, which distributes callers' datagrams over the entries.
//
// Where an entry cannot listen on the VIP of a service itself, the fabric prefixes
// each datagram with a PROXY protocol version 2 header (DGRAM) that contains the
// caller's address as source and the VIP as destination. The entry's replies carry
// the same header with source and destination exchanged. Sprayer simulates such a
// fabric for tests and the demo.
//
// # Usage
//
//	b, err := fabric.Wrap(nil, caller, vip, payload)
//	source, destination, payload, err := fabric.Unwrap(b)
package fabric

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/pires/go-proxyproto"
)

const proxyVersion = 2

// ErrInvalidHeader is returned for a datagram without a valid PROXY protocol
// version 2 header for UDP.
var ErrInvalidHeader = errors.New("fabric: no valid PROXY v2 datagram header")

// Wrap appends a PROXY header with the given addresses and the payload to b and
// returns the extended slice. It returns b and an error if one address is IPv4 and the
// other IPv6.
func Wrap(b []byte, source, destination netip.AddrPort, payload []byte) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(proxyVersion, net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
	formatted, err := header.Format()
	if err != nil {
		return b, errors.Wrap(err, "fabric: format header")
	}
	b = append(b, formatted...)
	return append(b, payload...), nil
}

// Unwrap returns the addresses in the PROXY header of a datagram and the payload
// after it. The payload is a subslice of b. An invalid header gives an error that
// matches ErrInvalidHeader.
func Unwrap(b []byte) (source, destination netip.AddrPort, payload []byte, err error) {
	rest := bytes.NewReader(b)
	buffered := bufio.NewReaderSize(rest, max(len(b), 16)) // the fixed part of a header has 16 bytes
	header, err := proxyproto.Read(buffered)
	if err != nil {
		return source, destination, nil, errors.Wrap(ErrInvalidHeader, err.Error())
	}
	from, to, ok := header.UDPAddrs()
	if !ok {
		return source, destination, nil, ErrInvalidHeader
	}
	unread := buffered.Buffered() + rest.Len()
	return unmap(from), unmap(to), b[len(b)-unread:], nil
}

// unmap converts IPv4-mapped IPv6 addresses to IPv4.
func unmap(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
