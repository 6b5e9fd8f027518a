package relay

import (
	"cmp"
	"slices"
	"time"
)

// One process at a time runs at the upstream's address, but heartbeats of several starts may reach
// the agent: a heartbeat that was delayed arrives after its sender has ended, also if the agent has
// never heard that start, and one may come from another writer. No heartbeat tells by itself which
// start runs. So another start than the present one is a candidate at first, which changes nothing
// but the limits of openings (see mayDrain and coldUntil), and takes the present one's place only if
// that one has ended or fallen silent:
//
//   - it has deregistered, or its address has refused a connection;
//   - it has returned the packets of flows that it held;
//   - it is silent for silentIntervals, and the candidate has gone on reporting meanwhile;
//   - it is silent for longSilence.
//
// A heartbeat of the present start ends the candidacy of all others.

const (
	// silentIntervals is the number of heartbeat intervals after which an upstream without a
	// heartbeat counts as silent.
	silentIntervals = 1.4
	// confirmIntervals is the least time, in heartbeat intervals, between two heartbeats that
	// show that their start goes on reporting. Heartbeats that were delayed together arrive
	// together.
	confirmIntervals = 0.5
	// longSilence is the silence of the present start after which one heartbeat of another is
	// enough. It exceeds two heartbeat intervals.
	longSilence = 3 * time.Second
	// defaultHeartbeatInterval is the heartbeat interval without WithHeartbeatInterval.
	defaultHeartbeatInterval = time.Second
	// maxOtherStarts bounds the other starts that are remembered.
	maxOtherStarts = 16
	// otherStartRetention is how long another start may limit openings after its last heartbeat
	// while the present one is not certain.
	otherStartRetention = 10 * time.Second
	// sequenceSlack and sequencesPerInterval bound how far the numbers of successive heartbeats
	// are apart: an upstream numbers each call, also those that fail and are repeated. It may
	// number them in larger steps, see starts.step.
	sequenceSlack        = 16
	sequencesPerInterval = 8
	// foreignOverlap is for how long heartbeats of an upstream that has ended may arrive
	// after its successor has started: they wait in a socket while the agent is paused.
	foreignOverlap = 3 * time.Second
)

// The evidence on which a start is the present one, in log lines.
const (
	reported        Succession = "reported"
	firstHeard      Succession = "first-heard"
	presentGone     Succession = "present-gone"
	presentSilent   Succession = "present-silent"
	presentReturned Succession = "present-returned-packets"
)

type (
	// Succession is the evidence on which a start of the upstream has become the present one, or
	// "reported" if it was already and its state has changed.
	Succession string

	// series is what was heard of one start of the upstream: heartbeats whose numbers go on from
	// each other.
	series struct {
		start    uint32   // peer.StartID, 0 if none was heard
		upstream Upstream // of the last heartbeat
		firstAt  time.Duration
		lastAt   time.Duration
		// claimedAt is the time of its first heartbeat since the last one of the present start.
		claimedAt time.Duration
		// step is the difference between the numbers of its last two heartbeats.
		step uint64
		// late means that the last heartbeat cannot be one of the next start.
		late bool
		// replaced means that it was the present start, ended that its process has ended or that
		// it has deregistered.
		replaced, ended bool
		// questioned means that the upstream was asked for the flows of the present start, as
		// this one may have replaced it. proofs counts the questions that prove so, if the
		// upstream returns all of them, returned those that it has returned.
		questioned       bool
		proofs, returned int
	}

	// Claim is a heartbeat that does not go on from the last one of the present start.
	Claim struct {
		Upstream Upstream
		// Start is its peer.StartID.
		Start uint32
		// Late means that it cannot be of the next start; otherwise the start is a candidate.
		Late bool
		// PresentID and PresentSequence are those of the present start's last heartbeat.
		PresentID       string
		PresentSequence uint64
	}

	// starts holds the starts of the upstream that were heard.
	starts struct {
		interval time.Duration // between heartbeats
		step     uint64        // largest step of a start that has become the present one by going on
		present  series
		certain  bool     // the present start is known to run, by more than heartbeats that may be late
		others   []series // at most one of each start
	}
)

