package director

import (
	"maps"
	"slices"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
)

// HandleAgentDatagram handles an Owned or a Returned datagram from an agent. It
// returns an error if the datagram is not valid or of another kind. It ignores a
// Returned one before the first configuration.
func (d *Director) HandleAgentDatagram(now time.Duration, from peer.Addr, datagram []byte) error {
	kind, err := peer.KindOf(datagram)
	if err != nil {
		return err
	}
	switch kind {
	case peer.Owned:
		var o peer.OwnerMessage
		if err := o.Decode(datagram); err != nil {
			return err
		}
		d.handleOwned(now, from, o)
	case peer.Returned:
		var f peer.Frame
		if err := f.Decode(datagram); err != nil {
			return err
		}
		h, err := d.codec.FromCaller(f.Packet)
		if err != nil {
			return err
		}
		if d.config.Load() == nil {
			return nil // returned to an earlier process at this address, which sent the frame
		}
		d.handleReturned(now, from, &f, h)
	default:
		return peer.ErrInvalidFrame
	}
	return nil
}

// handleOwned records the sender as the owner of a flow, also if the flow is not
// cached, and ends a search for the owner.
func (d *Director) handleOwned(now time.Duration, from peer.Addr, o peer.OwnerMessage) {
	s := d.lock(o.Flow)
	defer s.mu.Unlock()
	handled := false
	defer func() { d.forgetUnless(handled, s, o.Flow) }()
	d.recordOwner(now, s, from, o)
	handled = true
}

// recordOwner is handleOwned with the shard of the flow locked.
func (d *Director) recordOwner(now time.Duration, s *shard, from peer.Addr, o peer.OwnerMessage) {
	rec := s.flows[o.Flow]
	if rec == nil {
		rec = &flowRecord{created: now}
		s.flows[o.Flow] = rec
	}
	if o.Waiting {
		if !rec.open && !rec.searching {
			rec.owner, rec.service, rec.lastSeen = from, d.members.service(from), now
		}
		return
	}
	if !rec.searching && !rec.open {
		d.port.RecordLatency(Opening, now-rec.created)
	}
	if rec.searching {
		d.port.RecordLatency(Searching, now-rec.searchedAt)
		d.port.RecordDecision(Decision{Event: OwnerFound, Flow: o.Flow, Agent: from, Reported: o.Start, Age: now - rec.searchedAt})
	}
	if rec.isOpenElsewhere(from, o) {
		d.port.RecordDecision(Decision{Event: AnnouncementIgnored, Flow: o.Flow, Agent: from, Previous: rec.owner, Start: rec.startID, Reported: o.Start})
		return
	}
	if rec.open && (rec.owner != from || rec.startID != o.Start) {
		d.port.RecordDecision(Decision{Event: OwnerChanged, Flow: o.Flow, Agent: from, Previous: rec.owner, Start: rec.startID, Reported: o.Start, Restored: rec.restored})
	}
	rec.announce(from, o)
	rec.stages, rec.gone, rec.unverified, rec.ownedAt, rec.restored = nil, nil, nil, now, false
	rec.question.asked = nil
	rec.service = d.members.service(from)
	rec.lastSeen = now
}

// handleReturned handles a frame that none of its candidates accepted, by the kind
// that it had before.
func (d *Director) handleReturned(now time.Duration, from peer.Addr, f *peer.Frame, h segment.Header) {
	s := d.lock(h.Flow)
	defer s.mu.Unlock()
	handled := false
	defer func() { d.forgetUnless(handled, s, h.Flow) }()
	if rec := s.flows[h.Flow]; rec != nil && h.Opens() && !rec.openedWith(h) {
		handled = true // the opening of an earlier flow with the same addresses
		return
	}
	switch f.OriginalKind {
	case peer.Place:
		d.handleReturnedOpening(now, s, f, h)
	case peer.Deliver:
		d.handleReturnedDelivery(now, s, from, f, h)
	case peer.Search:
		d.handleReturnedSearch(now, s, f, h)
	}
	handled = true
}

