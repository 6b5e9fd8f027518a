// Package daemon provides what entries and agents share: the UDP socket between
// them, the metrics server, and logging.
//
// # Usage
//
//	socket, err := daemon.Listen(address, keys)
//	socket.Start(ctx, readers, func(from netip.AddrPort, p *tunnel.Packet) { ... })
//	err = socket.Send(address, packet)
package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/tunnel"
)

const (
	maxSenders       = 65536   // senders that the opener tracks
	socketBufferSize = 4 << 20 // bytes
)

type (
	// ReceiveFunc handles one packet. It must not retain the packet or its payload,
	// which are overwritten by the next one.
	ReceiveFunc func(from netip.AddrPort, p *tunnel.Packet)

	// Socket sends and receives sealed packets over UDP.
	Socket struct {
		conn    *net.UDPConn
		sealer  *tunnel.Sealer
		opener  *tunnel.Opener
		buffers sync.Pool
		drops   map[tunnel.Reason]*atomic.Int64
		done    []chan error
	}
)

// Listen opens a socket at the address. Port 0 chooses a free port.
func Listen(address netip.AddrPort, keys tunnel.Keys) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "tunnel socket")
	}
	if err := errors.Join(conn.SetReadBuffer(socketBufferSize), conn.SetWriteBuffer(socketBufferSize)); err != nil {
		return nil, errors.Join(errors.Wrap(err, "tunnel socket"), conn.Close())
	}
	s := &Socket{
		conn:    conn,
		sealer:  tunnel.NewSealer(keys, uint64(time.Now().UnixNano())),
		opener:  tunnel.NewOpener(keys, maxSenders),
		buffers: sync.Pool{New: func() any { return new([tunnel.MaxDatagram]byte) }},
		drops:   make(map[tunnel.Reason]*atomic.Int64),
	}
	for _, r := range tunnel.Reasons() {
		s.drops[r] = &atomic.Int64{}
	}
	return s, nil
}

// Address returns the bound address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Start reads packets with the given number of goroutines until the context
// ends or the socket is closed. Each goroutine calls receive, so calls may overlap.
func (s *Socket) Start(ctx context.Context, readers int, receive ReceiveFunc) {
	for range readers {
		done := make(chan error, 1)
		s.done = append(s.done, done)
		go func() { done <- s.read(ctx, receive) }()
	}
}

// Send seals and sends a packet.
func (s *Socket) Send(to netip.AddrPort, p *tunnel.Packet) error {
	buf := s.buffers.Get().(*[tunnel.MaxDatagram]byte)
	defer s.buffers.Put(buf)
	b, err := s.sealer.Seal(buf[:0], p)
	if err != nil {
		return errors.Wrap(err, "tunnel socket")
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		return errors.Wrap(err, "tunnel socket")
	}
	return nil
}

// SendAll seals and sends packets, and logs those that cannot be sent.
func (s *Socket) SendAll(sends []tunnel.OutgoingPacket, log *zap.Logger) {
	for i := range sends {
		if err := s.Send(sends[i].Address(), sends[i].Packet()); err != nil {
			log.Warn("packet not sent", zap.Stringer("to", sends[i].Address()), zap.Error(err))
		}
	}
}

// SetKeys replaces the keys. Packets are sealed with the first key, and accepted
// with any.
func (s *Socket) SetKeys(keys tunnel.Keys) {
	s.opener.SetKeys(keys)
	s.sealer.SetKeys(keys)
}

// Drops returns how many received datagrams were dropped, by reason.
func (s *Socket) Drops() map[string]int64 {
	counts := make(map[string]int64)
	for r, n := range s.drops {
		counts[r.String()] = n.Load()
	}
	return counts
}

// Close closes the socket and waits for its readers.
func (s *Socket) Close() error {
	errs := []error{s.conn.Close()}
	for _, done := range s.done {
		errs = append(errs, <-done)
	}
	return errors.Join(errs...)
}

// read receives datagrams until the context ends or the socket is closed. Those that
// fail verification or decoding are counted by reason and dropped.
func (s *Socket) read(ctx context.Context, receive ReceiveFunc) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // ends a pending read
	defer stop()
	// The read truncates a datagram to the buffer. With one byte more than
	// MaxDatagram, Open still detects one that is too long (ReasonOversized).
	buf := make([]byte, tunnel.MaxDatagram+1)
	var p tunnel.Packet
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // for example, the receiver of an earlier datagram refused it (ICMP)
		}
		if err := s.opener.Open(buf[:n], &p); err != nil {
			s.drops[tunnel.ReasonOf(err)].Add(1)
			continue
		}
		receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &p)
	}
}
