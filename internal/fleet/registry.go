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
	"hickoryhook.example/internal/transfer"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

const (
	// registrationTTL is the duration of a registration's lease, unless the store
	// requires a longer one. An entry that has crashed stays registered for up to
	// that long.
	registrationTTL = 30 * time.Second
	// renewInterval leaves at least two more attempts before a lease expires if
	// one fails.
	renewInterval = 10 * time.Second
	// renewRetryDelay is the pause after a failed call. With it, a registration
	// that expired while the store was unavailable is restored within 2 s of the
	// store's return.
	renewRetryDelay = 500 * time.Millisecond

	// unregisterTimeout bounds the last call of an entry to the store.
	unregisterTimeout = 100 * time.Millisecond

	// maxProcesses bounds the registered entries, and the agents, that are read from the
	// store: each gets a hello message. It exceeds the 10,000 processes of a large fleet.
	maxProcesses = 16 << 10

	storePrefix = "hickoryhook/"
	entryPrefix = storePrefix + "entry/"
	agentsKey   = storePrefix + "agents"
	// holdersKey has the flow holders with the version through which they are complete.
	// oldHoldersKey has them without, for builds up to 646ed7e.
	holdersKey    = storePrefix + "flow-holders"
	oldHoldersKey = storePrefix + "holders"

	// maxListNesting is the depth to which an entry of a CBOR list may be nested. Checking
	// that depth takes 4 MB of stack. A deeper one makes the whole list unreadable.
	maxListNesting = 1 << 14
)

var listMode = newListMode()

// registry holds the registrations and the flow holders read from the store.
type registry struct {
	entries []peer.Addr
	agents  []peer.Addr
	// agentsUnknown means that there are agents that agents lacks, as a part of the list or
	// all of it cannot be read.
	agentsUnknown bool
	holders       []byte // encoded; nil if the store has none, empty if its value cannot be read
	oldHolders    []byte // the same, without a version
}

// readRegistry reads the registrations. A stale read is cheaper for the store,
// but may return data that is seconds old.
func (p *process) readRegistry(ctx context.Context, stale bool) (registry, error) {
	ctx, cancel := transfer.WithStallTimeout(ctx, storeTimeout)
	defer cancel()
	var r registry
	after, unnamed := "", 0
	for {
		p.metrics.increment("store-reads")
		page, err := p.store.Range(ctx, storePrefix, after, stale)
		if err != nil {
			return registry{}, err
		}
		for _, item := range page.Items {
			p.addRegistryItem(&r, item)
			after = item.Key
		}
		unnamed += page.Unnamed
		if len(r.entries) > maxProcesses {
			return registry{}, errors.Errorf("more than %d entries are registered", maxProcesses)
		}
		if !page.More || len(page.Items) == 0 {
			p.addUnnamedItems(&r, unnamed)
			return r, nil
		}
	}
}

// addUnnamedItems adds items whose keys cannot be read. Each may be one that is missing.
func (p *process) addUnnamedItems(r *registry, count int) {
	if count == 0 {
		return
	}
	p.log.Warn("keys of the store not decoded", zap.Int("keys", count))
	r.agentsUnknown = r.agentsUnknown || r.agents == nil
	if r.holders == nil {
		r.holders = []byte{}
	}
}

// addRegistryItem decodes one item of the store into the registry. Items that
// cannot be decoded are logged and skipped.
func (p *process) addRegistryItem(r *registry, item platform.Item) {
	switch item.Key {
	case holdersKey:
		r.holders = append([]byte{}, item.Value...)
		return
	case oldHoldersKey:
		r.oldHolders = append([]byte{}, item.Value...)
		return
	}
	if item.Key == agentsKey {
		agents, unusable, err := decodeAgents(item.Value)
		if err != nil {
			p.log.Error("list of agents not decoded", daemon.Err(err))
		} else if unusable > 0 {
			p.log.Error("agents in the list of agents not decoded", zap.Int("agents", unusable))
		}
		r.agents, r.agentsUnknown = agents, err != nil || unusable > 0
		return
	}
	if text, ok := strings.CutPrefix(item.Key, entryPrefix); ok {
		if a, err := netip.ParseAddr(text); err == nil && a.Is4() && isUnicast(peer.NewAddr(a)) {
			r.entries = append(r.entries, peer.NewAddr(a))
			return
		}
	}
	p.log.Warn("unexpected key in the store", zap.String("key", item.Key))
}

