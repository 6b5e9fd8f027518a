package fleet

import (
	"maps"
	"sync"

	"hickoryhook.example/pkg/peer"
)

// coldRates holds the rates of cold upstreams that an entry has announced to the agents last. It is safe
// for concurrent use.
type coldRates struct {
	mu   sync.Mutex
	last map[string]float64 // openings a second, by service
}

// announceConfig sends hello messages to the live entries and, if cold upstreams bear other rates by the
// new configuration, to the known agents: the reply to their next report may be agentHelloInterval away.
func (e *Entry) announceConfig() {
	e.sendHelloToAlive()
	if c := e.director.Config(); c != nil && e.coldRates.change(c.ColdRates()) {
		e.sendMessage(peer.Hello, e.helloToAgents(false), e.director.Agents()...)
	}
}

// change records the rates, and reports whether they differ from the last ones.
func (r *coldRates) change(rates map[string]float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.last, rates) {
		return false
	}
	r.last = rates
	return true
}
