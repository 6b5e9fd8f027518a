// Package director decides, in an entry, which agent each packet of a caller is
// sent to.
//
// A director caches the owner of each flow that passes through the entry: the agent
// whose upstream holds the flow. Losing the cache breaks no flow: a packet of an
// unknown flow starts a search, in which it is forwarded from agent to agent, in the
// rendezvous order of the flow, until its owner accepts it.
//
// # Usage
//
//	d := director.New(self, codec, port)
//	d.SetConfig(config)
//	d.HandleReport(now, agent, status)          // status reports of agents
//	d.HandleCallerPacket(now, packet)           // packets of callers
//	d.HandleAgentDatagram(now, agent, datagram) // other datagrams of agents
//	d.Tick(now, since)
//
// A Director has no clock and no sockets: the times that are passed to it count
// from the start of the process, and a Port sends its packets. Its methods are safe
// for concurrent use.
package director

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

const (
	shardCount = 16
	// searchRetryAfter is the time without a result after which the next packet of
	// the flow repeats the search and, within the rate limit, queries all agents that
	// may own the flow at once. Forwarding a packet along 32 agents takes 20 ms at
	// 0.6 ms a hop, and five times that if the entry is five times slower than usual.
	searchRetryAfter = 150 * time.Millisecond
	// queriesPerSecond and queryBurst limit the searches that query all agents. At
	// 72 bytes a message and 50 agents they take 1 Mbit/s.
	queriesPerSecond = 35
	queryBurst       = 35
	// maxConfigAge is the time since the last verification against the store up to
	// which the configuration counts as current, so that the entry may write the flow
	// holders. It is two thirds of the 3 s within which a change of the configuration
	// must take effect.
	maxConfigAge = 2 * time.Second
	// defaultIdleTimeout and defaultFlowLifetime apply unless the configuration and
	// WithLifetime set other values.
	defaultIdleTimeout  = 15 * time.Second
	defaultFlowLifetime = time.Minute
	// idleSlack extends the idle timeout, for packets that are in transit when it
	// ends.
	idleSlack = 2 * time.Second
	// closedRetention is how long after its last packet a flow that its caller has
	// closed stays cached, for late packets of the close. Agents use the same time.
	closedRetention = 5 * time.Second
	// maxApplyTime is the time after a change of the configuration within which all entries
	// apply it, also while the store is disturbed.
	maxApplyTime = 15 * time.Second
)

// The events of a director's decisions.
const (
	// Placed means that a new flow was sent to the first of its candidates.
	Placed Event = "placed"
	// PlacedAgain means that no candidate accepted a new flow and that it was sent
	// to the first candidate of the next stage, see chosenStage and those after it.
	PlacedAgain Event = "placed-again"
	// NotAccepted means that a new flow was reset because no agent accepts it, or
	// because no service of its route has a weight.
	NotAccepted Event = "no-taker"
	// NotAcceptedHere means that no agent accepts a new flow, and that it was not reset, as
	// later copies of its opening went to another entry.
	NotAcceptedHere Event = "no-taker-here"
	// Evacuated means that a new flow was reset because the agents of its service that
	// have reported recently are in evacuated failure domains or accept no flows.
	Evacuated Event = "upstreams-evacuated"
	// NoRoute means that an unknown flow was reset because its VIP has no route.
	NoRoute Event = "no-route"
	// RouteDropped means that a cached flow was reset because its VIP no longer has
	// a route.
	RouteDropped Event = "route-dropped"
	// Searched means that a search for the owner of a flow has started.
	Searched Event = "searched"
	// SearchedAll means that a search has taken longer than searchRetryAfter and
	// that all agents that may own the flow were queried at once.
	SearchedAll Event = "searched-all"
	// OwnerNotFound means that a flow was reset because a complete search found no owner.
	OwnerNotFound Event = "found-nobody"
	// OwnerUncertain means that a search found no owner but could not rule out that
	// there is one. The flow is not reset.
	OwnerUncertain Event = "found-nobody-uncertain"
	// OwnerUnverified means that a complete search found no owner, and that the reset waits for
	// a verification of the configuration.
	OwnerUnverified Event = "found-nobody-unverified"
	// OwnerFound means that a search has found the owner of a flow.
	OwnerFound Event = "found"
	// OwnerChanged means that another agent than the recorded owner has announced an open
	// flow, or the same one with another start of its upstream.
	OwnerChanged Event = "owner-changed"
	// AnnouncementIgnored means that another agent than the owner has announced a flow whose
	// caller goes on with the owner's upstream.
	AnnouncementIgnored Event = "announcement-ignored"
	// UpstreamGone means that a flow was reset because the upstream that held it
	// has restarted or ended.
	UpstreamGone Event = "upstream-gone"
	// OwnerAsked means that the owner of a flow was asked whether its upstream holds it, as it has
	// reported another start of the upstream, or none.
	OwnerAsked Event = "owner-asked"
	// OpeningRepeated means that an opening was sent to the recorded owner of its flow as a copy
	// of the one with which the flow was opened.
	OpeningRepeated Event = "opening-repeated"
	// HeldDelivered means that packets were sent that had been held for an agent while it
	// restarted, or until maxAbsence had passed.
	HeldDelivered Event = "held-packets-delivered"
	// LinkFull means that an opening that this entry has not offered to any agent was reset,
	// because the entry's link cannot carry the flow in time, see Link.
	LinkFull Event = "link-full"
)

