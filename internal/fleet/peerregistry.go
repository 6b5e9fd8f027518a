package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/transfer"
	"hickoryhook.example/pkg/jsonparts"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	registrationsPath = "/registrations"
	flowsPath         = "/flows/{entry}"
	flowsPartPath     = "/flows/{entry}/{part}"
	// maxEntriesAsked bounds how many entries one attempt asks, one after the
	// other, for data that the store does not return. Most entries have it.
	maxEntriesAsked = 4
	// minStartDifference is how much earlier another entry must have been started to be
	// asked for what the store may have lost. It exceeds the usual difference of clocks
	// and the time within which the processes of a fleet start.
	minStartDifference = 2 * time.Second
)

// registrations is the response to an entry that the store does not answer. It
// holds what an entry needs before it may treat a flow as lost.
type registrations struct {
	// Agents are the addresses of the agents that are registered or have reported.
	Agents []string `json:"agents"`
	// Holders are the services that may hold flows of each VIP. None of a version of the
	// configuration up to HoldersThrough is missing; it is 0 from builds up to 646ed7e.
	Holders        map[netip.AddrPort][]string `json:"holders"`
	HoldersThrough uint64                      `json:"holders-through"`
	addresses      []peer.Addr                 // Agents, decoded
	unusable       int                         // agents and parts of the holders that cannot be read
}

// serveRegistrations serves the registrations to another entry, or 503 if this
// entry does not have them itself.
func (c *configSync) serveRegistrations(w http.ResponseWriter, _ *http.Request) {
	agents, known := c.director.Registered()
	if !known {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, a := range c.director.Agents() {
		if !slices.Contains(agents, a) {
			agents = append(agents, a)
		}
	}
	r := registrations{Agents: make([]string, len(agents)), HoldersThrough: c.director.HoldersThrough(), Holders: c.director.Holders()}
	for i, a := range agents {
		r.Agents[i] = a.String()
	}
	writeJSON(w, r)
}

// serveFlows reads the saved flows of another entry from the store on its
// behalf.
func (c *configSync) serveFlows(w http.ResponseWriter, req *http.Request) {
	key, err := requestedFlowsKey(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := c.readFlows(req.Context(), key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		if _, err := w.Write(value); err != nil {
			return // the client has closed the connection
		}
	}
}

// requestedFlowsKey returns the store's key of the flows that a request is about.
func requestedFlowsKey(req *http.Request) (string, error) {
	address, err := netip.ParseAddr(req.PathValue("entry"))
	if err != nil || !address.Is4() {
		return "", errors.New("not the IPv4 address of an entry")
	}
	part := req.PathValue("part")
	if part != wholePart && part != addedPart {
		return "", errors.Errorf("unknown part %q of the flows", part)
	}
	return flowsKey(peer.NewAddr(address), part), nil
}

// flowsPathOf returns the path of requests about a part of the flows of an entry.
func flowsPathOf(entry peer.Addr, part string) string {
	if part == wholePart {
		return "/flows/" + entry.String()
	}
	return "/flows/" + entry.String() + "/" + part
}

// fetchOwnFlows asks up to maxEntriesAsked other entries in turn to read the saved
// flows of this entry from the store, until one returns them. It returns
// platform.ErrNotFound if the store has none, and another error if no entry is
// alive or none of those asked answers.
func (e *Entry) fetchOwnFlows(part string) ([]byte, error) {
	err := errors.New("fetch from entry: no entry is alive")
	for _, a := range e.entriesToAsk() {
		var value []byte
		if value, err = e.getFromEntry(a, flowsPathOf(e.self, part)); err == nil || errors.Is(err, platform.ErrNotFound) {
			return value, err
		}
	}
	return nil, err
}

// entriesToAsk returns up to maxEntriesAsked live entries, the next ones in
// turn on each call.
func (e *Entry) entriesToAsk() []peer.Addr {
	alive := e.entries.alive(e.now())
	if len(alive) == 0 {
		return nil
	}
	first := int(e.askOffset.Add(maxEntriesAsked)) % len(alive)
	return append(alive[first:], alive[:first]...)[:min(maxEntriesAsked, len(alive))]
}

// getFromEntry returns the body of another entry's response to GET path, cut off at
// maxConfigBytes. It returns platform.ErrNotFound for status 404, and another error
// for any other status but 200.
func (e *Entry) getFromEntry(from peer.Addr, path string) ([]byte, error) {
	ctx, cancel := transfer.WithStallTimeout(context.Background(), storeTimeout)
	defer cancel()
	address := netip.AddrPortFrom(from.Addr(), e.settings.PeerPort+1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "fetch from entry")
	}
	resp, err := e.config.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch from entry")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, platform.ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetch from entry: status %d", resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "fetch from entry")
	}
	return value, nil
}

// fetchRegistrations asks other entries in turn for the registrations until one
// returns them. It does nothing if this entry already has them.
func (e *Entry) fetchRegistrations() {
	if _, known := e.director.Registered(); known {
		return
	}
	if agents, ok := e.fetchRegistrationsFrom(e.entriesToAsk()...); ok {
		e.discovery.agentsKnown = true
		e.director.SetRegistered(e.now(), agents)
	}
}

