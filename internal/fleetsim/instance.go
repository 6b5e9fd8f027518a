package fleetsim

import (
	"fmt"
	"time"

	"hickoryhook.example/pkg/evacuation"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// Instance is a simulated machine that runs an upstream and the agent beside
// it.
type Instance struct {
	world       *World
	address     peer.Addr
	service     string
	domain      string
	slots       int
	relay       *relay.Relay
	generation  int // of the agent; timers of an earlier one do nothing
	agentUp     bool
	unreachable bool // without power, partitioned or disconnected
	evacuation  *evacuation.Tracker
	introduced  bool // the agent has had a hello message
	// reachableSince is when the instance was last reachable again, since the start of
	// the simulation.
	reachableSince time.Duration
	heartbeatAt    time.Duration // when the agent last had one of the upstream
	evacuatedAt    time.Duration // when the agent last knew that its domain is evacuated
	removed        bool          // its agent has stopped for good
	sequence       uint64        // of the agent's last report
	agentStarted   time.Duration // since the start of the simulation
	upstream       *upstream     // nil while it does not run
	slowFactor     float64       // of the upstream's processing time; 0 and 1: as usual
}

func (w *World) addInstance(service string, slots int) *Instance {
	i := &Instance{world: w, address: w.nextAddress(), service: service, slots: slots, domain: w.domainOf(len(w.Instances(service)))}
	w.instances = append(w.instances, i)
	w.nodes[i.address] = i
	i.startUpstream()
	i.startAgent()
	w.Every(heartbeatInterval, heartbeatInterval, func() bool { i.sendHeartbeat(); return !i.removed })
	return i
}

func (i *Instance) startUpstream() {
	i.world.upstreamStarts++
	i.upstream = newUpstream(i, fmt.Sprintf("u-%d", i.world.upstreamStarts), i.world.Now().UnixMilli())
}

// startAgent starts the agent and its timers. Until the upstream's first
// heartbeat, the agent treats it as ready with one slot, unless it drains, and as
// ended if it does not run.
func (i *Instance) startAgent() {
	w := i.world
	i.generation++
	generation := i.generation
	i.agentUp, i.sequence, i.agentStarted = true, 0, w.now()
	i.evacuation, i.introduced = evacuation.New(), false
	i.relay = relay.New(i.address, peer.Service(i.service), w.codec, i, relay.WithColdBounds(coldOverage, coldSlack), relay.WithStart(w.now()), relay.WithHeartbeatInterval(heartbeatInterval))
	if i.upstream == nil {
		i.relay.MarkEnded(i.world.now(), i.world.now())
	} else if !i.upstream.draining {
		i.relay.AssumeReady(1)
	}
	running := func() bool { return i.agentUp && i.generation == generation && !i.removed }
	w.Every(tickInterval, tickInterval, func() bool {
		if running() {
			i.relay.Tick(w.now())
			i.checkLeavingUpstream()
			i.applyEvacuation()
			i.checkEvacuation()
		}
		return running()
	})
	var report func()
	report = func() {
		if !running() {
			return
		}
		i.sendReport()
		if w.now()-i.agentStarted < startupReportPeriod {
			w.After(startupReportInterval, report)
			return
		}
		w.After(reportInterval, report)
	}
	report()
}

// sendReport sends the agent's status to all entries.
func (i *Instance) sendReport() {
	i.sequence++
	st := i.relay.Status(i.world.now())
	st.Incarnation = i.world.start.Add(i.agentStarted).UnixMilli()
	st.Sequence = i.sequence
	st.Service, st.FailureDomain = i.service, i.domain
	i.broadcast(peer.Report, st)
}

// broadcast sends a message to all entries.
func (i *Instance) broadcast(kind peer.Kind, m any) {
	b, err := peer.Encode(kind, m)
	if err != nil {
		panic(err) // the simulator's own messages can be encoded
	}
	for _, e := range i.world.entries {
		i.ToProcess(e.address, b)
	}
}

// sendHeartbeat sends the upstream's heartbeat to the agent, which reports to the
// entries at once if relay.HandleHeartbeat asks for that. It does nothing if the
// upstream or the agent does not run or the instance is unreachable.
func (i *Instance) sendHeartbeat() {
	u := i.upstream
	if u == nil || !i.agentUp || i.unreachable {
		return
	}
	u.heartbeats++
	i.heartbeatAt = i.world.now()
	changed := i.relay.HandleHeartbeat(i.world.now(), relay.Upstream{
		ID: u.id, Born: u.born, Sequence: u.heartbeats, Slots: i.slots, Draining: u.draining,
		Age: i.world.Now().Sub(time.UnixMilli(u.born)), ColdFor: u.coldFor(),
	})
	if u.draining && u.drainAckedAt == 0 {
		u.drainAckedAt = i.world.now()
	}
	if changed {
		i.sendReport()
	}
}

// Drain drains the upstream, if one runs, and ends it after the given time, unless
// it has ended or been replaced meanwhile. The agent stops a second later, unless
// it has been killed or restarted in that second, and the instance is then removed.
func (i *Instance) Drain(after time.Duration) {
	u := i.upstream
	if u == nil {
		return
	}
	u.draining = true
	i.sendHeartbeat()
	i.world.After(after, func() {
		if i.upstream != u {
			return
		}
		i.relay.HandleDeregistration(i.world.now(), i.upstream.id)
		i.upstream = nil
		i.sendReport()
		generation := i.generation
		i.world.After(time.Second, func() {
			if i.agentUp && i.generation == generation { // not restarted or power-cycled meanwhile
				i.StopAgent()
			}
		})
	})
}

// checkLeavingUpstream ends an upstream that has deregistered and does not run any more.
func (i *Instance) checkLeavingUpstream() {
	if now := i.world.now(); i.relay.Leaving(now) && i.upstream == nil && i.relay.MarkEnded(now, now) {
		i.sendReport()
	}
}

// StopAgent stops the agent gracefully: it sends a goodbye message, and the
// instance is removed after tickInterval, unless the agent has been started again
// by then.
func (i *Instance) StopAgent() {
	if i.relay.Deregistered() && i.upstream == nil {
		i.relay.MarkEnded(i.world.now(), i.world.now())
	}
	i.relay.Stop(i.world.now())
	i.broadcast(peer.Goodbye, peer.GoodbyeMessage{})
	i.world.After(tickInterval/10, i.sendReport) // a report in flight that arrives after the goodbye
	generation := i.generation
	i.world.After(tickInterval, func() {
		if i.generation == generation {
			i.agentUp, i.removed = false, true
		}
	})
}

// RestartAgent kills the agent, but not the upstream, and starts it again after
// the time down, unless a return of the power has started it by then. It does nothing once the
// instance is removed.
func (i *Instance) RestartAgent(down time.Duration) {
	if i.removed {
		return
	}
	i.agentUp = false
	i.world.After(down, func() {
		if !i.agentUp {
			i.startAgent()
		}
	})
}

// MoveTo kills the agent and the upstream, and starts an agent and an upstream of another
// service at the same address after the time down. It does nothing once the instance is removed.
func (i *Instance) MoveTo(service string, down time.Duration) {
	if i.removed {
		return
	}
	i.agentUp, i.upstream = false, nil
	i.generation++
	generation := i.generation
	i.world.After(down, func() {
		if i.generation != generation || i.removed {
			return
		}
		i.service = service
		i.startUpstream()
		i.startAgent()
		i.sendHeartbeat()
	})
}

// CrashUpstream kills the upstream. A new one, without flows, starts after the
// time down, or never if that is 0. A running agent notices the end after
// heartbeatInterval unless the new one runs by then.
func (i *Instance) CrashUpstream(down time.Duration) {
	i.upstream = nil
	i.world.After(heartbeatInterval, func() {
		if i.upstream == nil && i.agentUp {
			i.relay.MarkEnded(i.world.now(), i.world.now())
			i.sendReport()
		}
	})
	if down > 0 {
		i.world.After(down, func() { i.startUpstream(); i.sendHeartbeat() })
	}
}

// FailUpstream makes the upstream reset each of its flows at the next request,
// for the given time. It still accepts new flows.
func (i *Instance) FailUpstream(d time.Duration) {
	u := i.upstream
	if u == nil {
		return
	}
	u.failing = true
	if i.world.heldAtFailure == 0 {
		i.world.heldAtFailure = len(u.flows)
	}
	i.world.After(d, func() { u.failing = false })
}

// PowerCycle cuts the power of the instance and restores it after the time
// down. The agent and the upstream then start without state. It does nothing once
// the instance is removed.
func (i *Instance) PowerCycle(down time.Duration) {
	if i.removed {
		return
	}
	i.agentUp, i.upstream, i.unreachable = false, nil, true
	i.world.After(down, func() {
		i.unreachable, i.reachableSince = false, i.world.now()
		i.startUpstream()
		i.startAgent()
		i.sendHeartbeat()
	})
}

// Disconnect makes the instance unreachable without a goodbye: for good, unless the
// end of a Partition or PowerCycle makes it reachable again.
func (i *Instance) Disconnect() { i.unreachable = true }

// Partition separates the instance from all others for the given time: it
// neither sends nor receives datagrams, and the upstream sends no heartbeats to
// the agent, but both keep running.
func (i *Instance) Partition(d time.Duration) {
	i.unreachable = true
	i.world.After(d, func() { i.unreachable, i.reachableSince = false, i.world.now() })
}

// up implements node.
func (i *Instance) up() bool { return i.agentUp && !i.unreachable && !i.removed }

// receive implements node.
func (i *Instance) receive(from peer.Addr, datagram []byte) {
	kind, err := peer.KindOf(datagram)
	switch {
	case err != nil:
	case kind == peer.OwnerQuery:
		err = i.relay.HandleOwnerQuery(from, datagram)
	case kind == peer.Hello:
		err = i.receiveHello(datagram)
	default:
		err = i.relay.HandleFrame(i.world.now(), datagram)
	}
	if err != nil {
		i.world.count("malformed")
	}
}

// ToUpstream implements relay.Port.
func (i *Instance) ToUpstream(packet []byte) {
	u := i.upstream
	if u == nil {
		return
	}
	copied := append([]byte(nil), packet...)
	i.world.After(localDelay, func() {
		if i.upstream == u {
			u.receive(copied)
		}
	})
}

// ToCaller implements relay.Port.
func (i *Instance) ToCaller(flow segment.Flow, packet []byte) {
	if !i.unreachable {
		i.world.sendToCaller(flow, packet)
	}
}

// ToProcess implements relay.Port.
func (i *Instance) ToProcess(to peer.Addr, datagram []byte) {
	if !i.unreachable {
		i.world.send(i.address, to, datagram)
	}
}

// RecordLatency implements relay.Port.
func (i *Instance) RecordLatency(relay.Measure, time.Duration) {}

// RecordReset implements relay.Port.
func (i *Instance) RecordReset(flow segment.Flow, why relay.Reset) {
	i.world.count("agent-" + string(relay.ResetUpstreamEnded))
	i.world.tracef("agent %s %s %s: %s", i.address, relay.ResetUpstreamEnded, flow, why.Proof)
}

// RecordClaim implements relay.Port.
func (i *Instance) RecordClaim(c relay.Claim) {
	i.world.tracef("agent %s heartbeat %d of %s, the present start is %s", i.address, c.Upstream.Sequence, c.Upstream.ID, c.PresentID)
}

// RecordStart implements relay.Port.
func (i *Instance) RecordStart(u relay.Upstream, _ uint32, evidence relay.Succession) {
	i.world.tracef("agent %s upstream %s: %s", i.address, u.ID, evidence)
}

// RecordDecision implements relay.Port.
func (i *Instance) RecordDecision(event relay.Event, flow segment.Flow, _ *peer.Frame) {
	i.world.count("agent-" + string(event))
	i.world.tracef("agent %s %s %s", i.address, event, flow)
}
