package fleet

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/transfer"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// flowsWriteInterval and maxSavedFlows bound what an entry saves of its flows. Flows
	// younger than the interval and collectTime may be missing, and so may others: those
	// beyond maxSavedFlows, and a few changes for which director.SnapshotOutdated does
	// not yet require a write.
	flowsWriteInterval = 500 * time.Millisecond
	maxSavedFlows      = 420
	// flowsBytesPerSecond is the rate at which an entry with many flows saves them, the
	// budget for control traffic. putOverhead is the size of the headers of one write.
	flowsBytesPerSecond = 3 << 10
	putOverhead         = 250
	// flowsWriteShare is the part of the store's rate of writes that the collectors of
	// all failure domains together may use.
	flowsWriteShare = 1.0 / 200

	// provenFlowsTag is the CBOR tag of flows that are proven, see director.FlowSnapshot. Builds
	// up to 4332ead save flows without it, and ignore it.
	provenFlowsTag = 0x68666c77

	// callerRecordBytes is the size of one flow in a group: the caller's address
	// and port, and the sequence number that the caller acknowledged last.
	callerRecordBytes = 10

	// flowsPrefix is separate from storePrefix, under which all processes read
	// the registrations.
	flowsPrefix = "hickoryhook-flows/"

	// The parts of an entry's saved flows. The whole is written as often as its size allows,
	// the added ones in between while they are few: at most one for each addedShare flows of
	// the whole. More would use up the budget, and put off the next whole with each write.
	wholePart  = ""
	addedPart  = "added"
	addedShare = 4
)

// savedFlows is what an entry knows of its flows in the store.
type savedFlows struct {
	flows    []director.FlowSnapshot // the whole
	added    []director.FlowSnapshot // see director.AddedFlows, nil if none were written since the whole
	era      uint64                  // of the store, in which they were written at the latest
	wholeAt  time.Duration           // when the whole was last written
	bytes    int                     // written since then, with the whole
	term     uint64                  // of the collector that was tried last
	failures int                     // in that term
}

// flowGroup holds the saved flows of one VIP and service at one start of an
// upstream. Owner is the upstream's agent, Start the start ID, see peer.StartID.
// Callers is a sequence of records of callerRecordBytes.
type flowGroup struct {
	_       struct{} `cbor:",toarray"`
	VIP     netip.AddrPort
	Owner   peer.Addr
	Service uint32 // short identifier
	Start   uint32
	Callers []byte
}

// saveFlows keeps up to maxSavedFlows of the entry's open flows in the store, so
// that after a power loss it can reset those that no longer exist. It first
// restores the flows saved before.
func (e *Entry) saveFlows(ctx context.Context) error {
	if err := e.restoreFlows(ctx); err != nil {
		e.log.Warn("flows not recalled", daemon.Err(err))
	}
	var saved savedFlows
	for ctx.Err() == nil {
		begin, era := e.now(), e.eras.era()
		pause := func(size int) time.Duration {
			return flowsPause(size, e.entries.domainCount(begin, e.settings.FailureDomain), e.settings.StoreWritesPerSecond)
		}
		if saved.era < e.store.Era() {
			saved.flows, saved.added, saved.bytes = nil, nil, 0 // the store may have lost them
		}
		e.saveChangedFlows(ctx, &saved, saved.bytes == 0 || begin-saved.wholeAt >= pause(saved.bytes))
		e.sleepInEra(ctx, era, pause(0)-(e.now()-begin))
	}
	return nil
}

// saveChangedFlows writes the entry's flows to the store if they differ from the saved ones.
// Unless wholeDue is true, it writes those that have been added since the whole was written,
// see savedFlows.mayAdd.
func (e *Entry) saveChangedFlows(ctx context.Context, saved *savedFlows, wholeDue bool) {
	now := e.now()
	flows := e.director.SnapshotFlows(now, maxSavedFlows)
	if wholeDue && director.SnapshotOutdated(saved.flows, flows) {
		if e.saveFlowsPart(ctx, saved, wholePart, flows) {
			saved.flows, saved.added, saved.wholeAt = flows, nil, now
		}
		return
	}
	added := director.AddedFlows(saved.flows, flows)
	if saved.mayAdd(added) && e.saveFlowsPart(ctx, saved, addedPart, added) {
		saved.added = added
	}
}

// mayAdd reports whether the added flows are to be written before the next whole: some are not
// saved yet, and they are few.
func (s *savedFlows) mayAdd(added []director.FlowSnapshot) bool {
	return len(director.AddedFlows(s.added, added)) > 0 && len(added)*addedShare <= max(len(s.flows), addedShare)
}

// saveFlowsPart writes a part of the entry's flows to the store and reports whether it is
// written.
func (e *Entry) saveFlowsPart(ctx context.Context, saved *savedFlows, part string, flows []director.FlowSnapshot) bool {
	value, err := encodeFlows(flows)
	if err != nil {
		e.log.Error("flows not saved", daemon.Err(err))
		return false
	}
	term := collectorTermAt(time.Now())
	if term != saved.term {
		saved.term, saved.failures = term, 0
	}
	if part == wholePart {
		saved.bytes = 0
	}
	saved.bytes += len(value) + putOverhead
	era, err := e.storeFlows(ctx, part, value, term, saved.failures)
	if err != nil {
		e.metrics.increment("store-errors")
		saved.failures++
		return false
	}
	saved.era = era
	return true
}

