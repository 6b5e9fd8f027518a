package fleetsim

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
)

const (
	storeCopyInterval = 250 * time.Millisecond  // between two copies of the store
	maxCopyAge        = 5 * time.Second         // of the copy from which the store comes back
	maxRestorePause   = 6 * time.Second         // between two restores
	operatorRepeat    = 500 * time.Millisecond  // at most, until the operator has written its configuration again
	keysRepeat        = 1800 * time.Millisecond // at most, until the entries have written their keys again
	peerAnswerTime    = 300 * time.Millisecond  // after which a starting entry asks another one
	// peerAgentsRetention is how long an entry waits for agents that only another entry
	// has named.
	peerAgentsRetention = 10 * time.Second
)

type (
	// storeContent is what a starting entry reads from the store.
	storeContent struct {
		config     *route.Config
		holders    map[netip.AddrPort][]string
		registered []peer.Addr
		snapshots  map[peer.Addr][]director.FlowSnapshot
		evacuation peer.Evacuation
	}

	// storeRestores are the returns of the store from an older copy.
	storeRestores struct {
		random *rand.Rand     // apart from that of the world, so that seeds keep their meaning
		copies []storeContent // the newest first
		lost   *storeContent  // what the store has in place of its newest content, nil if nothing is lost
		number int            // of restores so far
		last   time.Duration  // when the last one was, since the start of the simulation
	}
)

// WithStoreRestores lets the store come back from a copy of up to maxCopyAge every few seconds. The
// operator and the entries that know what was lost write it again.
func WithStoreRestores(seed uint64) Option {
	return func(w *World) {
		w.restores.random = rand.New(rand.NewPCG(seed, 1))
		w.Every(0, storeCopyInterval, func() bool {
			w.restores.copies = append([]storeContent{w.readStore()}, w.restores.copies[:min(len(w.restores.copies), int(maxCopyAge/storeCopyInterval))]...)
			return true
		})
		w.scheduleRestore()
	}
}

// readStore returns what an entry that starts now reads from the store.
func (w *World) readStore() storeContent {
	if w.restores.lost != nil {
		return *w.restores.lost
	}
	holders := maps.Clone(w.holders)
	return storeContent{config: w.config(), holders: holders, registered: w.registered, snapshots: maps.Clone(w.snapshots),
		evacuation: w.evacuationSet()}
}

// scheduleRestore schedules the next restore of the store.
func (w *World) scheduleRestore() {
	w.After(time.Duration(w.restores.random.Int64N(int64(maxRestorePause))), func() {
		w.restoreStore()
		w.scheduleRestore()
	})
}

// restoreStore replaces the content of the store by an older copy until it is written again. The
// keys of the entries are lost for good if no entry keeps running until then.
func (w *World) restoreStore() {
	d := &w.restores
	w.count("store-restores")
	d.number++
	d.last = w.now()
	number := d.number
	lost := d.copies[d.random.IntN(len(d.copies))]
	lost.evacuation.Era = uint64(1 + d.number)
	d.lost = &lost
	var running []func() bool
	for _, e := range w.entries {
		if generation := e.generation; e.alive {
			running = append(running, func() bool { return e.alive && e.generation == generation })
		}
	}
	w.tracef("the store came back from an older copy")
	w.After(time.Duration(d.random.Int64N(int64(operatorRepeat))), func() {
		if d.lost != nil {
			d.lost.config = w.config()
		}
		w.deliverConfig()
		w.rewriteEvacuation()
	})
	w.After(time.Duration(d.random.Int64N(int64(keysRepeat))), func() {
		if number != d.number {
			return // the store has been restored again
		}
		for _, runs := range running {
			if runs() {
				d.lost = nil
				return
			}
		}
	})
}

// completeFromPeer passes to a starting entry what an entry that was started before it knows
// beyond the store, and returns that one's agents.
func (e *Entry) completeFromPeer() []peer.Addr {
	for _, other := range e.world.entries {
		if other != e && other.up() && other.startedAt < e.startedAt {
			e.director.MergeHolders(other.director.Holders(), other.director.HoldersThrough())
			e.director.SetConfig(other.director.Config())
			registered, _ := other.director.Registered()
			return append(registered, other.director.Agents()...)
		}
	}
	return nil
}
