package fleetsim

import (
	"slices"
	"time"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/evacuation"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// Entry is a simulated entry (a balancer process) together with its state in the
// health checks of the routers.
type Entry struct {
	world           *World
	address         peer.Addr
	domain          string
	director        *director.Director
	generation      int // of the process; timers of an earlier one do nothing
	alive           bool
	stopping        bool
	paused          bool
	inRotation      bool                  // the routers send packets to it
	failedProbes    int                   // in a row
	oldConfig       int                   // probes in a row at which the entry had an old configuration
	startedAt       time.Duration         // since the start of the simulation
	replying        bool                  // the entry handles a packet of a caller
	resets          map[segment.Flow]bool // flows that the entry has reset without a packet of them
	lastTick        time.Duration         // since the start of the simulation
	evacuation      *evacuation.Tracker
	runningSince    time.Duration // since the last start or pause
	uninformedUntil time.Duration
	confirming      bool                // a read for the resets that wait is under way
	introduced      map[peer.Addr]int64 // incarnations of the agents that have had a hello message
}

func (w *World) addEntry() *Entry {
	e := &Entry{world: w, address: w.nextAddress(), domain: w.domainOf(len(w.entries))}
	w.entries = append(w.entries, e)
	w.nodes[e.address] = e
	w.Every(0, probeInterval, func() bool { e.probe(); return true })
	e.start()
	return e
}

// start starts the process with the flow snapshot that it stored last, and its
// timers.
func (e *Entry) start() {
	w := e.world
	e.generation++
	generation := e.generation
	e.alive, e.stopping, e.confirming = true, false, false
	e.resets = make(map[segment.Flow]bool)
	e.lastTick, e.startedAt, e.runningSince = w.now(), w.now(), w.now()
	e.introduced = make(map[peer.Addr]int64)
	e.uninformedUntil = 0
	stored := w.readStore()
	e.director = director.New(e.address, w.codec, e, director.WithFailureDomain(e.domain))
	e.director.MergeHolders(stored.holders, stored.config.Version())
	e.director.SetConfig(stored.config)
	e.director.RestoreFlows(w.now(), stored.snapshots[e.address])
	e.evacuation = evacuation.New()
	e.readEvacuation(stored.evacuation)
	running := func() bool { return e.alive && e.generation == generation }
	w.Every(tickInterval, tickInterval, func() bool {
		if running() && !e.paused {
			now := w.now()
			e.director.Tick(now, now-e.lastTick)
			e.lastTick = now
		}
		return running()
	})
	w.Every(snapshotInterval, snapshotInterval, func() bool {
		if running() && !e.paused {
			if !w.without[MechanismSnapshots] {
				w.snapshots[e.address] = savedSnapshots(e.director.SnapshotFlows(w.now(), maxSnapshotFlows))
			}
		}
		return running()
	})
	hellos := 0
	w.Every(helloInterval, helloInterval, func() bool {
		if running() && !e.paused {
			hellos++
			e.sendPeriodicHello(hellos)
		}
		return running()
	})
	var agents []peer.Addr // of an entry that was started before
	w.After(peerAnswerTime, func() {
		if running() {
			agents = e.completeFromPeer()
			w.After(peerAgentsRetention, func() { agents = nil })
		}
	})
	w.Every(peerAnswerTime, registryPollInterval, func() bool {
		if running() && !e.paused {
			e.readStore(agents)
		}
		return running()
	})
	w.Every(agentListInterval, agentListInterval, func() bool {
		if running() && !e.paused {
			e.writeAgents()
		}
		return running()
	})
}

// readStore reads the configuration, the flow holders and the registered agents, to which it
// adds others. It completes the flow holders only if a version of the configuration was
// skipped, and then by what an entry knows that has seen all versions.
func (e *Entry) readStore(agents []peer.Addr) {
	w := e.world
	stored := w.readStore()
	e.readEvacuation(stored.evacuation)
	e.director.SetConfig(stored.config)
	if _, known := e.director.Registered(); !known {
		e.director.MergeHolders(w.holders, w.version)
	}
	e.director.SetRegistered(w.now(), append(slices.Clone(stored.registered), agents...))
	if stored.config.Version() == e.director.Config().Version() {
		e.director.MarkVerified(w.now())
	}
}

// confirm reads the configuration for the resets that wait for its verification, as long as there
// are any.
func (e *Entry) confirm() {
	if e.confirming {
		return
	}
	e.confirming = true
	w, generation, begin := e.world, e.generation, e.world.now()
	w.After(storeDelay, func() {
		if !e.up() || e.generation != generation {
			e.confirming = false
			return
		}
		w.count("confirmations")
		stored := w.readStore()
		e.readEvacuation(stored.evacuation)
		e.director.SetConfig(stored.config)
		if stored.config.Version() == e.director.Config().Version() {
			e.director.MarkVerified(begin)
		}
		e.director.ResetVerified(w.now())
		w.After(confirmInterval, func() {
			e.confirming = false
			unheld, _ := e.director.AwaitsVerification()
			if e.up() && e.generation == generation && unheld {
				e.confirm()
			}
		})
	})
}

// writeAgents writes the agents that the entry knows to the store, as the product does: by
// the running entry with the lowest address, and only while it is settled. A store that has
// come back from an older copy gets the list, too.
func (e *Entry) writeAgents() {
	w := e.world
	first := w.entries[slices.IndexFunc(w.entries, (*Entry).up)]
	if first != e || !e.director.Settled(w.now()) {
		return
	}
	w.registered = e.director.Agents()
	if w.restores.lost != nil {
		w.restores.lost.registered = w.registered
	}
}

// Crash kills the entry and starts it again after the time down.
func (e *Entry) Crash(down time.Duration) {
	e.alive = false
	e.world.After(down, e.start)
}

// RestartGracefully stops the entry gracefully and starts it again after
// restartDelay. Before its process ends, its health checks fail for
// entryStopTime, in which it still handles packets.
func (e *Entry) RestartGracefully() {
	e.stopping = true
	e.world.After(entryStopTime, func() { e.Crash(restartDelay) })
}

// Pause suspends the entry's process for the given time, as SIGSTOP does, but
// datagrams that arrive meanwhile are lost.
func (e *Entry) Pause(d time.Duration) {
	e.paused = true
	e.world.After(d, func() { e.paused, e.runningSince = false, e.world.now() })
}

// probe is the health check of the routers: the entry is in rotation from the
// first probe that succeeds until probeFailureThreshold probes in a row fail.
func (e *Entry) probe() {
	e.checkConfig()
	e.checkEvacuation()
	if e.alive && !e.stopping && !e.paused && e.director.Reachable(e.world.now()) {
		e.failedProbes, e.inRotation = 0, true
		return
	}
	e.failedProbes++
	if e.failedProbes >= probeFailureThreshold {
		e.inRotation = false
	}
}

// checkConfig counts a configuration that is still not in force some probes after all
// running entries have received it.
func (e *Entry) checkConfig() {
	if !e.up() || e.director.Config().Version() >= e.world.appliedVersion {
		e.oldConfig = 0
		return
	}
	if e.oldConfig++; e.oldConfig > probeFailureThreshold {
		e.world.count("config-outdated")
	}
}

// up implements node.
func (e *Entry) up() bool { return e.alive && !e.paused }

// handleCallerPacket handles a packet that the routers send to the entry. It is
// lost if the entry is not up.
func (e *Entry) handleCallerPacket(packet []byte) {
	if e.up() {
		e.replying = true
		defer func() { e.replying = false }()
		if err := e.director.HandleCallerPacket(e.world.now(), packet); err != nil {
			e.world.count("malformed")
		}
	}
}

// receive implements node.
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
		e.director.HandleReport(e.world.now(), from, st)
		if e.introduced[from] != st.Incarnation && e.world.sendsHellos() {
			e.introduced[from] = st.Incarnation
			e.sendHello(from)
		}
	case peer.Hello:
		var m peer.HelloMessage
		if err := peer.DecodeMessage(datagram, &m); err != nil {
			e.world.count("malformed")
			return
		}
		if m.Evacuation != nil {
			e.handleEvacuation(*m.Evacuation)
		}
	case peer.Goodbye:
		var f peer.GoodbyeMessage
		if err := peer.DecodeMessage(datagram, &f); err != nil {
			e.world.count("malformed")
			return
		}
		e.director.HandleGoodbye(e.world.now(), from, f.Restarting)
	default:
		if err := e.director.HandleAgentDatagram(e.world.now(), from, datagram); err != nil {
			e.world.count("malformed")
		}
	}
}

