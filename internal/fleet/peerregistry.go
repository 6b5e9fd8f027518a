package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	registrationsPath = "/registrations"
	flowsPath         = "/flows/{entry}"
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
	agents, known := c.director.Registered()
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

// serveFlows reads from the store for another entry what that one has written
// about its flows.
func (c *configSync) serveFlows(w http.ResponseWriter, req *http.Request) {
	address, err := netip.ParseAddr(req.PathValue("entry"))
	if err != nil || !address.Is4() {
		http.Error(w, "not an entry's address", http.StatusBadRequest)
		return
	}
	value, err := c.readFlows(req.Context(), peer.NewAddr(address))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		if _, err := w.Write(value); err != nil {
			return // the caller has gone
		}
	}
}

// askForFlows asks other entries to read what this one has written.
func (e *Entry) askForFlows() ([]byte, error) {
	err := errors.New("ask entry: none is alive")
	for _, a := range e.someEntries() {
		var value []byte
		if value, err = e.askFor(a, "/flows/"+e.self.String()); err == nil || errors.Is(err, platform.ErrNotFound) {
			return value, err
		}
	}
	return nil, err
}

// someEntries returns a few living entries, others each time.
func (e *Entry) someEntries() []peer.Addr {
	alive := e.entries.alive(e.now())
	if len(alive) == 0 {
		return nil
	}
	first := int(e.askedFrom.Add(entriesAsked)) % len(alive)
	return append(alive[first:], alive[:first]...)[:min(entriesAsked, len(alive))]
}

// askFor gets a path of another entry.
func (e *Entry) askFor(from peer.Addr, path string) ([]byte, error) {
	address := netip.AddrPortFrom(from.Addr(), e.settings.PeerPort+1)
	resp, err := e.config.client.Get("http://" + address.String() + path)
	if err != nil {
		return nil, errors.Wrap(err, "ask entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, platform.ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask entry: status %d", resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
	if err != nil {
		return nil, errors.Wrap(err, "ask entry")
	}
	return value, nil
}

// askEntries asks other entries for the registrations, until one knows them.
func (e *Entry) askEntries() {
	if _, known := e.director.Registered(); known {
		return
	}
	for _, a := range e.someEntries() {
		err := e.askEntry(a)
		if err == nil {
			e.log.Info("registrations of another entry", zap.Stringer("entry", a))
			return
		}
		e.log.Info("registrations not fetched", zap.Stringer("entry", a), daemon.Err(err))
	}
}

func (e *Entry) askEntry(from peer.Addr) error {
	value, err := e.askFor(from, registrationsPath)
	if err != nil {
		return err
	}
	var r registrations
	if err := json.Unmarshal(value, &r); err != nil {
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
	e.director.SetRegistered(e.now(), agents)
	return nil
}
