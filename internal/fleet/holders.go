package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/platform"
)

const (
	// holdersEvery bounds the writes of the holders during quick successions of
	// configurations.
	holdersEvery = 500 * time.Millisecond
)

// holdersChanged asks for a write of the services that may hold flows.
func (c *configSync) holdersChanged() {
	select {
	case c.holders <- struct{}{}:
	default:
	}
}

// writeHolders keeps in the store which services may hold the flows of which
// address, so that entries know it that start when no other is left: an open
// flow stays with a service that the configuration of today may not name. One
// entry writes for all.
func (c *configSync) writeHolders(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.holders:
		}
		// What this entry has pieced together must not replace what the store has.
		_, informed := c.director.Registered()
		switch {
		case !informed:
			c.holdersChanged()
		case c.rank() == 0:
			if err := c.putHolders(ctx); err != nil {
				c.log.Warn("holders not written", daemon.Err(err))
				c.holdersChanged()
			}
		}
		sleep(ctx, holdersEvery)
	}
	return nil
}

func (c *configSync) putHolders(ctx context.Context) error {
	value, err := json.Marshal(c.director.Holders())
	if err != nil {
		return errors.Wrap(err, "encode holders")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.counts.add("store-writes")
	return c.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: holdersKey, Value: value}}})
}

// takeHolders takes in what the store or another entry says of the holders.
func (c *configSync) takeHolders(value []byte) {
	holders := make(map[netip.AddrPort][]string)
	if value != nil {
		if err := json.Unmarshal(value, &holders); err != nil {
			c.log.Error("holders not understood", daemon.Err(err))
			return
		}
	}
	c.director.MergeHolders(holders)
}