// ToProcess implements director.Port.
func (e *Entry) ToProcess(to peer.Addr, datagram []byte) { e.world.send(e.address, to, datagram) }

// ToCaller implements director.Port.
func (e *Entry) ToCaller(flow segment.Flow, packet []byte) {
	w := e.world
	if !e.replying {
		if w.without[MechanismRepeatedResets] && e.resets[flow] {
			return
		}
		e.resets[flow] = true
	}
	if w.callerLoss > 0 && w.random.Float64() < w.callerLoss {
		return
	}
	w.sendToCaller(flow, packet)
}

// RecordLatency implements director.Port.
func (e *Entry) RecordLatency(director.Measure, time.Duration) {}

// RecordDecision implements director.Port.
func (e *Entry) RecordDecision(d director.Decision) {
	if d.Event == director.OwnerUnverified {
		e.confirm()
	}
	e.world.count(string(d.Event))
	e.world.tracef("entry %s %s %s agent %s load %.1f tried %d", e.address, d.Event, d.Flow, d.Agent, d.Load, d.Tried)
}

// savedSnapshots returns flow snapshots as they come back from the store, which holds the short
// identifiers of the services only.
func savedSnapshots(flows []director.FlowSnapshot) []director.FlowSnapshot {
	for n := range flows {
		flows[n].Service = peer.ShortService(flows[n].Service.Short())
	}
	return flows
}
