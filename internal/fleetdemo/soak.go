package fleetdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/kvstandin"
	"hickoryhook.example/platform"
)

const (
	soakPause   = 1200 * time.Millisecond // longest time between two faults
	soakDark    = 3 * time.Second         // longest pause of a process, and outage of the store
	soakRestart = 200 * time.Millisecond
	// soakSettle is how long after the last fault requests may still be lost:
	// the longest deadline after the longest pause, and the routers' second.
	soakSettle = 8 * time.Second
	soakCalm   = 5 * time.Second
	soakKill   = 7 * time.Second // after SIGTERM
)

type (
	// SoakConfig holds the choices of a soak.
	SoakConfig struct {
		Config
		// Program is the path of hickoryhook.
		Program string
		// Duration is how long faults go on.
		Duration time.Duration
		// HTMLReport receives a report as a page for browsers, unless it is nil.
		HTMLReport io.Writer
	}

	// child is an entry or an agent as a process of its own. It is started
	// again whenever it ends, until it is stopped.
	child struct {
		program, role, settings string
		proxy                   *proxy // between it and the store
		log                     *os.File

		mu      sync.Mutex
		cmd     *exec.Cmd
		stopped bool
		done    chan error
	}

	// soak injects faults into processes.
	soak struct {
		runner
		children []*child
		random   *rand.Rand
	}
)

// Soak runs entries and agents as processes of their own, stops, pauses and
// kills them, crashes upstreams, lets the store misbehave and harms the
// connections to it, while callers keep their flows open. It reports an error
// if a flow was reset whose upstream lived, or if requests are lost after all
// has settled. Then the processes' logs stay in the directory that the error
// names.
func Soak(ctx context.Context, c SoakConfig) (report Report, err error) {
	dir, err := os.MkdirTemp("", "hickoryhook-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "soak")
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
	defer s.server.Close()
	k := &soak{runner: *newRunner(c.Config, s), random: rand.New(rand.NewPCG(c.Seed, 1))}
	s.run = func(role string, settings *platform.Settings) (func() error, error) {
		return k.startChild(dir, c.Program, role, settings)
	}
	defer k.cleanUp()
	if err := k.start(ctx); err != nil {
		return Report{}, err
	}
	if err := k.faults(ctx, c.Duration); err != nil {
		return Report{}, err
	}
	if err := sleep(ctx, soakSettle); err != nil {
		return Report{}, err
	}
	before := k.callers.seen()
	if err := sleep(ctx, soakCalm); err != nil {
		return Report{}, err
	}
	lost := k.callers.seen().Lost - before.Lost
	if report, err = k.stop(); err != nil {
		return report, err
	}
	var verdict error
	if report.Broken > 0 || lost > 0 {
		verdict = errors.Errorf("seed %d: %d flows reset though their upstream lived, %d requests lost after all had settled", c.Seed, report.Broken, lost)
	}
	if c.HTMLReport != nil {
		err = k.timeline.write(c.HTMLReport, fmt.Sprintf("Soak, seed %d", c.Seed), report, verdict)
	}
	return report, errors.Join(verdict, err)
}

// faults injects one fault after the other; some overlap.
func (k *soak) faults(ctx context.Context, d time.Duration) error {
	end := time.Now().Add(d)
	var running sync.WaitGroup
	defer running.Wait()
	for time.Now().Before(end) {
		what, f := k.fault()
		k.say("%s", what)
		k.timeline.note(what)
		running.Go(f)
		if err := sleep(ctx, k.upTo(soakPause)); err != nil {
			return err
		}
	}
	return nil
}

// fault draws a fault: its name and what it does.
func (k *soak) fault() (string, func()) {
	c := k.children[k.random.IntN(len(k.children))]
	u := k.upstreams[k.random.IntN(len(k.upstreams))]
	dark := k.upTo(soakDark)
	switch n := k.random.IntN(10); n {
	case 0:
		return "SIGTERM " + c.name(), func() { c.signal(syscall.SIGTERM) }
	case 1:
		return "SIGKILL " + c.name(), func() { c.signal(syscall.SIGKILL) }
	case 2:
		return fmt.Sprintf("SIGSTOP %s for %s", c.name(), dark), func() {
			c.signal(syscall.SIGSTOP)
			time.Sleep(dark)
			c.signal(syscall.SIGCONT)
		}
	case 3:
		return "SIGHUP " + c.name(), func() { c.signal(syscall.SIGHUP) }
	case 4:
		fault := []kvstandin.Fault{kvstandin.Busy, kvstandin.LoseResponses, kvstandin.ResetConnections, kvstandin.Unresponsive}[k.random.IntN(4)]
		return fmt.Sprintf("the store misbehaves (%d) for %s", fault, dark), func() {
			k.site.store.SetFault(fault)
			time.Sleep(dark)
			k.site.store.SetFault(kvstandin.Healthy)
		}
	case 6, 7:
		fault := 1 + proxyFault(k.random.IntN(int(proxyFaults)-1))
		return fmt.Sprintf("connections of %s to the store are harmed (%d) for %s", c.name(), fault, dark), func() {
			c.proxy.set(fault)
			time.Sleep(dark)
			c.proxy.set(passes)
		}
	case 8:
		return fmt.Sprintf("connections of %s to the store are reset, upstream %s crashes for %s", c.name(), u.id, dark), func() {
			c.proxy.reset()
			u.crash(dark)
		}
	case 9:
		return fmt.Sprintf("upstream %s resets its flows for %s", u.id, dark), func() { u.fail(dark) }
	default:
		return "the store drops its history", k.site.store.Compact
	}
}

func (k *soak) upTo(most time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(most)))
}

