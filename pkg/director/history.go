package director

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"hickoryhook.example/pkg/route"
)

// history records, for each VIP, the services that received its flows under any
// configuration of this process's lifetime since the VIP was last without a route and,
// once merged, of earlier or other processes: an open flow stays at its upstream when a
// newer configuration assigns new flows to other services.
//
// Versions of the configuration increase in uneven steps, so that a gap between two numbers
// does not show whether a version lies between them. The record counts as complete through a
// version only if it was merged as such, or if each later version is known to have followed
// directly on one that it covers.
type history struct {
	mu      sync.RWMutex
	byVIP   map[netip.AddrPort][]string
	merged  bool   // the record of other processes has been merged
	through uint64 // no service of a version up to this one is missing, once merged
	version uint64 // of the configuration in force, 0 before the first
	// previous is the version that the one in force has followed, 0 if unknown.
	previous uint64
	// gapVersion is the version in force since gapAt while the record is not complete, see
	// expireGap; 0 if it is.
	gapVersion uint64
	gapAt      time.Duration
}

// add adds the services of a newer configuration and puts it in force. It removes the VIPs
// that the configuration does not route, whose flows are reset (see
// Director.handleUnrouted), unless it has routes that could not be read. previous is the version
// that it followed, 0 if unknown. It reports whether any VIP has gained a service.
func (h *history) add(c *route.Config, previous uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	next := make(map[netip.AddrPort][]string, c.Len())
	c.Each(func(r route.Route) {
		old := h.byVIP[r.VIP]
		services := union(servicesOf(r), old)
		changed = changed || len(services) != len(old)
		next[r.VIP] = services
	})
	if c.Version() < h.through || c.Unreadable() > 0 {
		// A record that was merged is ahead: later versions may have added VIPs again. Or a
		// VIP may be that of a route that could not be read.
		for vip, services := range h.byVIP {
			if _, ok := next[vip]; !ok {
				next[vip] = services
			}
		}
	}
	h.byVIP = next
	h.version, h.previous = c.Version(), previous
	h.follow(c, previous)
	return changed
}

// addOlder adds the services of a configuration that is not newer than the one in force to
// the VIPs that still have a route: other processes may have placed flows under it. It
// reports whether any VIP has gained a service.
func (h *history) addOlder(c *route.Config, previous uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	c.Each(func(r route.Route) {
		old, routed := h.byVIP[r.VIP]
		if !routed {
			return
		}
		services := union(slices.Clone(old), servicesOf(r))
		changed = changed || len(services) != len(old)
		h.byVIP[r.VIP] = services
	})
	if c.Version() == h.version {
		// A store that has come back from an older copy lacks versions that others have seen.
		previous = max(previous, h.previous)
		h.previous = previous
	}
	h.follow(c, previous)
	return changed
}

// follow extends the record's coverage to a version whose services it contains, if it covers
// the version before. previous is that version, 0 if unknown: then only the next number is
// certain to have no version before it that is missing. The services of routes that could not
// be read are missing.
func (h *history) follow(c *route.Config, previous uint64) {
	version := c.Version()
	if c.Unreadable() > 0 {
		return
	}
	if previous == 0 {
		previous = version - 1
	}
	if h.merged && previous <= h.through {
		h.through = max(h.through, version)
	}
}

// merge adds the services that another process has recorded. No service of a version up to
// through is missing there.
func (h *history) merge(byVIP map[netip.AddrPort][]string, through uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merged = true
	h.through = max(h.through, through)
	if h.byVIP == nil {
		h.byVIP = make(map[netip.AddrPort][]string, len(byVIP))
	}
	for vip, services := range byVIP {
		h.byVIP[vip] = union(slices.Clone(h.byVIP[vip]), services)
	}
}

// expireGap makes the record complete once every flow that was placed under a missing version
// has passed its lifetime.
func (h *history) expireGap(now, lifetime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.merged || h.through >= h.version:
		h.gapVersion = 0
	case h.gapVersion != h.version:
		h.gapVersion, h.gapAt = h.version, now
	case now-h.gapAt > lifetime+maxApplyTime:
		h.through, h.gapVersion = h.version, 0
	}
}

// services returns the services that may hold flows of a VIP, those of the
// configuration in force first.
func (h *history) services(vip netip.AddrPort) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byVIP[vip]
}

// complete reports whether the record of other processes has been merged and no service of
// a version up to the one in force is missing.
func (h *history) complete() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.merged && h.through >= h.version
}

// coverage returns the version through which the record is complete, 0 before any is merged.
func (h *history) coverage() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.through
}

// previousVersion returns the version that the one in force has followed, 0 if unknown.
func (h *history) previousVersion() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.previous
}

// snapshot returns a copy of the record. The slices are shared; they never change.
func (h *history) snapshot() map[netip.AddrPort][]string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return maps.Clone(h.byVIP)
}

// servicesOf returns the services that a route names.
func servicesOf(r route.Route) []string {
	services := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		services = append(services, s.Service)
	}
	return services
}

// union appends to services those of more that it does not contain.
func union(services, more []string) []string {
	for _, s := range more {
		if !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	return services
}
