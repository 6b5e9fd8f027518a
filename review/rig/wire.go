package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// wire carries the connections between an endpoint and its daemon, and can hold one up.
type wire struct {
	w        *world
	to       netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	holdNext bool
	released chan struct{}
}

func newWire(w *world, at, to netip.AddrPort) (*wire, error) {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	l := &wire{w: w, to: to, listener: listener, released: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			held := l.holdNext
			l.holdNext = false
			l.mu.Unlock()
			go l.carry(conn, held)
		}
	}()
	return l, nil
}

// hold makes the wire delay what the next connection sends until release.
func (l *wire) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdNext = true
}

func (l *wire) release() { close(l.released) }

func (l *wire) carry(conn net.Conn, held bool) {
	defer conn.Close()
	if !held {
		out, err := net.DialTimeout("tcp4", l.to.String(), time.Second)
		if err != nil {
			return
		}
		defer out.Close()
		go func() { _, _ = io.Copy(out, conn) }()
		_, _ = io.Copy(conn, out)
		return
	}
	sent, _ := io.ReadAll(conn) // until its sender has given up or ended
	l.w.note("a ping is delayed: %d bytes", len(sent))
	<-l.released
	out, err := net.DialTimeout("tcp4", l.to.String(), time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	_, _ = out.Write(sent)
	answer := make([]byte, 64)
	n, _ := out.Read(answer)
	l.w.note("the delayed ping has arrived: %q", answer[:min(n, 15)])
}
