package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

// The ports of a host, as offsets from the first one.
const (
	portInternal = iota // 2 of them
	_
	portDatagrams
	portReady
	portControl
	portOutbound
	portApp
	portStore
	portCount
)

const (
	firstPort   = 21400
	metricsPort = 9402 // see deploy/system.toml
	slots       = 2
	zoneName    = "zone-a"
	program     = "target/hickoryhook"
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
)

type (
	// bounds are the figures of an installation.
	bounds struct {
		name                     string
		stable, drain, heartbeat time.Duration
		work                     time.Duration // of a request
		born                     bool          // pings tell when the endpoint was started
		coldOverage, coldSlack   float64
		json                     string
	}

	// machine runs one process of the system.
	machine struct {
		name    string
		role    string // entry or agent
		host    netip.Addr
		service string
		starts  int
		cmd     *exec.Cmd
		ended   chan struct{}
		ready   bool // in rotation
		misses  int
	}

	// site is a small deployment on loopback addresses.
	site struct {
		bounds   bounds
		record   *record
		dir      string // temporary
		network  byte
		work     time.Duration
		store    *store
		server   *http.Server
		mu       sync.Mutex
		machines []*machine
	}
)

// The installations of the pages.
var (
	brathwaite = bounds{
		name: "brathwaite-jobs", stable: 4 * time.Second, drain: 3 * time.Second, heartbeat: 1200 * time.Millisecond, work: 52 * time.Millisecond,
		json: `{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":4000,"ack-ms":5000,"catch-up-s":4,"drain-ms":3000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":3000,"rollback-slack-ms":250,"max-stretch-ms":12000,"recovery-s":12,"flow-ms":2000,"flow-lifetime-s":60}`,
	}
	stavplan = bounds{
		name: "stavplan-podania-grown", stable: 5 * time.Second, drain: 5 * time.Second, heartbeat: 770 * time.Millisecond, work: 15 * time.Millisecond, born: true,
		coldOverage: 1.5, coldSlack: 5,
		json: `{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":5000,"ack-ms":8000,"catch-up-s":6,"drain-ms":5000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":5000,"rollback-slack-ms":250,"max-stretch-ms":15000,"cold-overage":1.5,"cold-slack":5,"evacuate-ms":5000,"recovery-s":15,"flow-ms":2000,"flow-lifetime-s":60}`,
	}
	gleta = bounds{
		name: "gleta-gate-grown", stable: 5 * time.Second, drain: 5 * time.Second, heartbeat: 770 * time.Millisecond, work: 60 * time.Millisecond, born: true,
		json: `{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":5000,"ack-ms":8000,"catch-up-s":6,"drain-ms":5000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":5000,"rollback-slack-ms":250,"max-stretch-ms":15000,"recovery-s":15,"flow-ms":2000,"flow-lifetime-s":60}`,
	}
)

// newSite returns a site with its store, on a network that is not in use.
func newSite(b bounds, r *record) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{bounds: b, record: r, dir: dir, work: b.work, store: newStore()}
	listener, err := s.reserve()
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(listener) }() // ends with the site
	r.add("installation %s, store at %s", b.name, listener.Addr())
	go s.probe()
	return s, nil
}

// reserve takes the first network whose store's address is free.
func (s *site) reserve() (net.Listener, error) {
	for n := byte(60); n < 200; n++ {
		s.network = n
		metrics, err := net.Listen("tcp4", netip.AddrPortFrom(s.storeHost(), metricsPort).String())
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp4", s.at(s.storeHost(), portStore).String())
		_ = metrics.Close()
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no loopback network is free")
}

func (s *site) host(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network, third, fourth})
}
func (s *site) storeHost() netip.Addr    { return s.host(4, 1) }
func (s *site) consumerHost() netip.Addr { return s.host(3, 1) }
func (s *site) at(host netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(host, uint16(firstPort+port))
}

// route returns the address of route n.
func (s *site) route(n byte) netip.AddrPort { return routeAt(s.network, n) }

func routeAt(network, n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, 5, n}), 8080)
}

// addEntry adds an entry machine and starts its process.
func (s *site) addEntry(n byte) (*machine, error) {
	m := &machine{name: fmt.Sprintf("front-%d", n), role: "entry", host: s.host(1, n)}
	return m, s.add(m)
}

