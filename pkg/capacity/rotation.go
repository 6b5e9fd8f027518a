package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// moveCost is the part of the demand that must be carried in addition for the first
	// entry to leave rotation: flows move to other entries, which search for their owners.
	moveCost = 0.1
	// keepGain is the same once an entry is out of rotation, and for each further change.
	// It is lower, so that a demand close to the bound does not move entries back and forth.
	keepGain = 0.05
	// fullShare is the part of its link from which on an entry's callers may send more than
	// it receives. Its rate then says nothing about the demand.
	fullShare = 0.8
	// risePeriod and fallPeriod are the time constants of the smoothed demand while it rises
	// and falls, and confirmTime is how long a change must be wanted before it is made. Large
	// flows arrive in bursts, and flows that moved to other entries because of a demand of 5 s
	// would move back at once. A demand that has gone no longer counts.
	risePeriod  = 4 * time.Second
	fallPeriod  = time.Second
	confirmTime = 4 * time.Second
	// settleTime is the time after a change of a neighbour in which no entry leaves or
	// returns because of the demand: the routers need up to 1 s to notice a change, and the
	// measured rates cover the second after it.
	settleTime = 3 * time.Second
	// readyHold and outHold are how long an entry stays in rotation and out of it at least,
	// as far as the demand decides. The second is longer: while the demand is low, the others
	// carry it, too, and a demand that comes and goes would move flows each time.
	readyHold = 8 * time.Second
	outHold   = 20 * time.Second
)

// The reasons for the state of an entry, for operators.
const (
	// InRotation: the entries of the domain carry most with this one in rotation.
	InRotation Reason = "needed"
	// NeighboursChanged: no change is made because a neighbour has just started, stopped,
	// been lost or changed its readiness.
	NeighboursChanged Reason = "neighbours-changed"
	// TooFewOthers: the routers would not send to the other entries alone.
	TooFewOthers Reason = "too-few-others"
	// OthersCarryMore: the entry is out of rotation, as the larger ones carry more without
	// it.
	OthersCarryMore Reason = "others-carry-more"
)

type (
	// Reason is why an entry is in rotation or not.
	Reason string

	// Entry is what is known about the link of one entry.
	Entry struct {
		// ID orders entries with equal links.
		ID [4]byte
		// LinkRate is the capacity in bytes a second, 0 if it is not known: the entry then
		// counts as larger than all others and stays in rotation.
		LinkRate float64
		// CallerRate is the number of bytes a second that callers send to the entry.
		CallerRate float64
		// Ready means that the routers send to the entry.
		Ready bool
	}

	// Domain is what an entry knows about the entries of its failure domain.
	Domain struct {
		// Self is the entry itself. Ready leaves out whether it is in rotation.
		Self Entry
		// Others are the entries that have recently been heard from.
		Others []Entry
		// ChangedAt is when another entry last started, stopped, was lost or changed its
		// readiness.
		ChangedAt time.Duration
		// EnoughOthers means that the routers send to the ready others alone if this entry
		// is not ready.
		EnoughOthers bool
		// Tolerated is the number of entries whose loss at the same time must be borne.
		Tolerated int
	}

	// Plan is the number of entries that should be in rotation, with its inputs.
	Plan struct {
		// Entries is the number of entries, Ready that of those in rotation, and Want the
		// number that should be.
		Entries int `json:"entries"`
		Ready   int `json:"ready"`
		Want    int `json:"want"`
		// Demand is what callers send to the domain, Carried what the entries in rotation
		// carry of it and CarriedThen what Want entries would carry, in bytes a second.
		Demand      float64 `json:"demand"`
		Carried     float64 `json:"carried"`
		CarriedThen float64 `json:"carried-then"`
	}

	// Rotation decides whether one entry is in rotation. The zero value is in rotation.
	// Each entry of a domain decides in the same way from the same data, and only the one
	// whose turn it is changes.
	Rotation struct {
		out       bool
		reason    Reason
		plan      Plan
		demand    float64
		seenAt    time.Duration // of the last observation, 0 before the first
		holdUntil time.Duration
		wanted    bool          // the opposite state was wanted at the last observation
		wantedAt  time.Duration // since when
	}
)

// Out reports whether the entry is out of rotation.
func (r *Rotation) Out() bool { return r.out }

// Reason returns why the entry is in rotation or not.
func (r *Rotation) Reason() Reason { return r.reason }

// Plan returns the last plan.
func (r *Rotation) Plan() Plan { return r.plan }

