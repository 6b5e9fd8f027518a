package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/pkg/evacuation"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

const (
	// maxEvacuatedBytes bounds the names of the evacuated failure domains, so that hello
	// messages stay within a datagram whatever someone writes to the store.
	maxEvacuatedBytes = 256
	// maxIgnoredKeys bounds the ignored keys that are remembered, so as to log each once.
	maxIgnoredKeys = 100
	storeSource    = "store" // names the store as a source in the log
)

type (
	// evacuations keeps the evacuated failure domains of a process in force. It is safe
	// for concurrent use.
	evacuations struct {
		log     *zap.Logger
		metrics *metrics
		apply   func(domains []string) // puts a set in force; called with mu held
		follows func(domain string) bool

		mu      sync.Mutex
		tracker *evacuation.Tracker
		ignored map[string]bool // keys that have been logged as ignored
	}

	// evacuationState is the state of evacuations, for operators.
	evacuationState struct {
		Known    bool     `json:"known"`
		Domains  []string `json:"domains"`
		Era      uint64   `json:"era"`
		Revision uint64   `json:"revision"`
		// Provisional means that the store may have come back from an older copy within
		// the last seconds.
		Provisional bool `json:"provisional"`
	}

	// operatorKeys are the keys of operators as of a revision of the store.
	operatorKeys struct {
		revision  platform.Revision
		hasConfig bool
		config    []byte // encoded
		evacuated []string
		// configRevision is the revision of the last change of the configuration, unchanged its
		// decoded form if that is the one of the last read, in place of config.
		configRevision platform.Revision
		unchanged      *route.Config
	}
)

// newEvacuations returns evacuations of which nothing is known. apply is called with each new
// set. Changes of the domains for which follows returns true are logged.
func newEvacuations(p *process, apply func(domains []string), follows func(domain string) bool) *evacuations {
	return &evacuations{
		log: p.log, metrics: &p.metrics, apply: apply, follows: follows, tracker: evacuation.New(), ignored: make(map[string]bool),
	}
}

// handleRead takes over what a read of the store has returned that began at the given time.
// It returns the domains whose evacuation has begun or ended.
func (v *evacuations) handleRead(startedAt time.Duration, keys operatorKeys) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.putInForce(v.tracker.HandleRead(startedAt, keys.revision.Era, keys.revision.Number, keys.evacuated), storeSource)
}

// handleMessage takes over what an entry knows, nil for nothing. It returns the domains
// whose evacuation has begun or ended.
func (v *evacuations) handleMessage(now time.Duration, from peer.Addr, m *peer.Evacuation) []string {
	if m == nil {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.putInForce(v.tracker.HandleMessage(now, *m), from.String())
}

// putInForce applies and logs a change. from names its source. It returns the domains that
// the change is about.
func (v *evacuations) putInForce(c evacuation.Change, from string) []string {
	domains := c.Domains()
	if len(domains) == 0 {
		return nil
	}
	v.apply(v.tracker.InForce())
	m, _ := v.tracker.Message()
	record := func(message, counter, domain string) {
		if v.follows(domain) {
			v.metrics.increment(counter)
			v.log.Info(message, zap.String("domain", domain), zap.Uint64("era", m.Era), zap.Uint64("revision", m.Revision), zap.String("from", from))
		}
	}
	for _, d := range c.Evacuated {
		record("failure domain evacuated", "evacuations", d)
	}
	for _, d := range c.TakenBack {
		record("evacuation taken back", "evacuations-taken-back", d)
	}
	return domains
}

// known reports whether the set has been read from the store or received.
func (v *evacuations) known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Known()
}

// message returns what other processes are told, nil if nothing is known.
func (v *evacuations) message() *peer.Evacuation {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, known := v.tracker.Message()
	if !known {
		return nil
	}
	return &m
}

// state returns an evacuationState.
func (v *evacuations) state() any {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, known := v.tracker.Message()
	return evacuationState{
		Known: known, Domains: slices.Clone(v.tracker.InForce()), Era: m.Era, Revision: m.Revision, Provisional: m.Provisional,
	}
}

// ignore logs, once for each key, that a key of the store is ignored.
func (v *evacuations) ignore(key, reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ignored[key] || len(v.ignored) >= maxIgnoredKeys {
		return
	}
	v.ignored[key] = true
	v.metrics.increment("ignored-operator-keys")
	v.log.Warn("key of the store ignored", zap.String("key", key), zap.String("reason", reason))
}

