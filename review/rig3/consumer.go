package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type (
	// consumer is a client with one address. It opens flows from ports that are never used again.
	consumer struct {
		site *site
		host netip.Addr
		conn *net.UDPConn

		mu    sync.Mutex
		port  uint16
		flows map[flowKey]*flow
	}

	// flow is an open flow of a consumer.
	flow struct {
		c        *consumer
		k        flowKey
		in       chan arrival
		seq, ack uint32
	}

	arrival struct {
		h    header
		data []byte
	}
)

func (s *site) newConsumer(n byte) (*consumer, error) {
	h := s.host(n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(h, portDatagrams)))
	if err != nil {
		return nil, err
	}
	c := &consumer{site: s, host: h, conn: conn, port: 40000, flows: map[flowKey]*flow{}}
	go c.receive()
	go func() { <-s.ctx.Done(); conn.Close() }()
	return c, nil
}

func (c *consumer) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, data, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{h.dst, h.src}]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- arrival{h, append([]byte(nil), data...)}:
			default:
			}
		}
	}
}

func (c *consumer) send(k flowKey, flags byte, seq, ackNo uint32, data []byte) {
	if to, ok := c.site.route(k); ok {
		_, _ = c.conn.WriteToUDPAddrPort(encode(header{src: k.caller, dst: k.vip, flags: flags, seq: seq, ack: ackNo}, data), to)
	}
}

// open opens a flow: a SYN, and copies after 200 ms and 600 ms.
func (c *consumer) open(vip netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.port++
	k := flowKey{netip.AddrPortFrom(c.host, c.port), vip}
	f := &flow{c: c, k: k, in: make(chan arrival, 64), seq: rand.Uint32()}
	c.flows[k] = f
	c.mu.Unlock()
	begin := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for n := 0; ; {
		if n < len(copies) && time.Since(begin) >= copies[n] {
			c.send(k, syn, f.seq, uint32(n), nil)
			n++
		}
		next := 1400 * time.Millisecond
		if n < len(copies) {
			next = copies[n]
		}
		select {
		case a := <-f.in:
			switch {
			case a.h.has(rst):
				f.forget()
				return nil, fmt.Errorf("reset before it was open")
			case a.h.has(syn) && a.h.has(ack):
				f.seq++
				f.ack = a.h.seq + 1
				c.send(k, ack, f.seq, f.ack, nil)
				return f, nil
			}
		case <-time.After(next - time.Since(begin)):
			if time.Since(begin) >= 1400*time.Millisecond {
				f.forget()
				return nil, fmt.Errorf("no answer to the opening")
			}
		}
	}
}

func (f *flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.k)
	if v := f.c.site.visits; v != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.ended[f.k] = time.Now()
	}
}

// request sends a request and waits for its answer for the time budget.
func (f *flow) request(id string, budget time.Duration) (string, error) {
	data := []byte(id + "\n")
	begin, wait := time.Now(), 200*time.Millisecond
	f.c.send(f.k, ack, f.seq, f.ack, data)
	resend := begin.Add(wait)
	end := f.seq + uint32(len(data))
	for {
		select {
		case a := <-f.in:
			switch {
			case a.h.has(rst):
				if d := int32(a.h.seq - f.ack); d > -76800 && d < 76800 {
					f.forget()
					return "", fmt.Errorf("reset")
				}
			case len(a.data) > 0 && a.h.seq == f.ack:
				f.ack += uint32(len(a.data))
				f.seq = end
				f.c.send(f.k, ack, f.seq, f.ack, nil)
				return strings.TrimSpace(string(a.data)), nil
			case len(a.data) > 0:
				f.c.send(f.k, ack, f.seq, f.ack, nil)
			}
		case <-time.After(time.Until(resend)):
			f.c.send(f.k, ack, f.seq, f.ack, data)
			wait = min(2*wait, 1600*time.Millisecond)
			resend = time.Now().Add(wait)
		case <-time.After(time.Until(begin.Add(budget))):
			f.forget()
			return "", fmt.Errorf("no answer within %s", budget)
		}
	}
}

func (f *flow) close() {
	f.c.send(f.k, ack|fin, f.seq, f.ack, nil)
	f.forget()
}
