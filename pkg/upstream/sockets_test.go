package upstream_test

import (
	"context"
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/upstream"
)

const timeout = 10 * time.Second

func digest(i int) flow.Digest {
	var d flow.Digest
	binary.BigEndian.PutUint64(d[:], uint64(i))
	return d
}

func newEcho(t testing.TB, ctx context.Context) *upstream.Echo {
	echo, err := upstream.NewEcho("echo", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	echo.Start(ctx)
	return echo
}

func TestRepliesCarryDigestAndEpoch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	type reply struct {
		digest flow.Digest
		epoch  flow.Epoch
		text   string
	}
	replies := make(chan reply, 8)
	sockets := upstream.NewSockets(ctx, newEcho(t, ctx).Address(), func(d flow.Digest, e flow.Epoch, b []byte) {
		replies <- reply{d, e, string(b)}
	})
	receive := func() reply {
		select {
		case r := <-replies:
			return r
		case <-time.After(timeout):
			t.Fatal("no reply before the timeout")
			return reply{}
		}
	}
	is.NoErr(sockets.Deliver(digest(1), 5, []byte("one")))
	is.Equal(receive(), reply{digest(1), 5, "echo one"})
	is.NoErr(sockets.Deliver(digest(1), 6, []byte("two"))) // a new epoch replaces the socket
	is.Equal(receive(), reply{digest(1), 6, "echo two"})
	is.Equal(sockets.Len(), 1)
	is.NoErr(sockets.CloseFlow(digest(1), 5)) // an old epoch does not close the socket
	is.Equal(sockets.Len(), 1)
	is.NoErr(sockets.CloseFlow(digest(1), 6))
	is.Equal(sockets.Len(), 0)
	is.NoErr(sockets.Close())
	is.True(sockets.Deliver(digest(2), 1, nil) != nil) // closed
}

// BenchmarkMemoryPerSocket reports the heap and stack memory per open flow in bytes.
func BenchmarkMemoryPerSocket(b *testing.B) {
	const flows = 400
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := newEcho(b, ctx).Address()
	for b.Loop() {
		sockets := upstream.NewSockets(ctx, address, func(flow.Digest, flow.Epoch, []byte) {})
		before := memoryInUse()
		for i := range flows {
			if err := sockets.Deliver(digest(i), 1, []byte("x")); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/flows, "bytes/flow")
		if err := sockets.Close(); err != nil {
			b.Fatal(err)
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
