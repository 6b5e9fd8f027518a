package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	zoneName = "graz-nord"
	slots    = 2
	// metricsPort is that of the deploy file.
	metricsPort = 9402
)

// heartbeat is the interval of the endpoints' pings, by the site.
var heartbeat = 770 * time.Millisecond

// The ports of each host, as offsets from the site's first port.
const (
	portInternal = iota
	portInternal2
	portDatagrams
	portReady
	portControl
	portOutbound
	portApp
	portCount
)

type (
	// site is one small deployment on loopback addresses.
	site struct {
		program string
		dir     string
		net     byte
		port    int
		store   *store
		storeAt string
		rec     *record
		visits  *visits // nil unless a case needs it
		// logPings records pings without an ack.
		logPings bool

		mu        sync.Mutex
		procs     []*proc
		endpoints []*endpoint
		stop      context.CancelFunc
		ctx       context.Context
	}

	// proc is an entry or an agent, started by the command of the deploy file.
	proc struct {
		site   *site
		role   string
		host   netip.Addr
		path   string
		env    map[string]any
		mu     sync.Mutex
		cmd    *exec.Cmd
		ended  chan struct{}
		state  *os.ProcessState
		keep   bool // start again after an end
		ready  bool // in rotation
		misses int
	}

	// record writes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		begin time.Time
		f     *os.File
	}
)

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begin: time.Now(), f: f}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

// newSite starts the store on a loopback network and a block of ports that are free.
func newSite(program, dir string, rec *record) (*site, error) {
	for range 50 {
		s := &site{program: program, dir: dir, net: byte(20 + rand.IntN(220)), store: newStore(), rec: rec, port: 20000 + rand.IntN(8000)}
		if !s.free() {
			continue
		}
		l, err := net.Listen("tcp4", s.host(251).String()+":0")
		if err != nil {
			continue
		}
		s.storeAt = l.Addr().String()
		go func() { _ = http.Serve(l, s.store) }()
		s.ctx, s.stop = context.WithCancel(context.Background())
		return s, nil
	}
	return nil, errors.New("no free loopback network")
}

// free reports whether the ports of the site and that of the metrics are free on its network.
func (s *site) free() bool {
	ports := []int{metricsPort}
	for offset := range portCount {
		ports = append(ports, s.port+offset)
	}
	for _, port := range ports {
		at := fmt.Sprintf("%s:%d", s.host(1), port)
		l, err := net.Listen("tcp4", at)
		if err != nil {
			return false
		}
		l.Close()
		c, err := net.ListenPacket("udp4", at)
		if err != nil {
			return false
		}
		c.Close()
	}
	return true
}

func (s *site) host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 77, s.net, n}) }

func (s *site) at(h netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(h, uint16(s.port+offset))
}

// startProc starts an entry (service empty) or an agent on a host.
func (s *site) startProc(role string, n byte, service string) (*proc, error) {
	h := s.host(n)
	class, listen := "front", map[string]any{"datagrams": s.at(h, portDatagrams), "ready": s.at(h, portReady), "control": s.at(h, portControl)}
	if role == "agent" {
		class = "side"
		listen["outbound"] = s.at(h, portOutbound)
	}
	seeds := []netip.AddrPort{s.at(s.host(1), portControl), s.at(s.host(2), portControl)}
	env := map[string]any{
		"node-name": fmt.Sprintf("%s-%d", class, n), "role": role, "machine-class": class, "serves": []string{class}, "ip": h, "zone": zoneName,
		"region": "steiermark", "zones": map[string]string{zoneName: "steiermark"}, "listen": listen,
		"internal-ports": []int{s.port + portInternal, s.port + portInternal2}, "seeds": seeds, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{"stable-window-ms": 4000, "drain-ms": 3000, "grace-s": 6, "config-apply-ms": 3000, "rollback-slack-ms": 250,
			"recovery-s": 12, "flow-ms": 2000, "flow-lifetime-s": 60},
		"hash": "steady", "deploy-mode": "agent",
		"platform": map[string]any{"address": s.storeAt, "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if role == "agent" {
		env["service"], env["app"] = service, s.at(h, portApp)
	}
	p := &proc{site: s, role: role, host: h, path: filepath.Join(s.dir, fmt.Sprintf("%s-%d", role, n)), env: env, keep: true}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p, p.start()
}

func (p *proc) start() error {
	b, err := json.Marshal(p.env)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path+".json", b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.site.program, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYHOOK_BOOT=" + p.path + ".json"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.state = cmd.ProcessState
		again := p.keep
		p.mu.Unlock()
		p.site.rec.line("process %s %s ended: %s", p.role, p.host, cmd.ProcessState)
		close(ended)
		if !again {
			return
		}
		time.Sleep(700 * time.Millisecond) // the platform starts it again after a short delay
		p.mu.Lock()
		again = p.keep
		p.env["bootstrap"] = false
		p.mu.Unlock()
		if again {
			_ = p.start()
			p.site.rec.line("process %s %s started again", p.role, p.host)
		}
	}()
	return nil
}

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.site.rec.line("signal %s to %s %s", sig, p.role, p.host)
	_ = p.cmd.Process.Signal(sig)
}

