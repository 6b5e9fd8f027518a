package fleetsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryhook.example/pkg/evacuation"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
)

const (
	// evacuationBound is the time after which a request for an evacuation, or its
	// withdrawal, must be in force.
	evacuationBound  = 5 * time.Second
	watchDelay       = 100 * time.Millisecond // at most, until a watcher of the store has read a change
	unnotifiedShare  = 4                      // one in that many entries misses a change of the store
	helloInterval    = 400 * time.Millisecond // between the hello messages of an entry to the others
	agentHelloEvery  = 5                      // of them goes to the agents as well
	randomDomains    = 3
	maxEvacuationGap = 6 * time.Second // in a random run, between two requests or withdrawals
	uninformedShare  = 3               // one in that many changes in a random run makes an entry uninformed
	maxUninformed    = 8 * time.Second
	// randomColdStart and randomColdRate describe the upstreams of a random run with
	// evacuations, coldOverage and coldSlack the settings of its agents.
	randomColdStart = 3 * time.Second
	randomColdRate  = 10
	coldOverage     = 1.5
	coldSlack       = 5
)

type (
	// evacuations are the operator's requests.
	evacuations struct {
		revision uint64                   // of the store at the operator's last write, 0 before the first
		since    map[string]time.Duration // when the evacuation of each evacuated domain was requested
		last     map[string]time.Duration // when one of each domain was last requested
		ended    map[string]time.Duration // when that was withdrawn, unless it is in force
		random   *rand.Rand               // of WithEvacuations, nil without it and once it has ended
	}
)

// WithDomains spreads entries and instances over n failure domains, "domain-1" and so on.
func WithDomains(n int) Option { return func(w *World) { w.domains = n } }

// WithColdRate sets how many openings a second an upstream bears in its warm-up, see
// WithColdStart; by default there is no limit.
func WithColdRate(perSecond float64) Option { return func(w *World) { w.cold.rate = perSecond } }

// WithEvacuations requests the evacuation of a failure domain or withdraws it every few
// seconds of a random run. The upstreams have a warm-up with a limit.
func WithEvacuations(seed uint64) Option {
	return func(w *World) {
		w.domains = randomDomains
		w.cold = coldStart{duration: randomColdStart, factor: 1, rate: randomColdRate}
		w.evacuations.random = rand.New(rand.NewPCG(seed, 2))
		w.scheduleEvacuation()
	}
}

// scheduleEvacuation schedules the next request or withdrawal of a random run.
func (w *World) scheduleEvacuation() {
	e := &w.evacuations
	w.After(time.Duration(e.random.Int64N(int64(maxEvacuationGap))), func() {
		if e.random == nil {
			return
		}
		if e.random.IntN(uninformedShare) == 0 {
			w.entries[e.random.IntN(len(w.entries))].Uninform(time.Duration(e.random.Int64N(int64(maxUninformed))))
		}
		domain := domainName(e.random.IntN(w.domains))
		if _, requested := e.since[domain]; requested {
			w.EndEvacuation(domain)
		} else {
			w.Evacuate(domain)
		}
		w.scheduleEvacuation()
	})
}

// endEvacuations withdraws all evacuations, and ends those of WithEvacuations.
func (w *World) endEvacuations() {
	w.evacuations.random = nil
	for _, domain := range slices.Sorted(maps.Keys(w.evacuations.since)) {
		w.EndEvacuation(domain)
	}
}

// domainName returns the name of failure domain number n, from 0.
func domainName(n int) string { return fmt.Sprintf("domain-%d", n+1) }

// domainOf returns the failure domain of the n-th process of a kind, from 0.
func (w *World) domainOf(n int) string {
	if w.domains == 0 {
		return ""
	}
	return domainName(n % w.domains)
}

// Evacuate requests the evacuation of a failure domain: after evacuationBound, its upstreams
// must get no new flows.
func (w *World) Evacuate(domain string) {
	w.tracef("evacuate %s", domain)
	w.count("evacuations")
	w.evacuations.since[domain], w.evacuations.last[domain] = w.now(), w.now()
	delete(w.evacuations.ended, domain)
	w.writeEvacuation(func(domains map[string]bool) { domains[domain] = true })
}

// EndEvacuation withdraws the evacuation of a failure domain. Its upstreams are cold from
// then on.
func (w *World) EndEvacuation(domain string) {
	w.tracef("end evacuation of %s", domain)
	delete(w.evacuations.since, domain)
	w.evacuations.ended[domain] = w.now()
	w.writeEvacuation(func(domains map[string]bool) { delete(domains, domain) })
}

