package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/transfer"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

const (
	// retryDelay is the pause after a failed watch of the configuration, and after
	// a failed read of the registrations or of the saved flows.
	retryDelay = 300 * time.Millisecond
	// verifyInterval is how often one of the entries reads the configuration from
	// the store even without a change in its watch, as a watch may miss changes.
	// With two steps of verifyRankDelay it is below half of the shortest time limit for applying a
	// configuration, 3 s.
	verifyInterval = 400 * time.Millisecond
	// Every verifyCheckInterval an entry checks how long ago its configuration was verified, by a
	// read of its own or of an entry that has sent a hello message. It reads only after readDelay.
	verifyCheckInterval = 100 * time.Millisecond
	// verifyRankDelay staggers the reads by rank, up to verifyMaxRank: it exceeds reportInterval, in
	// which the entries hear of a read. verifyCrowdDelay spreads those of the higher ranks, which
	// read only if all of the lower ones fail, over maxVerifyCrowdDelay.
	verifyRankDelay     = 420 * time.Millisecond
	verifyMaxRank       = 3
	verifyCrowdDelay    = 20 * time.Millisecond
	maxVerifyCrowdDelay = 500 * time.Millisecond
	// maxPendingReads bounds the reads of an entry at a time: one may take long while the next one,
	// over another connection, succeeds.
	maxPendingReads = 3
	// newerReadDelay is the time for which an entry waits for the fetch of a newer version, of which
	// it has heard, before it reads that from the store itself.
	newerReadDelay = 300 * time.Millisecond
	// maxHelloLatency exceeds the time that a hello message takes between two
	// entries. It is added to the age of a verification that a hello message reports.
	maxHelloLatency = 50 * time.Millisecond
	// maxReadAgo is the largest age, in milliseconds, of a read in a hello message that is used:
	// one that overflows would lie in the future.
	maxReadAgo = int64(time.Hour / time.Millisecond)
	// configCallTimeout bounds the time without progress of a call for the configuration, to the
	// store or to another entry. A full link holds packets for up to half a second each way, so
	// that the response begins after two seconds if it needs a new connection.
	configCallTimeout = 2500 * time.Millisecond
	// maxFetches bounds the fetches from other entries at a time, fetchStagger the time between the
	// starts of two: the first entry may be one to which no connection can be set up.
	maxFetches   = 3
	fetchStagger = 200 * time.Millisecond
	// maxConfigBytes bounds the body of a response from another entry: the
	// store's limit for a value, 1 MiB.
	maxConfigBytes = 1 << 20

	// newestHeardTimeout is how long a newer version that another entry has named keeps an
	// older one of the store out of force. Hello messages repeat it every reportInterval.
	newestHeardTimeout = 2 * time.Second
	// peerAnswerTime is the time from the start of an entry within which the others answer
	// its first hello messages. Until then it does not trust the store alone, which may
	// have come back from an older copy.
	peerAnswerTime = 300 * time.Millisecond

	// maxNotedShared bounds the groups of services with the same short identifier that are logged, and
	// with them the memory for their names. There are hardly any unless names are chosen so.
	maxNotedShared = 256

	// confirmInterval is the least time between two calls to the store for resets that wait:
	// each serves all that began to wait before it. It is a third of what a caller takes to
	// send a packet for the second time after the first repetition.
	confirmInterval = 300 * time.Millisecond
	// unroutedInterval is the least time between two calls to the store for resets for want
	// of a route, which serve nobody but a caller that cannot be served.
	unroutedInterval = 5 * time.Second
	// confirmRetryDelay is the pause after such a call that has failed.
	confirmRetryDelay = time.Second

	configPath            = "/configuration"
	versionHeader         = "Config-Version"
	previousVersionHeader = "Config-Previous-Version"
	// revisionHeader has the era and the number of the revision at which the store got the
	// configuration.
	revisionHeader = "Config-Revision"
	revisionFormat = "%d/%d"
)

