package fleet

import (
	"context"
	"slices"
	"time"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
)

const (
	// unsettledReadInterval is the pause between reads of the registrations
	// while the entry is not settled, for example because a registered agent has
	// not sent a report.
	unsettledReadInterval = time.Second
	// discoverInterval is how often an entry reads the registrations, as processes
	// announce themselves by messages.
	discoverInterval = 10 * time.Second
	// agentsOfPeerRetention is how long agents that only another entry has named count as
	// registered: until the entries have written their list to a store that lost it, and
	// stale reads return that list.
	agentsOfPeerRetention = 10 * time.Second
	// unknownAgentsWait is how long an entry waits for agents whose entries in the list
	// cannot be read: as long as for a registered agent that does not report.
	unknownAgentsWait = 10 * time.Second
)

// discovery is the state of discoverProcesses.
type discovery struct {
	registryRead   bool
	agentsOfPeer   []peer.Addr // agents named by an entry that was started before
	agentsOfPeerAt time.Duration
	agentsKnown    bool          // the director has a list of agents that lacks none
	agentsLackAt   time.Duration // first of the reads in a row that lacked agents, 0 if the last one did not
}

// discoverProcesses reads the registrations in the store: at the start, every
// unsettledReadInterval while the entry is not settled, and every
// discoverInterval after that. When the store does not answer, it requests the
// registrations from other entries unless it has them, and reads again after retryDelay.
func (e *Entry) discoverProcesses(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := discoverInterval
		if err := e.discoverOnce(ctx); err != nil {
			e.log.Warn("registrations not read", daemon.Err(err))
			e.fetchRegistrations()
			pause = retryDelay
		} else if !e.director.Settled(e.now()) {
			pause = unsettledReadInterval
		}
		e.awaitDiscovery(ctx, pause)
	}
	return nil
}

// awaitDiscovery waits for d, or until the registrations and flow holders turn out to be
// incomplete, which it checks every unsettledReadInterval.
func (e *Entry) awaitDiscovery(ctx context.Context, d time.Duration) {
	for end := e.now() + d; ctx.Err() == nil && e.now() < end; {
		sleep(ctx, min(unsettledReadInterval, end-e.now()))
		if _, known := e.director.Registered(); !known {
			return
		}
	}
}

// restoreMissing requests new writes of the keys that the store no longer has. If a stale
// read lacks a recent write, that is repeated in vain.
func (e *Entry) restoreMissing(r registry) {
	if !slices.Contains(r.entries, e.self) {
		select {
		case e.registrationMissing <- struct{}{}:
		default: // a write is pending
		}
	}
	if r.agents == nil || r.agentsUnknown {
		e.agentListMissing.Store(true)
	}
	if len(r.holders) == 0 {
		e.config.requestHoldersWrite()
	}
}

// discoverOnce reads the registrations once and sends hello messages to new entries. The
// first read, and one that completes the flow holders, must not be stale; the first also
// merges the flow holders and sends hello messages to the registered agents. As the store may
// have come back from an older copy, it is completed from an entry that was started before.
func (e *Entry) discoverOnce(ctx context.Context) error {
	first := !e.discovery.registryRead
	_, known := e.director.Registered()
	r, err := e.readRegistry(ctx, !first && known)
	if err != nil {
		return err
	}
	e.discovery.registryRead = true
	if first {
		e.config.mergeHolders(r)
	} else {
		e.restoreMissing(r)
	}
	e.sendHelloTo(e.entries.add(e.now(), e.withoutSelf(r.entries)...))
	if first {
		e.introduce(r.agents)
		sleep(ctx, peerAnswerTime-e.now())
		e.discovery.agentsOfPeer, e.discovery.agentsOfPeerAt = e.fetchFromEarlierEntry(), e.now()
	}
	if first || !known {
		e.completeHolders(ctx, r)
	}
	if e.now()-e.discovery.agentsOfPeerAt < agentsOfPeerRetention {
		r.agents = append(r.agents, e.discovery.agentsOfPeer...)
	}
	e.setRegistered(r)
	return nil
}

// setRegistered passes on the registered agents. If the list lacks some, those of the last
// complete one stay registered. Without any complete one, from the store or from another entry,
// the registered agents are unknown until unknownAgentsWait has ended: no search proves
// before that no agent holds a flow.
func (e *Entry) setRegistered(r registry) {
	d := &e.discovery
	if !r.agentsUnknown {
		d.agentsKnown, d.agentsLackAt = true, 0
		e.director.SetRegistered(e.now(), r.agents)
		return
	}
	if d.agentsLackAt == 0 {
		d.agentsLackAt = e.now()
	}
	registered, _ := e.director.Registered()
	if !d.agentsKnown {
		registered, d.agentsKnown = e.fetchRegistrationsFrom(e.entriesToAsk()...)
	}
	if d.agentsKnown || e.now()-d.agentsLackAt >= unknownAgentsWait {
		e.director.SetRegistered(e.now(), append(r.agents, registered...))
	}
}