// handleReturnedDelivery handles a packet that an agent returned because it does not
// hold the flow, although it was recorded as the owner. It resets the flow if that proves that
// the flow is gone, see isGone. It sends the packet to the same agent once more if that has seen
// an abridged identifier of the service only, or to another
// owner that has been recorded in the meantime. If there is none, it places an opening
// again, or drops it if its VIP has no route or the caller has sent other packets of the flow;
// for any other packet it starts a search.
func (d *Director) handleReturnedDelivery(now time.Duration, s *shard, from peer.Addr, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec != nil && rec.gone != nil && !h.Opens() {
		if rec.gone.covers(h) {
			d.resetGone(rec, h)
			return
		}
		rec.gone = nil
		d.startSearch(now, s, rec, h, f.Packet)
		return
	}
	if rec != nil && rec.isGone(from, f, h) {
		asked := rec.question.asked
		d.markGone(now, s, h.Flow, rec, ReturnedByOwner, asked.reported, now-asked.at)
		return
	}
	if rec != nil && !rec.searching && rec.owner != from {
		d.deliver(s, rec, f.Packet) // another owner has been found in the meantime
		return
	}
	if rec != nil && !rec.searching && f.Abridged && f.Uncertain {
		d.deliver(s, rec, f.Packet) // the agent does not have the flow in its table
		return
	}
	if h.Opens() {
		if rec != nil && rec.isLateCopy(h) {
			return
		}
		if r, ok := d.config.Load().Lookup(h.Flow.VIP()); ok {
			d.placeFlow(now, s, h, r, f.Packet)
		}
		return
	}
	if rec == nil {
		rec = &flowRecord{created: now}
		s.flows[h.Flow] = rec
	}
	d.startSearch(now, s, rec, h, f.Packet)
}

// handleReturnedSearch handles a packet of a search that none of its candidates
// accepted. It continues with the next stage. After the last one it resets the flow
// if the search proves that no agent holds it, at once or after a verification of the
// configuration, and else marks the search as inconclusive. If the owner has been found in the meantime,
// the packet is sent to it, unless it is one of those that refused the packet: then the
// packet is of an earlier flow with the same addresses, and would be returned again and again.
func (d *Director) handleReturnedSearch(now time.Duration, s *shard, f *peer.Frame, h segment.Header) {
	rec := s.flows[h.Flow]
	if rec == nil || rec.gone != nil {
		return // the flow has been reset, or its record has expired and the caller will retransmit
	}
	if rec.unverified != nil {
		return // a copy of the packet has been returned before
	}
	if !rec.searching {
		if f.Service.IsNone() || !slices.Contains(f.Candidates, rec.owner) {
			d.deliver(s, rec, f.Packet)
		}
		return
	}
	if !rec.isOf(f) {
		return // result of an earlier search
	}
	if d.sendStage(s, rec, f, f.Stage+1) {
		return
	}
	if f.Uncertain || !d.provesNobody(now, h.Flow, rec.stages) {
		rec.inconclusive = true
		d.port.RecordDecision(Decision{Event: OwnerUncertain, Flow: h.Flow})
		return
	}
	if d.verifiedAfter(rec.lastSeen) {
		d.resetUnheld(now, s, h, rec.stages)
		return
	}
	u := &unverifiedReset{header: h, arrivedAt: rec.lastSeen, since: now, event: OwnerNotFound, rec: rec, returned: rec.stages}
	if !d.awaitVerification(s, u) {
		rec.inconclusive = true
		d.port.RecordDecision(Decision{Event: OwnerUncertain, Flow: h.Flow})
		return
	}
	rec.unverified = u
	d.port.RecordDecision(Decision{Event: OwnerUnverified, Flow: h.Flow})
}

// resetUnheld resets a flow that no agent holds, of which a packet with the header h was returned
// by all agents of a search. It does not reply to a reset.
func (d *Director) resetUnheld(now time.Duration, s *shard, h segment.Header, returned []searchStage) {
	visited := 0
	for _, stage := range returned {
		visited += len(stage.agents)
	}
	d.forget(s, h.Flow)
	if !h.Has(segment.Reset) {
		d.reset(h, Decision{Event: OwnerNotFound, Proof: CompleteSearch, Tried: visited, Through: d.history.coverage(), Age: d.members.oldestReport(now)})
	}
}

// HandleReport records an agent's status unless it is outdated. If the agent is new, or
// its upstream may have restarted or ended or may have been replaced by a candidate, it checks
// the cached flows that are not known to be of the upstream's last known start, see
// checkOtherStarts; if no upstream runs, those of all starts. It reports whether the agent is new.
func (d *Director) HandleReport(now time.Duration, from peer.Addr, status peer.Status) bool {
	isNew, restarted, doubted := d.members.update(now, from, status)
	if isNew || restarted {
		d.names.add(status.Service)
	}
	service := d.members.service(from)
	if start, known, certain := d.members.upstreamStart(from); restarted && known {
		reports := startReports{from: {start, certain, service}}
		d.restored.takeRestartedTogether(d.members, reports)
		d.checkOtherStarts(now, reports)
	}
	if doubted {
		d.checkOtherStarts(now, startReports{from: {status.Candidate, false, service}})
	}
	if d.members.usable(now, from) {
		d.deliverHeld(from, d.absences.end(from))
	}
	return isNew
}

