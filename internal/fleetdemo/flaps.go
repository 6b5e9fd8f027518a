package fleetdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/segment"
)

const (
	// maxFlaps bounds the restarts of one upstream in a row, maxFlapPause the time between two.
	maxFlaps     = 4
	maxFlapPause = 2 * time.Second
	// unnoticedShare is the part of the restarts that take less time than an agent needs to
	// notice the end, unnoticedIntervals heartbeat intervals.
	unnoticedShare     = 0.8
	unnoticedIntervals = 1.4
	// silentShare is the part of the new starts whose first heartbeat is late, by up to
	// unnoticedIntervals, with SoakConfig.LateHeartbeats.
	silentShare = 0.3
	// slowShare is the part of the starts that are slow for a time, maxDelay their delay. It
	// exceeds the time after which a caller sends a copy of its opening.
	slowShare = 0.4
	maxDelay  = 900 * time.Millisecond
	// leaveShare is the part of the restarts that are planned: the upstream drains and
	// deregisters before.
	leaveShare = 0.2
	// maxRoundPause bounds the time between two rounds in which processes restart, maxRoundGap
	// that between two processes of a round, of which it has at most maxRound.
	maxRoundPause = 3 * time.Second
	maxRoundGap   = 1200 * time.Millisecond
	maxRound      = 6
	// maxRounds bounds the rounds that run at the same time.
	maxRounds = 3
	// maxOverlapPause bounds the time between two pauses of an agent over a restart of its
	// upstream.
	maxOverlapPause = 1500 * time.Millisecond
	// flappingUpstreams is the number of upstreams of which one flaps at a time.
	flappingUpstreams = 3
	// answerRepeat is the time after which an upstream repeats its answer to an opening, which
	// doubles each time up to maxAnswerRepeat. It gives up after maxAnswerRepeats.
	answerRepeat     = 200 * time.Millisecond
	maxAnswerRepeat  = 1600 * time.Millisecond
	maxAnswerRepeats = 8
	latePacketTick   = 10 * time.Millisecond
	listenTimeout    = 2 * time.Second // for a port that another process uses for a moment
)

// flapHeartbeats are the heartbeat intervals of soaks with flapping upstreams, by seed.
var flapHeartbeats = []time.Duration{heartbeatInterval, 770 * time.Millisecond, 1200 * time.Millisecond}

type (
	// healthCheck serves the health checks of an upstream while it runs: connections are
	// refused while it is stopped.
	healthCheck struct {
		server *http.Server
		ended  chan error // receives the server's error at its end
	}

	// delayedPacket is a packet of a slow upstream.
	delayedPacket struct {
		due    time.Time
		packet []byte
	}
)

// start listens at the address. It waits until the port is free, listenTimeout at most.
func (h *healthCheck) start(address netip.AddrPort) error {
	listener, err := net.Listen("tcp4", address.String())
	for end := time.Now().Add(listenTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(latePacketTick)
		listener, err = net.Listen("tcp4", address.String())
	}
	if err != nil {
		return errors.Wrap(err, "listen for the upstream's health checks")
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ended := make(chan error, 1)
	h.server, h.ended = server, ended
	go func() { ended <- server.Serve(listener) }()
	return nil
}

// stop closes the connections and the listener. It does nothing before start.
func (h *healthCheck) stop() error {
	if h.server == nil {
		return nil
	}
	err := h.server.Close()
	if served := <-h.ended; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, errors.Wrap(served, "serve the upstream's health checks"))
	}
	h.server = nil
	return err
}

// restart ends the upstream with its flows and, after the time down, starts it under a new id.
// Its first heartbeat comes after the time silent. Without late heartbeats it takes no packets
// before its agent has answered that one. It returns after the restart.
func (u *upstream) restart(down, silent time.Duration) {
	u.restarts.Lock()
	defer u.restarts.Unlock()
	u.replace(down, silent)
}

// replace is restart with the lock of restarts held.
func (u *upstream) replace(down, silent time.Duration) {
	end := u.disturb()
	u.mu.Lock()
	u.down, u.flows, u.delayed = true, make(map[segment.Flow]*heldFlow), nil
	u.mu.Unlock()
	if err := u.health.stop(); err != nil {
		u.site.log.Error("health checks of upstream not stopped", zap.Error(err))
	}
	time.Sleep(down)
	if err := u.health.start(u.settings.UpstreamAddress); err != nil {
		u.site.log.Error("upstream not started again", zap.Error(err))
		return // the disturbance goes on
	}
	defer end()
	u.mu.Lock()
	u.starts++
	u.id = fmt.Sprintf("%s-%d", u.name, u.starts)
	u.down, u.draining, u.heartbeats, u.silent = false, false, 0, time.Now().Add(silent)
	u.drainAcked, u.born = time.Time{}, time.Now().UnixMilli()
	u.starting = !u.site.lateHeartbeats
	u.mu.Unlock()
	time.Sleep(silent)
	u.reportToAgent()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starting = false
}

// leave drains the upstream for a time, deregisters it and starts it again as restart does.
func (u *upstream) leave(drain, down, silent time.Duration) {
	u.restarts.Lock()
	defer u.restarts.Unlock()
	defer u.disturb()()
	u.drain()
	time.Sleep(drain)
	u.callAgent(http.MethodDelete, u.currentID(), "")
	u.replace(down, silent)
}

// setDelay makes the packets of the upstream late, from now on.
func (u *upstream) setDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = d
}

// delayPacket keeps a packet for sendLatePackets. It returns false if the upstream is not slow.
func (u *upstream) delayPacket(packet []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.delay == 0 || u.down {
		return false
	}
	u.delayed = append(u.delayed, delayedPacket{time.Now().Add(u.delay), slices.Clone(packet)})
	return true
}

