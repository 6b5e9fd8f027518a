package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	service = "svc-a"
	// load is the number of flows that consumers open in a second.
	load = 80
	// littleLonger is how much longer than drain-ms a draining endpoint goes on serving.
	littleLonger = 1500 * time.Millisecond
	// firstPingLeft is how much longer than its delayed first ping an endpoint goes on serving.
	firstPingLeft = 400 * time.Millisecond
	// coldStart is how long an endpoint is cold, and coldPerSecond what it bears meanwhile.
	coldStart     = 2 * time.Second
	coldPerSecond = 20
	// coldLoad is the number of flows that consumers open in a second while endpoints are cold.
	coldLoad = 130
	// powerIsBack is how long the machines are without power.
	powerIsBack = time.Second
)

// config returns a configuration with one route to the service.
func config(network byte, kind string, b bounds) string {
	cold := ""
	if b.coldOverage > 0 {
		cold = fmt.Sprintf(`,"cold-start-s":%g,"cold-per-s":%d`, coldStart.Seconds(), coldPerSecond)
	}
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-1","host":%q,"prefix":"/8080/","route-type":%q,"timeout-ms":2500,"target-latency-ms":250,"priority":1,"service":%q,"max-attempts":2}],"services":[{"name":%q,"health-path":"/health","max-conns":2000,"protocol":"h1","tls":false%s}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		routeAt(network, 1).Addr(), kind, service, service, cold)
}

// deployment is a site with two entries and three endpoints, in rotation.
type deployment struct {
	*site
	consumers *consumers
	entries   []*machine
	agents    []*machine
	endpoints []*endpoint
}

// deploy starts a deployment. control returns where the endpoint of a machine sends its pings.
func deploy(r *record, b bounds, kind string, endpoints int) (*deployment, error) {
	s, err := newSite(b, r)
	if err != nil {
		return nil, err
	}
	s.store.set("op/config", []byte(config(s.network, kind, b)))
	r.add("the operator writes %s", config(s.network, kind, b))
	d := &deployment{site: s}
	if d.consumers, err = s.newConsumers(); err != nil {
		return d, err
	}
	for n := range byte(2) {
		m, err := s.addEntry(n + 1)
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, m)
	}
	for n := range byte(3) {
		m, err := s.addAgent(n+1, service)
		if err != nil {
			return d, err
		}
		d.agents = append(d.agents, m)
		if int(n) >= endpoints {
			continue
		}
		e, err := s.startEndpoint(m, s.at(m.host, portControl), 0, 1)
		if err != nil {
			return d, err
		}
		d.endpoints = append(d.endpoints, e)
	}
	return d, s.awaitReady(2)
}

// judgeDrain returns an error if the endpoint took openings later than drain-ms after the
// acknowledgement.
func (d *deployment) judgeDrain(e *endpoint, acknowledged time.Duration) error {
	late := e.takenAfter(acknowledged + d.bounds.drain)
	d.record.add("consumers: %v", d.consumers.results)
	for _, o := range late {
		d.record.add("endpoint %s took the opening of flow %s at %.3f s, %.3f s after the acknowledgement", e.id, o.flow.consumer, o.at.Seconds(), (o.at - acknowledged).Seconds())
	}
	lost := d.consumers.lost(e)
	for _, id := range lost {
		d.record.add("request %s, which endpoint %s had begun to run, got no answer", id, e.id)
	}
	if len(late) > 0 {
		return errBroken(fmt.Sprintf("DRAIN: %d openings reached the endpoint later than %v after its draining was acknowledged, %d requests were lost when it ended", len(late), d.bounds.drain, len(lost)))
	}
	return nil
}

// playOtherWriter lets an endpoint drain. Later a ping of another writer arrives, with fields
// missing.
func playOtherWriter(r *record, trouble bool) error {
	d, err := deploy(r, gleta, "unsafe", 3)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	stop, loadEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		d.consumers.load(d.route(1), load, stop)
	}()
	time.Sleep(d.bounds.stable + 2*time.Second)
	e := d.endpoints[0]
	acknowledged, ok := e.drain()
	if !ok {
		return errors.New("the draining endpoint got no acknowledgement")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.sendOtherWriter(e)
	}
	time.Sleep(d.bounds.drain - 4*time.Second + littleLonger)
	e.leave()
	time.Sleep(2 * time.Second)
	close(stop)
	<-loadEnded
	return d.judgeDrain(e, acknowledged)
}