// The proofs of resets.
const (
	// ReturnedByOwner means that the recorded owner, beside which the flow was open, has
	// returned a packet of the flow, after it had reported another start of its upstream than
	// the one that accepted the flow, or none.
	ReturnedByOwner Proof = "returned-by-owner"
	// OtherStart means that the owner in a restored record has reported another start of its
	// upstream than the one that accepted the flow.
	OtherStart Proof = "other-start"
	// NoUpstreamRuns means that the owner in a restored record has reported that no upstream
	// runs.
	NoUpstreamRuns Proof = "no-upstream-runs"
	// CompleteSearch means that none of the agents that may hold the flow does.
	CompleteSearch Proof = "complete-search"
	// NotRouted means that a current configuration has no route for the flow.
	NotRouted Proof = "not-routed"
	// NotOpen means that the flow was not open: no agent has accepted its opening, or it was
	// offered to none.
	NotOpen Proof = "not-open"
)

// The latencies that a director records.
const (
	// Opening is the time from the last Placed or PlacedAgain of a flow until the
	// owner's Owned message; 0 for an Owned message of a flow that is not cached.
	Opening Measure = "opening"
	// Searching is the time from the start of a search, or from its last repetition,
	// until the flow's owner is found.
	Searching Measure = "searching"
)

type (
	// Port sends a director's packets and records its latencies and decisions. Its
	// methods are called with a lock held, so that they must not call the Director.
	Port interface {
		// ToProcess sends a datagram to another process. It must not keep the
		// datagram, whose buffer is reused.
		ToProcess(to peer.Addr, datagram []byte)
		// ToCaller sends a packet to a caller.
		ToCaller(flow segment.Flow, packet []byte)
		// RecordLatency adds a latency to the metrics.
		RecordLatency(m Measure, d time.Duration)
		// RecordDecision writes a decision to the log.
		RecordDecision(d Decision)
	}

	// Link accounts for the bytes that callers send through the entry's link and decides
	// on openings. A capacity.Link is one. Its methods are called with a lock held, those
	// with the same flow one at a time.
	Link interface {
		Admit(vip netip.AddrPort) capacity.Verdict
		Opened(now time.Duration, f *capacity.Flow, vip netip.AddrPort)
		Received(now time.Duration, f *capacity.Flow, vip netip.AddrPort, size, data int)
		Answered(f *capacity.Flow)
		Ended(f *capacity.Flow)
		Expire(now time.Duration, f *capacity.Flow)
	}

	// Event is the kind of a decision.
	Event string

	// Proof is the kind of evidence for a reset.
	Proof string

	// Measure is the name of a latency.
	Measure string

	// Decision describes one decision and the data that it was based on. Fields
	// that do not apply to the event are zero.
	Decision struct {
		Event Event
		Flow  segment.Flow
		// Agent is the agent that was chosen or that reported to be the owner.
		Agent peer.Addr
		// Load is the chosen agent's load in open flows per slot and Age the age of
		// its last report, both for Placed. For OwnerFound, Age is the latency
		// Searching.
		Load float64
		Age  time.Duration
		// Version is the version of the configuration in force, for Placed, PlacedAgain and
		// resets. For OpeningRepeated it is the one under which this entry has placed the flow, 0
		// if it has not.
		Version uint64
		// VerifiedAgo is the time since the configuration was verified to be the newest one, and
		// VerifiedBy the entry that called the store for that: both for Placed and PlacedAgain, and
		// zero if it never was.
		VerifiedAgo time.Duration
		VerifiedBy  peer.Addr
		// Stage is the stage of an opening that was placed again.
		Stage int
		// Tried is the number of candidates on the list that was returned without
		// one accepting the flow. For SearchedAll it is the number of agents queried, for
		// HeldDelivered the number of packets, the first of which is of Flow, and for
		// OwnerAsked the number of the question.
		Tried int
		// Link is what LinkFull was based on.
		Link capacity.Verdict
		// Proof is what a reset rests on, empty for other decisions. Age is then the age of
		// that: of the report that the owner was asked for, for ReturnedByOwner as for the event
		// OwnerAsked, of the announcement or the restored record for OtherStart and NoUpstreamRuns,
		// of the last verification of the configuration for NotRouted, and of the oldest
		// report of an agent for the others.
		Proof Proof
		// Start is the start of the upstream that the flow was recorded with, and Reported
		// the one that its agent has reported since, 0 if none runs. Both are set for
		// ReturnedByOwner, OtherStart, NoUpstreamRuns, OwnerAsked, OwnerChanged and
		// AnnouncementIgnored; Reported for OwnerFound, too.
		Start, Reported uint32
		// Previous is the recorded owner, for OwnerChanged and AnnouncementIgnored.
		Previous peer.Addr
		// Restored means that the record of the flow was restored by RestoreFlows and not
		// confirmed by its agent since.
		Restored bool
		// Through is the version of the configuration through which the flow holders are
		// complete, for CompleteSearch.
		Through uint64
	}

	// verification is a call to the store by which the configuration in force was the newest one.
	verification struct {
		at time.Duration
		by peer.Addr // the entry that made the call
	}

	// Director holds the routing state of one entry.
	Director struct {
		self      peer.Addr
		codec     segment.Codec
		port      Port
		link      Link // nil if every opening is admitted
		lifetime  time.Duration
		configMu  sync.Mutex
		config    atomic.Pointer[route.Config]
		verified  atomic.Pointer[verification] // the last one against the store; nil if none
		confirmed atomic.Int64                 // time of the last one by a call of this entry, in ns; 0 if none
		members   *members
		names     serviceNames
		restored  restoredStarts
		// restoredDue means that restored flows are to be checked, as the names of services are
		// known now, see completeService.
		restoredDue atomic.Bool
		history     history
		absences    absences
		queryLimit  tokenBucket
		searches    atomic.Uint32 // number of searches
		// questionLimit limits the bytes of questions, see question.
		questionLimit tokenBucket
		shards        [shardCount]shard
	}

	// shard holds the flows of one part of the hash range, which share a lock.
	shard struct {
		mu    sync.Mutex
		flows map[segment.Flow]*flowRecord
		buf   []byte // for encoding datagrams
		// resets are the flows whose resets are sent again, see repeatResets.
		resets []segment.Flow
		// unverified are the resets that wait for a verification of the configuration.
		unverified []*unverifiedReset
		// questions are the flows whose owners are asked, see sendQuestions.
		questions []segment.Flow
	}

	// flowRecord is the cached state of a flow.
	flowRecord struct {
		owner        peer.Addr      // first candidate until open; zero while searching
		service      peer.ServiceID // of the owner, none if unknown
		startID      uint32         // of the owner's upstream, 0 if unknown
		evidence                    // of where the flow is open
		question     question       // to the owner
		open         bool           // the owner has reported that its upstream holds the flow
		closed       bool           // the caller has sent Fin or Reset
		searching    bool
		inconclusive bool             // the search ended without proof that there is no owner
		unverified   *unverifiedReset // waits for a verification of the configuration; nil if none does
		gone         *goneFlow        // the upstream that held the flow has restarted or ended; nil if not known
		stages       []searchStage    // stages of the search
		round        uint8            // number of the flow's current search
		searchedAt   time.Duration    // when the search was started or repeated
		acknowledged uint32           // last acknowledgement number of the caller, 0 if none
		lastSeen     time.Duration    // time of the last packet or Owned message
		waitingPlace waitingPlace     // of an opening that was returned
		ownedAt      time.Duration    // when the owner last announced the flow; 0 if it has not
		restored     bool             // by RestoreFlows; the owner has not announced the flow since
		created      time.Duration    // when the flow was last placed, else when the record was added
		openingAt    time.Duration    // when the caller sent the opening that was placed
		copies       uint32           // number of the last copy of that opening
		link         capacity.Flow    // account of the flow's bytes, unused without a Link
		placed       bool             // openedBy and version are set
		version      uint64           // of the configuration under which it was placed
		openedBy     uint32           // sequence number of the opening that was placed
	}

	// Option configures a Director.
	Option func(*Director)
)

