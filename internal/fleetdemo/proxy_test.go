package fleetdemo

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a TCP server that echoes all data until the test ends,
// and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestProxyFaultsHoldBackResponses covers each fault on an open connection: no
// response arrives within 50 ms, and it arrives after the end of the fault. Then
// resetConns closes the connection.
func TestProxyFaultsHoldBackResponses(t *testing.T) {
	for fault, name := range map[proxyFault]string{delayData: "delay data", blockResponses: "block responses", blockRequests: "block requests", blockBoth: "block both"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := newProxy("127.0.0.1", startEchoServer(t))
			is.NoErr(err)
			conn, err := net.Dial("tcp4", p.address())
			is.NoErr(err)
			responses := bufio.NewReader(conn)
			sendRequest := func() { _, err := io.WriteString(conn, "x\n"); is.NoErr(err) }
			sendRequest()
			line, err := responses.ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "x\n")

			p.setFault(fault)
			sendRequest()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
			_, err = responses.ReadString('\n')
			is.True(err != nil) // no response, and the connection stays open
			is.True(err.(net.Error).Timeout())
			is.NoErr(conn.SetReadDeadline(time.Time{}))
			p.setFault(noFault)
			line, err = responses.ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "x\n")

			p.resetConns()
			_, err = responses.ReadString('\n')
			is.True(err != nil)
			is.NoErr(p.close())
		})
	}
}