// awaitEnd waits for the end of the present process and returns how it ended.
func (p *proc) awaitEnd(d time.Duration) (*os.ProcessState, bool) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.state, true
	case <-time.After(d):
		return nil, false
	}
}

// close ends all processes and stand-ins.
func (s *site) close() {
	s.stop()
	s.mu.Lock()
	procs, endpoints := s.procs, s.endpoints
	s.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		p.keep = false
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range procs {
		p.awaitEnd(2 * time.Second)
	}
	for _, e := range endpoints {
		e.close()
	}
}

// probe is the routers' health check of the entries.
func (s *site) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for s.ctx.Err() == nil {
		begin := time.Now()
		s.mu.Lock()
		procs := s.procs
		s.mu.Unlock()
		var all sync.WaitGroup
		for _, p := range procs {
			if p.role != "entry" {
				continue
			}
			all.Go(func() {
				resp, err := client.Get("http://" + s.at(p.host, portReady).String() + "/ready")
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				before := p.ready
				if ok {
					p.ready, p.misses = true, 0
				} else if p.misses++; p.misses >= 2 {
					p.ready = false
				}
				if before != p.ready {
					s.rec.line("router: entry %s in rotation: %v", p.host, p.ready)
				}
			})
		}
		all.Wait()
		time.Sleep(500*time.Millisecond - time.Since(begin))
	}
}

// route returns the entry to which the routers send the packets of a flow ("steady": rendezvous).
func (s *site) route(k flowKey) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pick := func(all bool) (best *proc) {
		var score uint64
		for _, p := range s.procs {
			if p.role == "entry" && (all || p.ready) {
				if v := mix(k, p.host); best == nil || v > score {
					best, score = p, v
				}
			}
		}
		return best
	}
	ready, total := 0, 0
	for _, p := range s.procs {
		if p.role == "entry" {
			total++
			if p.ready {
				ready++
			}
		}
	}
	best := pick(2*ready < total)
	if best == nil {
		return netip.AddrPort{}, false
	}
	return s.at(best.host, portDatagrams), true
}

func mix(k flowKey, h netip.Addr) uint64 {
	x := uint64(14695981039346656037)
	for _, b := range []byte(k.caller.String() + ">" + k.vip.String() + "@" + h.String()) {
		x = (x ^ uint64(b)) * 1099511628211
	}
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>29
}

// awaitReady waits until n entries are in rotation.
func (s *site) awaitReady(n int, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		ready := 0
		for _, p := range s.procs {
			if p.ready {
				ready++
			}
		}
		s.mu.Unlock()
		if ready >= n {
			return true
		}
	}
	return false
}

type (
	routeDoc struct {
		Name      string `json:"name"`
		Host      string `json:"host"`
		Prefix    string `json:"prefix"`
		RouteType string `json:"route-type"`
		TimeoutMS int    `json:"timeout-ms"`
		TargetMS  int    `json:"target-latency-ms"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
		Attempts  int    `json:"max-attempts"`
	}
	serviceDoc struct {
		Name       string `json:"name"`
		HealthPath string `json:"health-path"`
		MaxConns   int    `json:"max-conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
)

// setConfig writes a desired state as the operator does.
func (s *site) setConfig(version int, routes map[netip.AddrPort]string, services ...string) {
	doc := map[string]any{"version": version, "limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
	var rs []routeDoc
	for vip, service := range routes {
		rs = append(rs, routeDoc{
			Name: "r-" + service, Host: vip.Addr().String(), Prefix: fmt.Sprintf("/%d/", vip.Port()), RouteType: "unsafe", TimeoutMS: 600, TargetMS: 120,
			Priority: 1, Service: service, Attempts: 2,
		})
	}
	var ss []serviceDoc
	for _, name := range services {
		ss = append(ss, serviceDoc{Name: name, HealthPath: "/health", MaxConns: 2000, Protocol: "h1"})
	}
	doc["routes"], doc["services"] = rs, ss
	b, _ := json.Marshal(doc)
	s.store.put("op/config", b)
	s.rec.line("operator: %s", bytes.TrimSpace(b))
}
