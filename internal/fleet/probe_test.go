package fleet

import (
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
)

// newFullListener returns the address of a listener that neither accepts nor refuses connections.
func newFullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*syscall.SockaddrInet4).Port))
	for range 100 {
		conn, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener has no end")
	return address
}

// TestOnlyRefusedProbeEndsUpstream guards against resets of the flows of a slow upstream: its
// heartbeat is overdue, and the agent's probe gets no answer.
func TestOnlyRefusedProbeEndsUpstream(t *testing.T) {
	is := is.New(t)
	p, _ := newLoggedProcess()
	a := &Agent{process: p}
	a.relay = relay.New(peer.Addr{10, 0, 0, 1}, peer.Service("maklerlink"), p.codec, a)
	is.Equal(heartbeat(a, "i-1", heartbeatBody(nil)), http.StatusOK)
	a.settings.UpstreamAddress = newFullListener(t)
	a.checkOverdueUpstream()
	is.True(!a.status().Empty)

	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	a.settings.UpstreamAddress = closed.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(closed.Close())
	a.checkOverdueUpstream()
	is.True(a.status().Empty)
}

// TestDeregisteredUpstreamThatListensHasNotEnded guards against resets of living flows by a late
// deregistration of an ended start: the next one has the same id and listens at the address.
func TestDeregisteredUpstreamThatListensHasNotEnded(t *testing.T) {
	is := is.New(t)
	p, _ := newLoggedProcess()
	a := &Agent{process: p}
	a.relay = relay.New(peer.Addr{10, 0, 0, 1}, peer.Service("maklerlink"), p.codec, a)
	is.Equal(heartbeat(a, "i-1", heartbeatBody(nil)), http.StatusOK)
	upstream, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	a.settings.UpstreamAddress = upstream.Addr().(*net.TCPAddr).AddrPort()
	a.relay.HandleDeregistration(a.now(), "i-1")
	p.started = p.started.Add(-time.Minute) // time passes
	is.True(a.relay.Leaving(a.now()))
	a.checkLeavingUpstream()
	is.True(!a.status().Empty)

	is.NoErr(upstream.Close())
	p.started = p.started.Add(-time.Minute)
	a.checkLeavingUpstream()
	is.True(a.status().Empty)
}
