package fleet

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
)

const (
	registrationsPath = "/registrations"
	// entriesAsked bounds how many entries are asked in a row for what the
	// store does not tell. Most of them know it.
	entriesAsked = 4
)

// registrations is what an entry tells another one that the store does not
// answer: what has to be known before a flow may be taken for dead.
type registrations struct {
	// Agents are the registered agents, as addresses.
	Agents []string `json:"agents"`
	// Holders are the services that may hold flows of each address.
	Holders map[netip.AddrPort][]string `json:"holders"`
}

// serveRegistrations answers another entry, if this one knows them itself.
func (c *configSync) serveRegistrations(w http.ResponseWriter, _ *http.Request) {
	agents, known := c.director.Informed()
	if !known {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r := registrations{Agents: make([]string, len(agents)), Holders: c.director.Holders()}
	for i, a := range agents {
		r.Agents[i] = a.String()
	}
	writeJSON(w, r)
}

// askEntries asks other entries for the registrations, until one knows them.
func (e *Entry) askEntries() {
	if _, known := e.director.Informed(); known {
		return
	}
	alive := e.entries.alive(e.now())
	for range min(entriesAsked, len(alive)) {
		a := alive[e.nextAsked%len(alive)]
		e.nextAsked++
		err := e.askEntry(a)
		if err == nil {
			e.log.Info("registrations of another entry", zap.Stringer("entry", a))
			return
		}
		e.log.Info("registrations not fetched", zap.Stringer("entry", a), daemon.Err(err))
	}
}

func (e *Entry) askEntry(from peer.Addr) error {
	address := netip.AddrPortFrom(from.Addr(), e.settings.PeerPort+1)
	resp, err := e.config.client.Get("http://" + address.String() + registrationsPath)
	if err != nil {
		return errors.Wrap(err, "ask entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ask entry: status %d", resp.StatusCode)
	}
	var r registrations
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxConfig)).Decode(&r); err != nil {
		return errors.Wrap(err, "ask entry")
	}
	agents := make([]peer.Addr, 0, len(r.Agents))
	for _, text := range r.Agents {
		a, err := netip.ParseAddr(text)
		if err != nil || !a.Is4() {
			return errors.Errorf("ask entry: agent %q", text)
		}
		agents = append(agents, peer.NewAddr(a))
	}
	e.director.MergeHolders(r.Holders)
	e.director.Expect(e.now(), agents)
	return nil
}
