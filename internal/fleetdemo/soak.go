package fleetdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/platform"
)

const (
	maxFaultInterval = 1200 * time.Millisecond // between the starts of two faults
	maxFaultTime     = 3 * time.Second         // such as a pause of a process or an outage of the store
	soakRestartDelay = 200 * time.Millisecond
	// soakSettleTime is how long after the last fault requests may still be lost.
	// It covers the longest pause of a process, the longest timeout of a caller,
	// and the second that the routers take to remove an entry from rotation.
	soakSettleTime  = 8 * time.Second
	soakQuietTime   = 5 * time.Second // after soakSettleTime, without lost requests
	maxRestorePause = 4 * time.Second // between two returns of the store from an older copy
	maxCopyAge      = 5 * time.Second
	maxStoreAway    = 500 * time.Millisecond // before it comes back
	operatorRepeat  = 500 * time.Millisecond // at most, until the operator has written its configuration again
	killTimeout     = 7 * time.Second        // from SIGTERM to SIGKILL
	maxStopGap      = time.Second            // between two planned stops that overlap: an entry takes longer
)

type (
	// SoakConfig is the configuration of a soak.
	SoakConfig struct {
		Config
		// Program is the path of the hickoryhook binary.
		Program string
		// Duration is the time during which faults are injected.
		Duration time.Duration
		// StoreRestores lets the store come back from an older copy at times.
		StoreRestores bool
		// Evacuations requests the evacuation of a failure domain, with every second
		// upstream, and withdraws it at random times.
		Evacuations bool
		// Moves moves the route to another service, that of every second upstream, and back at
		// random times, also after the last fault. The version rises in uneven steps.
		Moves bool
		// Routes is the number of further routes in each configuration, which nobody uses.
		Routes int
		// Flaps restarts upstreams in quick succession, under a new id each time, and makes
		// them slow, while entries and agents restart in turn or together, and agents are paused
		// over a restart of their upstream. The seed also
		// chooses the heartbeat interval and how the routers select entries.
		Flaps bool
		// LateHeartbeats makes the first heartbeat of some of these starts late, and lets flows
		// open before the first heartbeat of each.
		LateHeartbeats bool
		// OddHeartbeats sends agents heartbeats that their upstreams have not sent, and
		// deregistrations of starts that do not run, while upstreams drain for longer than
		// drainBound.
		OddHeartbeats bool
		// HTMLReport receives a report as an HTML page, unless it is nil or the run
		// ends early with an error.
		HTMLReport io.Writer
	}

	// child is an entry or an agent that runs as a process of its own. It is
	// restarted whenever it ends, until stop.
	child struct {
		program, role, settingsPath string
		settings                    map[string]any // written to settingsPath at each start
		proxy                       *proxy         // between the process and the store
		judge                       *configJudge
		address                     netip.Addr
		log                         *os.File

		mu      sync.Mutex
		cmd     *exec.Cmd
		stopped bool
		done    chan error // receives nil after stop, or the error of a restart
	}

	// soak is a run that injects faults.
	soak struct {
		runner
		children []*child
		random   *rand.Rand
	}
)

