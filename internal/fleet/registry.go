package fleet

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// registerFor is the lease of a registration. A process that has gone for
	// good is expected for that long.
	registerFor = 10 * time.Second
	// renewEvery renews it with two tries to spare.
	renewEvery = 3 * time.Second
	// renewAgain is the pause after a failed call, so that a registration that
	// lapsed while the store was away is back within 2 s of its return.
	renewAgain = 500 * time.Millisecond

	// unregisterTimeout bounds the last call of a process.
	unregisterTimeout = 100 * time.Millisecond

	storePrefix = "hickoryhook/"
	entryPrefix = storePrefix + "entry/"
	agentsKey   = storePrefix + "agents"
	holdersKey  = storePrefix + "holders"
)

// registry is what the store says of the processes.
type registry struct {
	entries []peer.Addr
	agents  []peer.Addr
	holders []byte // nil if nobody has written them yet
}

// readRegistry reads the registrations. A stale read is cheaper and may be
// seconds old.
func (p *process) readRegistry(ctx context.Context, stale bool) (registry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var r registry
	after := ""
	for {
		p.counts.add("store-reads")
		page, err := p.store.Range(ctx, storePrefix, after, stale)
		if err != nil {
			return registry{}, err
		}
		for _, item := range page.Items {
			p.take(&r, item)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return r, nil
		}
	}
}

// take sorts one item of the store into the registry.
func (p *process) take(r *registry, item platform.Item) {
	if item.Key == holdersKey {
		r.holders = item.Value
		return
	}
	if item.Key == agentsKey {
		if err := cbor.Unmarshal(item.Value, &r.agents); err != nil {
			p.log.Error("list of agents not understood", daemon.Err(err))
		}
		return
	}
	if text, ok := strings.CutPrefix(item.Key, entryPrefix); ok {
		if a, err := netip.ParseAddr(text); err == nil && a.Is4() {
			r.entries = append(r.entries, peer.NewAddr(a))
			return
		}
	}
	p.log.Warn("key in the store not understood", zap.String("key", item.Key))
}

// register keeps the process's registration in the store until the context
// ends, and then removes it.
func (p *process) register(ctx context.Context) error {
	var lease uint64
	lost := false
	for ctx.Err() == nil {
		var err error
		lease, err = p.renew(ctx, lease)
		if err != nil && !lost && ctx.Err() == nil {
			p.log.Warn("registration not renewed", daemon.Err(err))
		}
		if err == nil && lost {
			p.log.Info("registration renewed")
		}
		lost = err != nil
		pause := renewEvery
		if lost {
			pause = renewAgain
		}
		sleep(ctx, pause)
	}
	p.unregister(lease)
	return nil
}

// unregister ends the lease of a registration.
func (p *process) unregister(lease uint64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := p.store.Revoke(ctx, lease); err != nil {
		p.log.Info("registration not removed, it will lapse", daemon.Err(err))
	}
}

// renew renews the lease, or registers anew if there is none.
func (p *process) renew(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		p.counts.add("store-renewals")
		err := p.store.Renew(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return lease, err
		}
	}
	p.counts.add("store-writes")
	lease, _, err := p.store.Grant(ctx, max(registerFor, p.settings.LeaseMin))
	if err != nil {
		return 0, err
	}
	p.counts.add("store-writes")
	write := platform.Write{Key: entryPrefix + p.self.String(), Value: []byte(p.settings.Node), Lease: lease}
	if err := p.store.Commit(ctx, platform.Txn{Writes: []platform.Write{write}}); err != nil {
		return 0, err
	}
	return lease, nil
}