// configSync keeps the newest configuration and the evacuated failure domains in force.
// It reads both from the store, and gets them from another entry whose hello message has
// newer ones, so that it also has them when the store does not answer this entry.
type configSync struct {
	*process
	director       *director.Director
	evacuations    *evacuations
	mu             sync.Mutex
	encodedForm    *encodedConfig    // of the configuration in force, see encoded
	revision       platform.Revision // of the store, from which the watch continues; zero if it begins with a read
	watchedVersion uint64            // of the configuration as of revision, 0 if unknown
	stored         *storedConfig     // the configuration in force in the store, nil if not known
	newestHeard    uint64            // newest version that another entry has named
	newestHeardAt  time.Duration     // when newestHeard was set
	newerHeardAt   time.Duration     // when another entry first named a newer version than the one in force; 0 if none has
	unverifiedAt   atomic.Int64      // now() when the last verification became void; 0 at the start
	shared         map[string]bool   // the names of services that share an identifier and were logged
	newerFrom      chan peer.Addr    // entry from which to fetch a newer configuration
	client         *http.Client      // for calls to other entries
	holdersPending chan struct{}     // not empty while the flow holders must be written
	confirmWanted  chan struct{}     // not empty while resets wait for a verification of the configuration
	onChange       func()            // announces a new configuration to the other entries
	// onEvacuation announces that the evacuation of failure domains has begun or ended.
	onEvacuation func(domains []string)
}

// newConfigSync returns the configuration sync of an entry. onChange is called
// after each new configuration, onEvacuation after each change of the evacuated domains.
func newConfigSync(p *process, d *director.Director, onChange func(), onEvacuation func(domains []string)) *configSync {
	return &configSync{
		process: p, director: d, onChange: onChange, onEvacuation: onEvacuation,
		evacuations:    newEvacuations(p, d.SetEvacuated, func(string) bool { return true }),
		client:         &http.Client{Transport: transfer.New(transfer.WithLane(p.lane))},
		holdersPending: make(chan struct{}, 1), newerFrom: make(chan peer.Addr, 1), confirmWanted: make(chan struct{}, 1),
	}
}

// apply puts an encoded configuration in force if it is newer than the current
// one. from names its source in the log, previous is the version that it followed, 0 if
// unknown. It returns an error only if raw cannot be decoded.
func (c *configSync) apply(raw []byte, from string, previous uint64) error {
	config, err := c.decode(raw, from)
	if err != nil {
		return err
	}
	c.putInForce(config, raw, from, previous)
	return nil
}

// decode decodes a configuration. It counts and logs an error.
func (c *configSync) decode(raw []byte, from string) (*route.Config, error) {
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		c.metrics.increment("bad-configurations")
		c.log.Error("configuration not decoded, keeping the current one", zap.String("from", from), daemon.Err(err))
	}
	return config, err
}

// putInForce puts a configuration in force if it is newer than the current one. raw is its
// encoded form, from names its source in the log, previous is the version that it followed, 0
// if unknown. An older one changes the flow holders only.
func (c *configSync) putInForce(config *route.Config, raw []byte, from string, previous uint64) {
	verifiedAgo, _ := c.director.VerifiedAgo(c.now())
	newer, holdersChanged := c.director.SetNextConfig(config, previous)
	if newer || holdersChanged {
		c.requestHoldersWrite()
	}
	if !newer {
		return
	}
	c.keepEncoded(config, raw)
	c.metrics.increment("configurations")
	c.log.Info("configuration in force", zap.Uint64("config", config.Version()), zap.Int("routes", config.Len()), zap.Int("bytes", len(raw)), zap.String("from", from),
		zap.Duration("last-verified-ms", verifiedAgo), zap.Duration("heard-ms", c.takeHeard(config.Version())))
	if config.Unreadable() > 0 {
		c.metrics.increment("bad-configurations")
		c.log.Error("routes of the configuration not decoded", zap.Uint64("config", config.Version()), zap.Int("routes", config.Unreadable()))
	}
	c.logSharedIdentifiers()
	c.logHolders(from)
	c.onChange()
}

