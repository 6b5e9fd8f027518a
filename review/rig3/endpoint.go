package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

type (
	// endpoint is a server of one service on a side machine. A request is one line "ID\n" of a flow's
	// bytes; its answer is "SERVICE INSTANCE ID\n".
	endpoint struct {
		site    *site
		service string
		id      string
		host    netip.Addr
		work    time.Duration
		conn    *net.UDPConn
		health  net.Listener
		done    chan struct{}
		onRun   func(e *endpoint, vip netip.AddrPort, request string)

		mu    sync.Mutex
		flows map[flowKey]*held
		seq   int
		due   time.Time // of the last ping
	}

	// held is a flow at an endpoint.
	held struct {
		open       bool
		isn, next  uint32 // the endpoint's numbers
		want       uint32 // the caller's next one
		got        []byte
		unanswered []byte // sent and not acknowledged
		unackSeq   uint32
	}
)

// startEndpoint starts an endpoint beside the agent on host n.
func (s *site) startEndpoint(n byte, service string, onRun func(*endpoint, netip.AddrPort, string)) (*endpoint, error) {
	h := s.host(n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(h, portApp)))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", s.at(h, portApp).String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	e := &endpoint{
		site: s, service: service, id: fmt.Sprintf("i-%08x", rand.Uint32()), host: h, work: 20 * time.Millisecond, conn: conn, health: l,
		done: make(chan struct{}), onRun: onRun, flows: map[flowKey]*held{}, due: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	go func() { _ = http.Serve(l, mux) }()
	go e.serve()
	go e.beat()
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	return e, nil
}

func (e *endpoint) close() {
	select {
	case <-e.done:
	default:
		close(e.done)
		e.conn.Close()
		e.health.Close()
	}
}

// beat sends the heartbeats.
func (e *endpoint) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.seq++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"seq":%d}`,
			e.service, e.site.at(e.host, portApp), zoneName, slots, e.seq)
		e.mu.Unlock()
		req, _ := http.NewRequest(http.MethodPut, "http://"+e.site.at(e.host, portControl).String()+"/instances/"+e.id, bytes.NewBufferString(body))
		req.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		} else if e.site.logPings {
			e.site.rec.line("ping %d of %s: no ack", e.seq, e.id)
		}
		select {
		case <-e.done:
			return
		case <-time.After(time.Until(e.nextPing())):
		}
	}
}

// nextPing returns when the next ping is due: pings keep their interval from the first one on.
func (e *endpoint) nextPing() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.due = e.due.Add(heartbeat); time.Until(e.due) < 0; {
		e.due = e.due.Add(heartbeat)
	}
	return e.due
}

// holds reports whether the endpoint holds an open flow.
func (e *endpoint) holds(k flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	return f != nil && f.open
}

func (e *endpoint) send(k flowKey, flags byte, seq, ackNo uint32, data []byte) {
	b := encode(header{src: k.vip, dst: k.caller, flags: flags, seq: seq, ack: ackNo}, data)
	_, _ = e.conn.WriteToUDPAddrPort(b, e.site.at(e.host, portOutbound))
}

func (e *endpoint) serve() {
	buf := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, data, ok := decode(buf[:n])
		if !ok || !sumOK(buf[:n]) {
			e.site.rec.line("endpoint %s gets a packet that its sender did not write so: %x", e.id, buf[:n])
			continue
		}
		e.handle(buf[:n], h, data)
	}
}

func (e *endpoint) handle(packet []byte, h header, data []byte) {
	k := flowKey{h.src, h.dst}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	if h.has(syn) {
		if f == nil {
			f = &held{isn: rand.Uint32(), want: h.seq + 1}
			f.next = f.isn + 1
			e.flows[k] = f
		}
		if !f.open {
			e.send(k, syn|ack, f.isn, f.want, nil)
		}
		return
	}
	if f != nil && !f.open && h.has(ack) && h.ack == f.isn+1 {
		f.open = true
		if e.site.visits != nil {
			e.site.visits.add(k, e.id, true)
		}
	}
	if e.site.visits != nil {
		e.site.visits.add(k, e.id, false)
	}
	if f == nil || !f.open {
		packet[24] |= bounced
		packet[25] = 0
		_, _ = e.conn.WriteToUDPAddrPort(packet, e.site.at(e.host, portOutbound))
		return
	}
	if h.has(rst) {
		delete(e.flows, k)
		return
	}
	if h.ack == f.next {
		f.unanswered = nil
	}
	if len(data) > 0 {
		if h.seq != f.want { // a copy
			if f.unanswered != nil {
				e.send(k, ack, f.unackSeq, f.want, f.unanswered)
			} else {
				e.send(k, ack, f.next, f.want, nil)
			}
			return
		}
		f.want += uint32(len(data))
		f.got = append(f.got, data...)
		for {
			line, rest, found := bytes.Cut(f.got, []byte("\n"))
			if !found {
				break
			}
			request := string(line)
			f.got = append([]byte(nil), rest...)
			e.site.rec.line("endpoint %s of %s runs %s of %s", e.id, e.service, request, k.vip)
			e.onRun(e, k.vip, request)
			go e.answer(k, f, request)
		}
	}
	if h.has(fin) {
		e.send(k, ack|fin, f.next, f.want+1, nil)
		delete(e.flows, k)
	}
}

// answer answers a request after its work, and repeats the answer until it is acknowledged.
func (e *endpoint) answer(k flowKey, f *held, request string) {
	time.Sleep(e.work)
	data := []byte(fmt.Sprintf("%s %s %s\n", e.service, e.id, request))
	e.mu.Lock()
	seq := f.next
	f.next += uint32(len(data))
	f.unanswered, f.unackSeq = data, seq
	e.mu.Unlock()
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		e.mu.Lock()
		if f.unanswered == nil || e.flows[k] != f {
			e.mu.Unlock()
			return
		}
		e.send(k, ack, seq, f.want, data)
		e.mu.Unlock()
		select {
		case <-e.done:
			return
		case <-time.After(wait):
		}
		if wait >= 1600*time.Millisecond {
			return
		}
	}
}
