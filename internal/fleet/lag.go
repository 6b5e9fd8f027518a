package fleet

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// lagProbeBytes is the length of a probe: shorter than any packet of a
	// caller.
	lagProbeBytes = 8
	// lagProbeTimeout is the time after which a probe counts as dropped by a
	// full socket buffer. The buffer of a socket that is being read never holds
	// a second's packets.
	lagProbeTimeout = time.Second
)

// lagProbe measures how long packets wait in the buffer of the socket for
// callers' packets. The process sends datagrams to that socket, one at a time,
// and times their arrival.
type lagProbe struct {
	peerConn *net.UDPConn
	to       netip.AddrPort // address of the socket for callers' packets
	from     netip.AddrPort // address from which probes are sent

	mu       sync.Mutex
	number   uint64 // of the last probe sent
	sentAt   time.Duration
	inFlight bool
	lag      time.Duration // of the last completed probe
}

// newLagProbe returns a probe of callerConn that sends from peerConn.
func newLagProbe(peerConn, callerConn *net.UDPConn) *lagProbe {
	return &lagProbe{peerConn: peerConn, to: localAddress(callerConn), from: localAddress(peerConn)}
}

// localAddress returns the address and port to which a socket is bound.
func localAddress(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// send sends a probe unless one is in flight. It returns the lag that the last
// probe measured, or how long the probe in flight has been waiting if that is
// longer. A probe that times out counts with its waiting time. If the probe cannot
// be sent, send returns an error, and later calls treat it as in flight, too.
func (l *lagProbe) send(now time.Duration) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight && now-l.sentAt < lagProbeTimeout {
		return max(l.lag, now-l.sentAt), nil
	}
	if l.inFlight {
		l.lag = now - l.sentAt
	}
	l.number++
	l.sentAt, l.inFlight = now, true
	var b [lagProbeBytes]byte
	binary.BigEndian.PutUint64(b[:], l.number)
	if _, err := l.peerConn.WriteToUDPAddrPort(b[:], l.to); err != nil {
		return l.lag, errors.Wrap(err, "send lag probe")
	}
	return l.lag, nil
}

// handleProbe reports whether a datagram is a probe of this process, and
// records the lag if it is the one in flight.
func (l *lagProbe) handleProbe(now time.Duration, from netip.AddrPort, b []byte) bool {
	if len(b) != lagProbeBytes || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != l.from {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight && binary.BigEndian.Uint64(b) == l.number {
		l.inFlight, l.lag = false, now-l.sentAt
	}
	return true
}
