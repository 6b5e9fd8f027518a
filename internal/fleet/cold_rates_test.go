package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// TestAgentsLearnColdRatesWithConfiguration guards against cold upstreams that get openings without a
// limit: after a loss of all power, an agent reports to an entry that has no configuration yet, and the
// reply to its next report is due 2 s later only. A configuration with the same rates is not announced.
func TestAgentsLearnColdRatesWithConfiguration(t *testing.T) {
	is := is.New(t)
	agent := netip.MustParseAddr("127.0.98.2")
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: agent.AsSlice()})
	is.NoErr(err)
	defer conn.Close()
	address := netip.MustParseAddrPort("127.0.98.1:0")
	e, err := NewEntry(&platform.Settings{
		Address: address.Addr(), DatagramAddress: address, ReadyAddress: address, PeerPort: uint16(conn.LocalAddr().(*net.UDPAddr).Port),
	}, zap.NewNop())
	is.NoErr(err)
	defer e.callerConn.Close()
	defer e.peerConn.Close()

	report, err := peer.Encode(peer.Report, peer.Status{Incarnation: 1, Sequence: 1, Service: "a"})
	is.NoErr(err)
	is.NoErr(e.handleReport(peer.NewAddr(agent), report))
	hello := readHello(t, conn)
	is.Equal(hello.ConfigVersion, uint64(0))
	is.Equal(len(hello.ColdRates), 0)
	for _, c := range []struct {
		version uint64
		rate    float64
		want    bool // the agent is told
	}{{1, 20, true}, {2, 20, false}, {3, 5, true}, {4, 0, true}} {
		text := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"a","cold-per-s":%v}]}`, c.version, c.rate)
		is.NoErr(e.config.apply([]byte(text), "test", 0))
		if c.want {
			hello := readHello(t, conn)
			is.Equal(hello.ConfigVersion, c.version)
			is.Equal(hello.ColdRates["a"], c.rate)
		}
	}
}

// readHello returns the next hello message of a socket.
func readHello(t *testing.T, conn *net.UDPConn) (hello peer.HelloMessage) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	b := make([]byte, peer.MaxFrame)
	n, err := conn.Read(b)
	is.NoErr(err)
	kind, err := peer.KindOf(b[:n])
	is.NoErr(err)
	is.Equal(kind, peer.Hello)
	is.NoErr(peer.DecodeMessage(b[:n], &hello))
	return hello
}
