package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/platform"
)

// agentListInterval is the least time between two writes of the list of agents within an era
// of the store.
const agentListInterval = time.Second

// writeAgentList keeps the list of agents in the store. Every entry reads it to
// know which agents must have reported before it treats a flow as lost; an entry
// that starts while no other entry is running has no other source. Only the first entry whose
// agents are settled writes, by address: one that has just started may wait for agents that
// have left, as long as the list names them.
func (e *Entry) writeAgentList(ctx context.Context) error {
	var written []peer.Addr
	var writtenEra uint64 // of the store
	for ctx.Err() == nil {
		currentEra := e.eras.era()
		e.sleepInEra(ctx, currentEra, agentListInterval)
		if !e.director.AgentsSettled(e.now()) || e.entries.hasSettledBelow(e.now(), e.self) {
			written = nil // another entry may write in the meantime
			continue
		}
		era := e.store.Era()
		if e.agentListMissing.Swap(false) || writtenEra != era {
			written = nil
		}
		agents := e.director.Agents()
		if slices.Equal(agents, written) {
			continue
		}
		if err := e.putAgents(ctx, agents); err != nil {
			e.metrics.increment("store-errors")
			e.log.Warn("list of agents not written", daemon.Err(err))
			continue
		}
		written, writtenEra = agents, era
	}
	return nil
}

// putAgents writes the list of agents to the store.
func (e *Entry) putAgents(ctx context.Context, agents []peer.Addr) error {
	value, err := cbor.Marshal(agents)
	if err != nil {
		return errors.Wrap(err, "encode agents")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.metrics.increment("store-writes")
	return e.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: agentsKey, Value: value}}})
}
