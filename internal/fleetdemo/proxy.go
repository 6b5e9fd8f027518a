package fleetdemo

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The faults that a proxy injects. With noFault all data passes unchanged.
const (
	noFault proxyFault = iota
	delayData
	// blockResponses and blockRequests block one direction, blockBoth both. The
	// data waits until the fault ends, and the connections stay open.
	blockResponses
	blockRequests
	blockBoth
	proxyFaultCount
)

const (
	// proxyDelay is the delay of each piece of data during delayData: longer than
	// the store takes to respond, shorter than the timeouts of its clients.
	proxyDelay       = 300 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

type (
	proxyFault int

	// proxy is a TCP proxy between one process and the store that injects faults.
	proxy struct {
		listener net.Listener
		target   string // address of the store

		mu         sync.Mutex
		changed    *sync.Cond // signals that fault or closed has changed
		fault      proxyFault
		closed     bool
		conns      map[net.Conn]struct{} // of both ends
		goroutines sync.WaitGroup
	}
)

// newProxy listens on a free port of a host, and forwards connections to the
// address target until it is closed.
func newProxy(host, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the proxy")
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault starts a fault, or ends it with noFault.
func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.changed.Broadcast()
}

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset; fails if already closed
		}
		_ = conn.Close()
	}
}

// close closes the listener and all connections and waits for the goroutines.
func (p *proxy) close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	err := p.listener.Close()
	p.resetConns()
	p.goroutines.Wait()
	return err
}

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(conn) })
	}
}

// serve forwards one connection in both directions until either end closes it.
func (p *proxy) serve(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	var dialer net.Dialer
	store, err := dialer.DialContext(context.Background(), "tcp4", p.target)
	if err != nil || !p.track(store) {
		return
	}
	defer p.untrack(store)
	var responses sync.WaitGroup
	responses.Go(func() { p.forward(client, store, blockResponses) })
	p.forward(store, client, blockRequests)
	responses.Wait()
}

// forward copies one direction until either end closes. blockedBy is the fault
// that blocks just this direction.
func (p *proxy) forward(to, from net.Conn, blockedBy proxyFault) {
	defer to.Close()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitForFault(blockedBy) {
			return
		}
		if _, failed := to.Write(buf[:n]); failed != nil || err != nil {
			return // a closed or reset connection ends both directions
		}
	}
}

// waitForFault sleeps for proxyDelay if the fault is delayData, and then blocks
// while the fault is blockedBy or blockBoth. It returns false if the proxy is
// closed.
func (p *proxy) waitForFault(blockedBy proxyFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == delayData {
		p.mu.Unlock()
		time.Sleep(proxyDelay)
		p.mu.Lock()
	}
	for !p.closed && (p.fault == blockedBy || p.fault == blockBoth) {
		p.changed.Wait()
	}
	return !p.closed
}

// track adds a connection to those that resetConns closes. It closes the
// connection and returns false if the proxy is closed.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

// untrack closes a connection and removes it.
func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close() // resetConns may already have closed it
}