// WithFailureDomain sets the entry's failure domain. Upstreams of the same one are
// preferred unless they are much busier.
func WithFailureDomain(domain string) Option {
	return func(x *Director) { x.members.domain = domain }
}

// WithLifetime sets the maximum time without packets after which a flow is removed
// from the cache. It also limits the idle timeout of the configuration.
func WithLifetime(d time.Duration) Option { return func(x *Director) { x.lifetime = d } }

// WithLink sets the link that decides whether openings are admitted; by default all are.
func WithLink(l Link) Option { return func(x *Director) { x.link = l } }

// New returns a director without a configuration and without agents.
func New(self peer.Addr, codec segment.Codec, port Port, options ...Option) *Director {
	d := &Director{self: self, codec: codec, port: port, lifetime: defaultFlowLifetime, members: newMembers()}
	for i := range d.shards {
		d.shards[i].flows = make(map[segment.Flow]*flowRecord)
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// SetConfig is SetNextConfig for a configuration of which it is not known which version it
// followed.
func (d *Director) SetConfig(c *route.Config) (newer, holdersChanged bool) {
	return d.SetNextConfig(c, 0)
}

// SetNextConfig puts a configuration in force unless the present one is as new or newer;
// other entries may have placed flows under it even then. previous is the version that the
// configuration followed directly, 0 if unknown. It reports whether the configuration is in
// force now, and whether a VIP has gained a service that may hold its flows. If a version may
// have been skipped, as after a pause of this process, other entries may have placed flows
// under that one: Settled returns false until MergeHolders or SetNextConfig closes the gap, or
// until all such flows have passed their lifetime.
func (d *Director) SetNextConfig(c *route.Config, previous uint64) (newer, holdersChanged bool) {
	if previous >= c.Version() {
		previous = 0
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	if old := d.config.Load(); old != nil && old.Version() >= c.Version() {
		return false, d.history.addOlder(c, previous)
	}
	changed := d.history.add(c, previous)
	d.updateNames(c)
	if d.config.Swap(c) == nil {
		d.restoredDue.Store(true)
	}
	return true, changed
}

// PreviousVersion returns the version that the configuration in force has followed, 0 if
// unknown.
func (d *Director) PreviousVersion() uint64 { return d.history.previousVersion() }

// Holders returns, for each VIP, the services that may hold its flows.
func (d *Director) Holders() map[netip.AddrPort][]string { return d.history.snapshot() }

// HoldersThrough returns the version of the configuration through which Holders misses no
// service. A caller that passes both on must call it before Holders.
func (d *Director) HoldersThrough() uint64 { return d.history.coverage() }

// MergeHolders adds the services that may hold flows of each VIP according to an earlier or
// another process, whose record misses none through a version of the configuration. Settled
// returns false before the first call, and while the merged records cover a lower version than
// the one in force.
func (d *Director) MergeHolders(holders map[netip.AddrPort][]string, through uint64) {
	d.history.merge(holders, through)
}

// HoldersComplete reports whether Holders misses no service that may hold flows.
func (d *Director) HoldersComplete() bool { return d.history.complete() }

// SetEvacuated sets the failure domains whose agents get no new flows. Open flows stay
// where they are.
func (d *Director) SetEvacuated(domains []string) { d.members.setEvacuated(domains) }

// SetRegistered sets the agents that are registered. Settled returns false until
// each of them has reported or its registeredWait has ended, and as long as more than
// half of them are missing.
func (d *Director) SetRegistered(now time.Duration, agents []peer.Addr) {
	d.members.setRegistered(now, agents)
}

// MarkDelayed records that this process is late in reading its datagrams. Settled
// returns false for suspectAfter from then on, as reports of running agents may wait
// unread.
func (d *Director) MarkDelayed(now time.Duration) { d.members.markDelayed(now) }

// Registered returns the registered agents. It also reports whether these and the
// services that may hold flows have been loaded from the store or from another
// entry.
func (d *Director) Registered() ([]peer.Addr, bool) {
	agents, known := d.members.registeredAgents()
	return agents, known && d.history.complete()
}

// MarkVerified records that the configuration in force is that of a call to the store which this
// entry began at the given time: no flow was placed under a newer one before.
func (d *Director) MarkVerified(at time.Duration) {
	for old := d.confirmed.Load(); int64(at) > old && !d.confirmed.CompareAndSwap(old, int64(at)); old = d.confirmed.Load() {
	}
	d.recordVerification(verification{at: at, by: d.self})
}

// MarkVerifiedElsewhere records that the configuration was the newest one at about the given time,
// according to another entry. The message may have been under way for longer than assumed, so that
// no reset rests on this.
func (d *Director) MarkVerifiedElsewhere(at time.Duration, by peer.Addr) {
	d.recordVerification(verification{at: at, by: by})
}

// recordVerification stores a verification unless a later one is stored.
func (d *Director) recordVerification(v verification) {
	for old := d.verified.Load(); (old == nil || v.at > old.at) && !d.verified.CompareAndSwap(old, &v); old = d.verified.Load() {
	}
}

// MarkUnverified records that it is not known whether the configuration is the newest one.
func (d *Director) MarkUnverified() {
	d.confirmed.Store(0)
	d.verified.Store(nil)
}

// VerifiedAgo returns the time since the configuration was last verified to be the
// newest, and false if it never was.
func (d *Director) VerifiedAgo(now time.Duration) (time.Duration, bool) {
	if v := d.verified.Load(); v != nil {
		return now - v.at, true
	}
	return 0, false
}

// ConfirmedAgo returns the time since this entry began the last call to the store by which the
// configuration in force was the newest, and false if there was none.
func (d *Director) ConfirmedAgo(now time.Duration) (time.Duration, bool) {
	at := time.Duration(d.confirmed.Load())
	return now - at, at != 0
}

// recordPlacement records a decision to offer a flow to agents, to which it adds the configuration
// on which it rests.
func (d *Director) recordPlacement(now time.Duration, why Decision) {
	why.Version = d.config.Load().Version()
	if v := d.verified.Load(); v != nil {
		why.VerifiedAgo, why.VerifiedBy = now-v.at, v.by
	}
	d.port.RecordDecision(why)
}

// Config returns the configuration in force, nil before the first.
func (d *Director) Config() *route.Config { return d.config.Load() }

// HandleCallerPacket handles a packet from a caller: it sends the packet to an
// agent, resets the flow, or drops the packet if the director's state is not complete
// enough for either. It returns an error if the packet is not valid, and
// segment.ErrBounced if it is marked as bounced by an upstream.
func (d *Director) HandleCallerPacket(now time.Duration, packet []byte) error {
	h, err := d.codec.FromCaller(packet)
	if err != nil {
		return err
	}
	if h.Has(segment.Bounced) {
		return segment.ErrBounced
	}
	config := d.config.Load()
	if config == nil {
		return nil // the caller will retransmit the packet
	}
	s := d.lock(h.Flow)
	defer s.mu.Unlock()
	handled := false
	defer func() { d.forgetUnless(handled, s, h.Flow) }()
	r, ok := config.Lookup(h.Flow.VIP())
	switch {
	case !ok && config.Unreadable() > 0:
		d.handleUnreadable(now, s, h, packet)
	case !ok:
		d.handleUnrouted(now, s, h)
	case h.Opens():
		d.handleOpening(now, s, h, r, packet)
	default:
		d.handleEstablished(now, s, h, packet)
	}
	handled = true
	return nil
}

// forgetUnless removes a flow from the cache unless its packet or message was handled to the
// end: a panic may have left its record incomplete. A search finds the owner again.
func (d *Director) forgetUnless(handled bool, s *shard, flow segment.Flow) {
	if !handled {
		d.forget(s, flow)
	}
}

// handleUnrouted lets the reset of a flow whose VIP has no route wait for a verification of the
// configuration: a newer one may have the route.
func (d *Director) handleUnrouted(now time.Duration, s *shard, h segment.Header) {
	event := NoRoute
	if s.flows[h.Flow] != nil {
		event = RouteDropped
	}
	d.awaitVerification(s, &unverifiedReset{header: h, arrivedAt: now, since: now, event: event})
}

// resetUnrouted removes a flow whose VIP has no route from the cache and resets it. It does not
// reply to a reset.
func (d *Director) resetUnrouted(now time.Duration, s *shard, u *unverifiedReset) {
	d.forget(s, u.header.Flow)
	if u.header.Has(segment.Reset) {
		return
	}
	d.reset(u.header, Decision{Event: u.event, Proof: NotRouted, Age: now - time.Duration(d.confirmed.Load())})
}

// handleUnreadable handles a packet whose VIP may have a route that could not be read. An open
// flow stays with its owner. An opening is dropped: no service is known that it may be sent to.
func (d *Director) handleUnreadable(now time.Duration, s *shard, h segment.Header, packet []byte) {
	if !h.Opens() {
		d.handleEstablished(now, s, h, packet)
	}
}

// ConfigCurrent reports whether the configuration was verified within maxConfigAge.
func (d *Director) ConfigCurrent(now time.Duration) bool {
	ago, ok := d.VerifiedAgo(now)
	return ok && ago <= maxConfigAge
}

// handleEstablished handles a packet that does not open a flow. It sends the packet
// to the flow's owner. If the owner is unknown, or only the short identifier of its service is known, it
// starts a search. During a search,
// it sends the packet to the first stage, and after searchRetryAfter it repeats the
// search, see queryAll. After an inconclusive search it starts another one. A packet for an
// owner that restarts is held until the owner is back. A packet of a flow whose reset waits for a
// verification of the configuration is dropped.
func (d *Director) handleEstablished(now time.Duration, s *shard, h segment.Header, packet []byte) {
	rec := s.flows[h.Flow]
	isNew := rec == nil
	if isNew {
		rec = &flowRecord{created: now}
		s.flows[h.Flow] = rec
	}
	rec.lastSeen = now
	d.account(now, rec, h, len(packet))
	if rec.gone != nil {
		if rec.gone.covers(h) {
			d.resetGone(rec, h)
			return
		}
		rec.gone = nil
		d.startSearch(now, s, rec, h, packet)
		return
	}
	if rec.unverified != nil {
		if rec.waitsForReset(h) {
			return
		}
		d.startSearch(now, s, rec, h, packet)
		return
	}
	if h.Has(segment.Ack) {
		rec.confirm(h.Acknowledged)
	}
	if h.Has(segment.Fin) || h.Has(segment.Reset) {
		rec.closed, rec.question = true, question{}
	}
	if !rec.closed {
		rec.question.keep(h, packet)
	}
	if !isNew && !rec.searching {
		if d.completeService(h.Flow, rec); rec.service.IsShort() {
			d.startSearch(now, s, rec, h, packet)
			return
		}
		if !d.absences.hold(rec.owner, h, packet) {
			d.deliverEstablished(s, rec, packet)
		}
		return
	}
	if isNew || rec.inconclusive {
		d.startSearch(now, s, rec, h, packet)
		return
	}
	if now-rec.searchedAt < searchRetryAfter {
		d.sendFirstStage(s, rec, h, packet)
		return
	}
	d.queryAll(now, s, rec, h, packet)
}

// deliver sends a packet to the recorded owner of its flow, as a frame with no other
// candidate.
func (d *Director) deliver(s *shard, rec *flowRecord, packet []byte) {
	list := [1]peer.Addr{rec.owner}
	d.send(s, rec.owner, &peer.Frame{Kind: peer.Deliver, Entry: d.self, Service: rec.service, Candidates: list[:], Packet: packet})
}

// deliverEstablished is deliver for a packet that does not open the flow. Unless the owner is asked
// about the flow, it abridges the identifier of the service, see handleReturnedDelivery.
func (d *Director) deliverEstablished(s *shard, rec *flowRecord, packet []byte) {
	list := [1]peer.Addr{rec.owner}
	abridged := rec.question.asked == nil
	d.send(s, rec.owner, &peer.Frame{Kind: peer.Deliver, Entry: d.self, Service: rec.service, Abridged: abridged, Candidates: list[:], Packet: packet})
}

// settled reports whether the known state of services and agents is complete enough
// to conclude from a search that no agent holds a flow. All agents of the stages have
// returned the packet.
func (d *Director) settled(now time.Duration, returned []searchStage) bool {
	return d.history.complete() && d.members.settled(now, returned)
}

// reset sends a reset to the caller of a flow and records the decision, to which it adds the
// flow and the version of the configuration. The sequence number of the reset is
// h.Acknowledged.
func (d *Director) reset(h segment.Header, why Decision) {
	d.port.ToCaller(h.Flow, d.codec.Reset(h.Flow, h.Acknowledged))
	why.Flow = h.Flow
	if c := d.config.Load(); c != nil {
		why.Version = c.Version()
	}
	d.port.RecordDecision(why)
}

// send sends a frame, which it encodes in the buffer of the locked shard.
func (d *Director) send(s *shard, to peer.Addr, f *peer.Frame) {
	s.buf = f.Append(s.buf[:0])
	d.port.ToProcess(to, s.buf)
}

// forget removes a flow from the cache.
func (d *Director) forget(s *shard, flow segment.Flow) {
	if rec := s.flows[flow]; rec != nil && d.link != nil {
		d.link.Ended(&rec.link)
	}
	delete(s.flows, flow)
}

// lock locks and returns the shard of a flow.
func (d *Director) lock(f segment.Flow) *shard {
	s := &d.shards[f.Hash()%shardCount]
	s.mu.Lock()
	return s
}

// eachShard calls f with each shard in turn, locked during the call.
func (d *Director) eachShard(f func(*shard)) {
	for i := range d.shards {
		d.withShard(&d.shards[i], f)
	}
}

// withShard calls f with a shard, locked during the call.
func (d *Director) withShard(s *shard, f func(*shard)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}
