package fleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/rendezvous"
	"hickoryhook.example/platform"
)

const (
	// collectTime is how long a collector waits after the first flows for those of other
	// entries. Together with flowsWriteInterval it bounds the age of saved flows.
	collectTime = 400 * time.Millisecond
	// collectTimeout bounds a call to a collector: collectTime and a call to the store.
	collectTimeout = collectTime + storeTimeout + 200*time.Millisecond
	// collectorTerm is how long an entry is the collector of its failure domain. The role
	// goes round, as a collector sends many times the bytes of the others.
	collectorTerm = 30 * time.Second
	// collectorCount is how many entries of a failure domain may be its collector at a
	// time. The others turn to the next one if the store does not answer the first.
	collectorCount = 2
	// maxTxnWrites is the largest number of writes of one transaction.
	maxTxnWrites = 32
	// maxSavedFlowsBytes bounds the encoded flows of one entry.
	maxSavedFlowsBytes = 64 << 10
	// maxBatchBytes bounds the encoded flows of one batch. An entry whose flows do not fit
	// turns to the next collector.
	maxBatchBytes = 2 << 20
)

var (
	// errStoreUnavailable reports a collector that did not get the flows into the store.
	errStoreUnavailable = errors.New("the store does not answer the collector")
	// errBatchOutdated reports flows that a collector has dropped, see flowCollector.run.
	errBatchOutdated = errors.New("the flows have waited too long to be written")
	// errBatchFull reports flows that exceed maxBatchBytes.
	errBatchFull = errors.New("too many flows for one write")
)

type (
	// flowCollector writes the saved flows of the entries of a failure domain to the
	// store, those of many entries in one transaction.
	flowCollector struct {
		*process
		mu      sync.Mutex
		batch   *flowBatch    // nil while there is nothing to write
		started chan struct{} // not empty when batch has been created
	}

	// flowBatch holds the flows that are written together.
	flowBatch struct {
		begun   time.Time         // when the first flows were added
		values  map[string][]byte // encoded flows by key, see flowsKey
		size    int               // bytes of flows that were added
		written chan struct{}     // closed after the write
		era     uint64            // of the store, before the write
		err     error             // of the write
	}
)

func newFlowCollector(p *process) *flowCollector {
	return &flowCollector{process: p, started: make(chan struct{}, 1)}
}

// add adds the flows of an entry, which are kept under a key, to the next write and waits for
// its result. It returns the era of the store in which they were written at the latest, and
// errBatchFull if the flows do not fit into that write.
func (c *flowCollector) add(ctx context.Context, key string, value []byte) (era uint64, err error) {
	b, err := c.join(key, value)
	if err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-b.written:
		return b.era, b.err
	}
}

// join adds the flows of an entry to the present batch, or to a new one if there is none.
func (c *flowCollector) join(key string, value []byte) (*flowBatch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch == nil {
		c.batch = &flowBatch{begun: time.Now(), values: make(map[string][]byte), written: make(chan struct{})}
		c.started <- struct{}{}
	}
	b := c.batch
	if b.size+len(value) > maxBatchBytes {
		return nil, errBatchFull
	}
	b.size += len(value)
	b.values[key] = value
	return b, nil
}

// run writes the batches until the context ends. It drops one that is older than
// collectTimeout, as after a pause of this process: the entries have turned to another
// collector, which may have written newer flows.
func (c *flowCollector) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.started:
		}
		sleep(ctx, collectTime)
		c.mu.Lock()
		b := c.batch
		c.batch = nil
		c.mu.Unlock()
		b.era, b.err = c.store.Era(), errBatchOutdated
		if time.Since(b.begun) < collectTimeout {
			b.err = c.write(ctx, b.values)
		}
		close(b.written)
	}
}

// write writes the flows of entries to the store, maxTxnWrites in each transaction.
func (c *flowCollector) write(ctx context.Context, values map[string][]byte) error {
	var txn platform.Txn
	commit := func() error {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		c.metrics.increment("store-writes")
		err := c.store.Commit(ctx, txn)
		txn.Writes = nil
		return err
	}
	for key, value := range values {
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: value})
		if len(txn.Writes) == maxTxnWrites {
			if err := commit(); err != nil {
				return err
			}
		}
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	return commit()
}

// serve takes the flows of another entry. It responds after the write, with the era of the
// store as the body, or with 503 if the write has failed.
func (c *flowCollector) serve(w http.ResponseWriter, req *http.Request) {
	key, err := requestedFlowsKey(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxSavedFlowsBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	era, err := c.add(req.Context(), key, value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, era)
}

// chooseCollector returns the collector of a term among the live entries of a failure domain:
// one of the first collectorCount in the rendezvous order of the term. attempt counts those
// that the store did not answer.
func chooseCollector(entries []peer.Addr, term uint64, attempt int) peer.Addr {
	score := func(a peer.Addr) uint64 { return rendezvous.Hash(term, a.ID()) }
	sorted := slices.SortedFunc(slices.Values(entries), func(a, b peer.Addr) int { return cmp.Compare(score(b), score(a)) })
	return sorted[attempt%min(collectorCount, len(sorted))]
}

// collectorTermAt returns the number of the term at a time of day. Entries whose clocks differ
// may use different collectors for a while.
func collectorTermAt(t time.Time) uint64 { return uint64(t.Unix() / int64(collectorTerm.Seconds())) }

// storeFlows writes a part of the encoded flows of this entry to the store through the
// collector of its failure domain, and by itself if it does not reach that one. It returns the
// era of the store in which they were written at the latest, and errStoreUnavailable if the
// store does not answer the collector.
func (e *Entry) storeFlows(ctx context.Context, part string, value []byte, term uint64, attempt int) (era uint64, err error) {
	candidates := append(e.entries.aliveIn(e.now(), e.settings.FailureDomain), e.self)
	collector := chooseCollector(candidates, term, attempt)
	if collector == e.self {
		return e.flowCollector.add(ctx, flowsKey(e.self, part), value)
	}
	putCtx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if era, err = e.putFlows(putCtx, collector, part, value); err == nil || errors.Is(err, errStoreUnavailable) {
		return era, err
	}
	e.log.Info("flows not taken by collector, writing them directly", zap.Stringer("entry", collector), daemon.Err(err))
	return e.flowCollector.add(ctx, flowsKey(e.self, part), value)
}

// putFlows sends a part of the encoded flows of this entry to a collector and returns the era
// of the store that it names. It returns errStoreUnavailable for status 503, and another error for
// any other status but 200.
func (e *Entry) putFlows(ctx context.Context, collector peer.Addr, part string, value []byte) (era uint64, err error) {
	address := netip.AddrPortFrom(collector.Addr(), e.settings.PeerPort+1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address.String()+flowsPathOf(e.self, part), bytes.NewReader(value))
	if err != nil {
		return 0, errors.Wrap(err, "put flows")
	}
	resp, err := e.putClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "put flows")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, errStoreUnavailable
	default:
		return 0, errors.Errorf("put flows: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&era); err != nil {
		return 0, errors.Wrap(err, "put flows")
	}
	return era, nil
}
