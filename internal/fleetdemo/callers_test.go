package fleetdemo

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

// TestResetDuringPause guards against a soak that passes over a reset: an entry resets a flow
// between two requests of its caller, and the upstream that holds it ends before the next one.
func TestResetDuringPause(t *testing.T) {
	is := is.New(t)
	s := &site{network: 1, port: 9000, log: zap.NewNop()}
	c := &callers{site: s, inboxes: make(map[segment.Flow]chan arrival)}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	c.conn = conn
	entry, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 3)}, conn.LocalAddr().(*net.UDPAddr))
	is.NoErr(err)

	f := &callerFlow{flow: segment.NewFlow(netip.MustParseAddrPort("100.64.0.7:1025"), vip), inbox: make(chan arrival, inboxSize), isn: 7, ack: 8}
	c.inboxes[f.flow] = f.inbox
	u := &upstream{site: s, id: "u-0", flows: map[segment.Flow]*heldFlow{f.flow: {isn: f.isn, open: true}}}
	s.upstreams = []*upstream{u}
	received := make(chan error, 1)
	go func() { received <- c.receive() }()
	sendReset := func() {
		_, err := entry.Write(platform.EncodeReset(f.flow, f.ack))
		is.NoErr(err)
		for end := time.Now().Add(10 * time.Second); len(f.inbox) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	sendReset()
	u.mu.Lock()
	u.flows = nil
	u.mu.Unlock()
	is.True(c.wasReset(f))
	report := c.report()
	is.Equal(report.Broken, 1)
	is.True(strings.HasPrefix(report.BrokenFlows[0], "entry 127.0.0.3 reset flow "+f.flow.String()+" at "))
	is.True(strings.HasSuffix(report.BrokenFlows[0], ", which upstream u-0 held"))

	sendReset() // the upstream has ended
	is.True(c.wasReset(f))
	is.Equal(c.report().Broken, 1)
	is.Equal(c.report().Resets, 2)
	is.NoErr(conn.Close())
	is.NoErr(<-received)
	is.NoErr(entry.Close())
}
