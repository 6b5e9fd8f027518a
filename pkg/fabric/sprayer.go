package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// maxDatagram is the size of a receive buffer in bytes. Longer datagrams are truncated.
const maxDatagram = 9000

// Sprayer simulates a fabric that sprays packets: it listens on the VIPs of the
// services and forwards each datagram to a random entry, without flow affinity.
type Sprayer struct {
	mu        sync.Mutex
	entries   []netip.AddrPort
	random    *rand.Rand
	vipConns  map[netip.AddrPort]*net.UDPConn
	entryConn *net.UDPConn // sends datagrams to the entries and receives their replies
	done      []chan error // one for each goroutine that Start started
}

// NewSprayer opens one socket for each VIP, and one at the address reply, to which
// entries send their replies. Port 0 selects a free port. The seed determines to
// which entries datagrams are forwarded.
func NewSprayer(seed uint64, reply netip.AddrPort, vips []netip.AddrPort) (*Sprayer, error) {
	s := &Sprayer{
		random:   rand.New(rand.NewPCG(seed, seed)),
		vipConns: make(map[netip.AddrPort]*net.UDPConn),
	}
	entryConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(reply))
	if err != nil {
		return nil, errors.Wrap(err, "fabric: listen")
	}
	s.entryConn = entryConn
	for _, vip := range vips {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(vip))
		if err != nil {
			return nil, errors.Join(errors.Wrap(err, "fabric: listen"), s.Close())
		}
		bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		s.vipConns[bound] = conn
	}
	return s, nil
}

// ReplyAddress returns the address to which entries send their replies.
func (s *Sprayer) ReplyAddress() netip.AddrPort {
	return s.entryConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetEntries replaces the addresses of the entries that receive datagrams.
func (s *Sprayer) SetEntries(entries []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
}

// Start starts goroutines that forward datagrams until the context is canceled.
func (s *Sprayer) Start(ctx context.Context) {
	for vip, conn := range s.vipConns {
		s.startLoop(ctx, conn, func() error { return s.forwardRequests(vip, conn) })
	}
	s.startLoop(ctx, s.entryConn, s.forwardReplies)
}

// Close closes the sockets and waits until the goroutines that Start started have
// ended.
func (s *Sprayer) Close() error {
	errs := []error{s.entryConn.Close()}
	for _, conn := range s.vipConns {
		errs = append(errs, conn.Close())
	}
	for _, done := range s.done {
		errs = append(errs, <-done)
	}
	return errors.Join(errs...)
}

// startLoop runs loop in a goroutine and closes conn when the context is canceled.
func (s *Sprayer) startLoop(ctx context.Context, conn *net.UDPConn, loop func() error) {
	done := make(chan error, 1)
	s.done = append(s.done, done)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	go func() {
		defer stop()
		err := loop()
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
		done <- err
	}()
}

// forwardRequests forwards callers' datagrams to random entries. It drops them if
// there are no entries.
func (s *Sprayer) forwardRequests(vip netip.AddrPort, conn *net.UDPConn) error {
	in := make([]byte, maxDatagram)
	var out []byte
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return err
		}
		entry, ok := s.randomEntry()
		if !ok {
			continue
		}
		if out, err = Wrap(out[:0], caller, vip, in[:n]); err != nil {
			return err
		}
		if _, err := s.entryConn.WriteToUDPAddrPort(out, entry); err != nil && errors.Is(err, net.ErrClosed) {
			return err
		}
	}
}

// forwardReplies forwards entries' replies to the callers. It drops datagrams with an
// invalid header or an unknown VIP.
func (s *Sprayer) forwardReplies() error {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := s.entryConn.ReadFromUDPAddrPort(in)
		if err != nil {
			return err
		}
		vip, caller, payload, err := Unwrap(in[:n])
		if err != nil {
			continue
		}
		conn, ok := s.vipConns[vip]
		if !ok {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(payload, caller); err != nil && errors.Is(err, net.ErrClosed) {
			return err
		}
	}
}

// randomEntry returns the address of a random entry, or false if there is none.
func (s *Sprayer) randomEntry() (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return netip.AddrPort{}, false
	}
	return s.entries[s.random.IntN(len(s.entries))], true
}