// flowsPause returns the time from a write of saved flows of a size in bytes to the next, in a
// fleet of so many failure domains at a store that accepts writesPerSecond; 0 stands for no
// limit.
func flowsPause(size, domains int, writesPerSecond float64) time.Duration {
	pause := max(flowsWriteInterval, time.Duration(size+putOverhead)*time.Second/flowsBytesPerSecond+time.Nanosecond)
	if writesPerSecond > 0 {
		pause = max(pause, time.Duration(float64(domains)/(writesPerSecond*flowsWriteShare)*float64(time.Second)))
	}
	return pause
}

// restoreFlows passes the flows that this entry saved before its restart to the
// director. It retries until the store or another entry returns them or reports
// that there are none. It returns an error for the parts that cannot be decoded.
func (e *Entry) restoreFlows(ctx context.Context) error {
	return errors.Join(e.restoreFlowsPart(ctx, wholePart), e.restoreFlowsPart(ctx, addedPart))
}

// restoreFlowsPart is restoreFlows for one part. The added flows may be older than the whole:
// a flow among them that has ended since is reset only if its upstream has ended, too.
func (e *Entry) restoreFlowsPart(ctx context.Context, part string) error {
	for ctx.Err() == nil {
		value, err := e.readFlows(ctx, flowsKey(e.self, part))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			value, err = e.fetchOwnFlows(part)
		}
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		flows, unusable, err := decodeFlows(value)
		if err != nil {
			return err
		}
		if unusable > 0 {
			e.log.Warn("saved flows not decoded", zap.String("part", part), zap.Int("groups", unusable))
		}
		e.director.RestoreFlows(e.now(), flows)
		e.log.Info("flows recalled", zap.String("part", part), zap.Int("flows", len(flows)))
		return nil
	}
	return nil
}

// flowsKey returns the store's key of a part of an entry's saved flows.
func flowsKey(entry peer.Addr, part string) string {
	if part == wholePart {
		return flowsPrefix + entry.String()
	}
	return flowsPrefix + entry.String() + "/" + part
}

// readFlows reads the saved flows under a key from the store. It returns
// platform.ErrNotFound if there are none.
func (p *process) readFlows(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := transfer.WithStallTimeout(ctx, storeTimeout)
	defer cancel()
	p.metrics.increment("store-reads")
	item, _, err := p.store.Get(ctx, key)
	return item.Value, err
}

// encodeFlows groups the proven ones of flows by VIP, owner, service and start of the upstream,
// and encodes the groups.
func encodeFlows(flows []director.FlowSnapshot) ([]byte, error) {
	var groups []*flowGroup
	for _, f := range flows {
		if !f.Proven {
			continue
		}
		vip := f.Flow.VIP()
		i := slices.IndexFunc(groups, func(g *flowGroup) bool {
			return g.VIP == vip && g.Owner == f.Owner && g.Service == f.Service.Short() && g.Start == f.Start
		})
		if i < 0 {
			i = len(groups)
			groups = append(groups, &flowGroup{VIP: vip, Owner: f.Owner, Service: f.Service.Short(), Start: f.Start})
		}
		caller := f.Flow.Caller()
		address := caller.Addr().As4()
		b := append(groups[i].Callers, address[:]...)
		b = binary.BigEndian.AppendUint16(b, caller.Port())
		groups[i].Callers = binary.BigEndian.AppendUint32(b, f.Acknowledged)
	}
	value, err := cbor.Marshal(cbor.Tag{Number: provenFlowsTag, Content: groups})
	if err != nil {
		return nil, errors.Wrap(err, "encode flows")
	}
	return value, nil
}

// decodeFlows decodes the flows that encodeFlows has encoded. It leaves out groups that cannot
// be used and returns their number. It returns an error if the value exceeds maxSavedFlowsBytes
// or is not a list.
func decodeFlows(value []byte) (flows []director.FlowSnapshot, unusable int, err error) {
	if len(value) > maxSavedFlowsBytes {
		return nil, 0, errors.Errorf("decode flows: %d bytes", len(value))
	}
	var tag cbor.RawTag
	proven := listMode.Unmarshal(value, &tag) == nil && tag.Number == provenFlowsTag
	var groups []cbor.RawMessage
	if err := listMode.Unmarshal(value, &groups); err != nil { // with or without the tag
		return nil, 0, errors.Wrap(err, "decode flows")
	}
	for _, encoded := range groups {
		group, err := decodeFlowGroup(encoded, proven)
		if err != nil {
			unusable++
			continue
		}
		flows = append(flows, group...)
	}
	return flows, unusable, nil
}

// decodeFlowGroup decodes the flows of a flowGroup, which are proven or not. It returns an error if the group names an
// address that no flow or no process can have, or a caller is cut off.
func decodeFlowGroup(encoded []byte, proven bool) ([]director.FlowSnapshot, error) {
	var g flowGroup
	if err := listMode.Unmarshal(encoded, &g); err != nil {
		return nil, errors.Wrap(err, "decode group")
	}
	if !g.VIP.Addr().Unmap().Is4() || !isUnicast(g.Owner) || len(g.Callers)%callerRecordBytes != 0 {
		return nil, errors.Errorf("decode group: VIP %s, owner %s, %d bytes of callers", g.VIP, g.Owner, len(g.Callers))
	}
	flows := make([]director.FlowSnapshot, 0, len(g.Callers)/callerRecordBytes)
	for b := g.Callers; len(b) > 0; b = b[callerRecordBytes:] {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
		flows = append(flows, director.FlowSnapshot{
			Flow: segment.NewFlow(caller, g.VIP), Owner: g.Owner, Service: peer.ShortService(g.Service), Start: g.Start,
			Acknowledged: binary.BigEndian.Uint32(b[6:]), Proven: proven,
		})
	}
	return flows, nil
}