// writeEvacuation writes a key of the operator to the store, also if that has lost others.
func (w *World) writeEvacuation(change func(domains map[string]bool)) {
	w.evacuations.revision++
	if lost := w.restores.lost; lost != nil {
		domains := make(map[string]bool)
		for _, d := range lost.evacuation.Domains {
			domains[d] = true
		}
		change(domains)
		lost.evacuation.Revision, lost.evacuation.Domains = w.evacuations.revision, slices.Sorted(maps.Keys(domains))
	}
	w.deliverEvacuation()
}

// rewriteEvacuation lets the operator write again what the store has lost.
func (w *World) rewriteEvacuation() {
	if w.evacuations.revision == 0 {
		return
	}
	w.evacuations.revision++
	if lost := w.restores.lost; lost != nil {
		lost.evacuation = w.evacuationSet()
	}
	w.deliverEvacuation()
}

// deliverEvacuation notifies most of the entries of a change of the store. The others learn
// it from those or from their next read.
func (w *World) deliverEvacuation() {
	for _, e := range w.entries {
		if w.random.IntN(unnotifiedShare) == 0 {
			continue
		}
		generation := e.generation
		w.After(time.Duration(w.random.Int64N(int64(watchDelay))), func() {
			if e.up() && e.generation == generation {
				e.readEvacuation(w.readStore().evacuation)
			}
		})
	}
}

// evacuationSet returns what the operator has requested, as the store has it unless it has
// lost something.
func (w *World) evacuationSet() peer.Evacuation {
	return peer.Evacuation{
		Era: uint64(1 + w.restores.number), Revision: w.evacuations.revision, Domains: slices.Sorted(maps.Keys(w.evacuations.since)),
	}
}

// sendsHellos reports whether hello messages say anything.
func (w *World) sendsHellos() bool { return w.evacuations.revision > 0 || w.cold.rate > 0 }

// services returns the services of the configuration that have a limit while cold.
func (w *World) services() []route.Service {
	if w.cold.rate == 0 {
		return nil
	}
	var out []route.Service
	for _, i := range w.instances {
		if !slices.ContainsFunc(out, func(s route.Service) bool { return s.Name == i.service }) {
			out = append(out, route.Service{Name: i.service, ColdStart: w.cold.duration, ColdRate: w.cold.rate})
		}
	}
	return out
}

// overdue reports whether the request for an evacuation of the domain should be in force.
func (w *World) overdue(domain string) bool {
	since, requested := w.evacuations.since[domain]
	return requested && w.now()-since > evacuationBound
}

// stillExcluded reports whether a withdrawal of the evacuation of the domain should be in
// force at a process that has been running since the given time. Each restore of the store
// begins the bound anew, as what was in force before it is held while operators may write
// lost requests again (pkg/evacuation, script twice.txt).
func (w *World) stillExcluded(domain string, running time.Duration) bool {
	_, requested := w.evacuations.since[domain]
	return !requested && w.now()-max(w.evacuations.ended[domain], running, w.restores.last) > evacuationBound
}

// sendHello sends a hello message to the processes.
func (e *Entry) sendHello(to ...peer.Addr) {
	m := peer.HelloMessage{Incarnation: int64(e.generation)}
	if known, ok := e.evacuation.Message(); ok {
		m.Evacuation = &known
	}
	for _, s := range e.world.services() {
		if m.ColdRates == nil {
			m.ColdRates = make(map[string]float64)
		}
		m.ColdRates[s.Name] = s.ColdRate
	}
	b, err := peer.Encode(peer.Hello, m)
	if err != nil {
		panic(err) // the simulator's own messages can be encoded
	}
	for _, a := range to {
		e.world.send(e.address, a, b)
	}
}

// sendPeriodicHello sends the n-th hello message since the start of the entry to the other
// entries, and to the agents if it is their turn.
func (e *Entry) sendPeriodicHello(n int) {
	if !e.world.sendsHellos() {
		return
	}
	to := e.otherEntries()
	if n%agentHelloEvery == 0 {
		to = append(to, e.world.agentsOf(nil)...)
	}
	e.sendHello(to...)
}

func (e *Entry) otherEntries() []peer.Addr {
	var out []peer.Addr
	for _, other := range e.world.entries {
		if other != e {
			out = append(out, other.address)
		}
	}
	return out
}

// agentsOf returns the agents of the failure domains, or all if domains is nil.
func (w *World) agentsOf(domains []string) []peer.Addr {
	var out []peer.Addr
	for _, i := range w.instances {
		if !i.removed && (domains == nil || slices.Contains(domains, i.domain)) {
			out = append(out, i.address)
		}
	}
	return out
}

