package fleet

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/director"
	"hickoryhook.example/platform"
)

const (
	// rememberEvery and rememberFlows bound what an entry writes about its
	// flows: 300 of 38 bytes in base64 are 6 KB a second, of which most is left
	// out on an entry with few flows. Flows that are younger than the interval
	// may be missing.
	rememberEvery = 2 * time.Second
	rememberFlows = 300

	// flowsPrefix is apart from the registrations, which are read by all.
	flowsPrefix = "hickoryhook-flows/"
)

// remember keeps the entry's open flows in the store, so that it can tell their
// callers after a power loss.
func (e *Entry) remember(ctx context.Context) error {
	if err := e.recall(ctx); err != nil {
		e.log.Warn("flows not recalled", daemon.Err(err))
	}
	var written []director.Remembered
	return every(rememberEvery, func() {
		flows := e.director.Remember(rememberFlows)
		if !director.WorthRemembering(written, flows) {
			return
		}
		if err := e.putFlows(ctx, flows); err != nil {
			e.counts.add("store-errors")
			return
		}
		written = flows
	})(ctx)
}

func (e *Entry) putFlows(ctx context.Context, flows []director.Remembered) error {
	value, err := cbor.Marshal(flows)
	if err != nil {
		return errors.Wrap(err, "encode flows")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.counts.add("store-writes")
	return e.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: e.flowsKey(), Value: value}}})
}

// recall takes in what this entry wrote before it started again. It tries until
// the store answers.
func (e *Entry) recall(ctx context.Context) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		e.counts.add("store-reads")
		item, err := e.store.Get(call, e.flowsKey())
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		var flows []director.Remembered
		if err := cbor.Unmarshal(item.Value, &flows); err != nil {
			return errors.Wrap(err, "decode flows")
		}
		e.director.Recall(e.now(), flows)
		e.log.Info("flows recalled", zap.Int("flows", len(flows)))
		return nil
	}
	return nil
}

func (e *Entry) flowsKey() string { return flowsPrefix + e.self.String() }
