package fleetdemo

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The faults of a proxy.
const (
	passes proxyFault = iota
	delays
	// cutsAnswers and cutsCalls hold back one direction, holds both. Bytes wait
	// until the fault ends, and connections stay open meanwhile.
	cutsAnswers
	cutsCalls
	holds
	proxyFaults
)

const (
	// proxyDelay is how much later each piece arrives while a proxy delays:
	// longer than the store's answers take, shorter than its callers wait.
	proxyDelay = 300 * time.Millisecond
	proxyPiece = 16 << 10
)

type (
	proxyFault int

	// proxy stands between one process and the store.
	proxy struct {
		listener net.Listener
		to       string

		mu      sync.Mutex
		changed *sync.Cond
		fault   proxyFault
		closed  bool
		conns   map[net.Conn]struct{}
		work    sync.WaitGroup
	}
)

// newProxy listens on a free port of a host. It forwards to the given address
// until it is closed.
func newProxy(host, to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: listener, to: to, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.work.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set begins a fault, or ends it with passes.
func (p *proxy) set(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.changed.Broadcast()
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it may have been closed meanwhile
		}
		_ = conn.Close()
	}
}

// close ends the proxy and waits for its goroutines.
func (p *proxy) close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	err := p.listener.Close()
	p.reset()
	p.work.Wait()
	return err
}

// accept ends when the listener is closed.
func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.serve(conn) })
	}
}

func (p *proxy) serve(caller net.Conn) {
	if !p.track(caller) {
		return
	}
	defer p.forget(caller)
	var dialer net.Dialer
	store, err := dialer.DialContext(context.Background(), "tcp4", p.to)
	if err != nil || !p.track(store) {
		return
	}
	defer p.forget(store)
	var answers sync.WaitGroup
	answers.Go(func() { p.forward(caller, store, cutsAnswers) })
	p.forward(store, caller, cutsCalls)
	answers.Wait()
}

// forward copies one direction until either end closes.
func (p *proxy) forward(to, from net.Conn, cut proxyFault) {
	defer to.Close()
	buf := make([]byte, proxyPiece)
	for {
		n, err := from.Read(buf)
		if !p.wait(cut) {
			return
		}
		if _, failed := to.Write(buf[:n]); failed != nil || err != nil {
			return // a closed or reset connection ends both directions
		}
	}
}

// wait returns when a piece may pass, and false once the proxy is closed.
func (p *proxy) wait(cut proxyFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == delays {
		p.mu.Unlock()
		time.Sleep(proxyDelay)
		p.mu.Lock()
	}
	for !p.closed && (p.fault == cut || p.fault == holds) {
		p.changed.Wait()
	}
	return !p.closed
}

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

func (p *proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close() // it may have been reset on purpose
}