// WithHeartbeatInterval sets the interval between the upstream's heartbeats, a second by default.
func WithHeartbeatInterval(d time.Duration) Option { return func(r *Relay) { r.starts.interval = d } }

// silence returns the time without a heartbeat after which a start counts as silent.
func (s *starts) silence() time.Duration { return time.Duration(silentIntervals * float64(s.interval)) }

// continues reports whether a heartbeat goes on from the last one of the present start.
func (s *starts) continues(now time.Duration, start uint32, u Upstream) bool {
	c := &s.present
	if c.start != start || u.Sequence <= c.upstream.Sequence {
		return false
	}
	passed := uint64(max(0, now-c.lastAt) / s.interval)
	limit := sequenceSlack + sequencesPerInterval*passed + 2*s.step*(1+passed)
	return u.Sequence-c.upstream.Sequence <= limit
}

// confirmed reports whether a candidate has gone on reporting since the present start's last
// heartbeat.
func (s *starts) confirmed(c *series) bool {
	return c.lastAt-c.claimedAt >= s.spacing()
}

// report adds a heartbeat that goes on from the present start's last one.
func (s *starts) report(now time.Duration, u Upstream) {
	s.present.upstream, s.present.lastAt, s.present.ended = u, now, false
}

// checkCertain makes the present start certain to run if it has gone on reporting for as long as another
// one that runs could have been silent, and none has reported. quietSince is when the agent began to
// hear heartbeats without a pause.
func (s *starts) checkCertain(now, quietSince time.Duration) {
	p := &s.present
	if s.certain || p.start == 0 || now-max(p.firstAt, quietSince) < s.silence() || p.lastAt-p.firstAt < s.spacing() || now-p.lastAt > s.silence() {
		return
	}
	s.certain = !slices.ContainsFunc(s.others, func(o series) bool { return now-o.lastAt <= s.silence() })
}

// spacing returns the least time between two heartbeats that show that their start goes on reporting.
func (s *starts) spacing() time.Duration {
	return time.Duration(confirmIntervals * float64(s.interval))
}

// claim adds a heartbeat that does not go on from the present start's last one to the series of its
// start, or begins one.
func (s *starts) claim(now time.Duration, start uint32, u Upstream) *series {
	n := slices.IndexFunc(s.others, func(o series) bool { return o.start == start })
	if n < 0 {
		if len(s.others) >= maxOtherStarts {
			slices.SortFunc(s.others, func(a, b series) int { return cmp.Compare(a.lastAt, b.lastAt) })
			s.others = slices.Delete(s.others, 0, 1)
		}
		s.others = append(s.others, series{start: start, upstream: u})
		n = len(s.others) - 1
	}
	c := &s.others[n]
	if u.Sequence > c.upstream.Sequence {
		c.step = u.Sequence - c.upstream.Sequence
	} else {
		c.firstAt, c.claimedAt, c.step = now, now, 0
	}
	if c.ended || c.lastAt < s.present.lastAt {
		c.claimedAt, c.questioned = now, false
	}
	c.upstream, c.lastAt, c.ended = u, now, false
	return c
}

// outdated reports whether a heartbeat cannot be one of the next start while the present one
// reports: of a start that was replaced, of one that is older than the present one or another that has
// reported since, or of an upstream that already ran long before the present one's last heartbeat, such
// as another instance's.
func (s *starts) outdated(now time.Duration, c *series) bool {
	if c.replaced || c.start == s.present.start || s.olderThanPresent(c.upstream) {
		return true
	}
	for _, o := range s.others {
		if c.upstream.Born < o.upstream.Born && o.lastAt > s.present.lastAt {
			return true
		}
	}
	return c.upstream.Age > 0 && s.present.lastAt > now-c.upstream.Age+foreignOverlap
}

