package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine, as offsets from the first one.
const (
	portPeers     = 0 // and 15 more: internal-ports
	portDatagrams = 20
	portReady     = 21
	portControl   = 22
	portOutbound  = 23
	portApp       = 24
	portStore     = 25
	portWire      = 26
	portCount     = 32

	metricsPort = 9402 // of the deploy file; the programs listen there on their own address

	probeEvery   = 500 * time.Millisecond
	probeMisses  = 2
	restartDelay = 300 * time.Millisecond
	stableWindow = 4 * time.Second
	flowLifetime = 60 * time.Second
	idleTimeout  = 15 * time.Second
	graceTime    = 6 * time.Second
)

type (
	// world holds the machines of a run and judges what their consumers and endpoints see.
	world struct {
		dir     string // of the settings and logs
		program string
		net     byte // second octet of the loopback addresses
		base    int  // first port
		store   *store
		server  *http.Server
		record  *os.File
		began   time.Time
		version uint64
		planned bool // the run has planned work and no other disturbance
		mu      sync.Mutex
		procs   []*proc
		eps     []*endpoint
		calmAt  time.Time // when the last unplanned disturbance ended
		sent    map[string]bool
		ran     map[string]int
		runs    int
		breaks  int
		over    bool
		routes  map[string]routeDoc
		order   []string
		clients map[string]*consumers
	}

	routeDoc struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"prefix"`
		Type     string `json:"route-type"`
		Timeout  int    `json:"timeout-ms"`
		Target   int    `json:"target-latency-ms"`
		Priority int    `json:"priority"`
		Service  string `json:"service"`
		Attempts int    `json:"max-attempts"`
	}

	// proc is a daemon on its machine. It is started again after it ends.
	proc struct {
		w        *world
		name     string
		role     string
		zone     string
		host     netip.Addr
		settings string
		fields   map[string]any // of the settings
		joins    bool           // added to a system that runs
		log      *os.File
		mu       sync.Mutex
		cmd      *exec.Cmd
		stopped  bool
		held     bool // not started again until release
		inUse    bool // in rotation
		misses   int
		starts   int
		ended    chan struct{}
	}
)

func newWorld(dir, program string, record *os.File) (*world, error) {
	w := &world{
		dir: dir, program: program, record: record, began: time.Now(), store: newStore(), version: 3,
		sent: make(map[string]bool), ran: make(map[string]int), routes: make(map[string]routeDoc), clients: make(map[string]*consumers),
	}
	for n := byte(60); n < 120; n++ {
		w.net = n
		listener, err := net.Listen("tcp4", w.addr(3, 250).String()+":0")
		if err != nil {
			return nil, err
		}
		w.base = listener.Addr().(*net.TCPAddr).Port/portCount*portCount - 2*portCount
		_ = listener.Close()
		guard, err := net.Listen("tcp4", netip.AddrPortFrom(w.addr(3, 250), metricsPort).String())
		if err == nil && w.free() {
			go func() {
				for !w.isOver() {
					time.Sleep(100 * time.Millisecond)
				}
				_ = guard.Close()
			}()
			break
		}
	}
	storeAt := w.at(w.addr(3, 251), portStore)
	listener, err := net.Listen("tcp4", storeAt.String())
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.store.writes = func(key string, value []byte) {
		if strings.HasSuffix(key, "holders") {
			w.note("store: %s = %s", key, value)
		}
	}
	return w, nil
}

// free reports whether the ports of the run are free on the machines' addresses.
func (w *world) free() bool {
	for _, offset := range []int{portPeers, portPeers + 1, portReady, portControl, portStore} {
		l, err := net.Listen("tcp4", w.at(w.addr(3, 251), offset).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addr returns the loopback address of machine n of zone number z.
func (w *world) addr(z, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.net, z, n}) }

func (w *world) at(host netip.Addr, offset int) netip.AddrPort {
	return netip.AddrPortFrom(host, uint16(w.base+offset))
}

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records a broken rule.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	w.breaks++
	w.mu.Unlock()
	w.note("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

func (w *world) noteSent(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = true
}

func (w *world) noteRun(id string, e *endpoint) {
	w.mu.Lock()
	asked := w.sent[id]
	w.ran[id]++
	w.runs++
	w.mu.Unlock()
	w.note("run: request %s at endpoint %s (%s, %s)", id, e.id, e.service, e.name)
	if !asked {
		w.broken("UNASKED", "endpoint %s ran request %q, which nobody sent", e.name, id)
	}
}

func (w *world) noteEndpointReset(id flowID) { w.note("reset of the endpoint: flow %s", id) }

// disturbed records that an unplanned disturbance has just ended, or goes on.
func (w *world) disturbed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmAt = time.Now()
}

// judgeReset applies the first part of FLOW to a reset of the system that a consumer took.
func (w *world) judgeReset(f *clientFlow, now time.Time) {
	if !f.open {
		w.note("reset: flow %s, which is not open", f.id)
		return
	}
	var holder *endpoint
	var since time.Time
	w.mu.Lock()
	eps, calm, routes := slices.Clone(w.eps), w.calmAt, make([]routeDoc, 0)
	for _, r := range w.routes {
		routes = append(routes, r)
	}
	w.mu.Unlock()
	for _, e := range eps {
		if at, ok := e.holds(f.id); ok {
			holder, since = e, at
		}
	}
	routed := slices.ContainsFunc(routes, func(r routeDoc) bool { return r.address() == f.id.dst })
	idle := now.Sub(f.active)
	switch {
	case holder == nil:
		w.note("reset: flow %s, which no endpoint holds open", f.id)
	case now.Sub(since) > flowLifetime || idle > idleTimeout || !routed:
		w.note("reset, allowed: flow %s, age %s, idle %s, routed %t", f.id, now.Sub(since), idle, routed)
	case !w.planned && now.Sub(calm) < stableWindow:
		w.note("reset, allowed: flow %s, %s after a disturbance", f.id, now.Sub(calm))
	default:
		disturbance := "the run has planned work only"
		if !w.planned {
			disturbance = fmt.Sprintf("the last unplanned disturbance ended %.1f s ago", now.Sub(calm).Seconds())
		}
		w.broken("FLOW", "(a) the consumer of flow %s got a reset of the system while endpoint %s (%s, %s) holds the flow; open for %.1f s, idle for %.1f s; %s",
			f.id, holder.id, holder.service, holder.name, now.Sub(since).Seconds(), idle.Seconds(), disturbance)
	}
}

func (r routeDoc) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.Host + ":" + strings.Trim(r.Prefix, "/"))
}

// configure writes the desired state with a version that is larger by step.
func (w *world) configure(step uint64, why string) {
	w.mu.Lock()
	w.version += step
	doc := map[string]any{
		"version": w.version, "limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": int(idleTimeout.Milliseconds())},
		"services": []map[string]any{
			{"name": "maklerlink", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false},
			{"name": "exposeserver", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false},
		},
	}
	var list []routeDoc
	for _, name := range w.order {
		list = append(list, w.routes[name])
	}
	doc["routes"] = list
	version := w.version
	w.mu.Unlock()
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	w.store.set("op/config", b)
	w.note("desired state %d acknowledged: %s", version, why)
}

func (w *world) setRoute(r routeDoc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.routes[r.Name]; !ok {
		w.order = append(w.order, r.Name)
	}
	w.routes[r.Name] = r
}

func (w *world) routeNamed(name string) routeDoc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routes[name]
}

// newProc prepares a machine with a daemon and starts it.
func (w *world) newProc(name, role, zone string, host netip.Addr, seeds []netip.Addr, service string, joins bool) (*proc, error) {
	p := &proc{w: w, name: name, role: role, zone: zone, host: host, joins: joins, settings: filepath.Join(w.dir, name+".json")}
	listen := map[string]any{"datagrams": w.at(host, portDatagrams), "ready": w.at(host, portReady), "control": w.at(host, portControl)}
	class, serves := "front", []string{"front", "control"}
	limits := map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}
	if role == "agent" {
		class, serves = "side", []string{"side"}
		listen["outbound"] = w.at(host, portOutbound)
		limits["cpu-share"], limits["memory-mb"] = 0.24, 152
	}
	var seedList []string
	for _, s := range seeds {
		seedList = append(seedList, w.at(s, portControl).String())
	}
	doc := map[string]any{
		"node-name": name, "role": role, "machine-class": class, "serves": serves, "ip": host, "zone": zone, "region": "steiermark",
		"zones":  map[string]string{"graz-nord": "steiermark", "graz-sued": "steiermark", "leoben": "steiermark"},
		"listen": listen, "internal-ports": []int{w.base + portPeers, w.base + portPeers + 15}, "seeds": seedList, "fault-counted": role == "entry",
		"limits": limits, "data-dir": nil, "discovery": "local", "entry": "announce", "heartbeat-ms": heartbeatEvery.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 3000, "rollback-slack-ms": 250, "max-stretch-ms": 12000, "recovery-s": 12, "flow-ms": 2000, "flow-lifetime-s": 60,
		},
		"hash": "steady", "deploy-mode": "agent",
		"platform": map[string]any{
			"address": w.at(w.addr(3, 251), portStore), "deploy-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000,
		},
	}
	if role == "agent" {
		doc["app"], doc["service"] = w.at(host, portApp), service
	}
	p.fields = doc
	var err error
	if p.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, p.start()
}

// start starts the daemon with the command of the deploy file.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	p.fields["bootstrap"] = p.starts == 0 && !p.joins
	b, err := json.MarshalIndent(p.fields, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(p.w.program, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "HICKORYHOOK_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	p.starts++
	ended := p.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
		for {
			time.Sleep(restartDelay)
			p.mu.Lock()
			stopped, held := p.stopped, p.held
			p.mu.Unlock()
			if stopped {
				return
			}
			if !held {
				break
			}
		}
		_ = p.start()
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *proc) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

// ready reports whether the daemon answers the routers' check with 200.
func (p *proc) ready() bool {
	client := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.w.at(p.host, portReady).String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probe is the routers' check of the entries.
func (w *world) probe() {
	for !w.isOver() {
		for _, p := range w.fronts("") {
			go func() {
				ok := p.ready()
				p.mu.Lock()
				defer p.mu.Unlock()
				was := p.inUse
				if ok {
					p.misses, p.inUse = 0, true
				} else if p.misses++; p.misses >= probeMisses {
					p.inUse = false
				}
				if was != p.inUse {
					w.note("routers: %s in rotation: %t", p.name, p.inUse)
				}
			}()
		}
		time.Sleep(probeEvery)
	}
}

// fronts returns the entries of a zone, of all zones for "".
func (w *world) fronts(zone string) []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proc
	for _, p := range w.procs {
		if p.role == "entry" && (zone == "" || p.zone == zone) {
			out = append(out, p)
		}
	}
	return out
}

// route returns the daemon to which the routers send a packet: of those in rotation in the
// consumer's zone, the first in the rendezvous order of the flow (`hash` = steady). With less
// than half in rotation, all of the zone count; with none, those of the other zones.
func (w *world) route(zone string, id flowID) (netip.AddrPort, bool) {
	all := w.fronts(zone)
	use := inRotation(all)
	switch {
	case len(use) == 0:
		use = inRotation(w.fronts(""))
	case 2*len(use) < len(all):
		use = all
	}
	var best *proc
	var top uint64
	for _, p := range use {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id.String() + p.host.String()))
		if score := mix(h.Sum64()); best == nil || score > top {
			best, top = p, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return w.at(best.host, portDatagrams), true
}

func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

func inRotation(list []*proc) []*proc {
	var out []*proc
	for _, p := range list {
		p.mu.Lock()
		if p.inUse {
			out = append(out, p)
		}
		p.mu.Unlock()
	}
	return out
}

// site starts the machines of the site: entries and endpoints with their agents.
type site struct {
	zones  []string
	fronts map[string]int // by zone
	spares map[string]int
	makler map[string]int
	expose map[string]int
}

// listings is the site wdw-listings.
var listings = site{
	zones:  []string{"graz-nord", "graz-sued", "leoben"},
	fronts: map[string]int{"graz-nord": 2, "graz-sued": 1, "leoben": 1},
	spares: map[string]int{"graz-nord": 1, "graz-sued": 1, "leoben": 1},
	makler: map[string]int{"graz-nord": 3, "graz-sued": 2, "leoben": 2},
	expose: map[string]int{"graz-nord": 1, "graz-sued": 1, "leoben": 1},
}

func (w *world) startSite(s site) error {
	w.setRoute(routeDoc{Name: "listing-feed", Host: "198.18.0.1", Prefix: "/8443/", Type: "safe", Timeout: 500, Target: 100, Priority: 2, Service: "maklerlink", Attempts: 2})
	w.setRoute(routeDoc{Name: "viewing-booking", Host: "198.18.0.1", Prefix: "/8080/", Type: "unsafe", Timeout: 600, Target: 120, Priority: 1, Service: "maklerlink", Attempts: 2})
	w.setRoute(routeDoc{Name: "expose-page", Host: "198.18.0.2", Prefix: "/8443/", Type: "download", Timeout: 3000, Target: 500, Priority: 2, Service: "exposeserver", Attempts: 2})
	w.configure(4, "the first one")
	seeds := []netip.Addr{w.addr(0, 11), w.addr(1, 11), w.addr(2, 11)}
	for z, zone := range s.zones {
		for i := range s.fronts[zone] {
			if _, err := w.newProc(fmt.Sprintf("front-%s-%d", zone, i+1), "entry", zone, w.addr(byte(z), byte(11+i)), seeds, "", false); err != nil {
				return err
			}
		}
		n := byte(101)
		add := func(service string, work time.Duration) error {
			name := fmt.Sprintf("side-%s-%d", zone, n-100)
			host := w.addr(byte(z), n)
			n++
			if _, err := w.newProc(name, "agent", zone, host, seeds, service, false); err != nil {
				return err
			}
			e, err := newEndpoint(w, name, service, zone, host, 2, work)
			if err != nil {
				return err
			}
			w.mu.Lock()
			w.eps = append(w.eps, e)
			w.mu.Unlock()
			return nil
		}
		for range s.makler[zone] {
			if err := add("maklerlink", 15*time.Millisecond); err != nil {
				return err
			}
		}
		for range s.expose[zone] {
			if err := add("exposeserver", 5*time.Millisecond); err != nil {
				return err
			}
		}
		c, err := newConsumers(w, zone, w.addr(byte(z), 250))
		if err != nil {
			return err
		}
		w.clients[zone] = c
	}
	go w.probe()
	deadline := time.Now().Add(15 * time.Second)
	for len(inRotation(w.fronts(""))) < len(w.fronts("")) {
		if time.Now().After(deadline) {
			return errors.New("the entries did not become ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// addSpare adds an entry machine to a zone. Its address is one that the earlier ones did not have.
func (w *world) addSpare(s site, zone string, earlier int) (*proc, error) {
	z := slices.Index(s.zones, zone)
	n := s.fronts[zone] + 1 + earlier
	name := fmt.Sprintf("front-%s-%d", zone, n)
	w.note("machine %s is added", name)
	return w.newProc(name, "entry", zone, w.addr(byte(z), byte(10+n)), []netip.Addr{w.addr(0, 11), w.addr(1, 11), w.addr(2, 11)}, "", true)
}

// remove takes a machine away: its daemon gets SIGTERM, and SIGKILL after the grace time.
func (w *world) remove(p *proc) {
	w.note("machine %s leaves", p.name)
	p.mu.Lock()
	p.stopped = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = slices.DeleteFunc(w.procs, func(q *proc) bool { return q == p })
	_ = p.log.Close()
}

// close ends all processes that the run has started.
func (w *world) close() {
	w.mu.Lock()
	w.over = true
	procs, eps := slices.Clone(w.procs), slices.Clone(w.eps)
	w.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		p.stopped = true
		ended := p.ended
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
		}
		_ = p.log.Close()
	}
	for _, e := range eps {
		e.close()
	}
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	_ = w.server.Close()
}