// addAgent adds a machine of an endpoint and starts its agent.
func (s *site) addAgent(n byte, service string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("side-%d", n), role: "agent", host: s.host(2, n), service: service}
	return m, s.add(m)
}

func (s *site) add(m *machine) error {
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	return s.start(m)
}

// settings returns the settings file of a machine.
func (s *site) settings(m *machine) ([]byte, error) {
	at := func(port int) string { return s.at(m.host, port).String() }
	listen := map[string]any{"datagrams": at(portDatagrams), "ready": at(portReady), "control": at(portControl)}
	out := map[string]any{
		"node-name": m.name, "role": m.role, "ip": m.host.String(), "zone": zoneName, "region": "region-a",
		"zones": map[string]string{zoneName: "region-a"}, "listen": listen,
		"internal-ports": []int{firstPort + portInternal, firstPort + portInternal + 1},
		"seeds":          []string{s.at(s.host(1, 1), portControl).String(), s.at(s.host(1, 2), portControl).String()},
		"bootstrap":      m.starts == 0, "fault-counted": false, "data-dir": nil, "discovery": "local", "entry": "announce",
		"limits":          map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms":    s.bounds.heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          json.RawMessage(s.bounds.json), "hash": "steady", "deploy-mode": "agent",
		"platform": map[string]any{
			"address": s.at(s.storeHost(), portStore).String(), "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000,
			"history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	}
	if m.role == "entry" {
		out["machine-class"], out["serves"] = "front", []string{"front", "control"}
	} else {
		out["machine-class"], out["serves"] = "side", []string{"side"}
		listen["outbound"] = at(portOutbound)
		out["app"], out["service"] = at(portApp), m.service
	}
	return json.Marshal(out)
}

// start starts the process of a machine with the command of the deploy file.
func (s *site) start(m *machine) error {
	b, err := s.settings(m)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, m.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "platform", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYHOOK_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	m.cmd, m.ended = cmd, make(chan struct{})
	m.starts++
	ended := m.ended
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.record.add("%s: %s platform %s starts, process %d", m.name, program, m.role, cmd.Process.Pid)
	return nil
}

// kill kills the process of a machine.
func (s *site) kill(m *machine) {
	s.record.add("%s is killed", m.name)
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, m := range s.machines {
		_ = m.cmd.Process.Kill()
		<-m.ended
	}
	_ = s.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.record.add("logs are in %s", s.dir)
	}
}

// probe asks the entries twice a second whether they are ready. Two misses take one out of rotation.
func (s *site) probe() {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ; ; time.Sleep(500 * time.Millisecond) {
		s.mu.Lock()
		machines := append([]*machine(nil), s.machines...)
		s.mu.Unlock()
		for _, m := range machines {
			if m.role != "entry" {
				continue
			}
			resp, err := client.Get("http://" + s.at(m.host, portReady).String() + "/ready")
			if err == nil {
				_ = resp.Body.Close()
			}
			s.mu.Lock()
			if err == nil && resp.StatusCode == http.StatusOK {
				m.ready, m.misses = true, 0
			} else if m.misses++; m.misses >= 2 {
				m.ready = false
			}
			s.mu.Unlock()
		}
	}
}

// entriesReady returns the number of entries in rotation.
func (s *site) entriesReady() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.machines {
		if m.role == "entry" && m.ready {
			n++
		}
	}
	return n
}

// awaitReady waits until n entries are in rotation.
func (s *site) awaitReady(n int) error {
	for range 100 {
		if s.entriesReady() >= n {
			s.record.add("%d entries are in rotation", n)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entries are not ready after 10 s")
}

// routeFlow returns the datagrams address of the entry that the routers choose for a flow. If
// fewer than half of the entries are in rotation, they use all.
func (s *site) routeFlow(key flowKey) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all, ready []*machine
	for _, m := range s.machines {
		if m.role != "entry" {
			continue
		}
		all = append(all, m)
		if m.ready {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	var best *machine
	for _, m := range ready {
		if best == nil || hashOf(key, m.host) > hashOf(key, best.host) {
			best = m
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return s.at(best.host, portDatagrams), true
}
