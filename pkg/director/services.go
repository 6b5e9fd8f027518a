package director

import (
	"slices"
	"sync"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/pkg/segment"
)

// serviceNames holds the names of the known services by their short identifiers, which several
// may share: those of the configuration in force, of the services that may hold flows, and of
// the agents that have reported since the configuration came into force.
type serviceNames struct {
	mu      sync.RWMutex
	byShort map[uint32][]string
}

// add adds names.
func (n *serviceNames) add(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addLocked(names)
}

// replace replaces all names by those that collect returns. Names that are added meanwhile stay.
func (n *serviceNames) replace(collect func() []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byShort = nil
	n.addLocked(collect())
}

// addLocked is add with the lock held.
func (n *serviceNames) addLocked(names []string) {
	if n.byShort == nil {
		n.byShort = make(map[uint32][]string, len(names))
	}
	for _, name := range names {
		short := peer.Service(name).Short()
		if !slices.Contains(n.byShort[short], name) {
			n.byShort[short] = append(n.byShort[short], name)
		}
	}
}

// complete returns the identifier of the only known service that an identifier matches. It
// returns the identifier as it is if it is complete or if no known service, or several, match it.
func (n *serviceNames) complete(id peer.ServiceID) peer.ServiceID {
	if id.IsNone() || id.Complete() {
		return id
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if names := n.byShort[id.Short()]; len(names) == 1 {
		return peer.Service(names[0])
	}
	return id
}

// shared returns the names that share a short identifier with others, by identifier, in
// alphabetical order.
func (n *serviceNames) shared() [][]string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var out [][]string
	for _, names := range n.byShort {
		if len(names) > 1 {
			out = append(out, slices.Sorted(slices.Values(names)))
		}
	}
	slices.SortFunc(out, slices.Compare)
	return out
}

// SharedIdentifiers returns the names of the known services that share a short identifier, see
// peer.ServiceID, in groups. Processes of builds up to 7053056 take the services of a group for
// one.
func (d *Director) SharedIdentifiers() [][]string { return d.names.shared() }

// updateNames takes over the names of services from a configuration that has come into force.
func (d *Director) updateNames(c *route.Config) {
	d.names.replace(func() []string {
		names := d.members.serviceNames()
		for _, services := range d.history.snapshot() {
			names = append(names, services...)
		}
		for _, s := range c.Services() {
			names = append(names, s.Name)
		}
		slices.Sort(names)
		return slices.Compact(names)
	})
}

// completeService completes the service of a flow of which only the short identifier was saved, or
// whose owner has not reported its service yet. It leaves it as it is if several services may be
// meant, or before the first configuration.
func (d *Director) completeService(flow segment.Flow, rec *flowRecord) {
	if rec.service.Complete() || d.config.Load() == nil {
		return
	}
	if !d.history.complete() {
		rec.service = d.names.complete(rec.service)
		return
	}
	var only peer.ServiceID
	for _, name := range d.history.services(flow.VIP()) {
		id := peer.Service(name)
		if !rec.service.IsNone() && !id.Matches(rec.service) {
			continue
		}
		if !only.IsNone() {
			return
		}
		only = id
	}
	if !only.IsNone() {
		rec.service = only
	}
}

// mayBeOf reports whether the flow may be of a service: if its own is not known, it
// may. One of which only the short identifier is known is of none.
func (r *flowRecord) mayBeOf(service peer.ServiceID) bool {
	return r.service.IsNone() || r.service.Complete() && r.service == service
}