// logSharedIdentifiers logs and counts the services that share a short identifier, each group of
// names once.
func (c *configSync) logSharedIdentifiers() {
	for _, names := range c.director.SharedIdentifiers() {
		if !c.noteShared(strings.Join(names, "\n")) {
			continue
		}
		c.metrics.increment("services-sharing-identifier")
		c.log.Warn("services share an identifier", zap.Strings("services", names), zap.Uint32("identifier", peer.Service(names[0]).Short()))
	}
}

// noteShared notes a group of names, and returns false if it was noted before or maxNotedShared
// groups are.
func (c *configSync) noteShared(names string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared[names] || len(c.shared) >= maxNotedShared {
		return false
	}
	if c.shared == nil {
		c.shared = make(map[string]bool)
	}
	c.shared[names] = true
	return true
}

// keepStored records the revision at which the store got a version, if that is in force and its
// encoded form is large.
func (c *configSync) keepStored(size int, version uint64, revision platform.Revision) {
	config := c.director.Config()
	if size < minConditionalBytes || revision.Number == 0 || config == nil || config.Version() != version {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = &storedConfig{config: config, revision: revision}
}

// storedInForce returns the revision of the configuration in force, nil if it is not known or the
// configuration is not large.
func (c *configSync) storedInForce() *storedConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stored == nil || c.stored.config != c.director.Config() {
		return nil
	}
	return c.stored
}

// newestNamed returns the newest version that another entry has named, 0 if none has.
func (c *configSync) newestNamed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestHeard
}

// takeHeard returns the time since another entry first named a newer version than the one that
// was in force until now, 0 if none has.
func (c *configSync) takeHeard(version uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.newerHeardAt
	if at == 0 {
		return 0
	}
	if c.newerHeardAt = 0; c.newestHeard > version {
		c.newerHeardAt = c.newestHeardAt
	}
	return c.now() - at
}

// keepEncoded keeps the encoded form of a configuration for other entries, unless a newer one has
// come into force since.
func (c *configSync) keepEncoded(config *route.Config, raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.director.Config() == config {
		c.encodedForm = newEncodedConfig(raw, config.Version())
	}
}

// encoded returns the encoded form of the configuration in force. It returns nil before the first,
// and while that of a newer one is about to be kept.
func (c *configSync) encoded() *encodedConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.director.Config()
	if config == nil || c.encodedForm == nil || config.Version() != c.encodedForm.version {
		return nil
	}
	return c.encodedForm
}

// read reads the evacuated failure domains and the configuration from the store and applies
// both, in this order, so that no flow is placed before the domains are known. It does not
// apply the configuration if another entry has a newer one: the store may have come back
// from an older copy. If it applies both, the configuration in force is verified as of the
// start of the call.
func (c *configSync) read(ctx context.Context) error {
	ctx, cancel := transfer.WithStallTimeout(ctx, configCallTimeout)
	defer cancel()
	begin := c.now()
	keys, err := c.readOperatorKeys(ctx)
	if err != nil {
		c.log.Warn("configuration not read", zap.Duration("took-ms", c.now()-begin), daemon.Err(err))
		return err
	}
	return c.handleKeys(ctx, begin, keys)
}

