package fleetsim

import (
	"fmt"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
	"hickoryhook.example/pkg/segment"
)

// Instance is an upstream's instance: the upstream and the agent beside it.
type Instance struct {
	world    *World
	address  peer.Addr
	service  string
	slots    int
	relay    *relay.Relay
	life     int
	agentUp  bool
	dark     bool // without power or cut off
	removed  bool
	sequence uint64
	began    time.Duration // of the agent
	lastUp   time.Duration // when the agent was last up, for its registration
	upstream *upstream
}

func (w *World) addInstance(service string, slots int) *Instance {
	i := &Instance{world: w, address: w.address(), service: service, slots: slots}
	w.instances = append(w.instances, i)
	w.nodes[i.address] = i
	i.startUpstream()
	i.startAgent()
	w.Every(beatEvery, beatEvery, func() bool { i.beat(); return !i.removed })
	return i
}

// registered returns the agents whose registration has not lapsed.
func (w *World) registered() []peer.Addr {
	var out []peer.Addr
	for _, i := range w.instances {
		if i.agentUp && !i.dark {
			i.lastUp = w.now()
		}
		if !i.removed && w.now()-i.lastUp <= registeredFor {
			out = append(out, i.address)
		}
	}
	return out
}

func (i *Instance) startUpstream() {
	i.world.starts++
	i.upstream = newUpstream(i, fmt.Sprintf("u-%d", i.world.starts), i.world.Now().UnixMilli())
}

func (i *Instance) startAgent() {
	w := i.world
	i.life++
	life := i.life
	i.agentUp, i.sequence, i.began = true, 0, w.now()
	i.relay = relay.New(i.address, peer.Service(i.service), w.codec, i)
	if i.upstream == nil {
		i.relay.MarkEnded()
	} else if !i.upstream.draining {
		i.relay.AssumeReady(1)
	}
	running := func() bool { return i.agentUp && i.life == life && !i.removed }
	w.Every(tickEvery, tickEvery, func() bool {
		if running() {
			i.relay.Tick(w.now())
		}
		return running()
	})
	var report func()
	report = func() {
		if !running() {
			return
		}
		i.report()
		if w.now()-i.began < hurryFor {
			w.After(hurryEvery, report)
			return
		}
		w.After(reportEvery, report)
	}
	report()
}

func (i *Instance) report() {
	i.sequence++
	st := i.relay.Status(i.world.now())
	st.Incarnation = i.world.start.Add(i.began).UnixMilli()
	st.Sequence = i.sequence
	st.Service = i.service
	i.tell(peer.Report, st)
}

func (i *Instance) tell(kind peer.Kind, m any) {
	b, err := peer.Encode(kind, m)
	if err != nil {
		panic(err) // a message of our own
	}
	for _, e := range i.world.entries {
		i.ToProcess(e.address, b)
	}
}

// beat is the upstream's heartbeat.
func (i *Instance) beat() {
	u := i.upstream
	if u == nil || !i.agentUp || i.dark {
		return
	}
	u.beats++
	changed := i.relay.HandleHeartbeat(i.world.now(), relay.Upstream{
		ID: u.id, Born: u.born, Sequence: u.beats, Slots: i.slots, Draining: u.draining,
		Age: i.world.Now().Sub(time.UnixMilli(u.born)),
	})
	if u.draining && u.drainAcked == 0 {
		u.drainAcked = i.world.now()
	}
	if changed {
		i.report()
	}
}

// Drain makes the upstream leave: it drains, ends after the given time, and
// its instance is taken away.
func (i *Instance) Drain(after time.Duration) {
	u := i.upstream
	if u == nil {
		return
	}
	u.draining = true
	i.beat()
	i.world.After(after, func() {
		if i.upstream != u {
			return
		}
		i.relay.HandleDeregistration(i.world.now(), i.upstream.id)
		i.upstream = nil
		i.report()
		life := i.life
		i.world.After(time.Second, func() {
			if i.agentUp && i.life == life { // no loss of power has come between
				i.StopAgent()
			}
		})
	})
}

// StopAgent stops the agent for good.
func (i *Instance) StopAgent() {
	i.relay.Stop()
	i.tell(peer.Goodbye, peer.GoodbyeMessage{})
	i.world.After(tickEvery/10, i.report) // a report that was under way
	life := i.life
	i.world.After(tickEvery, func() {
		if i.life == life {
			i.agentUp, i.removed = false, true
		}
	})
}

// RestartAgent kills the agent alone; it starts again after the given time.
func (i *Instance) RestartAgent(down time.Duration) {
	if i.removed {
		return
	}
	i.agentUp = false
	i.world.After(down, i.startAgent)
}

// CrashUpstream kills the upstream; it starts anew after the given time, or
// never if that is 0.
func (i *Instance) CrashUpstream(down time.Duration) {
	i.upstream = nil
	i.world.After(beatEvery, func() {
		if i.upstream == nil && i.agentUp {
			i.relay.MarkEnded()
			i.report()
		}
	})
	if down > 0 {
		i.world.After(down, func() { i.startUpstream(); i.beat() })
	}
}

// FailUpstream lets the upstream reset its flows with their next request, for
// the given time. It accepts new ones meanwhile.
func (i *Instance) FailUpstream(d time.Duration) {
	u := i.upstream
	if u == nil {
		return
	}
	u.failing = true
	i.world.After(d, func() { u.failing = false })
}

// PowerCycle takes power from the instance and gives it back.
func (i *Instance) PowerCycle(down time.Duration) {
	if i.removed {
		return
	}
	i.agentUp, i.upstream, i.dark = false, nil, true
	i.world.After(down, func() {
		i.dark = false
		i.startUpstream()
		i.startAgent()
		i.beat()
	})
}

// Disconnect takes the instance away without a word.
func (i *Instance) Disconnect() { i.dark = true }

// Partition keeps the instance from all others for a time.
func (i *Instance) Partition(d time.Duration) {
	i.dark = true
	i.world.After(d, func() { i.dark = false })
}

func (i *Instance) up() bool { return i.agentUp && !i.dark && !i.removed }

func (i *Instance) receive(from peer.Addr, datagram []byte) {
	kind, err := peer.KindOf(datagram)
	if err == nil && kind == peer.OwnerQuery {
		err = i.relay.HandleOwnerQuery(from, datagram)
	} else if err == nil {
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
	if !i.dark {
		i.world.toCaller(flow, packet)
	}
}

// ToProcess implements relay.Port.
func (i *Instance) ToProcess(to peer.Addr, datagram []byte) {
	if !i.dark {
		i.world.send(i.address, to, datagram)
	}
}

// RecordLatency implements relay.Port.
func (i *Instance) RecordLatency(relay.Measure, time.Duration) {}

// RecordDecision implements relay.Port.
func (i *Instance) RecordDecision(event relay.Event, flow segment.Flow, _ *peer.Frame) {
	i.world.count("agent-" + string(event))
	i.world.tracef("agent %s %s %s", i.address, event, flow)
}
