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
	// lagProbeBytes is the length of a probe: shorter than any packet.
	lagProbeBytes = 8
	// lagProbeTimeout is the wait after which a probe is taken as dropped by a full
	// socket. No socket that is read holds a second's packets.
	lagProbeTimeout = time.Second
)

// lagProbe measures how long packets wait in the socket for callers' packets:
// the process sends itself a datagram now and then.
type lagProbe struct {
	peerConn *net.UDPConn
	to       netip.AddrPort // the socket for callers' packets
	from     netip.AddrPort

	mu       sync.Mutex
	number   uint64
	sentAt   time.Duration
	inFlight bool
	lag      time.Duration // of the last probe
}

func newLagProbe(peers, callers *net.UDPConn) *lagProbe {
	return &lagProbe{peerConn: peers, to: localAddress(callers), from: localAddress(peers)}
}

func localAddress(conn *net.UDPConn) netip.AddrPort {
	a := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// send sends a probe unless one is on its way, and returns how long the last
// one took, or how long the present one has been on its way if that is longer.
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
		return l.lag, errors.Wrap(err, "probe of the own socket")
	}
	return l.lag, nil
}

// handleProbe reports whether a datagram is a probe, and takes it in.
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