// handleKeys is read for keys that were requested at the time begin. Also with an error, which
// shows that the configuration is missing or cannot be decoded, it has applied the evacuated
// failure domains.
func (c *configSync) handleKeys(ctx context.Context, begin time.Duration, keys operatorKeys) error {
	if changed := c.evacuations.handleRead(begin, keys); len(changed) > 0 {
		c.onEvacuation(changed)
	}
	if !keys.hasConfig {
		c.beginWatch(keys.revision, 0)
		return platform.ErrNotFound
	}
	config, err := c.decodeKeys(keys)
	if err != nil {
		c.beginWatch(keys.revision, 0)
		return err
	}
	c.beginWatch(keys.revision, config.Version())
	if c.isOutdated(config.Version()) {
		c.log.Warn("configuration of the store is older than that of another entry", zap.Uint64("config", config.Version()))
		return nil
	}
	wait := func() {}
	if current := c.director.Config(); current != nil && config.Version() > current.Version() {
		wait = c.beginCatchUp(ctx, config.Version())
	}
	c.putInForce(config, keys.config, storeSource, 0)
	c.keepStored(len(keys.config), config.Version(), keys.configRevision)
	wait()
	if begin >= peerAnswerTime && c.director.Config().Version() == config.Version() {
		c.director.MarkVerified(begin)
	}
	return nil
}

// decodeKeys returns the configuration of a read, which is already decoded if it has not changed.
func (c *configSync) decodeKeys(keys operatorKeys) (*route.Config, error) {
	if keys.unchanged != nil {
		return keys.unchanged, nil
	}
	return c.decode(keys.config, storeSource)
}

// handleNewEra makes the verification of the configuration void and requests a write of the
// flow holders, when the store has come back from an older copy.
func (c *configSync) handleNewEra() {
	c.unverifiedAt.Store(int64(c.now()))
	c.director.MarkUnverified()
	c.requestHoldersWrite()
}

// isOutdated reports whether a version is older than one that another entry has named
// within newestHeardTimeout, so that it may soon be fetched there.
func (c *configSync) isOutdated(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version < c.newestHeard && c.now()-c.newestHeardAt < newestHeardTimeout
}

// verifyLoop reads the configuration from the store whenever it has not been verified for a while,
// by this entry or by another one that has read it, or if a newer one is not fetched in time. It
// also verifies it for resets for want of a route that wait.
func (c *configSync) verifyLoop(ctx context.Context) error {
	ended := make(chan error, maxPendingReads)
	pending, readAt, unroutedAt := 0, -verifyInterval, -unroutedInterval
	for ctx.Err() == nil {
		sleep(ctx, verifyCheckInterval)
		for ; len(ended) > 0; pending-- {
			if err := <-ended; err != nil && ctx.Err() == nil {
				c.metrics.increment("store-errors")
			}
		}
		now := c.now()
		_, unrouted := c.director.AwaitsVerification()
		unrouted = unrouted && now-unroutedAt >= unroutedInterval
		if pending < maxPendingReads && now-readAt >= verifyInterval && (unrouted || c.readDue(now)) {
			readAt = now
			if unrouted {
				unroutedAt = now
			}
			pending++
			go func() { ended <- c.runTask(func() error { return c.read(ctx) }) }()
		}
	}
	for ; pending > 0; pending-- {
		<-ended
	}
	return nil
}

// readDue reports whether the configuration must be read: it has not been verified for the time
// that the rank of this entry asks for, or another entry has named a newer one that is not in force
// yet.
func (c *configSync) readDue(now time.Duration) bool {
	ago, ok := c.director.VerifiedAgo(now)
	if !ok {
		ago = now - time.Duration(c.unverifiedAt.Load())
	}
	return ago >= verifyInterval && ago >= readDelay(c.rank()) || c.lacksNewer(now)
}

// lacksNewer reports whether another entry has named a newer configuration newerReadDelay ago or
// before that is not in force, and one has within newestHeardTimeout.
func (c *configSync) lacksNewer(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newerHeardAt != 0 && now-c.newerHeardAt >= newerReadDelay && now-c.newestHeardAt < newestHeardTimeout
}

// readDelay returns the time since the last verification after which an entry of a rank reads the
// configuration, so that usually only the one of the lowest rank does.
func readDelay(rank int) time.Duration {
	crowd := time.Duration(max(rank-verifyMaxRank, 0)) * verifyCrowdDelay
	return verifyInterval + time.Duration(min(rank, verifyMaxRank))*verifyRankDelay + min(crowd, maxVerifyCrowdDelay)
}

