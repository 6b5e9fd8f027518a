package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const resetWindow = 76800

var (
	errReset   = errors.New("reset by the system")
	errRSTByEP = errors.New("reset by the endpoint")
	errTimeout = errors.New("time budget is over")
	errNoOpen  = errors.New("no SYN+ACK within 1.4 s")
)

type (
	// consumers stand in for the consumers of a zone, who share an address.
	consumers struct {
		w     *world
		zone  string
		host  netip.Addr
		conn  *net.UDPConn
		mu    sync.Mutex
		flows map[flowID]*clientFlow
		port  uint16
	}

	// clientFlow is a flow at its consumer.
	clientFlow struct {
		c        *consumers
		id       flowID
		isn      uint32
		open     bool
		openedAt time.Time
		active   time.Time // last packet sent
		s        stream
		synAck   chan struct{}
		change   chan struct{}
		reset    error
		resetAt  time.Time
		done     bool
	}
)

func newConsumers(w *world, zone string, host netip.Addr) (*consumers, error) {
	c := &consumers{w: w, zone: zone, host: host, flows: make(map[flowID]*clientFlow), port: uint16(20000 + rand.IntN(10000))}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.at(host, portDatagrams)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c.conn = conn
	go c.receive()
	go c.tick()
	return c, nil
}

func (c *consumers) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			c.handle(buf[:n])
		}
	}
}

func (c *consumers) tick() {
	for !c.w.isOver() {
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		c.mu.Lock()
		for _, f := range c.flows {
			if f.open && f.reset == nil {
				f.s.tick(now)
			}
		}
		c.mu.Unlock()
	}
}

func (c *consumers) handle(b []byte) {
	p, err := decode(b)
	if err != nil {
		c.w.broken("MIXED", "consumer got a malformed packet: %x", b)
		return
	}
	id := flowID{p.dst, p.src}
	ownReset := p.flags == flagRST && p.sum == 0 && len(p.data) == 0
	if !ownReset && !p.genuine() {
		c.w.broken("MIXED", "consumer got a packet that its sender did not write so: %x", b)
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[id]
	if f == nil || f.reset != nil || f.done {
		return
	}
	switch {
	case ownReset:
		far := int32(p.seq - f.s.rcvNxt)
		if f.open && (far < -resetWindow || far > resetWindow) {
			return
		}
		f.reset, f.resetAt = errReset, now
		c.w.judgeReset(f, now)
		wake(f.change)
	case p.has(flagRST):
		f.reset, f.resetAt = errRSTByEP, now
		wake(f.change)
	case p.has(flagSYN | flagACK):
		if !f.open && p.ack == f.isn+1 {
			f.open, f.openedAt = true, now
			f.s.rcvNxt = p.seq + 1
			f.s.sendAck()
			close(f.synAck)
		} else if f.open && p.seq+1 == f.s.rcvNxt {
			f.s.sendAck()
		}
	case f.open:
		f.s.receive(now, p)
		wake(f.change)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// dial opens a flow to a route's address.
func (c *consumers) dial(to netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	id := flowID{netip.AddrPortFrom(c.host, c.port), to}
	f := &clientFlow{c: c, id: id, isn: rand.Uint32(), synAck: make(chan struct{}), change: make(chan struct{}, 1)}
	f.s = stream{sndNxt: f.isn + 1, send: func(seq, ack uint32, flags byte, data []byte) { f.transmit(seq, ack, flags, data) }}
	c.flows[id] = f
	c.mu.Unlock()
	start := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		select {
		case <-f.synAck:
			return f, nil
		case <-f.change:
			return f, f.resetError()
		case <-time.After(time.Until(start.Add(at))):
		}
		if copies < 3 {
			c.mu.Lock()
			f.transmit(f.isn, uint32(copies), flagSYN, nil)
			c.mu.Unlock()
		}
	}
	f.drop()
	return f, errNoOpen
}

// transmit sends a packet through the daemon that the routers select now.
func (f *clientFlow) transmit(seq, ack uint32, flags byte, data []byte) {
	f.active = time.Now()
	if to, ok := f.c.w.route(f.c.zone, f.id); ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(encode(f.id.src, f.id.dst, seq, ack, flags, data), to)
	}
}

func (f *clientFlow) resetError() error {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.reset
}

func (f *clientFlow) drop() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.done = true
	delete(f.c.flows, f.id)
}

// closeFlow ends the flow with a FIN.
func (f *clientFlow) closeFlow() {
	f.c.mu.Lock()
	f.s.finQueue = true
	f.s.pump(time.Now())
	f.c.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	f.drop()
}

// request sends a request on the open flow and waits for its answer. It returns the answer's
// signature.
func (f *clientFlow) request(method, path string, body, want int, budget time.Duration) (requestID, signature string, err error) {
	requestID = fmt.Sprintf("%016x", rand.Uint64())
	f.c.w.noteSent(requestID)
	f.c.mu.Lock()
	f.s.received = nil
	f.s.write([]byte(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Want-Bytes: %d\r\nContent-Length: %d\r\n\r\n", method, path, f.id.dst.Addr(), requestID, want, body)))
	f.s.write(bytes.Repeat([]byte{'b'}, body))
	f.s.pump(time.Now())
	f.c.mu.Unlock()
	end := time.After(budget)
	for {
		if signature, ok := f.answer(requestID, want); ok {
			return requestID, signature, nil
		}
		if err := f.resetError(); err != nil {
			return requestID, "", err
		}
		select {
		case <-f.change:
		case <-end:
			return requestID, "", errTimeout
		}
	}
}

// answer returns the signature of the answer if it is complete, and checks the answer.
func (f *clientFlow) answer(requestID string, want int) (string, bool) {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	head, rest, ok := bytes.Cut(f.s.received, []byte("\r\n\r\n"))
	if !ok {
		return "", false
	}
	length, _ := strconv.Atoi(header(string(head), "Content-Length"))
	if len(rest) < length {
		return "", false
	}
	signature := header(string(head), "X-Server-Signature")
	if header(string(head), "X-Request-Id") != requestID || signature == "" || !bytes.Equal(rest[:length], responseBody(requestID, want)) {
		f.c.w.broken("MIXED", "the answer to %s on %s is not its own", requestID, f.id)
	}
	f.s.received = nil
	return signature, true
}
