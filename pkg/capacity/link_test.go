package capacity_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/capacity"
)

const (
	step       = time.Millisecond // of the simulated time
	ackTime    = 4                // steps from a packet's way through the link to its acknowledgement
	packetData = 1200
	headers    = 32 + 52 // of a packet: the callers' protocol, and what the frame, UDP and IP add
	windowSize = 16
)

type (
	// linkLoad is a load of one link: kinds of flows that arrive at random.
	linkLoad struct {
		Load     string     `json:"load"`
		Rate     float64    `json:"link-bytes-per-s"`
		TargetMS int        `json:"shortest-target-ms"`
		Seconds  int        `json:"seconds"`
		Kinds    []loadKind `json:"kinds"`
		// MaxCopies bounds the packets that were sent again, as a part of all.
		MaxCopies float64 `json:"max-copies"`
	}

	// loadKind is a kind of flows with bounds on what becomes of them.
	loadKind struct {
		VIP      netip.AddrPort `json:"vip"`
		Bytes    int            `json:"bytes"`
		MaxBytes int            `json:"max-bytes"`
		PerS     float64        `json:"per-s"`
		// OnS is the number of seconds for which flows arrive and then stay away; 0 means
		// that they always arrive.
		OnS int `json:"on-s"`
		// Burst is the number of flows that open in one millisecond after two seconds.
		Burst        int     `json:"burst"`
		MinRefused   float64 `json:"min-refused"`
		MaxRefused   float64 `json:"max-refused"`
		MaxP99MS     int     `json:"max-p99-ms"`
		opened, lost int
		times        []int
	}

	// transfer is a flow of a caller.
	transfer struct {
		kind       *loadKind
		flow       capacity.Flow
		start      int
		left, open int   // packets that were not sent yet, and that were not acknowledged
		sent       []int // when the packets in flight were sent last
	}

	// queued is a packet in front of the link.
	queued struct {
		t    *transfer
		size int
	}

	// linkRun plays a load. Callers have windowSize packets in flight and send each again
	// after capacity.Retransmission; the link is a queue without a limit.
	linkRun struct {
		load            *linkLoad
		link            *capacity.Link
		random          *rand.Rand
		now             int
		queue           []queued
		acks            map[int][]queued
		live            []*transfer
		packets, copies int
	}
)

func (r *linkRun) at() time.Duration { return time.Duration(r.now) * step }

// arrivals opens the flows of one step.
func (r *linkRun) arrivals() {
	for i := range r.load.Kinds {
		k := &r.load.Kinds[i]
		if k.OnS > 0 && r.now/1000/k.OnS%2 == 1 {
			continue
		}
		n := 0
		for p := k.PerS * step.Seconds(); p > 0 && r.random.Float64() < p; p-- {
			n++
		}
		if r.now == 2000 {
			n += k.Burst
		}
		for range n {
			r.open(k)
		}
	}
}

// open begins a flow of an exponentially distributed size up to MaxBytes.
func (r *linkRun) open(k *loadKind) {
	k.opened++
	if r.link.Admit(k.VIP).Refused {
		k.lost++
		return
	}
	size := float64(k.Bytes)
	if k.MaxBytes > k.Bytes {
		size = min(size*r.random.ExpFloat64(), float64(k.MaxBytes))
	}
	t := &transfer{kind: k, start: r.now, left: max(1, (int(size)+packetData-1)/packetData)}
	t.open = t.left
	r.link.Opened(r.at(), &t.flow, k.VIP)
	r.live = append(r.live, t)
}

// send sends what the window of a transfer allows, and copies of packets without an
// acknowledgement.
func (r *linkRun) send(t *transfer) {
	size := min(packetData, t.kind.Bytes) + headers
	for i, sent := range t.sent {
		if time.Duration(r.now-sent)*step >= capacity.Retransmission {
			t.sent[i] = r.now
			r.copies++
			r.queue = append(r.queue, queued{t, size})
		}
	}
	for ; t.left > 0 && len(t.sent) < windowSize; t.left-- {
		r.packets++
		t.sent = append(t.sent, r.now)
		r.queue = append(r.queue, queued{t, size})
	}
}

// carry moves packets through the link for one step.
func (r *linkRun) carry(budget float64) float64 {
	for len(r.queue) > 0 && budget >= float64(r.queue[0].size) {
		q := r.queue[0]
		r.queue = r.queue[1:]
		budget -= float64(q.size)
		r.link.Received(r.at(), &q.t.flow, q.t.kind.VIP, q.size-52, q.size-headers)
		r.acks[r.now+ackTime] = append(r.acks[r.now+ackTime], q)
	}
	if len(r.queue) == 0 {
		return 0
	}
	return budget
}

// acknowledge handles the acknowledgements of one step.
func (r *linkRun) acknowledge() {
	for _, q := range r.acks[r.now] {
		if len(q.t.sent) == 0 {
			continue
		}
		q.t.sent = slices.Delete(q.t.sent, 0, 1)
		if q.t.open--; q.t.open == 0 {
			r.link.Ended(&q.t.flow)
			q.t.kind.times = append(q.t.kind.times, r.now-q.t.start)
			r.live = slices.DeleteFunc(r.live, func(t *transfer) bool { return t == q.t })
		}
	}
	delete(r.acks, r.now)
}

