package fleetdemo

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// configBound is the time from the store's acknowledgement of a configuration until it must be
	// in force, the shortest of the platform's sites.
	configBound = 3 * time.Second
	// rollbackSlack is how long after a flow has shown that a configuration is in force at an entry
	// an opening may still be handled as only an older one allows, disturbedSlack the same at an
	// entry that is disturbed.
	rollbackSlack  = 250 * time.Millisecond
	disturbedSlack = 8 * rollbackSlack
	// stableWindow is how long a process must have run without a disturbance to be judged by
	// configBound. That of the platform is part of the settings, too.
	stableWindow = 4 * time.Second
	// maxConfigFailures bounds the failures of a run.
	maxConfigFailures = 20
)

// storeMachine, anyUpstream and soakMachine stand for the store, for the upstreams of a site and for the
// soak itself in the disturbances of a configJudge.
var (
	storeMachine = netip.AddrFrom4([4]byte{0, 0, 0, 1})
	anyUpstream  = netip.AddrFrom4([4]byte{0, 0, 0, 2})
	soakMachine  = netip.AddrFrom4([4]byte{0, 0, 0, 3})
)

type (
	// configJudge judges by which configuration each opening was handled: one later than
	// configBound after the acknowledgement of a version must not be handled as only an older one
	// allows, and no entry may go back to an older one. It has no clock. The zero value knows no
	// version and is ready to use.
	configJudge struct {
		mu       sync.Mutex
		versions []knownVersion
		machines map[netip.Addr]*machineState
		failures []incident
		judged   int // openings
	}

	// knownVersion is a configuration that the operator has written.
	knownVersion struct {
		version uint64
		routes  map[netip.AddrPort]string // the service of each VIP
		acked   time.Time                 // by the store; zero before
	}

	// machineState is what a judge knows of an entry or an agent.
	machineState struct {
		disturbances int       // that go on
		calmSince    time.Time // end of the last one
		// The oldest version, by its index, that explains what an upstream has seen of the entry's
		// present process, and when it has seen that.
		effects []versionEffect
	}

	// versionEffect is the effect of a version or a later one.
	versionEffect struct {
		index int
		at    time.Time
	}

	// opening is a packet that opens a flow, as its caller sent it through an entry.
	opening struct {
		vip   netip.AddrPort
		sent  time.Time
		entry netip.Addr
		name  string // of the flow, as in the logs
	}
)

// machine returns the state of a machine. The caller holds the lock.
func (j *configJudge) machine(a netip.Addr) *machineState {
	m := j.machines[a]
	if m == nil {
		if j.machines == nil {
			j.machines = make(map[netip.Addr]*machineState)
		}
		m = &machineState{}
		j.machines[a] = m
	}
	return m
}

// announce records a configuration that is about to be written.
func (j *configJudge) announce(version uint64, routes map[netip.AddrPort]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, knownVersion{version: version, routes: routes})
}

// acknowledge records that the store has acknowledged the configuration that was announced last.
func (j *configJudge) acknowledge(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions[len(j.versions)-1].acked = at
}

// beginDisturbance records that a disturbance of a machine begins.
func (j *configJudge) beginDisturbance(a netip.Addr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.machine(a).disturbances++
}

// endDisturbance records that one ends.
func (j *configJudge) endDisturbance(a netip.Addr, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := j.machine(a)
	m.disturbances--
	m.calmSince = at
}

// disturb records a disturbance that takes no time.
func (j *configJudge) disturb(a netip.Addr, at time.Time) {
	j.beginDisturbance(a)
	j.endDisturbance(a, at)
}

// startProcess records that another process runs on the machine.
func (j *configJudge) startProcess(a netip.Addr, at time.Time) {
	j.disturb(a, at)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.machine(a).effects = nil
}

// calm is isCalm for callers that do not hold the lock.
func (j *configJudge) calm(at time.Time, machines ...netip.Addr) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isCalm(at, machines...)
}

// isCalm reports whether machines were without disturbance for stableWindow before a time and
// since. The caller holds the lock.
func (j *configJudge) isCalm(at time.Time, machines ...netip.Addr) bool {
	return !slices.ContainsFunc(machines, func(a netip.Addr) bool {
		m := j.machines[a]
		return m != nil && (m.disturbances > 0 || at.Sub(m.calmSince) < stableWindow)
	})
}