// Observe decides with new data, and reports whether the entry has left rotation or
// returned. It must be called every 100 ms or so. The entry returns at once if there are no
// longer enough others.
func (r *Rotation) Observe(now time.Duration, d Domain) bool {
	r.observeDemand(now, d)
	r.plan = plan(d, r.demand, r.out)
	if !d.EnoughOthers {
		r.reason, r.wanted = TooFewOthers, false
		return r.out && r.change(now)
	}
	r.reason = InRotation
	if r.out {
		r.reason = OthersCarryMore
	}
	turn, wait := d.turn(r.plan, r.out)
	if !turn {
		r.wanted = false
		return false
	}
	if !r.wanted {
		r.wanted, r.wantedAt = true, now
	}
	if now-d.ChangedAt < settleTime {
		r.reason = NeighboursChanged
		return false
	}
	if now < r.holdUntil || now-r.wantedAt < wait {
		return false
	}
	r.reason = OthersCarryMore
	if r.out {
		r.reason = InRotation
	}
	return r.change(now)
}

// change changes the state.
func (r *Rotation) change(now time.Duration) bool {
	r.out, r.wanted, r.holdUntil = !r.out, false, now+readyHold
	if r.out {
		r.holdUntil = now + outHold
	}
	return true
}

// observeDemand updates the smoothed demand. The first observation starts the hold time.
func (r *Rotation) observeDemand(now time.Duration, d Domain) {
	demand := d.demand(r.out)
	if r.seenAt == 0 {
		r.demand, r.holdUntil = demand, now+readyHold
	} else {
		period := risePeriod
		if demand < r.demand {
			period = fallPeriod
		}
		r.demand += (demand - r.demand) * (1 - math.Exp(-float64(now-r.seenAt)/float64(period)))
	}
	r.seenAt = now
}

// all returns the entries, the largest link first. out tells whether Self is out of rotation.
func (d Domain) all(out bool) []Entry {
	self := d.Self
	self.Ready = self.Ready && !out
	all := append(slices.Clone(d.Others), self)
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.link(), a.link()), slices.Compare(a.ID[:], b.ID[:]))
	})
	return all
}

// link returns the entry's link rate, infinite if it is not known.
func (e Entry) link() float64 {
	if e.LinkRate == 0 {
		return math.Inf(1)
	}
	return e.LinkRate
}

// demand estimates what callers send to the domain. The routers spread flows evenly, so that
// the entries with room in their links show what each of those in rotation is sent.
func (d Domain) demand(out bool) float64 {
	ready, measured, sum, all := 0, 0, 0.0, 0.0
	for _, e := range d.all(out) {
		all += e.CallerRate
		if !e.Ready {
			continue
		}
		ready++
		if e.LinkRate > 0 && e.CallerRate < fullShare*e.LinkRate {
			measured++
			sum += e.CallerRate
		}
	}
	if measured == 0 {
		return all
	}
	return max(all, sum/float64(measured)*float64(ready))
}

// plan returns how many entries should be in rotation, the largest ones: at least half of
// them, as the routers send to all otherwise, and one more than may be lost at the same time
// if there are as many.
func plan(d Domain, demand float64, out bool) Plan {
	all := d.all(out)
	p := Plan{Entries: len(all), Ready: countReady(all), Want: len(all), Demand: demand}
	for _, e := range all {
		if e.Ready {
			p.Carried += min(e.link(), demand/float64(p.Ready))
		}
	}
	least := (len(all) + 1) / 2
	if d.Tolerated < len(all) {
		least = max(least, d.Tolerated+1)
	}
	every := carried(all, demand, len(all))
	p.CarriedThen = every
	for k := len(all) - 1; k >= least; k-- {
		if c := carried(all, demand, k); c > p.CarriedThen {
			p.Want, p.CarriedThen = k, c
		}
	}
	gain := keepGain
	if p.Ready == p.Entries {
		gain = moveCost
	}
	if p.CarriedThen-every <= gain*demand {
		p.Want, p.CarriedThen = len(all), every
	} else if math.Abs(p.CarriedThen-p.Carried) <= keepGain*demand && p.Ready >= least {
		p.Want, p.CarriedThen = p.Ready, p.Carried
	}
	return p
}

func countReady(all []Entry) int {
	n := 0
	for _, e := range all {
		if e.Ready {
			n++
		}
	}
	return n
}

// carried returns what the first k entries carry if each is sent the same part of the demand.
func carried(all []Entry, demand float64, k int) float64 {
	sum := 0.0
	for _, e := range all[:k] {
		sum += min(e.link(), demand/float64(k))
	}
	return sum
}

// turn reports whether Self is the entry that changes next, and how long the change must
// have been wanted: the smallest entry in rotation leaves first. The largest one out of
// rotation returns first; a smaller one waits longer, as the larger ones may be not ready
// for another reason.
func (d Domain) turn(p Plan, out bool) (bool, time.Duration) {
	all := d.all(out)
	self := slices.IndexFunc(all, func(e Entry) bool { return e.ID == d.Self.ID })
	if out {
		larger := self - countReady(all[:self])
		return p.Want > p.Ready, confirmTime + time.Duration(larger)*settleTime
	}
	return d.Self.Ready && p.Want < p.Ready && d.Self.LinkRate > 0 && countReady(all[self+1:]) == 0, confirmTime
}