func (r *linkRun) run() {
	budget := 0.0
	for ; r.now < r.load.Seconds*1000; r.now++ {
		if r.now%100 == 0 {
			r.link.Tick(r.at())
			for _, t := range r.live {
				r.link.Expire(r.at(), &t.flow)
			}
		}
		r.arrivals()
		for _, t := range r.live {
			r.send(t)
		}
		budget = r.carry(budget + r.load.Rate*step.Seconds())
		r.acknowledge()
	}
}

// newLinkRun reads a load.
func newLinkRun(t *testing.T, file string) *linkRun {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	load := &linkLoad{}
	if err := json.Unmarshal(b, load); err != nil {
		t.Fatal(err)
	}
	link := capacity.New(load.Rate)
	link.SetMaxDelay(capacity.MaxDelay(time.Duration(load.TargetMS) * time.Millisecond))
	return &linkRun{load: load, link: link, random: rand.New(rand.NewPCG(1, 0)), acks: make(map[int][]queued)}
}

func (k *loadKind) p99() int {
	slices.Sort(k.times)
	return k.times[len(k.times)*99/100]
}

// TestLinkLoads plays loads on a link. It guards against a link that is full of packets that
// callers send twice, against small requests that are refused or wait behind uploads, and
// against refusals while the link has room. Without the refusals, callers send 31 copies of
// each packet at twice the demand, and 4 at 0.9 of the link.
func TestLinkLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/link-*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no loads", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			r := newLinkRun(t, file)
			r.run()
			t.Log(r.load.Load, "packets", r.packets, "copies", r.copies)
			is.True(float64(r.copies) <= r.load.MaxCopies*float64(r.packets))
			for _, k := range r.load.Kinds {
				refused := float64(k.lost) / float64(k.opened)
				t.Log(k.VIP, "opened", k.opened, "refused", refused, "completed", len(k.times), "p99", k.p99())
				is.True(refused >= k.MinRefused)
				is.True(refused <= k.MaxRefused)
				is.True(k.p99() <= k.MaxP99MS)
			}
		})
	}
}

// linkAfterUpload returns a link through which one upload of 33 packets has passed.
func linkAfterUpload(rate float64, vip netip.AddrPort) *capacity.Link {
	link := capacity.New(rate)
	var upload capacity.Flow
	link.Opened(0, &upload, vip)
	for range 33 {
		link.Received(time.Millisecond, &upload, vip, 1232, 1200)
	}
	link.Ended(&upload)
	return link
}

// TestReservationEnds covers uploads that stop without a word, as their callers or upstreams
// are gone: what they reserve is released after a silence, and it returns with the next
// packet.
func TestReservationEnds(t *testing.T) {
	is := is.New(t)
	vip := netip.MustParseAddrPort("198.18.0.1:80")
	link := linkAfterUpload(1.25e6, vip)
	is.Equal(link.Status().Reserved, int64(0))

	var flows [20]capacity.Flow
	for i := range flows {
		link.Opened(time.Second, &flows[i], vip)
	}
	is.True(link.Admit(vip).Refused)
	for i := range flows {
		link.Expire(1300*time.Millisecond, &flows[i])
	}
	is.True(link.Admit(vip).Refused) // a caller may still send a lost packet again
	for i := range flows {
		link.Expire(1500*time.Millisecond, &flows[i])
	}
	is.Equal(link.Status().Reserved, int64(0))
	is.True(!link.Admit(vip).Refused)
	link.Received(2*time.Second, &flows[0], vip, 1232, 1200)
	is.True(link.Status().Reserved > 0)
	link.Answered(&flows[0])
	is.Equal(link.Status().Reserved, int64(0))
	link.Received(2*time.Second, &flows[0], vip, 32, 0) // the acknowledgement of the answer
	is.Equal(link.Status().Reserved, int64(0))
}

// TestSlowLinkServesOneLargeFlowAtATime covers a link whose budget is less than a caller's
// window: it must not refuse every upload.
func TestSlowLinkServesOneLargeFlowAtATime(t *testing.T) {
	is := is.New(t)
	vip := netip.MustParseAddrPort("198.18.0.1:80")
	link := linkAfterUpload(50_000, vip)
	var second capacity.Flow
	is.True(!link.Admit(vip).Refused)
	link.Opened(time.Second, &second, vip)
	is.True(link.Admit(vip).Refused)
}

// TestSmallFlowsReserveNothing covers small requests, and long flows with a request each
// 100 ms. It guards against a link that counts as full although it is far from it. What they
// use of the link is not available to large flows.
func TestSmallFlowsReserveNothing(t *testing.T) {
	is := is.New(t)
	vip, uploads := netip.MustParseAddrPort("198.18.0.2:80"), netip.MustParseAddrPort("198.18.0.1:80")
	link := linkAfterUpload(1.25e6, uploads)
	var long capacity.Flow
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		link.Received(now, &long, vip, 232, 200)
	}
	is.Equal(link.Status().Reserved, int64(0))
	link.Ended(&long)
	flows := make([]capacity.Flow, 1000)
	for i := range flows {
		link.Opened(time.Minute, &flows[i], vip)
	}
	is.Equal(link.Status().Reserved, int64(0))

	idle := link.Admit(uploads).Delay
	for now := time.Minute; now < time.Minute+2*time.Second; now += 100 * time.Millisecond {
		link.Tick(now)
		for range 250 {
			link.Received(now, &flows[0], vip, 200, 0)
		}
	}
	is.True(link.Status().CallerRate > 600_000)
	is.True(link.Admit(uploads).Delay >= 2*idle)
}