func (k *soak) startChild(dir, program, role string, s *platform.Settings) (func() error, error) {
	name := fmt.Sprintf("%s-%s", role, s.Address)
	path := filepath.Join(dir, name+".json")
	p, err := newProxy(s.Address.String(), s.StoreAddress.String())
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "soak"), p.close())
	}
	b, err := json.Marshal(map[string]any{
		"node-name": s.Node, "ip": s.Address, "zone": s.Place, "service": s.Service, "app": s.UpstreamAddress,
		"listen": map[string]any{
			"datagrams": s.DatagramAddress, "ready": s.ReadyAddress, "control": s.ControlAddress, "outbound": s.OutboundAddress,
		},
		"internal-ports": []uint16{s.PeerPort, s.PeerPort + 1}, "heartbeat-ms": s.Heartbeat.Milliseconds(),
		"bounds":   map[string]any{"grace-s": s.Grace.Seconds(), "config-apply-ms": s.ConfigApply.Milliseconds(), "flow-lifetime-s": s.FlowLifetime.Seconds()},
		"platform": map[string]any{"address": p.address(), "ttl-min-ms": s.LeaseMin.Milliseconds()},
	})
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	c := &child{program: program, role: role, settings: path, proxy: p, log: log, done: make(chan error, 1)}
	if err := c.exec(); err != nil {
		return nil, err
	}
	go c.supervise()
	k.children = append(k.children, c)
	return c.stop, nil
}

func (c *child) name() string { return c.role + " " + filepath.Base(c.settings) }

func (c *child) exec() error {
	cmd := exec.Command(c.program, "platform", c.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+c.settings)
	cmd.Stdout, cmd.Stderr = c.log, c.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak")
	}
	c.cmd = cmd
	return nil
}

// supervise starts the process again whenever it has ended.
func (c *child) supervise() {
	for {
		_ = c.cmd.Wait() // it may have been killed on purpose
		time.Sleep(soakRestart)
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			c.done <- nil
			return
		}
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
	// A process that has just ended cannot be signalled; its successor goes on.
	_ = c.cmd.Process.Signal(s)
}

// stop ends the process for good.
func (c *child) stop() error {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.signal(syscall.SIGCONT)
	c.signal(syscall.SIGTERM)
	var err error
	select {
	case err = <-c.done:
	case <-time.After(soakKill):
		c.signal(syscall.SIGKILL)
		err = <-c.done
	}
	return errors.Join(err, c.proxy.close(), c.log.Close())
}