// HandleGoodbye records that an agent is about to stop. restarting means that it will
// be started again while its upstream keeps running. A sender that is not a known agent
// is ignored. Packets for an agent that restarts are held for maxAbsence at most.
func (d *Director) HandleGoodbye(now time.Duration, from peer.Addr, restarting bool) {
	if d.members.leave(now, from, restarting) && restarting {
		d.absences.begin(now, from)
	}
}

// checkOtherStarts asks the owners of flows whether their upstreams hold those that they have not
// announced with the reported start of the upstream, see ask; 0 means that no upstream runs. A
// restored flow that can't be asked about is reset if it was proven when it was saved and its caller
// has sent nothing since, and if the start is certain to run: the agent may have heard one late
// heartbeat. For any other flow, the caller's next packet decides, and so it does if the owner's address
// is that of an agent of another service now.
func (d *Director) checkOtherStarts(now time.Duration, reports startReports) {
	d.eachShard(func(s *shard) {
		// Sorted, so that simulated runs are reproducible.
		for _, flow := range slices.SortedFunc(maps.Keys(s.flows), segment.Flow.Compare) {
			rec := s.flows[flow]
			report, found := reports[rec.owner]
			if found {
				d.completeService(flow, rec)
			}
			switch {
			case !found || !rec.mayBeOf(report.service):
			case report.start != 0 && rec.startID == report.start:
			case rec.mayAsk():
				d.ask(now, s, flow, rec, report.start)
			case !rec.startProven || rec.lastSeen > rec.created:
			case !report.certain:
				rec.expectReturn(now, report.start)
			default:
				proof := OtherStart
				if report.start == 0 {
					proof = NoUpstreamRuns
				}
				d.markGone(now, s, flow, rec, proof, report.start, now-max(rec.ownedAt, rec.created))
			}
		}
	})
}

// Tick removes the flows whose idle timeout and idleSlack, or whose lifetime, have
// passed without a packet, closed flows after closedRetention, and agents without a
// report for evictAfter. since is the time since the last tick: a long one shows that
// this process was paused, so that reports may be missing although the agents are
// running.
func (d *Director) Tick(now, since time.Duration) {
	d.members.tick(now, since)
	d.history.expireGap(now, d.lifetime)
	if d.restoredDue.CompareAndSwap(true, false) {
		d.restored.forgetChecked()
		d.checkRestored(now)
	}
	for _, agent := range d.absences.overdue(now) {
		d.deliverHeld(agent, d.absences.end(agent))
	}
	idle := defaultIdleTimeout
	if c := d.config.Load(); c != nil && c.IdleTimeout() > 0 {
		idle = c.IdleTimeout()
	}
	idle = min(idle+idleSlack, d.lifetime)
	d.eachShard(func(s *shard) {
		d.repeatResets(now, s)
		d.resetVerified(now, s)
		d.sendQuestions(now, s)
		for flow, rec := range s.flows {
			if now-rec.lastSeen > idle || rec.closed && now-rec.lastSeen > closedRetention {
				d.forget(s, flow)
			} else if d.link != nil {
				d.link.Expire(now, &rec.link)
			}
		}
	})
}

// Flows returns the number of cached flows, without those that are known to be gone.
func (d *Director) Flows() int {
	n := 0
	d.eachShard(func(s *shard) {
		for _, rec := range s.flows {
			if rec.gone == nil {
				n++
			}
		}
	})
	return n
}

// Status returns the last known state of each agent, for operators.
func (d *Director) Status(now time.Duration) []AgentStatus { return d.members.statuses(now) }

// Agents returns the known agents, ordered by address.
func (d *Director) Agents() []peer.Addr { return d.members.list() }

// ReportingAgents returns the agents that have reported recently and are not about to stop,
// ordered by address.
func (d *Director) ReportingAgents(now time.Duration) []peer.Addr { return d.members.reporting(now) }

// AgentsIn returns the known agents of failure domains, ordered by address.
func (d *Director) AgentsIn(domains []string) []peer.Addr { return d.members.inDomains(domains) }

// Reachable reports whether any agent, and at least half of the known ones, have
// reported recently.
func (d *Director) Reachable(now time.Duration) bool { return d.members.reachable(now) }

// AgentsSettled reports whether the known state of the agents is complete enough to conclude
// that there are no others.
func (d *Director) AgentsSettled(now time.Duration) bool { return d.members.settled(now, nil) }

// Settled reports whether the known state of services and agents is complete enough
// to conclude from a search that no agent holds a flow.
func (d *Director) Settled(now time.Duration) bool { return d.settled(now, nil) }