// registration is the registration of an entry in the store.
type registration struct {
	lease   platform.Lease // zero if there is none
	written bool           // the store has acknowledged the key with the lease
}

// decodeAgents decodes the list of agents in the store. It leaves out entries that are not the
// address of a process and returns their number. It returns an error if the value is not a list
// or has more than maxProcesses entries.
func decodeAgents(value []byte) (agents []peer.Addr, unusable int, err error) {
	var list []cbor.RawMessage
	if err := listMode.Unmarshal(value, &list); err != nil {
		return nil, 0, errors.Wrap(err, "decode agents")
	}
	if list == nil || len(list) > maxProcesses {
		return nil, 0, errors.Errorf("decode agents: list of %d", len(list))
	}
	agents = make([]peer.Addr, 0, len(list))
	for _, encoded := range list {
		// A peer.Addr would accept a value of another length.
		var address []byte
		if err := listMode.Unmarshal(encoded, &address); err != nil || len(address) != len(peer.Addr{}) || !isUnicast(peer.Addr(address)) {
			unusable++
			continue
		}
		agents = append(agents, peer.Addr(address))
	}
	return agents, unusable, nil
}

// newListMode returns a decoding mode for lists whose entries are decoded one by one: an entry
// of another writer may be nested more deeply than the default allows for the whole list.
func newListMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: maxListNesting}.DecMode()
	if err != nil {
		panic(err) // only for options that are not valid
	}
	return mode
}

// isUnicast reports whether a process can have the address.
func isUnicast(a peer.Addr) bool {
	return !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a != peer.Addr{255, 255, 255, 255}
}

// register keeps the registration of an entry in the store until the context
// ends, and then removes it.
func (e *Entry) register(ctx context.Context) error {
	var r registration
	lost := false
	for ctx.Err() == nil {
		era := e.eras.era()
		err := e.renew(ctx, &r)
		if err != nil && !lost && ctx.Err() == nil {
			e.log.Warn("registration not renewed", daemon.Err(err))
		}
		if err == nil && lost {
			e.log.Info("registration renewed")
		}
		lost = err != nil
		pause := renewInterval
		if lost {
			pause = renewRetryDelay
		}
		if e.awaitRenewal(ctx, era, pause) {
			r.written = false
		}
	}
	e.unregister(r.lease)
	return nil
}

// awaitRenewal waits for d, until the era ends and it is this entry's turn to write, or until
// the registration turns out to be missing from the store. It reports whether it is missing.
func (e *Entry) awaitRenewal(ctx, era context.Context, d time.Duration) (missing bool) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := make(chan struct{})
	go func() {
		e.sleepInEra(waitCtx, era, d)
		close(woken)
	}()
	select {
	case <-e.registrationMissing:
		cancel()
		<-woken
		return true
	case <-woken:
		return false
	}
}

// unregister revokes the lease of the registration, if there is one.
func (p *process) unregister(lease platform.Lease) {
	if lease == (platform.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := p.store.Revoke(ctx, lease); err != nil {
		p.log.Info("registration not removed, it expires with its lease", daemon.Err(err))
	}
}

// renew renews the lease of the registration, and writes the registration unless it is
// written. If there is no lease, or the store no longer has it, renew obtains one. It keeps a
// lease whose registration was not acknowledged: the write may be applied late, and the end
// of a lease that nobody renews would delete the key.
func (p *process) renew(ctx context.Context, r *registration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if r.lease != (platform.Lease{}) {
		p.metrics.increment("store-renewals")
		err := p.store.Renew(ctx, r.lease)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			*r = registration{}
		case err != nil:
			return err
		}
	}
	if r.lease == (platform.Lease{}) {
		p.metrics.increment("store-writes")
		lease, _, err := p.store.Grant(ctx, max(registrationTTL, p.settings.LeaseMin))
		if err != nil {
			return err
		}
		r.lease = lease
	}
	if r.written {
		return nil
	}
	err := p.putRegistration(ctx, r.lease)
	r.written = err == nil
	return err
}

// putRegistration writes the registration with the lease.
func (p *process) putRegistration(ctx context.Context, lease platform.Lease) error {
	p.metrics.increment("store-writes")
	write := platform.Write{Key: entryPrefix + p.self.String(), Value: []byte(p.settings.Node), Lease: lease}
	return p.store.Commit(ctx, platform.Txn{Writes: []platform.Write{write}})
}