// delayingProxy forwards connections to an address. In a partition, it keeps what the first client
// has sent until release is called, also if the client has gone, and drops what later ones send.
type delayingProxy struct {
	listener net.Listener
	to       netip.AddrPort
	record   *record

	mu       sync.Mutex
	cut      bool
	first    bool          // the first connection of the partition has been made
	released chan struct{} // closed by release
}

func newDelayingProxy(r *record, at, to netip.AddrPort) (*delayingProxy, error) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	p := &delayingProxy{listener: l, to: to, record: r, released: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// address returns where the proxy listens.
func (p *delayingProxy) address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// setCut begins or ends the partition.
func (p *delayingProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.first = cut, false
	p.record.add("partition between the endpoint and its agent: %v", cut)
}

// release lets what the first client has sent arrive.
func (p *delayingProxy) release() { close(p.released) }

func (p *delayingProxy) forward(conn net.Conn) {
	defer conn.Close()
	p.mu.Lock()
	cut, first := p.cut, p.cut && !p.first
	p.first = p.first || cut
	p.mu.Unlock()
	var client io.Reader = conn
	switch {
	case first:
		buf := make([]byte, 4096)
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		p.record.add("the partition delays %q", buf[:n])
		<-p.released
		p.record.add("the delayed ping arrives")
		client = io.MultiReader(bytes.NewReader(buf[:n]), conn)
	case cut:
		_, _ = io.Copy(io.Discard, conn) // until the client gives up
		return
	}
	out, err := net.Dial("tcp4", p.to.String())
	if err != nil {
		return
	}
	defer out.Close()
	go func() { _, _ = io.Copy(out, client) }()
	_, _ = io.Copy(conn, out)
}

// The times of playLatePing from the begin of the partition. TCP sends a lost segment again
// 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after the first time.
const (
	latePingCrash  = 5 * time.Second
	latePingHeals  = 6600 * time.Millisecond
	latePingDrains = 10900 * time.Millisecond
	latePingComes  = 12650 * time.Millisecond
)

// playLatePing lets a partition delay the first ping of an endpoint's lifetime. The endpoint
// crashes in the partition, and its next lifetime registers after it and drains. Then the ping
// arrives.
func playLatePing(r *record, trouble bool) error {
	d, err := deploy(r, brathwaite, "unsafe", 2)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	m := d.agents[2]
	proxy, err := newDelayingProxy(r, netip.AddrPortFrom(d.host(6, 1), firstPort), d.at(m.host, portControl))
	if err != nil {
		return err
	}
	defer proxy.listener.Close()
	stop, loadEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		d.consumers.load(d.route(1), load, stop)
	}()
	begun := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begun.Add(at))) }
	if trouble {
		proxy.setCut(true)
		first, err := d.startEndpoint(m, proxy.address(), 0, 1)
		if err != nil {
			return err
		}
		until(latePingCrash)
		first.crash()
		until(latePingHeals)
		proxy.setCut(false)
	}
	until(latePingHeals + 100*time.Millisecond)
	second, err := d.startEndpoint(m, proxy.address(), 0, 1)
	if err != nil {
		return err
	}
	until(latePingDrains)
	acknowledged, ok := second.drain()
	if !ok {
		return errors.New("the draining endpoint got no acknowledgement")
	}
	until(latePingComes)
	proxy.release()
	until(latePingDrains + d.bounds.drain + littleLonger)
	second.leave()
	time.Sleep(2 * time.Second)
	close(stop)
	<-loadEnded
	return d.judgeDrain(second, acknowledged)
}