// Uninform keeps the entry from learning of any change of the evacuated domains for the given
// time, or until it starts again, as if it had lost each message about them.
func (e *Entry) Uninform(d time.Duration) { e.uninformedUntil = e.world.now() + d }

// readEvacuation takes over what the store has, unless the entry is uninformed.
func (e *Entry) readEvacuation(set peer.Evacuation) {
	if now := e.world.now(); now >= e.uninformedUntil {
		e.followEvacuation(e.evacuation.HandleRead(now, set.Era, set.Revision, set.Domains))
	}
}

// handleEvacuation takes over what another entry knows, unless the entry is uninformed.
func (e *Entry) handleEvacuation(m peer.Evacuation) {
	if now := e.world.now(); now >= e.uninformedUntil {
		e.followEvacuation(e.evacuation.HandleMessage(now, m))
	}
}

// followEvacuation puts a change in force, and passes it on to all entries and to the agents
// that it concerns.
func (e *Entry) followEvacuation(c evacuation.Change) {
	domains := c.Domains()
	if len(domains) == 0 {
		return
	}
	e.director.SetEvacuated(e.evacuation.InForce())
	e.world.tracef("entry %s knows of evacuated domains %v", e.address, e.evacuation.InForce())
	e.sendHello(append(e.otherEntries(), e.world.agentsOf(domains)...)...)
}

// checkEvacuation counts a domain that is still excluded after the withdrawal.
func (e *Entry) checkEvacuation() {
	if !e.up() {
		return
	}
	for _, domain := range e.evacuation.InForce() {
		if e.world.stillExcluded(domain, max(e.runningSince, e.uninformedUntil)) {
			e.world.tracef("entry %s still excludes %s", e.address, domain)
			e.world.count("excluded-after-evacuation")
		}
	}
}

// receiveHello handles a hello message of an entry.
func (i *Instance) receiveHello(datagram []byte) error {
	var m peer.HelloMessage
	if err := peer.DecodeMessage(datagram, &m); err != nil {
		return err
	}
	i.introduced = true
	i.relay.SetColdLimit(m.ColdRates[i.service])
	if m.Evacuation != nil {
		i.evacuation.HandleMessage(i.world.now(), *m.Evacuation)
		i.applyEvacuation()
	}
	return nil
}

// applyEvacuation passes on what the agent knows of its failure domain.
func (i *Instance) applyEvacuation() {
	now := i.world.now()
	evacuated := slices.Contains(i.evacuation.InForce(), i.domain)
	if i.relay.SetEvacuated(now, evacuated) {
		i.sendReport()
	}
	if evacuated {
		i.evacuatedAt = now
	}
}

// checkEvacuation counts an upstream that still gets no new flows after the withdrawal.
func (i *Instance) checkEvacuation() {
	w := i.world
	u := i.upstream
	if w.evacuations.revision == 0 || u == nil || u.draining || !i.up() || i.relay.Status(w.now()).Taking {
		return
	}
	if w.stillExcluded(i.domain, max(i.agentStarted, i.reachableSince, time.UnixMilli(u.born).Sub(w.start))) {
		w.tracef("agent %s still takes no flows", i.address)
		w.count("excluded-after-evacuation")
	}
}

// coldSince returns when the warm-up of the upstream began.
func (u *upstream) coldSince() time.Duration {
	w := u.instance.world
	return max(time.UnixMilli(u.born).Sub(w.start), w.evacuations.ended[u.instance.domain])
}

// knowsWarmUp reports whether the agent can know the limit and that its upstream is cold: it
// has had a hello message, a heartbeat since it was cut off, and one since the withdrawal of
// an evacuation of which it has never heard.
func (i *Instance) knowsWarmUp() bool {
	e := &i.world.evacuations
	return i.introduced && i.heartbeatAt >= i.reachableSince && (i.heartbeatAt >= e.ended[i.domain] || i.evacuatedAt >= e.last[i.domain])
}

// checkOpening counts a new flow that the upstream must not have been given.
func (u *upstream) checkOpening() {
	w := u.instance.world
	if w.overdue(u.instance.domain) {
		w.tracef("upstream of agent %s opened a flow although evacuated", u.instance.address)
		w.count("opened-while-evacuated")
	}
	if w.cold.rate == 0 || u.coldFor() == 0 || !u.instance.knowsWarmUp() {
		return
	}
	u.coldOpenings = slices.DeleteFunc(append(u.coldOpenings, w.now()), func(at time.Duration) bool { return w.now()-at >= time.Second })
	if float64(len(u.coldOpenings)) > coldOverage*w.cold.rate+coldSlack {
		w.tracef("cold upstream of agent %s got %d flows in a second", u.instance.address, len(u.coldOpenings))
		w.count("cold-limit-exceeded")
	}
}