// required returns the index of the newest version that must be in force at a time, -1 if none
// must. The caller holds the lock.
func (j *configJudge) required(at time.Time) int {
	for i := len(j.versions) - 1; i >= 0; i-- {
		if v := j.versions[i]; !v.acked.IsZero() && at.Sub(v.acked) > configBound {
			return i
		}
	}
	return -1
}

// handled judges an opening that an upstream of a service took at a time, from an agent.
func (j *configJudge) handled(o opening, service string, agent netip.Addr, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.judge(o, at, func(routes map[netip.AddrPort]string) bool { return routes[o.vip] == service }, "run by "+service, agent)
}

// refused judges an opening that an entry has reset while nothing is disturbed. If some versions lack
// its route, they alone explain that; if all have it, no configuration does.
func (j *configJudge) refused(o opening, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	lacksRoute := func(routes map[netip.AddrPort]string) bool { return routes[o.vip] == "" }
	lacking := slices.ContainsFunc(j.versions, func(v knownVersion) bool { return lacksRoute(v.routes) })
	if lacking && j.isCalm(o.sent, anyUpstream, storeMachine) && j.isCalm(o.sent, j.all()...) {
		j.judge(o, at, lacksRoute, "refused")
	}
}

// all returns all machines. The caller holds the lock.
func (j *configJudge) all() []netip.Addr {
	var out []netip.Addr
	for a := range j.machines {
		out = append(out, a)
	}
	return out
}

// judge judges an opening that was handled in a way that the routes of some versions allow, by its
// entry and by other machines. The caller holds the lock.
func (j *configJudge) judge(o opening, at time.Time, allow func(routes map[netip.AddrPort]string) bool, how string, others ...netip.Addr) {
	j.judged++
	oldest, newest := -1, -1
	for i, v := range j.versions {
		if allow(v.routes) {
			newest = i
			if oldest < 0 {
				oldest = i
			}
		}
	}
	if newest < 0 {
		j.fail(o, at, "opening of flow %s, sent at %s through entry %s, was %s, which no version allows", o.name, o.sent.Format(timeFormat), o.entry, how)
		return
	}
	calm := j.isCalm(o.sent, append(others, o.entry, storeMachine)...)
	if r := j.required(o.sent); calm && newest < r {
		j.fail(o, at, "opening of flow %s, sent at %s through entry %s, was %s: handled by version %d or older; version %d was acknowledged %s before",
			o.name, o.sent.Format(timeFormat), o.entry, how, j.versions[newest].version, j.versions[r].version, o.sent.Sub(j.versions[r].acked).Round(time.Millisecond))
	}
	slack := rollbackSlack
	if !calm {
		slack = disturbedSlack
	}
	entry := j.machine(o.entry)
	for _, e := range entry.effects {
		if newest < e.index && o.sent.Sub(e.at) > slack {
			j.fail(o, at, "opening of flow %s, sent at %s through entry %s, was %s: handled by version %d or older; the entry had version %d in force %s before",
				o.name, o.sent.Format(timeFormat), o.entry, how, j.versions[newest].version, j.versions[e.index].version, o.sent.Sub(e.at).Round(time.Millisecond))
			break
		}
	}
	if n := len(entry.effects); oldest > 0 && (n == 0 || entry.effects[n-1].index < oldest) {
		entry.effects = append(entry.effects, versionEffect{oldest, at})
	}
}

// drops reports whether the configuration that was written last has no route for a VIP. Flows whose
// route is dropped may be reset.
func (j *configJudge) drops(v netip.AddrPort) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.versions)
	return n > 0 && j.versions[n-1].routes[v] == ""
}

// fail records a failure about an opening that was handled at a time. The caller holds the lock.
func (j *configJudge) fail(o opening, at time.Time, format string, args ...any) {
	if len(j.failures) < maxConfigFailures {
		j.failures = append(j.failures, incident{at, o.name, o.entry.String(), fmt.Sprintf(format, args...)})
	}
}

// result returns the failures and the number of openings that were judged.
func (j *configJudge) result() (failures []incident, judged int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.failures), j.judged
}
