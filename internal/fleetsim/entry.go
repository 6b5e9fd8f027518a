package fleetsim

import (
	"time"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// Entry is a balancer and the routers' opinion of it.
type Entry struct {
	world      *World
	address    peer.Addr
	core       *director.Director
	life       int
	alive      bool
	stopping   bool
	paused     bool
	inRotation bool
	missed     int
	lastTick   time.Duration
}

func (w *World) addEntry() *Entry {
	e := &Entry{world: w, address: w.address()}
	w.entries = append(w.entries, e)
	w.nodes[e.address] = e
	w.Every(0, probeEvery, func() bool { e.probe(); return true })
	e.start()
	return e
}

func (e *Entry) start() {
	w := e.world
	e.life++
	life := e.life
	e.alive, e.stopping = true, false
	e.lastTick = w.now()
	e.core = director.New(e.address, w.codec, e)
	e.core.MergeHolders(w.holders)
	e.core.SetConfig(w.config())
	e.core.MarkVerified(w.now())
	e.core.RestoreFlows(w.now(), w.stored[e.address])
	running := func() bool { return e.alive && e.life == life }
	w.Every(tickEvery, tickEvery, func() bool {
		if running() && !e.paused {
			now := w.now()
			e.core.Tick(now, now-e.lastTick)
			e.lastTick = now
		}
		return running()
	})
	w.Every(rememberEvery, rememberEvery, func() bool {
		if running() && !e.paused {
			w.stored[e.address] = e.core.SnapshotFlows(w.now(), rememberFlows)
		}
		return running()
	})
	w.Every(0, registryEvery, func() bool {
		if running() && !e.paused {
			e.core.SetRegistered(w.now(), w.registered())
			e.core.MarkVerified(w.now())
		}
		return running()
	})
}

// Crash kills the entry; it starts again after the given time.
func (e *Entry) Crash(down time.Duration) {
	e.alive = false
	e.world.After(down, e.start)
}

// RestartGracefully stops the entry gracefully and starts it again.
func (e *Entry) RestartGracefully() {
	e.stopping = true
	e.world.After(entryStops, func() { e.Crash(restartDelay) })
}

// Pause stops the entry's process for a time.
func (e *Entry) Pause(d time.Duration) {
	e.paused = true
	e.world.After(d, func() { e.paused = false })
}

// probe asks whether the entry is ready, as the routers do.
func (e *Entry) probe() {
	if e.alive && !e.stopping && !e.paused && e.core.Reachable(e.world.now()) {
		e.missed, e.inRotation = 0, true
		return
	}
	e.missed++
	if e.missed >= misses {
		e.inRotation = false
	}
}

func (e *Entry) up() bool { return e.alive && !e.paused }

func (e *Entry) fromCaller(packet []byte) {
	if e.up() {
		if err := e.core.HandleCallerPacket(e.world.now(), packet); err != nil {
			e.world.count("malformed")
		}
	}
}

func (e *Entry) receive(from peer.Addr, datagram []byte) {
	kind, err := peer.KindOf(datagram)
	if err != nil {
		e.world.count("malformed")
		return
	}
	switch kind {
	case peer.Report:
		var st peer.Status
		if err := peer.DecodeMessage(datagram, &st); err != nil {
			e.world.count("malformed")
			return
		}
		e.core.HandleReport(e.world.now(), from, st)
	case peer.Goodbye:
		var f peer.GoodbyeMessage
		if err := peer.DecodeMessage(datagram, &f); err != nil {
			e.world.count("malformed")
			return
		}
		e.core.HandleGoodbye(e.world.now(), from, f.Restarting)
	default:
		if err := e.core.HandleAgentDatagram(e.world.now(), from, datagram); err != nil {
			e.world.count("malformed")
		}
	}
}

// ToProcess implements director.Port.
func (e *Entry) ToProcess(to peer.Addr, datagram []byte) { e.world.send(e.address, to, datagram) }

// ToCaller implements director.Port.
func (e *Entry) ToCaller(flow segment.Flow, packet []byte) {
	e.world.toCaller(flow, packet)
}

// RecordLatency implements director.Port.
func (e *Entry) RecordLatency(director.Measure, time.Duration) {}

// RecordDecision implements director.Port.
func (e *Entry) RecordDecision(d director.Decision) {
	e.world.count(string(d.Event))
	e.world.tracef("entry %s %s %s agent %s load %.1f tried %d", e.address, d.Event, d.Flow, d.Agent, d.Load, d.Tried)
}
