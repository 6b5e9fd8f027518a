package director

import (
	"net/netip"
	"slices"
	"sync"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
)

// history remembers, for each address, the services that any configuration of
// this process's lifetime let take its flows: an open flow stays where it was
// opened when the configuration moves new ones elsewhere.
type history struct {
	mu    sync.RWMutex
	byVIP map[netip.AddrPort][]peer.ServiceID
}

func (h *history) add(c *route.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[netip.AddrPort][]peer.ServiceID, c.Len())
	c.Each(func(r route.Route) {
		var services []peer.ServiceID
		for _, s := range r.Shares {
			services = append(services, peer.Service(s.Service))
		}
		for _, old := range h.byVIP[r.VIP] {
			if !slices.Contains(services, old) {
				services = append(services, old)
			}
		}
		next[r.VIP] = services
	})
	h.byVIP = next
}

// services returns the services that may hold flows of an address, the present
// ones first.
func (h *history) services(vip netip.AddrPort) []peer.ServiceID {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byVIP[vip]
}