// readOperatorKeys reads the configuration and the requests for evacuations. It returns the
// revision of the first page, as a watch from there misses no change. Of a large configuration it
// reads only whether it has changed, if its revision is known.
func (c *configSync) readOperatorKeys(ctx context.Context) (operatorKeys, error) {
	known := c.storedInForce()
	if known == nil {
		return c.readOperatorPages(ctx, "")
	}
	keys, err := c.readOperatorPages(ctx, platform.ConfigKey)
	if err != nil {
		return operatorKeys{}, err
	}
	c.metrics.increment("store-checks")
	item, revision, changed, err := c.store.GetIfChanged(ctx, platform.ConfigKey, known.revision)
	switch {
	case c.store.Era() != keys.revision.Era:
		return operatorKeys{}, platform.ErrEraEnded
	case errors.Is(err, platform.ErrNotFound):
		return keys, nil
	case err != nil:
		return operatorKeys{}, err
	case changed:
		c.addOperatorItem(&keys, item)
	default:
		keys.hasConfig, keys.unchanged = true, known.config
	}
	keys.configRevision = revision
	return keys, nil
}

// readOperatorPages reads the operators' keys that follow a key, "" for all of them.
func (c *configSync) readOperatorPages(ctx context.Context, after string) (operatorKeys, error) {
	var keys operatorKeys
	for first := true; ; first = false {
		c.metrics.increment("store-reads")
		page, err := c.store.Range(ctx, platform.OperatorPrefix, after, false)
		if err != nil {
			return operatorKeys{}, err
		}
		if first {
			keys.revision = page.AsOf
		}
		if page.AsOf.Era != keys.revision.Era {
			return operatorKeys{}, platform.ErrEraEnded
		}
		for _, item := range page.Items {
			c.addOperatorItem(&keys, item)
			if after = item.Key; after == platform.ConfigKey {
				keys.configRevision = platform.Revision{Era: page.AsOf.Era, Number: item.Revision}
			}
		}
		if page.Unnamed > 0 {
			c.keepEvacuated(&keys)
		}
		if !page.More || len(page.Items) == 0 {
			return keys, nil
		}
	}
}

// keepEvacuated adds the domains that were evacuated according to the last read, as a key that
// cannot be read may request one of them.
func (c *configSync) keepEvacuated(keys *operatorKeys) {
	c.evacuations.ignore("", "not readable")
	if m := c.evacuations.message(); m != nil {
		keys.evacuated = append(keys.evacuated, m.Domains...)
	}
}

// addOperatorItem adds one item of the store. Keys that are neither the configuration nor a
// request for an evacuation are logged once and skipped.
func (c *configSync) addOperatorItem(keys *operatorKeys, item platform.Item) {
	if item.Key == platform.ConfigKey {
		keys.hasConfig, keys.config = true, item.Value
		return
	}
	domain, requests, ok := platform.EvacuatedDomain(item.Key)
	size := len(domain)
	for _, d := range keys.evacuated {
		size += len(d)
	}
	switch {
	case !requests:
		c.evacuations.ignore(item.Key, "unknown")
	case !ok:
		c.evacuations.ignore(item.Key, "no failure domain")
	case size > maxEvacuatedBytes:
		c.evacuations.ignore(item.Key, "too many failure domains")
	default:
		keys.evacuated = append(keys.evacuated, domain)
	}
}

// requestsEvacuation reports whether the event is about a request for an evacuation, or may be,
// as its key cannot be read.
func requestsEvacuation(event platform.Item) bool {
	_, requests, _ := platform.EvacuatedDomain(event.Key)
	return requests || event.Key == ""
}

// announceEvacuation sends hello messages to the live entries, and to the agents of the
// domains whose evacuation has begun or ended.
func (e *Entry) announceEvacuation(domains []string) {
	e.sendHelloToAlive()
	e.sendMessage(peer.Hello, e.helloToAgents(false), e.director.AgentsIn(domains)...)
}

// followEvacuation puts the evacuation of the agent's own failure domain in force, and
// reports to the entries at once if it has begun or ended.
func (a *Agent) followEvacuation(domains []string) {
	if a.relay.SetEvacuated(a.now(), slices.Contains(domains, a.settings.FailureDomain)) {
		a.report()
	}
}

// followColdRate records the number of openings a second that the upstream bears while it is
// cold, according to the newest configuration of which an entry has sent a hello message.
func (a *Agent) followColdRate(hello peer.HelloMessage) {
	if hello.ConfigVersion == 0 || hello.ConfigVersion < a.coldRateVersion {
		return
	}
	a.coldRateVersion = hello.ConfigVersion
	if rate := hello.ColdRates[a.settings.Service]; rate != a.coldRate {
		a.coldRate = rate
		a.relay.SetColdLimit(rate)
	}
}