// Soak runs entries and agents as processes of their own and injects faults
// while callers keep their flows open: it stops, pauses, reloads and kills the
// processes, crashes upstreams or makes them reset their flows, and injects faults
// into the store and into the connections to it. It returns an error if a flow was
// reset while its upstream was running, if one was opened in an evacuated failure domain or at an
// upstream that had been draining for too long, if an opening was handled by an older configuration
// than configJudge allows, if a request ran more than once, or if requests were lost after the settle time: then it also prints
// what the logs tell of the first of these flows. With any error, the logs of the processes stay
// in the directory that the error names.
func Soak(ctx context.Context, c SoakConfig) (report Report, err error) {
	dir, err := os.MkdirTemp("", "hickoryhook-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create log directory")
	}
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "logs in "+dir)
			return
		}
		err = os.RemoveAll(dir)
	}()
	s, err := newSite(c.Network, c.Log)
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	s.moves, s.flaps, s.lateHeartbeats, s.routes = c.Moves, c.Flaps, c.LateHeartbeats, c.Routes
	if c.Flaps {
		s.heartbeats = flapHeartbeats[c.Seed%uint64(len(flapHeartbeats))]
		s.modulo = c.Seed%2 == 1
	}
	k := &soak{runner: *newRunner(c.Config, s), random: rand.New(rand.NewPCG(c.Seed, 1))}
	s.startProcess = func(role string, settings *platform.Settings) (func() error, error) {
		return k.startChild(dir, c.Program, role, settings)
	}
	k.timeline.onPause = func() {
		s.judge.disturb(storeMachine, time.Now())
		s.judge.disturb(soakMachine, time.Now())
	}
	defer k.cleanUp()
	if err := k.start(ctx); err != nil {
		return Report{}, err
	}
	moveCtx, stopMoves := context.WithCancel(ctx)
	defer stopMoves()
	if c.Moves {
		k.startTask(func() error { return k.moveRoute(moveCtx, rand.New(rand.NewPCG(c.Seed, 4))) })
		k.startTask(func() error { return k.openMarkers(moveCtx, rand.New(rand.NewPCG(c.Seed, 5))) })
	}
	if err := k.injectFaults(ctx, c); err != nil {
		return Report{}, err
	}
	if err := sleep(ctx, soakSettleTime); err != nil {
		return Report{}, err
	}
	k.callers.settled.Store(true)
	before := k.callers.report()
	if err := sleep(ctx, soakQuietTime); err != nil {
		return Report{}, err
	}
	lost := k.callers.report().Lost - before.Lost
	stopMoves()
	if report, err = k.stop(); err != nil {
		return report, err
	}
	var failure error
	outdated, judged := k.site.judge.result()
	report.Outdated, report.Judged = len(outdated), judged
	for _, o := range outdated {
		k.site.incidents.add(o)
		failure = errors.Join(failure, errors.Errorf("seed %d: %s", c.Seed, o.text))
	}
	if report.Broken > 0 || report.OpenedWhileEvacuated > 0 || report.OpenedWhileDraining > 0 || report.Repeated > 0 || lost > 0 {
		failure = errors.Join(failure, errors.Errorf("seed %d: %d flows reset while their upstream was running, %d opened in an evacuated failure domain, %d opened at a draining upstream, %d requests ran more than once, %d requests lost after the settle time%s",
			c.Seed, report.Broken, report.OpenedWhileEvacuated, report.OpenedWhileDraining, report.Repeated, lost, strings.Join(append([]string{""}, report.BrokenFlows...), "\n")))
	}
	if failure != nil {
		failure = errors.Join(failure, writeEvidence(c.Out, dir, k.site.incidents.first(), k.timeline.faults()))
	}
	if c.HTMLReport != nil {
		err = k.timeline.writeReport(c.HTMLReport, fmt.Sprintf("Soak, seed %d", c.Seed), report, failure)
	}
	return report, errors.Join(failure, err)
}

// injectFaults starts random faults for the duration in c, some of which overlap,
// and waits for their end.
func (k *soak) injectFaults(ctx context.Context, c SoakConfig) error {
	end := time.Now().Add(c.Duration)
	var running sync.WaitGroup
	defer running.Wait()
	if c.StoreRestores {
		running.Go(func() { k.restoreStoreUntil(end, rand.New(rand.NewPCG(c.Seed, 2))) })
	}
	if c.Evacuations {
		running.Go(func() { k.evacuateUntil(end, rand.New(rand.NewPCG(c.Seed, 3))) })
	}
	if c.Flaps {
		k.startFlaps(&running, c, end)
	}
	if c.OddHeartbeats {
		running.Go(func() { k.sendOddUntil(end, rand.New(rand.NewPCG(c.Seed, 6))) })
		running.Go(func() { k.drainUntil(end, rand.New(rand.NewPCG(c.Seed, 7))) })
	}
	for time.Now().Before(end) {
		name, f := k.randomFault()
		k.announceFault(name)
		running.Go(f)
		if err := sleep(ctx, k.randomDuration(maxFaultInterval)); err != nil {
			return err
		}
	}
	return nil
}