// fetchFromEarlierEntry completes what was read from the store by what an entry knows that
// was started before this one: it returns that one's agents and merges its flow holders. It
// returns nil if there is no such entry, as after the start of all.
func (e *Entry) fetchFromEarlierEntry() []peer.Addr {
	earlier := e.earlierEntries()
	agents, _ := e.fetchRegistrationsFrom(earlier[:min(maxEntriesAsked, len(earlier))]...)
	return agents
}

// earlierEntries returns the live entries that were started before this one.
func (e *Entry) earlierEntries() []peer.Addr {
	return e.entries.startedBefore(e.now(), e.started.Add(-minStartDifference))
}

// fetchRegistrationsFrom asks entries in turn for the registrations until one returns them
// complete. It merges their flow holders and returns their agents, and false if no response is
// complete.
func (e *Entry) fetchRegistrationsFrom(entries ...peer.Addr) (agents []peer.Addr, complete bool) {
	for _, a := range entries {
		r, err := e.getRegistrations(a)
		if err != nil {
			e.log.Info("registrations not fetched", zap.Stringer("entry", a), daemon.Err(err))
			continue
		}
		e.log.Info("registrations of another entry", zap.Stringer("entry", a))
		if r.unusable > 0 {
			e.log.Error("registrations of another entry not decoded", zap.Stringer("entry", a), zap.Int("parts", r.unusable))
		}
		e.director.MergeHolders(r.Holders, r.HoldersThrough)
		e.config.logHolders(a.String())
		agents = append(agents, r.addresses...)
		if r.unusable == 0 {
			return agents, true
		}
	}
	return agents, false
}

// getRegistrations returns the registrations of another entry. A build up to 646ed7e does not
// tell through which version its flow holders are complete: it is at least the version that
// was in force there before, as it answers only while it takes them for complete.
func (e *Entry) getRegistrations(from peer.Addr) (registrations, error) {
	r, err := e.requestRegistrations(from)
	if err != nil || r.HoldersThrough != 0 || r.unusable > 0 {
		return r, err
	}
	version, err := e.requestVersion(from)
	if err != nil {
		e.log.Info("version of another entry not fetched", zap.Stringer("entry", from), daemon.Err(err))
		return r, nil
	}
	if r, err = e.requestRegistrations(from); err != nil {
		return registrations{}, err
	}
	if r.unusable == 0 {
		r.HoldersThrough = max(r.HoldersThrough, version)
	}
	return r, nil
}

// requestRegistrations returns the response of another entry to one request.
func (e *Entry) requestRegistrations(from peer.Addr) (registrations, error) {
	value, err := e.getFromEntry(from, registrationsPath)
	if err != nil {
		return registrations{}, err
	}
	return decodeRegistrations(value)
}

// requestVersion returns the version of the configuration in force at another entry.
func (e *Entry) requestVersion(from peer.Addr) (uint64, error) {
	value, err := e.getFromEntry(from, configPath)
	if err != nil {
		return 0, err
	}
	config, err := e.config.decode(value, from.String())
	if err != nil {
		return 0, err
	}
	return config.Version(), nil
}

// decodeRegistrations decodes the response of serveRegistrations as far as it can be read, and
// counts the parts that cannot. Flow holders that lack any are complete through no version. It
// returns an error if the response is no object or lists more than maxProcesses agents.
func decodeRegistrations(value []byte) (registrations, error) {
	members, err := jsonparts.Object(value)
	if err != nil {
		return registrations{}, errors.Wrap(err, "fetch from entry")
	}
	var r registrations
	hasAgents, unusableHolders := false, 0
	for _, m := range members {
		switch m.Name {
		case "agents":
			list, err := jsonparts.List(m.Value)
			if err != nil {
				continue
			}
			if len(list) > maxProcesses {
				return registrations{}, errors.Errorf("fetch from entry: list of %d agents", len(list))
			}
			hasAgents = true
			r.unusable += r.addAgents(list)
		case "holders":
			var parts int
			if r.Holders, parts, err = decodeHoldersByVIP(m.Value); err == nil {
				unusableHolders += parts
			}
		case "holders-through":
			if json.Unmarshal(m.Value, &r.HoldersThrough) != nil {
				unusableHolders++
			}
		}
	}
	if !hasAgents {
		r.unusable++
	}
	if r.Holders == nil {
		unusableHolders++
	}
	if unusableHolders > 0 {
		r.HoldersThrough = 0
	}
	r.unusable += unusableHolders
	return r, nil
}

// addAgents adds the agents of an encoded list, and returns the number of those whose address
// cannot be read or is none that a process can have.
func (r *registrations) addAgents(list []json.RawMessage) (unusable int) {
	for _, encoded := range list {
		var text string
		err := json.Unmarshal(encoded, &text)
		a, parseErr := netip.ParseAddr(text)
		if err != nil || parseErr != nil || !a.Is4() || !isUnicast(peer.NewAddr(a)) {
			unusable++
			continue
		}
		r.Agents, r.addresses = append(r.Agents, text), append(r.addresses, peer.NewAddr(a))
	}
	return unusable
}
