// Package upstream exchanges datagrams with the upstream on the same instance as
// an agent.
//
// Sockets keeps one connected UDP socket for each flow. The upstream thus sees a
// separate peer address for each flow, and the socket on which a reply arrives
// identifies the flow. A reply that arrives after its flow has ended is lost,
// because its socket is closed.
//
// # Usage
//
//	sockets := upstream.NewSockets(ctx, address, func(d flow.Digest, e flow.Epoch, b []byte) { ... })
//	err := sockets.Deliver(digest, epoch, payload)
//	sockets.CloseFlow(digest, epoch)
//	err = sockets.Close()
package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/flow"
)

// maxDatagram is the size of a receive buffer in bytes. Longer datagrams are truncated.
const maxDatagram = 9000

var bufferPool = sync.Pool{New: func() any { return new([maxDatagram]byte) }}

type (
	// ReplyFunc handles a reply of the upstream. It must not retain payload.
	ReplyFunc func(d flow.Digest, e flow.Epoch, payload []byte)

	// Sockets holds the sockets of all open flows of one upstream. It is safe for
	// concurrent use.
	Sockets struct {
		ctx     context.Context
		cancel  context.CancelFunc
		address netip.AddrPort
		onReply ReplyFunc

		mu    sync.Mutex
		flows map[flow.Digest]*socket
	}

	socket struct {
		epoch flow.Epoch
		conn  *net.UDPConn
		done  chan error
	}
)

// NewSockets returns an empty set of sockets for the upstream at the given address.
// Each flow calls reply from a goroutine of its own. Once ctx is canceled, no further
// sockets are opened.
func NewSockets(ctx context.Context, address netip.AddrPort, reply ReplyFunc) *Sockets {
	ctx, cancel := context.WithCancel(ctx)
	return &Sockets{
		ctx:     ctx,
		cancel:  cancel,
		address: address,
		onReply: reply,
		flows:   make(map[flow.Digest]*socket),
	}
}

// Deliver sends a datagram of a flow to the upstream. It opens the socket of the
// flow if necessary.
func (s *Sockets) Deliver(d flow.Digest, e flow.Epoch, payload []byte) error {
	sock, err := s.socketFor(d, e)
	if err != nil {
		return err
	}
	if _, err := sock.conn.Write(payload); err != nil {
		return errors.Wrap(err, "upstream: write")
	}
	return nil
}

// CloseFlow closes the socket of a flow, unless it belongs to another epoch.
func (s *Sockets) CloseFlow(d flow.Digest, e flow.Epoch) error {
	s.mu.Lock()
	sock, ok := s.flows[d]
	if !ok || sock.epoch != e {
		s.mu.Unlock()
		return nil
	}
	delete(s.flows, d)
	s.mu.Unlock()
	return sock.close()
}

// Close closes all sockets and waits until their readers have ended.
func (s *Sockets) Close() error {
	s.cancel()
	s.mu.Lock()
	open := s.flows
	s.flows = make(map[flow.Digest]*socket)
	s.mu.Unlock()
	var errs []error
	for _, sock := range open {
		errs = append(errs, sock.close())
	}
	return errors.Join(errs...)
}

// Len returns the number of open sockets.
func (s *Sockets) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flows)
}

// socketFor returns the socket of a flow and opens it if necessary. A socket of
// another epoch is closed and replaced.
func (s *Sockets) socketFor(d flow.Digest, e flow.Epoch) (*socket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.flows[d]
	if ok && old.epoch == e {
		return old, nil
	}
	if err := s.ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "upstream: closed")
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		return nil, errors.Wrap(err, "upstream: dial")
	}
	sock := &socket{epoch: e, conn: conn, done: make(chan error, 1)}
	s.flows[d] = sock
	go func() { sock.done <- s.readLoop(d, sock) }()
	if ok {
		return sock, old.close()
	}
	return sock, nil
}

// readLoop passes the upstream's replies to onReply until the socket is closed. Read
// errors such as ECONNREFUSED do not end a flow: the upstream may not have started yet.
func (s *Sockets) readLoop(d flow.Digest, sock *socket) error {
	raw, err := sock.conn.SyscallConn()
	if err != nil {
		return nil // the socket was closed before the first read
	}
	for {
		if err := raw.Read(func(fd uintptr) bool { return s.readReply(d, sock, int(fd)) }); err != nil {
			return nil // the socket was closed
		}
	}
}

// readReply reads one reply. It returns false if there is none, so that
// syscall.RawConn.Read waits until the socket is readable, and true after a reply or
// another read error, which it ignores. No buffer is held while waiting, because most
// flows are idle most of the time.
func (s *Sockets) readReply(d flow.Digest, sock *socket, fd int) bool {
	buf := bufferPool.Get().(*[maxDatagram]byte)
	defer bufferPool.Put(buf)
	n, err := syscall.Read(fd, buf[:])
	if errors.Is(err, syscall.EAGAIN) {
		return false
	}
	if err == nil {
		s.onReply(d, sock.epoch, buf[:n])
	}
	return true
}

// close closes the socket and waits until its reader has ended.
func (s *socket) close() error {
	if err := s.conn.Close(); err != nil {
		return errors.Wrap(err, "upstream: close")
	}
	return <-s.done
}