// announceFault prints a fault with its time and adds it to the report.
func (k *soak) announceFault(name string) {
	k.printf("%s %s", time.Now().Format(timeFormat), name)
	k.timeline.addFault(name)
}

// restoreStoreUntil lets the store come back from an older copy every few seconds. The operator
// writes its configuration again each time.
func (k *soak) restoreStoreUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for time.Now().Before(end) {
		time.Sleep(below(maxRestorePause))
		age := below(maxCopyAge)
		k.announceFault(fmt.Sprintf("the store comes back from a copy %s old", age))
		k.site.judge.beginDisturbance(storeMachine)
		k.site.store.SetFault(kvstandin.ResetConnections)
		time.Sleep(below(maxStoreAway))
		k.site.store.RestoreCopy(age)
		k.site.store.SetFault(kvstandin.Healthy)
		time.Sleep(below(operatorRepeat))
		k.site.repeatConfig()
		k.site.repeatEvacuation()
		k.site.judge.endDisturbance(storeMachine, time.Now())
	}
}

// randomFault returns the description of a random fault and the function that
// injects it and returns after its end. The number in the description of a fault
// of the store or of a proxy is the kvstandin.Fault or proxyFault.
func (k *soak) randomFault() (string, func()) {
	c := k.children[k.random.IntN(len(k.children))]
	u := k.upstreams[k.random.IntN(len(k.upstreams))]
	duration := k.randomDuration(maxFaultTime)
	switch n := k.random.IntN(11); n {
	case 0:
		return "SIGTERM " + c.name(), func() { c.signal(syscall.SIGTERM) }
	case 1:
		return "SIGKILL " + c.name(), func() { c.signal(syscall.SIGKILL) }
	case 2:
		return fmt.Sprintf("SIGSTOP %s for %s", c.name(), duration), func() {
			c.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			c.signal(syscall.SIGCONT)
		}
	case 3:
		return "SIGHUP " + c.name(), func() { c.signal(syscall.SIGHUP) }
	case 4:
		fault := []kvstandin.Fault{kvstandin.Busy, kvstandin.LoseResponses, kvstandin.ResetConnections, kvstandin.Unresponsive}[k.random.IntN(4)]
		return fmt.Sprintf("the store has fault %d for %s", fault, duration), func() {
			k.site.judge.beginDisturbance(storeMachine)
			k.site.store.SetFault(fault)
			time.Sleep(duration)
			k.site.store.SetFault(kvstandin.Healthy)
			k.site.judge.endDisturbance(storeMachine, time.Now())
		}
	case 6, 7:
		fault := 1 + proxyFault(k.random.IntN(int(proxyFaultCount)-1))
		return fmt.Sprintf("connections of %s to the store have fault %d for %s", c.name(), fault, duration), func() {
			c.judge.beginDisturbance(c.address)
			c.proxy.setFault(fault)
			time.Sleep(duration)
			c.proxy.setFault(noFault)
			c.judge.endDisturbance(c.address, time.Now())
		}
	case 8:
		return fmt.Sprintf("connections of %s to the store are reset, upstream %s crashes for %s", c.name(), u.name, duration), func() {
			c.judge.disturb(c.address, time.Now())
			c.proxy.resetConns()
			u.crash(duration)
		}
	case 9:
		return fmt.Sprintf("upstream %s resets its flows for %s", u.name, duration), func() { u.fail(duration) }
	case 10:
		other := k.children[k.random.IntN(len(k.children))]
		gap := k.randomDuration(maxStopGap)
		return fmt.Sprintf("SIGTERM %s, and after %s %s", c.name(), gap, other.name()), func() {
			c.signal(syscall.SIGTERM)
			time.Sleep(gap)
			other.signal(syscall.SIGTERM)
		}
	default:
		return "the store compacts its history", k.site.store.Compact
	}
}