// requestConfirmation requests a verification of the configuration for a reset that waits.
func (c *configSync) requestConfirmation() {
	select {
	case c.confirmWanted <- struct{}{}:
	default: // one is pending, and begins after this call
	}
}

// confirmLoop verifies the configuration on request until the context ends.
func (c *configSync) confirmLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.confirmWanted:
		}
		sleep(ctx, c.confirmForResets(ctx))
	}
}

// confirmForResets verifies the configuration if resets wait for that, sends those that it proves,
// and requests another verification if others wait. It returns the time until then. It reads the
// configuration, as a watch without events proves nothing: the store may drop changes from its
// history.
func (c *configSync) confirmForResets(ctx context.Context) time.Duration {
	if unheld, _ := c.director.AwaitsVerification(); !unheld {
		return 0
	}
	pause := confirmInterval
	if err := c.read(ctx); err != nil && ctx.Err() == nil {
		c.metrics.increment("store-errors")
		pause = confirmRetryDelay
	}
	c.director.ResetVerified(c.now())
	if unheld, _ := c.director.AwaitsVerification(); unheld {
		c.requestConfirmation()
	}
	return pause
}

// describe sets what a hello message tells of the store, the evacuated failure domains and the
// configuration.
func (c *configSync) describe(now time.Duration, hello *peer.HelloMessage) {
	hello.StoreEra, hello.Evacuation, hello.VerifiedAgo = c.store.Era(), c.evacuations.message(), neverVerified
	if config := c.director.Config(); config != nil {
		hello.ConfigVersion = config.Version()
	}
	if ago, ok := c.director.ConfirmedAgo(now); ok {
		hello.VerifiedAgo, hello.ReadAgo = ago.Milliseconds(), max(ago.Milliseconds(), 1)
	}
}

// handleHello processes the evacuated failure domains and the configuration version in the
// hello message of another entry. The same version verifies the configuration in force if the
// sender has read it from the store itself: what it has heard from others would be passed on and
// on, a little younger each time. A newer version is fetched from the sender, once the evacuated
// domains are known.
func (c *configSync) handleHello(from peer.Addr, hello peer.HelloMessage) {
	if changed := c.evacuations.handleMessage(c.now(), from, hello.Evacuation); len(changed) > 0 {
		c.onEvacuation(changed)
	}
	config := c.director.Config()
	c.mu.Lock()
	expired := c.now()-c.newestHeardAt >= newestHeardTimeout
	if hello.ConfigVersion > 0 && (hello.ConfigVersion >= c.newestHeard || expired) {
		c.newestHeard, c.newestHeardAt = hello.ConfigVersion, c.now()
	}
	if config != nil && hello.ConfigVersion > config.Version() && c.newerHeardAt == 0 {
		c.newerHeardAt = c.now()
	}
	c.mu.Unlock()
	// A verification in an ended era says nothing about the present one.
	sameEra := hello.StoreEra >= c.store.Era()
	if config != nil && config.Version() == hello.ConfigVersion && hello.ReadAgo > 0 && hello.ReadAgo <= maxReadAgo && sameEra {
		c.director.MarkVerifiedElsewhere(c.now()-time.Duration(hello.ReadAgo)*time.Millisecond-maxHelloLatency, from)
	}
	if !c.evacuations.known() || hello.ConfigVersion == 0 || config != nil && config.Version() >= hello.ConfigVersion {
		return
	}
	select {
	case c.newerFrom <- from:
	default: // a fetch is pending; the next hello message triggers another one
	}
}

// fetchLoop fetches newer configurations from other entries until the context ends. While a fetch
// takes long, it begins others, from other entries.
func (c *configSync) fetchLoop(ctx context.Context) error {
	ended := make(chan peer.Addr, maxFetches)
	running := make(map[peer.Addr]bool)
	startedAt := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-ended
			}
			return nil
		case from := <-ended:
			delete(running, from)
		case from := <-c.newerFrom:
			now := c.now()
			if running[from] || len(running) == maxFetches || len(running) > 0 && now-startedAt < fetchStagger {
				continue // a hello message of this or of another entry repeats the request
			}
			running[from], startedAt = true, now
			go func() {
				_ = c.runTask(func() error { c.fetch(ctx, from); return nil }) // a panic is logged
				ended <- from
			}()
		}
	}
}

