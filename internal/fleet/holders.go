package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/jsonparts"
	"hickoryhook.example/platform"
)

const (
	// holdersWriteInterval is the least time between two writes of the flow
	// holders, for configurations in quick succession.
	holdersWriteInterval = 500 * time.Millisecond
)

// holdersRecord is the record of flow holders in the store. No service of a version of the
// configuration up to Through is missing. All later versions are among the changes since
// Revision of the store in the era, unless Revision is 0.
type holdersRecord struct {
	Through  uint64                      `json:"through"`
	Era      uint64                      `json:"era"`
	Revision uint64                      `json:"revision"`
	Holders  map[netip.AddrPort][]string `json:"holders"`
}

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

// putHolders writes the flow holders to the store, for builds up to 646ed7e without their
// version, too.
func (c *configSync) putHolders(ctx context.Context) error {
	value, err := json.Marshal(c.holdersRecord())
	if err != nil {
		return errors.Wrap(err, "encode holders")
	}
	old, err := json.Marshal(c.director.Holders())
	if err != nil {
		return errors.Wrap(err, "encode holders")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.metrics.increment("store-writes")
	return c.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: holdersKey, Value: value}, {Key: oldHoldersKey, Value: old}}})
}

// holdersRecord returns the flow holders of this entry. The record names a revision only if it
// covers all changes up to there.
func (c *configSync) holdersRecord() holdersRecord {
	revision, version := c.watchedUntil()
	record := holdersRecord{Through: c.director.HoldersThrough(), Holders: c.director.Holders()}
	if version != 0 && version <= record.Through {
		record.Era, record.Revision = revision.Era, revision.Number
	}
	return record
}

// mergeHolders merges the flow holders in the store into those of this entry. What cannot be
// decoded is skipped; the director stays unsettled until it gets complete flow holders elsewhere
// or until no flow can be left that was placed before. It returns the record, without a version
// if it is not complete.
func (c *configSync) mergeHolders(r registry) holdersRecord {
	if r.oldHolders != nil {
		old, unusable, err := decodeHoldersByVIP(r.oldHolders)
		c.logUnusableHolders(oldHoldersKey, unusable, err)
		c.director.MergeHolders(old, 0)
	}
	var record holdersRecord
	if r.holders != nil {
		var unusable int
		var err error
		record, unusable, err = decodeHolders(r.holders)
		c.logUnusableHolders(holdersKey, unusable, err)
		c.director.MergeHolders(record.Holders, record.Through)
	}
	c.logHolders(storeSource)
	return record
}

// logUnusableHolders logs that flow holders could not be decoded, all or some of them.
func (c *configSync) logUnusableHolders(from string, unusable int, err error) {
	if err != nil || unusable > 0 {
		c.log.Error("flow holders not decoded", zap.String("from", from), zap.Int("parts", unusable), daemon.Err(err))
	}
}

// completeHolders completes the flow holders by those of another entry, else by the record in
// the store and the versions of the configuration since it was written. At the first start of
// the platform there is no record, and no flow was placed under an earlier version. If an entry
// that was killed has left no record, the flow holders count as complete when its flows have
// passed their lifetime.
func (e *Entry) completeHolders(ctx context.Context, r registry) {
	if e.director.HoldersComplete() {
		return
	}
	if _, ok := e.fetchRegistrationsFrom(e.entriesToAsk()...); ok && e.director.HoldersComplete() {
		return
	}
	record := e.config.mergeHolders(r)
	if !e.director.HoldersComplete() && record.Revision != 0 {
		if err := e.config.replay(ctx, record); err != nil {
			e.log.Warn("configurations since the record of flow holders not read", zap.Uint64("through", record.Through), daemon.Err(err))
		}
	}
	if e.director.HoldersComplete() {
		return
	}
	version := e.config.versionInForce()
	if r.holders != nil || r.oldHolders != nil || version == 0 || len(e.earlierEntries()) != 0 {
		return
	}
	if e.settings.FirstStart {
		e.director.MergeHolders(nil, version)
		e.config.logHolders("first start")
		return
	}
	e.director.MergeHolders(nil, 0) // complete when the flows of earlier processes have expired
	e.config.logHolders("no record")
}

// replay adds the services of all configurations since a record of flow holders was written,
// if the store still has these changes.
func (c *configSync) replay(ctx context.Context, record holdersRecord) error {
	c.metrics.increment("store-watches")
	events, err := c.store.Watch(ctx, platform.OperatorPrefix, platform.Revision{Era: record.Era, Number: record.Revision}, replayWait)
	if err != nil {
		return err
	}
	_, err = c.applyEvents(events.Events, events.AsOf.Era, record.Through)
	c.logHolders(storeSource)
	return err
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

// decodeHolders decodes a record that putHolders has written, as far as it can be read, and
// returns the number of parts that cannot. A record that lacks any is complete through no
// version.
func decodeHolders(value []byte) (record holdersRecord, unusable int, err error) {
	members, err := jsonparts.Object(value)
	if err != nil {
		return holdersRecord{}, 0, errors.Wrap(err, "decode holders")
	}
	for _, m := range members {
		var err error
		switch m.Name {
		case "through":
			err = json.Unmarshal(m.Value, &record.Through)
		case "era":
			err = json.Unmarshal(m.Value, &record.Era)
		case "revision":
			err = json.Unmarshal(m.Value, &record.Revision)
		case "holders":
			var parts int
			record.Holders, parts, err = decodeHoldersByVIP(m.Value)
			unusable += parts
		}
		if err != nil {
			unusable++
		}
	}
	if record.Holders == nil {
		unusable++
	}
	if unusable > 0 {
		record.Through, record.Era, record.Revision = 0, 0, 0
	}
	return record, unusable, nil
}

// decodeHoldersByVIP decodes the services that may hold flows of each VIP. It leaves out those of
// a VIP that cannot be read and returns their number.
func decodeHoldersByVIP(value []byte) (holders map[netip.AddrPort][]string, unusable int, err error) {
	members, err := jsonparts.Object(value)
	if err != nil {
		return nil, 0, errors.Wrap(err, "decode holders")
	}
	holders = make(map[netip.AddrPort][]string, len(members))
	for _, m := range members {
		vip, services, err := decodeHoldersOfVIP(m)
		if err != nil {
			unusable++
			continue
		}
		holders[vip] = append(holders[vip], services...)
	}
	return holders, unusable, nil
}

// decodeHoldersOfVIP decodes the services that may hold flows of one VIP.
func decodeHoldersOfVIP(m jsonparts.Member) (netip.AddrPort, []string, error) {
	vip, err := netip.ParseAddrPort(m.Name)
	if err != nil {
		return vip, nil, errors.Wrap(err, "VIP")
	}
	var services []string
	if err := json.Unmarshal(m.Value, &services); err != nil {
		return vip, nil, errors.Wrap(err, "services")
	}
	// Bytes that are not UTF-8 are decoded as utf8.RuneError, null as an empty name.
	unreadable := func(service string) bool { return service == "" || strings.ContainsRune(service, utf8.RuneError) }
	if len(services) == 0 || slices.ContainsFunc(services, unreadable) {
		return vip, nil, errors.New("services: name missing or not readable")
	}
	return netip.AddrPortFrom(vip.Addr().Unmap(), vip.Port()), services, nil
}
