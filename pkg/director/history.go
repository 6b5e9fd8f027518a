package director

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"hickoryhook.example/pkg/route"
)

// history records, for each VIP, the services that received its flows under any
// configuration of this process's lifetime since the VIP was last without a route and,
// once merged, of earlier or other processes: an open flow stays at its upstream when a
// newer configuration assigns new flows to other services.
type history struct {
	mu     sync.RWMutex
	byVIP  map[netip.AddrPort][]string
	merged bool // the record of other processes has been merged, and no version was skipped since
}

// add adds the services of a configuration. It removes the VIPs that the configuration
// does not route, whose flows are reset (see Director.handleUnrouted). It reports
// whether any VIP has gained a service.
func (h *history) add(c *route.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	next := make(map[netip.AddrPort][]string, c.Len())
	c.Each(func(r route.Route) {
		old := h.byVIP[r.VIP]
		services := make([]string, 0, len(r.Shares))
		for _, s := range r.Shares {
			services = append(services, s.Service)
		}
		services = union(services, old)
		changed = changed || len(services) != len(old)
		next[r.VIP] = services
	})
	h.byVIP = next
	return changed
}

// merge adds the services that another process has recorded.
func (h *history) merge(byVIP map[netip.AddrPort][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merged = true
	if h.byVIP == nil {
		h.byVIP = make(map[netip.AddrPort][]string, len(byVIP))
	}
	for vip, services := range byVIP {
		h.byVIP[vip] = union(slices.Clone(h.byVIP[vip]), services)
	}
}

// services returns the services that may hold flows of a VIP, those of the
// configuration in force first.
func (h *history) services(vip netip.AddrPort) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byVIP[vip]
}

// markIncomplete records that other processes may know services that this one does not.
func (h *history) markIncomplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merged = false
}

// complete reports whether the record of other processes has been merged.
func (h *history) complete() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.merged
}

// snapshot returns a copy of the record. The slices are shared; they never change.
func (h *history) snapshot() map[netip.AddrPort][]string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return maps.Clone(h.byVIP)
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