// fetch reads the configuration of another entry and applies it if it is newer.
func (c *configSync) fetch(ctx context.Context, from peer.Addr) {
	callCtx, cancel := transfer.WithStallTimeout(ctx, configCallTimeout)
	defer cancel()
	begin := c.now()
	address := netip.AddrPortFrom(from.Addr(), c.settings.PeerPort+1)
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+address.String()+configPath, nil)
	if err != nil {
		c.log.Error("request of a configuration not created", daemon.Err(err))
		return
	}
	req.Header.Set("Accept-Encoding", compression)
	resp, err := c.client.Do(req)
	if err != nil {
		c.log.Warn("configuration not fetched", zap.Stringer("entry", from), zap.Duration("took-ms", c.now()-begin), daemon.Err(err))
		return
	}
	defer resp.Body.Close()
	raw, err := readConfig(resp)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.log.Warn("configuration not fetched", zap.Stringer("entry", from), zap.Int("status", resp.StatusCode),
			zap.String("version", resp.Header.Get(versionHeader)), zap.Int("bytes", len(raw)), zap.Duration("took-ms", c.now()-begin), daemon.Err(err))
		return
	}
	previous, err := previousVersion(resp.Header)
	if err != nil {
		c.log.Warn("version before a configuration not decoded", zap.Stringer("entry", from), daemon.Err(err))
	}
	if err := c.apply(raw, from.String(), previous); err != nil {
		c.log.Warn("configuration of another entry not applied", zap.Stringer("entry", from), daemon.Err(err))
		return
	}
	c.keepFetchedRevision(resp.Header, len(raw))
}

// keepFetchedRevision records the revision of a configuration that was fetched from another entry,
// if that entry knows it. What is not readable counts as unknown: the configuration is read then.
func (c *configSync) keepFetchedRevision(h http.Header, size int) {
	version, err := strconv.ParseUint(h.Get(versionHeader), 10, 64)
	if err != nil {
		return
	}
	var revision platform.Revision
	if _, err := fmt.Sscanf(h.Get(revisionHeader), revisionFormat, &revision.Era, &revision.Number); err != nil {
		return
	}
	c.keepStored(size, version, revision)
}

// previousVersion returns the version that a fetched configuration has followed, 0 if the
// other entry does not know it, as one of a build up to 646ed7e.
func previousVersion(h http.Header) (uint64, error) {
	text := h.Get(previousVersionHeader)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// handler serves other entries: the configuration, the registrations, saved flows read from
// the store, and the collector of saved flows.
func (c *configSync) handler(collector *flowCollector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+registrationsPath, c.serveRegistrations)
	mux.HandleFunc("GET "+flowsPath, c.serveFlows)
	mux.HandleFunc("GET "+flowsPartPath, c.serveFlows)
	mux.HandleFunc("PUT "+flowsPath, collector.serve)
	mux.HandleFunc("PUT "+flowsPartPath, collector.serve)
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, req *http.Request) {
		encoded := c.encoded()
		previous := c.director.PreviousVersion() // read later: that of an older version would hide one
		if encoded == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(versionHeader, strconv.FormatUint(encoded.version, 10))
		w.Header().Set(previousVersionHeader, strconv.FormatUint(previous, 10))
		if stored := c.storedInForce(); stored != nil && stored.config.Version() == encoded.version {
			w.Header().Set(revisionHeader, fmt.Sprintf(revisionFormat, stored.revision.Era, stored.revision.Number))
		}
		if err := encoded.write(w, req); err != nil {
			return // the client has closed the connection
		}
	})
	return mux
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
