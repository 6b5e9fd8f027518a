package fleet

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// watchWait is how long a watch waits for a change. A connection that has
	// fallen silent is noticed after it and the store client's margin.
	watchWait = 8 * time.Second
	// watchPause keeps changes in quick succession to one call each pause.
	watchPause = 150 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 300 * time.Millisecond
	// verifyEvery is the interval at which some entry reads the configuration
	// itself, as a watch may miss changes. A third of the tightest bound of 3 s.
	verifyEvery = time.Second
	// verifyStep and verifyRanks let an entry of a higher rank read only if
	// those below have not, or have not told it.
	verifyStep  = 400 * time.Millisecond
	verifyRanks = 5
	// greetingDelay is more than a greeting takes between entries.
	greetingDelay = 50 * time.Millisecond
	// watchers is how many entries watch for all, and watchTurn how often the
	// others look whether it is their turn: one may be cut off unnoticed for
	// 1.3 s.
	watchers  = 2
	watchTurn = 500 * time.Millisecond
	// maxConfig bounds a configuration from another entry: the store's limit
	// for a value, 1 MiB.
	maxConfig = 1 << 20

	configPath    = "/configuration"
	versionHeader = "Config-Version"
)

// configSync keeps the newest configuration in force: from the store, or from
// another entry when the store does not answer this one.
type configSync struct {
	*process
	director *director.Director
	client   *http.Client
	mu       sync.Mutex
	raw      []byte
	revision uint64
	readAt   time.Duration
	newer    chan peer.Addr // who has a newer configuration
	holders  chan struct{}
	changed  func() // tells the other entries of a new configuration at once
}

func newConfigSync(p *process, d *director.Director, changed func()) *configSync {
	return &configSync{process: p, director: d, changed: changed, client: &http.Client{Timeout: storeTimeout}, holders: make(chan struct{}, 1), newer: make(chan peer.Addr, 1)}
}

// apply puts an encoded configuration in force if it is newer.
func (c *configSync) apply(raw []byte, from string) error {
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		c.counts.add("bad-configurations")
		c.log.Error("configuration not understood, the last one stays", zap.String("from", from), daemon.Err(err))
		return err
	}
	newer, holders := c.director.SetConfig(config)
	if !newer {
		return nil
	}
	if holders {
		c.holdersChanged()
	}
	c.mu.Lock()
	c.raw = raw
	c.mu.Unlock()
	c.counts.add("configurations")
	c.log.Info("configuration in force", zap.Uint64("config", config.Version()), zap.Int("routes", config.Len()), zap.String("from", from))
	c.changed()
	return nil
}

// read reads the configuration from the store.
func (c *configSync) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	begin := c.now()
	item, err := c.store.Get(ctx, platform.ConfigKey)
	c.counts.add("store-reads")
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.revision = max(c.revision, item.AsOf, item.Revision)
	c.readAt = begin
	c.mu.Unlock()
	if err := c.apply(item.Value, "store"); err != nil {
		return err
	}
	c.director.MarkVerified(begin)
	return nil
}

// watch follows the configuration in the store until the context ends, if this
// entry is one of those that watch for all.
func (c *configSync) watch(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		if c.director.Config() != nil && c.rank() >= watchers {
			sleep(ctx, watchTurn)
			continue
		}
		err := c.watchOnce(ctx)
		switch {
		case err == nil && lost:
			c.log.Info("store answers again")
			lost = false
		case err != nil && !lost && ctx.Err() == nil:
			c.log.Warn("store does not answer", daemon.Err(err))
			lost = true
		}
		pause := watchPause
		if err != nil {
			pause = retryPause
		}
		sleep(ctx, pause)
	}
	return nil
}

func (c *configSync) watchOnce(ctx context.Context) error {
	c.mu.Lock()
	after := c.revision
	c.mu.Unlock()
	if after == 0 {
		return c.read(ctx)
	}
	c.counts.add("store-watches")
	events, err := c.store.Watch(ctx, platform.ConfigKey, after, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		return c.read(ctx)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.revision = max(c.revision, events.AsOf)
	c.mu.Unlock()
	for i := len(events.Events) - 1; i >= 0; i-- {
		if e := events.Events[i]; e.Key == platform.ConfigKey && !e.Deleted {
			return c.apply(e.Value, "store")
		}
	}
	return nil
}

// verifyLoop reads the configuration in turn with the other entries, as a watch
// may miss changes.
func (c *configSync) verifyLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, verifyEvery)
		turn, now := c.rank(), c.now()
		ago, ok := c.director.VerifiedAgo(now)
		if ok && ago < verifyEvery+time.Duration(min(turn, verifyRanks))*verifyStep {
			continue
		}
		if err := c.read(ctx); err != nil && ctx.Err() == nil {
			c.counts.add("store-errors")
		}
	}
	return nil
}

// peerHas takes in what another entry says of its configuration, and fetches it
// if it is newer.
func (c *configSync) peerHas(from peer.Addr, g peer.HelloMessage) {
	config := c.director.Config()
	if config != nil && config.Version() == g.ConfigVersion && g.VerifiedAgo >= 0 {
		c.director.MarkVerified(c.now() - time.Duration(g.VerifiedAgo)*time.Millisecond - greetingDelay)
	}
	if g.ConfigVersion == 0 || config != nil && config.Version() >= g.ConfigVersion {
		return
	}
	select {
	case c.newer <- from:
	default: // one is being fetched; the next greeting tells again
	}
}

// fetchLoop fetches newer configurations from other entries until the context
// ends.
func (c *configSync) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-c.newer:
			c.fetch(from)
		}
	}
}

// fetch reads the configuration of another entry.
func (c *configSync) fetch(from peer.Addr) {
	address := netip.AddrPortFrom(from.Addr(), c.settings.PeerPort+1)
	resp, err := c.client.Get("http://" + address.String() + configPath)
	if err != nil {
		c.log.Warn("configuration not fetched", zap.Stringer("entry", from), daemon.Err(err))
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
	if err != nil || resp.StatusCode != http.StatusOK {
		c.log.Warn("configuration not fetched", zap.Stringer("entry", from), zap.Int("status", resp.StatusCode), daemon.Err(err))
		return
	}
	if err := c.apply(raw, from.String()); err != nil {
		c.log.Warn("configuration of another entry", zap.Stringer("entry", from), daemon.Err(err))
	}
}

// handler serves the configuration to other entries.
func (c *configSync) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+registrationsPath, c.serveRegistrations)
	mux.HandleFunc("GET "+flowsPath, c.serveFlows)
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		raw := c.raw
		c.mu.Unlock()
		config := c.director.Config()
		if config == nil || raw == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(versionHeader, strconv.FormatUint(config.Version(), 10))
		if _, err := w.Write(raw); err != nil {
			return // the caller has gone
		}
	})
	return mux
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
