package fleetdemo

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo answers each line until its listener is closed.
func echo(t *testing.T) string {
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

// TestProxyFaults covers each fault on an open connection.
func TestProxyFaults(t *testing.T) {
	for fault, name := range map[proxyFault]string{delays: "delays", cutsAnswers: "cuts answers", cutsCalls: "cuts calls", holds: "holds"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := newProxy("127.0.0.1", echo(t))
			is.NoErr(err)
			conn, err := net.Dial("tcp4", p.address())
			is.NoErr(err)
			answers := bufio.NewReader(conn)
			ask := func() { _, err := io.WriteString(conn, "x\n"); is.NoErr(err) }
			ask()
			line, err := answers.ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "x\n")

			p.set(fault)
			ask()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
			_, err = answers.ReadString('\n')
			is.True(err != nil) // nothing comes, and nothing is closed
			is.True(err.(net.Error).Timeout())
			is.NoErr(conn.SetReadDeadline(time.Time{}))
			p.set(passes)
			line, err = answers.ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "x\n")

			p.reset()
			_, err = answers.ReadString('\n')
			is.True(err != nil)
			is.NoErr(p.close())
		})
	}
}