// olderThanPresent reports whether an upstream started before the present start did.
func (s *starts) olderThanPresent(u Upstream) bool { return u.Born < s.present.upstream.Born }

// candidate returns the other start that has gone on reporting since the last heartbeat of the
// present one, nil if there is none: of several the one that started last by its own report, then
// that heard last.
func (s *starts) candidate() *series {
	var best *series
	for i := range s.others {
		c := &s.others[i]
		if c.ended || c.lastAt <= s.present.lastAt || !s.confirmed(c) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.upstream.Born, best.upstream.Born), cmp.Compare(c.lastAt, best.lastAt)) > 0 {
			best = c
		}
	}
	return best
}

// replacePresent makes one of the other starts the present one. certain means that the end of the
// present one is proven.
func (s *starts) replacePresent(c *series, certain bool) {
	next := *c
	s.others = slices.DeleteFunc(s.others, func(o series) bool { return o.start == next.start })
	next.replaced, next.late, next.questioned, next.ended = false, false, false, false
	switch s.present.start {
	case 0:
	case next.start:
		s.step = max(s.step, next.step)
	default:
		s.present.replaced = true
		s.others = append(s.others, s.present)
	}
	s.present, s.certain = next, certain
}

// endAll records that no process listens at the upstream's address, so that all starts have ended.
func (s *starts) endAll() {
	s.present.ended = true
	for i := range s.others {
		s.others[i].ended = true
	}
}

// leave removes the other starts with an id that have deregistered.
func (s *starts) leave(id string) {
	s.others = slices.DeleteFunc(s.others, func(o series) bool { return o.upstream.ID == id })
}

// mayLimit reports whether what another start has reported may hold for the upstream: that of one that
// may have replaced the present one, which may have sent a late heartbeat since, or, until the present
// start is certain to run, that of any.
func (s *starts) mayLimit(now time.Duration, o *series) bool {
	if !s.certain {
		return !o.ended && now-o.lastAt <= otherStartRetention
	}
	return !o.ended && !o.late && now-o.lastAt <= s.silence()
}

// mayDrain reports whether the upstream may be draining: by the present start's report or, until that
// one is certain to run, by that of any other.
func (s *starts) mayDrain(now time.Duration) bool {
	return s.present.upstream.Draining || !s.certain && slices.ContainsFunc(s.others, func(o series) bool {
		return o.upstream.Draining && s.mayLimit(now, &o)
	})
}

// coldUntil returns the end of the warm-up that other starts report, 0 if there are none.
func (s *starts) coldUntil(now time.Duration) time.Duration {
	until := time.Duration(0)
	for _, o := range s.others {
		if s.mayLimit(now, &o) {
			until = max(until, o.lastAt+o.upstream.ColdFor)
		}
	}
	return until
}

// doubted returns the start heard last that may have replaced the present one, 0 if there is none.
func (s *starts) doubted() uint32 {
	var last series
	for _, o := range s.others {
		if o.questioned && o.lastAt >= max(s.present.lastAt, last.lastAt) {
			last = o
		}
	}
	return last.start
}

// lastHeardAt returns the time of the last heartbeat of any start.
func (s *starts) lastHeardAt() time.Duration {
	at := s.present.lastAt
	for _, o := range s.others {
		at = max(at, o.lastAt)
	}
	return at
}

// silentFor returns for how long the present start has sent no heartbeat while the agent was not
// paused.
func (r *Relay) silentFor(now time.Duration) time.Duration {
	return now - max(r.starts.present.lastAt, r.resumedAt)
}

// vacant reports whether the present start is known to have ended or to be about to.
func (r *Relay) vacant() bool { return r.ended || r.deregistered }

// Vacant reports whether no upstream is known to run, so that the agent should probe its address
// before it handles the heartbeat of another start, see Upstream.Refused.
func (r *Relay) Vacant() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vacant()
}

