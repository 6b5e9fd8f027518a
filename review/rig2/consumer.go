package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// resetWindow is how far a reset's seq may lie from the last ack of an open flow.
const resetWindow = 76800

// How an attempt ended.
const (
	served    = "served"
	notOpened = "not opened"
	resetOwn  = "reset by the system"
	resetApp  = "reset by the endpoint"
	deadline  = "deadline"
)

type (
	// consumers are the clients of a site. They share an address.
	consumers struct {
		site *site
		conn *net.UDPConn

		mu       sync.Mutex
		flows    map[uint16]*flow
		nextPort uint16
		results  map[string]int
		ends     map[string]string           // how each request of once ended
		sent     map[flowKey][]time.Duration // when the SYN of each flow and its copies were sent
		forged   int
	}

	// flow is a flow at a consumer.
	flow struct {
		c          *consumers
		port       uint16
		route      netip.AddrPort
		in         chan packet
		open       bool
		seq        uint32 // next of the consumer
		ack        uint32 // last acknowledgement sent
		lastReset  time.Duration
		resets     int // resets of the system while it was open
		endpointID string
	}
)

func (s *site) newConsumers() (*consumers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(s.consumerHost(), portDatagrams)))
	if err != nil {
		return nil, err
	}
	c := &consumers{site: s, conn: conn, flows: map[uint16]*flow{}, nextPort: 20000, results: map[string]int{}, ends: map[string]string{}, sent: map[flowKey][]time.Duration{}}
	go c.receive()
	return c, nil
}

// receive passes the packets for the consumers on to their flows.
func (c *consumers) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, ok := decode(buf[:n])
		if !ok || !genuine(buf[:n]) && !(p.sum == 0 && p.flags == flagReset && len(p.data) == 0) {
			c.mu.Lock()
			c.forged++
			c.mu.Unlock()
			c.site.record.add("a consumer gets a packet that its sender did not write so: %x", buf[:n])
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.route != p.src {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// newFlow returns a flow from a new port.
func (c *consumers) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	f := &flow{c: c, port: c.nextPort, route: route, in: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.port] = f
	return f
}

func (f *flow) key() flowKey {
	return flowKey{consumer: netip.AddrPortFrom(f.c.site.consumerHost(), f.port), route: f.route}
}

// send sends a packet through the routers.
func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	if to, ok := f.c.site.routeFlow(f.key()); ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(packet{src: f.key().consumer, dst: f.route, flags: flags, seq: seq, ack: ack, data: data}.encode(), to)
	}
}

// isSystemReset reports whether a packet is a reset of the system's own.
func isSystemReset(p packet) bool { return p.flags == flagReset && p.sum == 0 }

// connect opens the flow. It sends the SYN, and copies after 200 and 600 ms.
func (f *flow) connect() string {
	start := f.seq
	f.seq++
	begun := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for n := range 3 {
		f.c.recordSent(f.key())
		f.send(flagOpen, start, uint32(n), nil)
		for timeout := time.After(time.Until(begun.Add(copies[n+1]))); ; {
			select {
			case <-timeout:
			case p := <-f.in:
				switch {
				case isSystemReset(p):
					return resetOwn
				case p.flags&flagReset != 0:
					return resetApp
				case p.flags&(flagOpen|flagAck) == flagOpen|flagAck && p.ack == f.seq:
					f.open, f.ack = true, p.seq+1
					f.send(flagAck, f.seq, f.ack, nil)
					return served
				}
				continue
			}
			break
		}
	}
	return notOpened
}

// request sends a request on the open flow and waits for its answer.
func (f *flow) request(id string, budget time.Duration) string {
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\n\r\n", id)
	seq := f.seq
	f.seq += uint32(len(data))
	end := time.After(budget)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagAck, seq, f.ack, data)
		for again := time.After(wait); ; {
			select {
			case <-end:
				return deadline
			case <-again:
			case p := <-f.in:
				if end, result := f.handle(p, id); end {
					return result
				}
				continue
			}
			break
		}
	}
}

// handle handles a packet on the open flow. It reports whether that ends the request.
func (f *flow) handle(p packet, id string) (end bool, result string) {
	switch {
	case isSystemReset(p):
		if distance := int32(p.seq - f.ack); distance < -resetWindow || distance > resetWindow {
			return false, ""
		}
		f.resets++
		f.lastReset = f.c.site.record.now()
		f.open = false
		f.c.site.record.add("consumer %s gets a reset of the system on its open flow", f.key().consumer)
		return true, resetOwn
	case p.flags&flagReset != 0:
		f.open = false
		return true, resetApp
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		flags := byte(flagAck)
		if p.flags&flagFin != 0 {
			f.ack++
			f.open = false
			flags |= flagFin
		}
		f.send(flags, f.seq, f.ack, nil)
		if requestID(p.data) != id {
			f.c.site.record.add("consumer %s gets the answer to %q on request %q", f.key().consumer, requestID(p.data), id)
		}
		_, rest, _ := strings.Cut(string(p.data), "X-Server-Signature: ")
		f.endpointID, _, _ = strings.Cut(rest, "\r\n")
		return true, served
	}
	return false, ""
}

// idle lets the flow be idle for a time, in which it only takes packets.
func (f *flow) idle(d time.Duration) {
	for end := time.After(d); ; {
		select {
		case <-end:
			return
		case p := <-f.in:
			if ended, _ := f.handle(p, ""); ended && !f.open {
				return
			}
		}
	}
}

// close closes the flow if it is open.
func (f *flow) close() {
	if f.open {
		f.send(flagFin|flagAck, f.seq, f.ack, nil)
	}
	time.AfterFunc(time.Second, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		delete(f.c.flows, f.port)
	})
}

// once sends one request over a flow of its own.
func (c *consumers) once(route netip.AddrPort, id string) string {
	f := c.newFlow(route)
	result := f.connect()
	if result == served {
		result = f.request(id, 2*time.Second)
	}
	f.close()
	c.count(result)
	c.mu.Lock()
	c.ends[id] = result
	c.mu.Unlock()
	c.site.record.add("request %s of flow %s: %s", id, f.key().consumer, result)
	return result
}

func (c *consumers) count(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[result]++
}

// load sends requests, each over a flow of its own, until stop is closed.
func (c *consumers) load(route netip.AddrPort, perSecond int, stop <-chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / time.Duration(perSecond)):
		}
		wait.Go(func() { c.once(route, fmt.Sprintf("q-%d", n)) })
	}
}

// hashOf returns the hash by which the routers choose an entry for a flow.
func hashOf(key flowKey, entry netip.Addr) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, key.consumer, key.route, entry)
	return h.Sum64()
}

// recordSent records that the next SYN of a flow is sent now.
func (c *consumers) recordSent(key flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[key] = append(c.sent[key], c.site.record.now())
}

// sentAt returns when the SYN that an endpoint took was sent.
func (c *consumers) sentAt(o opening) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[o.flow][o.number]
}

// mostWithin returns the largest number of openings that were sent and taken within the same d.
func (c *consumers) mostWithin(d time.Duration, openings []opening) int {
	most := 0
	for _, first := range openings {
		begin, n := c.sentAt(first), 0
		for _, o := range openings {
			if c.sentAt(o) >= begin && o.at < begin+d {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// lost returns the requests that an endpoint has begun to run and whose consumers got no answer.
func (c *consumers) lost(e *endpoint) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id := range e.ran {
		if c.ends[id] != served {
			out = append(out, id)
		}
	}
	return out
}