// playReset kills all entries while flows are open and idle. When they have run again for longer
// than stable-window-ms, a ping of another writer arrives, with fields missing. With TROUBLE=kills
// the entries are killed and no such ping comes.
func playReset(r *record, trouble bool) error {
	d, err := deploy(r, gleta, "safe", 3)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return d.resetAfterRestart(trouble, func() { d.sendOtherWriter(d.endpoints[0]) })
}

// playLateReset is playReset at an installation whose pings name no start, with the first ping of an
// earlier lifetime of an endpoint, which a partition has delayed, in place of that of another writer.
func playLateReset(r *record, trouble bool) error {
	d, err := deploy(r, brathwaite, "unsafe", 2)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	m := d.agents[2]
	proxy, err := newDelayingProxy(r, netip.AddrPortFrom(d.host(6, 1), firstPort), d.at(m.host, portControl))
	if err != nil {
		return err
	}
	defer proxy.listener.Close()
	if trouble {
		proxy.setCut(true)
		first, err := d.startEndpoint(m, proxy.address(), 0, 1)
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		first.crash()
		time.Sleep(time.Second)
		proxy.setCut(false)
	}
	second, err := d.startEndpoint(m, proxy.address(), 0, 1)
	if err != nil {
		return err
	}
	d.endpoints = append(d.endpoints, second)
	time.Sleep(time.Second)
	return d.resetAfterRestart(trouble, proxy.release)
}

// resetAfterRestart opens flows and uses them, restarts the entries, and lets a ping arrive once they
// have run for longer than stable-window-ms again.
func (d *deployment) resetAfterRestart(trouble bool, ping func()) error {
	var flows []*flow
	var wait sync.WaitGroup
	for n := range 24 {
		f := d.consumers.newFlow(d.route(1))
		flows = append(flows, f)
		wait.Go(func() { d.use(f, n) })
	}
	wait.Wait()
	if trouble {
		if err := d.restartEntries(); err != nil {
			return err
		}
	}
	for _, f := range flows {
		wait.Go(func() {
			f.idle(d.bounds.stable + 4*time.Second)
			if f.open {
				result := f.request(fmt.Sprintf("last-%d", f.port), 2*time.Second)
				d.record.add("request last-%d of flow %s: %s", f.port, f.key().consumer, result)
				d.consumers.count(result)
			}
		})
	}
	time.Sleep(d.bounds.stable + 1500*time.Millisecond)
	if trouble && os.Getenv("TROUBLE") != "kills" {
		ping()
	}
	wait.Wait()
	d.record.add("consumers: %v", d.consumers.results)
	return d.judgeResets(flows)
}

// use sends some requests on a flow, with pauses between them.
func (d *deployment) use(f *flow, n int) {
	if f.connect() != served {
		return
	}
	for round := range 4 {
		id := fmt.Sprintf("f-%d-%d", n, round)
		result := f.request(id, 2*time.Second)
		d.record.add("request %s of flow %s: %s", id, f.key().consumer, result)
		d.consumers.count(result)
		f.idle(800 * time.Millisecond)
	}
	f.idle(time.Second)
}