// evidenceFor returns the evidence that a start which has just been heard is the present one, an
// empty string if it may be a late one.
func (r *Relay) evidenceFor(now time.Duration, c *series) Succession {
	silent := r.silentFor(now)
	confirmed := r.starts.confirmed(c)
	other := c.start != r.starts.present.start
	switch {
	case r.starts.present.start == 0 && !c.upstream.Refused:
		return firstHeard
	case r.vacant() && (confirmed || other && !c.upstream.Refused && !r.starts.olderThanPresent(c.upstream)):
		return presentGone
	case silent > r.starts.silence() && confirmed, silent >= longSilence && other && !r.vacant():
		return presentSilent
	}
	return ""
}

// handleClaim handles a heartbeat that does not go on from the last one of the present start. It
// reports whether the agent should report at once.
func (r *Relay) handleClaim(now time.Duration, start uint32, u Upstream) bool {
	accepted := r.acceptsFlows(now)
	c := r.starts.claim(now, start, u)
	c.late = r.silentFor(now) <= r.starts.silence() && r.starts.outdated(now, c)
	evidence := r.evidenceFor(now, c)
	if evidence == "" {
		present := &r.starts.present.upstream
		r.port.RecordClaim(Claim{Upstream: u, Start: start, Late: c.late, PresentID: present.ID, PresentSequence: present.Sequence})
	}
	doubted := !c.late && r.question(now, c)
	if evidence != "" {
		r.succeed(now, c, evidence)
		return true
	}
	return doubted || accepted != r.acceptsFlows(now)
}

// question asks the upstream for the flows of the present start, unless another heartbeat of the
// same candidate has had it asked, or there is no other start. It reports whether it has asked.
func (r *Relay) question(now time.Duration, c *series) bool {
	present := &r.starts.present
	if c.questioned || present.start == 0 || present.start == c.start {
		return false
	}
	c.questioned, c.returned = true, 0
	c.proofs = r.askAll(now, r.resetReason(now, BouncedByUpstream, c.start))
	return true
}

// succeed makes another start the present one.
func (r *Relay) succeed(now time.Duration, c *series, evidence Succession) {
	present := &r.starts.present
	restarted := present.start != 0 && c.start != present.start
	r.question(now, c)
	r.starts.replacePresent(c, evidence == presentReturned || r.ended)
	r.port.RecordStart(present.upstream, present.start, evidence)
	if restarted {
		r.detector.recordRestart(now)
	}
	r.evidence = present.upstream.Sequence
	r.recordWarmUp(present.lastAt, present.upstream, restarted)
	r.load.SetSlots(now, present.upstream.Slots)
	r.alive, r.ended, r.deregistered = true, false, false
	r.announceAll()
}

// checkSuccession makes a candidate the present start if that one is silent or has ended.
func (r *Relay) checkSuccession(now time.Duration) {
	r.starts.checkCertain(now, r.resumedAt)
	if c := r.starts.candidate(); c != nil {
		if evidence := r.evidenceFor(now, c); evidence != "" {
			r.succeed(now, c, evidence)
		}
	}
}

// heldByPresent reports whether the present start held a flow when it last reported: it has
// reported after the flow was opened there, and both ends use the flow. If the upstream returns a
// packet of the flow, another start has replaced that one.
func (r *Relay) heldByPresent(now time.Duration, s *flowState) bool {
	return s.start == r.starts.present.start && s.start != 0 && r.evidence > s.lastSequence &&
		!s.callerDone && !s.upstreamDone && now-s.callerSeen <= activeWindow
}

// recordReturned counts a question about a flow that the present start held and that the upstream
// has returned, after a heartbeat of another start. It reports whether that start has become the
// present one.
func (r *Relay) recordReturned(now time.Duration, reported uint32) bool {
	n := slices.IndexFunc(r.starts.others, func(o series) bool {
		return o.start == reported && o.questioned && o.lastAt >= r.starts.present.lastAt
	})
	if n < 0 {
		return false
	}
	c := &r.starts.others[n]
	c.returned++
	if c.returned < c.proofs {
		return false
	}
	r.succeed(now, c, presentReturned)
	return true
}
