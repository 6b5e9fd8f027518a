package fleet

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// registerFor is the lease of an entry's registration.
	registerFor = 10 * time.Second
	// renewEvery renews it with two tries to spare.
	renewEvery = 3 * time.Second
)

// readRegistry returns the entries that the store lists.
func (p *process) readRegistry(ctx context.Context) ([]peer.Addr, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := p.store.Range(ctx, registryPrefix, "", true)
	if err != nil {
		return nil, err
	}
	var out []peer.Addr
	for _, item := range page.Items {
		a, err := netip.ParseAddr(strings.TrimPrefix(item.Key, registryPrefix))
		if err != nil || !a.Is4() {
			p.log.Warn("entry in the store not understood", zap.String("key", item.Key))
			continue
		}
		out = append(out, peer.NewAddr(a))
	}
	return out, nil
}

// register keeps the process's registration in the store until the context
// ends.
func (p *process) register(ctx context.Context) error {
	var lease uint64
	lost := false
	step := func() {
		var err error
		if lease, err = p.renew(ctx, lease); err != nil {
			if !lost {
				p.log.Warn("registration not renewed", daemon.Err(err))
			}
			lost = true
			return
		}
		if lost {
			p.log.Info("registration renewed")
		}
		lost = false
	}
	step()
	if err := every(renewEvery, step)(ctx); err != nil {
		return err
	}
	return nil
}

// renew renews the lease, or makes a new one if there is none.
func (p *process) renew(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		err := p.store.Keep(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return lease, err
		}
	}
	lease, _, err := p.store.Grant(ctx, max(registerFor, p.settings.LeaseMin))
	if err != nil {
		return 0, err
	}
	key := registryPrefix + p.self.String()
	if err := p.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(p.settings.Node), Lease: lease}}}); err != nil {
		return 0, err
	}
	return lease, nil
}