// restartEntries kills all entries at once and starts them again.
func (d *deployment) restartEntries() error {
	for _, m := range d.entries {
		d.kill(m)
	}
	time.Sleep(restartDelay)
	for _, m := range d.entries {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// sendOtherWriter sends a ping of another writer to the agent beside an endpoint, which lacks
// address, zone, version and cold-remaining-ms.
func (d *deployment) sendOtherWriter(e *endpoint) {
	body := fmt.Sprintf(`{"service":%q,"slots":%d,"state":"ready","seq":1,"born":%d}`, service, slots, time.Now().UnixMilli())
	err := send(http.MethodPut, d.at(e.host, portControl), "/instances/i-5e1f00d7", body, pingTimeout)
	d.record.add("a ping of another writer to the agent of %s, PUT /instances/i-5e1f00d7 %s: error %v", e.name, body, err)
}

// judgeResets returns an error if consumers got a reset of the system on flows that their endpoint
// holds.
func (d *deployment) judgeResets(flows []*flow) error {
	broken := 0
	for _, f := range flows {
		if f.resets == 0 {
			continue
		}
		for _, e := range d.endpoints {
			if f.endpointID == e.id && e.holds(f.key()) {
				broken++
				d.record.add("flow %s was reset at %.3f s, and endpoint %s on %s holds it", f.key().consumer, f.lastReset.Seconds(), e.id, e.name)
			}
		}
	}
	if broken > 0 {
		return errBroken(fmt.Sprintf("FLOW: %d consumers got a reset of the system on open flows that their endpoint holds", broken))
	}
	return nil
}

// playFirstPing lets a partition delay the first ping of an endpoint, which numbers its pings from
// 0. It arrives when the endpoint drains.
func playFirstPing(r *record, trouble bool) error {
	d, err := deploy(r, brathwaite, "unsafe", 2)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	m := d.agents[2]
	proxy, err := newDelayingProxy(r, netip.AddrPortFrom(d.host(6, 1), firstPort), d.at(m.host, portControl))
	if err != nil {
		return err
	}
	defer proxy.listener.Close()
	stop, loadEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		d.consumers.load(d.route(1), load, stop)
	}()
	if trouble {
		proxy.setCut(true)
	}
	e, err := d.startEndpoint(m, proxy.address(), 0, 0)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		proxy.setCut(false)
	}
	time.Sleep(d.bounds.stable + 1500*time.Millisecond)
	acknowledged, ok := e.drain()
	if !ok {
		return errors.New("the draining endpoint got no acknowledgement")
	}
	time.Sleep(d.bounds.drain + littleLonger/2)
	proxy.release()
	time.Sleep(firstPingLeft)
	e.leave()
	time.Sleep(2 * time.Second)
	close(stop)
	<-loadEnded
	return d.judgeDrain(e, acknowledged)
}

// playPowerOff starts an endpoint during traffic, and later lets all machines lose power. The
// endpoints are cold when they are back.
func playPowerOff(r *record, trouble bool) error {
	d, err := deploy(r, stavplan, "unsafe", 2)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	stop, loadEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loadEnded)
		d.consumers.load(d.route(1), coldLoad, stop)
	}()
	time.Sleep(d.bounds.stable)
	e, err := d.startEndpoint(d.agents[2], d.at(d.agents[2].host, portControl), coldStart, 1)
	if err != nil {
		return err
	}
	d.endpoints = append(d.endpoints, e)
	cold := []*endpoint{e}
	time.Sleep(2 * coldStart)
	if trouble {
		if err := d.losePower(); err != nil {
			return err
		}
		cold = append(cold, d.endpoints...)
	}
	time.Sleep(2 * coldStart)
	close(stop)
	<-loadEnded
	r.add("consumers: %v", d.consumers.results)
	limit := int(coldPerSecond*d.bounds.coldOverage + d.bounds.coldSlack)
	broken := 0
	for _, e := range cold {
		most := d.consumers.mostWithin(time.Second, e.takenBefore(e.started+coldStart))
		r.add("endpoint %s on %s: %d openings were sent and taken within a second while it was cold, the limit is %d", e.id, e.name, most, limit)
		if most > limit {
			broken++
		}
	}
	if broken > 0 {
		return errBroken(fmt.Sprintf("FAILBACK: %d cold endpoints got more than %d requests within a second", broken, limit))
	}
	return nil
}

// losePower ends all processes and endpoints at once, and starts them again after powerIsBack.
func (d *deployment) losePower() error {
	d.record.add("all machines lose power")
	for _, m := range d.machines {
		_ = m.cmd.Process.Kill()
	}
	for i, e := range d.endpoints {
		<-d.machines[i].ended
		e.crash()
	}
	for _, m := range d.machines {
		<-m.ended
	}
	time.Sleep(powerIsBack)
	d.endpoints = nil
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for _, m := range d.agents {
		e, err := d.startEndpoint(m, d.at(m.host, portControl), coldStart, 1)
		if err != nil {
			return err
		}
		d.endpoints = append(d.endpoints, e)
	}
	return nil
}