// sendLatePackets sends delayed packets, and repeats the answers to openings whose callers have
// not acknowledged them, until the context ends.
func (u *upstream) sendLatePackets(ctx context.Context) error {
	for sleep(ctx, latePacketTick) == nil {
		for _, packet := range u.latePackets(time.Now()) {
			u.send(packet)
		}
	}
	return nil
}

// latePackets returns the packets that are due. It removes the flows whose callers have not
// acknowledged any answer.
func (u *upstream) latePackets(now time.Time) [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out [][]byte
	later := u.delayed[:0]
	for _, d := range u.delayed {
		if d.due.After(now) {
			later = append(later, d)
		} else {
			out = append(out, d.packet)
		}
	}
	u.delayed = later
	for flow, f := range u.flows {
		if f.open || f.repeatAt.After(now) {
			continue
		}
		if f.repeated == maxAnswerRepeats {
			delete(u.flows, flow)
			continue
		}
		f.repeated++
		f.repeatAt = now.Add(min(answerRepeat<<f.repeated, maxAnswerRepeat))
		out = append(out, u.packet(flow, segment.Open|segment.Ack, f.isn, f.wantSeq, 0))
	}
	return out
}

// startFlaps starts the faults of SoakConfig.Flaps until end: series of restarts of upstreams,
// and rounds in which entries and agents restart, which overlap.
func (k *soak) startFlaps(running *sync.WaitGroup, c SoakConfig, end time.Time) {
	const firstStream, firstPauseStream = 16, 1 << 16 // of the seed's random numbers
	for n := range 1 + len(k.upstreams)/flappingUpstreams {
		running.Go(func() { k.pauseAgentsUntil(end, rand.New(rand.NewPCG(c.Seed, uint64(firstPauseStream+n)))) })
		running.Go(func() { k.flapUntil(end, rand.New(rand.NewPCG(c.Seed, uint64(firstStream+2*n)))) })
	}
	for n := range min(maxRounds, 1+len(k.children)/(2*maxRound)) {
		running.Go(func() { k.restartRoundsUntil(end, rand.New(rand.NewPCG(c.Seed, uint64(firstStream+2*n+1)))) })
	}
}

// flapUntil restarts one upstream after the other, each a few times in a row.
func (k *soak) flapUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	unnoticed := time.Duration(unnoticedIntervals * float64(k.site.heartbeats))
	for time.Now().Before(end) {
		u := k.upstreams[random.IntN(len(k.upstreams))]
		for range 1 + random.IntN(maxFlaps) {
			down, silent, delay, drain := below(maxFaultTime), time.Duration(0), time.Duration(0), below(maxFaultTime)
			if random.Float64() < unnoticedShare {
				down = below(unnoticed)
			}
			if random.Float64() < silentShare && k.site.lateHeartbeats {
				silent = below(unnoticed)
			}
			if random.Float64() < slowShare {
				delay = below(maxDelay)
			}
			description := fmt.Sprintf("is back after %s, with its first heartbeat after %s, and late by %s", down, silent, delay)
			if random.Float64() < leaveShare {
				k.announceFault(fmt.Sprintf("upstream %s drains for %s and %s", u.name, drain, description))
				u.setDelay(delay)
				u.leave(drain, down, silent)
			} else {
				k.announceFault(fmt.Sprintf("upstream %s is killed and %s", u.name, description))
				u.setDelay(delay)
				u.restart(down, silent)
			}
			time.Sleep(below(maxFlapPause))
		}
		u.setDelay(0)
	}
}

// pauseAgentsUntil pauses one agent after the other while its upstream restarts quickly. The last
// heartbeat of the ended start and the first ones of the next, of which the upstream does not
// wait longer than an interval for the answer, wait with the openings until the agent goes on.
func (k *soak) pauseAgentsUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	interval := k.site.heartbeats
	for time.Now().Before(end) {
		time.Sleep(below(maxOverlapPause))
		u := k.upstreams[random.IntN(len(k.upstreams))]
		agent := k.agentOf(u)
		before, down, after := below(interval), below(interval/2), interval/2+below(interval)
		k.announceFault(fmt.Sprintf("SIGSTOP %s for %s, after %s upstream %s is killed and is back after %s",
			agent.name(), before+down+after, before, u.name, down))
		agent.signal(syscall.SIGSTOP)
		time.Sleep(before)
		restarted := make(chan struct{})
		go func() { defer close(restarted); u.restart(down, 0) }()
		time.Sleep(down + after)
		agent.signal(syscall.SIGCONT)
		<-restarted
	}
}

// agentOf returns the agent beside an upstream.
func (k *soak) agentOf(u *upstream) *child {
	n := slices.IndexFunc(k.children, func(c *child) bool { return c.role == roleAgent && c.settings["ip"] == u.settings.Address })
	return k.children[n]
}

// restartRoundsUntil restarts entries or agents, some in turn, or all of a kind at once.
func (k *soak) restartRoundsUntil(end time.Time, random *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for time.Now().Before(end) {
		time.Sleep(below(maxRoundPause))
		role := []string{roleEntry, roleEntry, roleAgent}[random.IntN(3)]
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[random.IntN(3)]
		gap := below(maxRoundGap)
		atOnce := random.IntN(4) == 0
		var round []*child
		for _, n := range random.Perm(len(k.children)) {
			if c := k.children[n]; c.role == role && (atOnce || len(round) < maxRound) {
				round = append(round, c)
			}
		}
		if atOnce {
			gap = 0
		}
		k.announceFault(fmt.Sprintf("signal %d to %d processes with the role %s, one every %s", signal, len(round), role, gap))
		for _, c := range round {
			c.signal(signal)
			time.Sleep(gap)
		}
	}
}