// randomDuration returns a duration from 0 to below limit.
func (k *soak) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(limit)))
}

// startChild starts an entry or an agent as a process of its own, with its
// settings and logs in dir and a proxy to the store, and returns the function
// that stops it.
func (k *soak) startChild(dir, program, role string, s *platform.Settings) (func() error, error) {
	name := fmt.Sprintf("%s-%s", role, s.Address)
	path := filepath.Join(dir, name+".json")
	p, err := newProxy(s.Address.String(), s.StoreAddress.String())
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "create log"), p.close())
	}
	doc := map[string]any{
		"node-name": s.Node, "ip": s.Address, "zone": s.FailureDomain, "service": s.Service, "app": s.UpstreamAddress,
		"listen": map[string]any{
			"datagrams": s.DatagramAddress, "ready": s.ReadyAddress, "control": s.ControlAddress, "outbound": s.OutboundAddress,
		},
		"internal-ports": []uint16{s.PeerPort, s.PeerPort + 1}, "heartbeat-ms": s.HeartbeatInterval.Milliseconds(),
		"bounds":    map[string]any{"grace-s": s.Grace.Seconds(), "config-apply-ms": s.ConfigApply.Milliseconds(), "flow-lifetime-s": s.FlowLifetime.Seconds(), "evacuate-ms": s.EvacuateWithin.Milliseconds()},
		"platform":  map[string]any{"address": p.address(), "ttl-min-ms": s.LeaseMin.Milliseconds()},
		"bootstrap": s.FirstStart,
	}
	c := &child{program: program, role: role, settingsPath: path, settings: doc, proxy: p, judge: &k.site.judge, address: s.Address, log: log, done: make(chan error, 1)}
	if err := c.exec(); err != nil {
		return nil, err
	}
	go c.supervise()
	k.children = append(k.children, c)
	return c.stop, nil
}

func (c *child) name() string { return c.role + " " + filepath.Base(c.settingsPath) }

// exec starts the process. It inherits the environment and writes its output to the
// log.
func (c *child) exec() error {
	b, err := json.Marshal(c.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(c.settingsPath, b, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cmd := exec.Command(c.program, "platform", c.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+c.settingsPath)
	cmd.Stdout, cmd.Stderr = c.log, c.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	c.judge.startProcess(c.address, time.Now())
	c.cmd = cmd
	return nil
}

// supervise restarts the process whenever it ends, until stop.
func (c *child) supervise() {
	for {
		_ = c.cmd.Wait() // an error is expected: faults kill processes
		time.Sleep(soakRestartDelay)
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			c.done <- nil
			return
		}
		c.settings["bootstrap"] = false
		err := c.exec()
		c.mu.Unlock()
		if err != nil {
			c.done <- err
			return
		}
	}
}

func (c *child) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case syscall.SIGSTOP:
		c.judge.beginDisturbance(c.address)
	case syscall.SIGCONT:
		c.judge.endDisturbance(c.address, time.Now())
	case syscall.SIGTERM, syscall.SIGKILL:
		c.judge.disturb(c.address, time.Now())
	}
	// Fails if the process has just ended. Its successor needs no signal.
	_ = c.cmd.Process.Signal(s)
}

// stop stops the process, with SIGKILL after killTimeout, and its proxy.
func (c *child) stop() error {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.signal(syscall.SIGCONT)
	c.signal(syscall.SIGTERM)
	var err error
	select {
	case err = <-c.done:
	case <-time.After(killTimeout):
		c.signal(syscall.SIGKILL)
		err = <-c.done
	}
	return errors.Join(err, c.proxy.close(), c.log.Close())
}
