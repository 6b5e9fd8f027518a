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
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// rememberEvery and rememberFlows bound what an entry writes about its
	// flows: 420 of 10 bytes in base64 are 3 KB a second at the most. Flows that
	// are younger than the interval may be missing.
	rememberEvery = 2 * time.Second
	rememberFlows = 420

	// callerBytes is the size of one flow in a group: the caller's address and
	// port, and what it acknowledged last.
	callerBytes = 10

	// flowsPrefix is apart from the registrations, which are read by all.
	flowsPrefix = "hickoryhook-flows/"
)

// flowGroup is what the store keeps of the flows of one address at one upstream.
type flowGroup struct {
	_       struct{} `cbor:",toarray"`
	VIP     netip.AddrPort
	Owner   peer.Addr
	Service peer.ServiceID
	Start   uint32
	Callers []byte
}

// remember keeps the entry's open flows in the store, so that it can tell their
// callers after a power loss.
func (e *Entry) remember(ctx context.Context) error {
	if err := e.recall(ctx); err != nil {
		e.log.Warn("flows not recalled", daemon.Err(err))
	}
	var written []director.FlowSnapshot
	return every(rememberEvery, func() {
		flows := e.director.SnapshotFlows(e.now(), rememberFlows)
		if !director.SnapshotOutdated(written, flows) {
			return
		}
		if err := e.putFlows(ctx, flows); err != nil {
			e.counts.add("store-errors")
			return
		}
		written = flows
	})(ctx)
}

func (e *Entry) putFlows(ctx context.Context, flows []director.FlowSnapshot) error {
	value, err := encodeFlows(flows)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.counts.add("store-writes")
	return e.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: e.flowsKey(), Value: value}}})
}

// recall takes in what this entry wrote before it started again. It tries until
// the store answers it or another entry.
func (e *Entry) recall(ctx context.Context) error {
	for ctx.Err() == nil {
		value, err := e.readFlows(ctx, e.self)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			value, err = e.askForFlows()
		}
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		flows, err := decodeFlows(value)
		if err != nil {
			return err
		}
		e.director.RestoreFlows(e.now(), flows)
		e.log.Info("flows recalled", zap.Int("flows", len(flows)))
		return nil
	}
	return nil
}

// readFlows reads from the store what an entry has written about its flows.
func (p *process) readFlows(ctx context.Context, entry peer.Addr) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.counts.add("store-reads")
	item, err := p.store.Get(ctx, flowsPrefix+entry.String())
	return item.Value, err
}

func (e *Entry) flowsKey() string { return flowsPrefix + e.self.String() }

func encodeFlows(flows []director.FlowSnapshot) ([]byte, error) {
	var groups []*flowGroup
	for _, f := range flows {
		vip := f.Flow.VIP()
		i := slices.IndexFunc(groups, func(g *flowGroup) bool {
			return g.VIP == vip && g.Owner == f.Owner && g.Service == f.Service && g.Start == f.Start
		})
		if i < 0 {
			i = len(groups)
			groups = append(groups, &flowGroup{VIP: vip, Owner: f.Owner, Service: f.Service, Start: f.Start})
		}
		caller := f.Flow.Caller()
		address := caller.Addr().As4()
		b := append(groups[i].Callers, address[:]...)
		b = binary.BigEndian.AppendUint16(b, caller.Port())
		groups[i].Callers = binary.BigEndian.AppendUint32(b, f.Acknowledged)
	}
	value, err := cbor.Marshal(groups)
	if err != nil {
		return nil, errors.Wrap(err, "encode flows")
	}
	return value, nil
}

func decodeFlows(value []byte) ([]director.FlowSnapshot, error) {
	var groups []flowGroup
	if err := cbor.Unmarshal(value, &groups); err != nil {
		return nil, errors.Wrap(err, "decode flows")
	}
	var flows []director.FlowSnapshot
	for _, g := range groups {
		for b := g.Callers; len(b) >= callerBytes; b = b[callerBytes:] {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
			flows = append(flows, director.FlowSnapshot{
				Flow: segment.NewFlow(caller, g.VIP), Owner: g.Owner, Service: g.Service, Start: g.Start,
				Acknowledged: binary.BigEndian.Uint32(b[6:]),
			})
		}
	}
	return flows, nil
}
