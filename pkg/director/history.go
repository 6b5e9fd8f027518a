package director

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"hickoryhook.example/pkg/route"
)

// history remembers, for each address, the services that any configuration of
// this process's lifetime let take its flows: an open flow stays where it was
// opened when the configuration moves new ones elsewhere.
type history struct {
	mu    sync.RWMutex
	byVIP map[netip.AddrPort][]string
	known bool // what earlier processes remembered has been taken in
}

// add takes in a configuration. It reports whether that changed anything.
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

// merge takes in what another process remembered.
func (h *history) merge(byVIP map[netip.AddrPort][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = true
	if h.byVIP == nil {
		h.byVIP = make(map[netip.AddrPort][]string, len(byVIP))
	}
	for vip, services := range byVIP {
		h.byVIP[vip] = union(slices.Clone(h.byVIP[vip]), services)
	}
}

// services returns the services that may hold flows of an address, the present
// ones first.
func (h *history) services(vip netip.AddrPort) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byVIP[vip]
}

func (h *history) complete() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.known
}

// snapshot returns a copy.
func (h *history) snapshot() map[netip.AddrPort][]string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return maps.Clone(h.byVIP)
}

func union(services, more []string) []string {
	for _, s := range more {
		if !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	return services
}
