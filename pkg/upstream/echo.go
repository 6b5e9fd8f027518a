package upstream

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Echo is a test upstream. It replies to each datagram with its own name, a space
// and the datagram.
type Echo struct {
	name string
	conn *net.UDPConn
	done chan error
}

// NewEcho opens the socket of a test upstream. Port 0 selects a free port.
func NewEcho(name string, address netip.AddrPort) (*Echo, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "echo: listen")
	}
	return &Echo{name: name, conn: conn, done: make(chan error, 1)}, nil
}

// Address returns the address of the socket.
func (e *Echo) Address() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Start starts a goroutine that replies until the context is canceled. Done
// receives its result.
func (e *Echo) Start(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	go func() {
		defer stop()
		e.done <- e.serve()
	}()
}

// Done returns a channel that receives the result of the goroutine that Start
// started, once it has ended.
func (e *Echo) Done() <-chan error { return e.done }

func (e *Echo) serve() error {
	buf := make([]byte, maxDatagram)
	reply := []byte(e.name + " ")
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			continue
		}
		reply = append(reply[:len(e.name)+1], buf[:n]...)
		if _, err := e.conn.WriteToUDPAddrPort(reply, from); errors.Is(err, net.ErrClosed) {
			return nil
		}
	}
}
