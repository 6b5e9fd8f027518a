package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/platform"
)

const (
	// holdersWriteInterval is the least time between two writes of the flow
	// holders, for configurations in quick succession.
	holdersWriteInterval = 500 * time.Millisecond
)

// requestHoldersWrite requests a write of the services that may hold flows. It
// does not block.
func (c *configSync) requestHoldersWrite() {
	select {
	case c.holdersPending <- struct{}{}:
	default:
	}
}

// writeHolders keeps in the store, for each VIP, the services that may hold
// flows of the VIP. An open flow stays with its service even if the newest
// configuration no longer names that service, so an entry that starts while no
// other is running needs this record. Only the entry of rank 0 writes. It also writes once
// when it becomes that entry: the last one may have ended with a write outstanding.
func (c *configSync) writeHolders(ctx context.Context) error {
	requested, written := false, false // written: since the rank has been 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.holdersPending:
			requested = true
		case <-time.After(holdersWriteInterval):
		}
		if c.rank() != 0 {
			requested, written = false, false
			continue
		}
		if !c.mayWriteHolders(requested, written) {
			continue
		}
		if err := c.putHolders(ctx); err != nil {
			c.log.Warn("flow holders not written", daemon.Err(err))
			continue
		}
		requested, written = false, true
		sleep(ctx, holdersWriteInterval)
	}
	return nil
}

// mayWriteHolders reports whether the flow holders are to be written and those of this entry
// may replace the record in the store. Until it has read the record or received it from
// another entry, its own may be incomplete, and so may one for a configuration that is not
// current. Without a request they are written only while the entry is settled: one that was
// paused takes itself for the one of rank 0 at first.
func (c *configSync) mayWriteHolders(requested, written bool) bool {
	_, known := c.director.Registered()
	return known && c.director.ConfigCurrent(c.now()) && (requested || !written && c.director.Settled(c.now()))
}

// putHolders writes the flow holders to the store.
func (c *configSync) putHolders(ctx context.Context) error {
	value, err := json.Marshal(c.director.Holders())
	if err != nil {
		return errors.Wrap(err, "encode holders")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.metrics.increment("store-writes")
	return c.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: holdersKey, Value: value}}})
}

// mergeHolders merges the flow holders in the store into those of this entry.
// value is nil if the store has none. If value cannot be decoded, nothing is merged
// and the director stays unsettled until it gets the flow holders elsewhere.
func (c *configSync) mergeHolders(value []byte) {
	holders, err := decodeHolders(value)
	if err != nil {
		c.log.Error("flow holders not decoded", daemon.Err(err))
		return
	}
	c.director.MergeHolders(holders, c.versionInForce())
	c.logHolders(storeSource)
}

// logHolders logs through which version the flow holders are complete, after a change that
// came from a source. Unless that is the version in force, no search proves that no agent
// holds a flow.
func (c *configSync) logHolders(from string) {
	c.log.Info("flow holders", zap.Bool("complete", c.director.HoldersComplete()), zap.Uint64("through", c.director.HoldersThrough()),
		zap.Uint64("config", c.versionInForce()), zap.String("from", from))
}

// versionInForce returns the version of the configuration in force, 0 before the first.
func (c *configSync) versionInForce() uint64 {
	if config := c.director.Config(); config != nil {
		return config.Version()
	}
	return 0
}

// decodeHolders decodes the flow holders that putHolders has written; nil stands for none.
func decodeHolders(value []byte) (map[netip.AddrPort][]string, error) {
	holders := make(map[netip.AddrPort][]string)
	if value == nil {
		return holders, nil
	}
	if err := json.Unmarshal(value, &holders); err != nil {
		return nil, errors.Wrap(err, "decode holders")
	}
	return holders, nil
}
