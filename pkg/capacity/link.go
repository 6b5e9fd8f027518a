// Package capacity decides, in an entry, which openings of flows the entry's link can carry.
//
// Each packet of a caller crosses the link twice, in from the caller and out to an agent.
// When the link is full, packets queue in front of it, callers send theirs again after
// Retransmission, and the link carries the same packets twice. So a flow that brings many
// bytes is better refused before it begins.
//
// # Usage
//
//	link := capacity.New(1.25e6) // bytes a second
//	link.SetMaxDelay(capacity.MaxDelay(shortestTarget))
//	verdict := link.Admit(vip)
//	link.Opened(now, &flow, vip)                    // an admitted opening is placed
//	link.Received(now, &flow, vip, size, dataBytes) // each packet of the flow
//	link.Ended(&flow)
//	link.Tick(now)
//
// Times count from a fixed point, such as the start of the process. The methods of a Link
// are safe for concurrent use, except that those with the same Flow must not run at the
// same time.
package capacity

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Retransmission is the time without an acknowledgement after which a caller sends a
	// packet again.
	Retransmission = 200 * time.Millisecond
	// transit is the part of Retransmission that a packet and its acknowledgement need
	// without a queue.
	transit = 20 * time.Millisecond
	// targetShare is the part of the shortest target for which a packet may queue. The
	// opening and the request of a flow queue one after the other; a fifth of the target is
	// left for everything else.
	targetShare = 0.4

	// packetOverhead is added to the size of a caller's packet: the IPv4 and UDP headers
	// (28 bytes), and the header of the frame in which it leaves the entry (24 bytes).
	packetOverhead = 52
	// fullPacket is the size of the largest packet of a caller with packetOverhead.
	fullPacket = 1232 + packetOverhead
	// window is the number of bytes that a caller has in flight at most: 16 packets.
	window = 16 * fullPacket

	// fewPackets is the number of full packets of a flow that is never refused. A usual
	// request needs less: an opening, one packet of data, and acknowledgements.
	fewPackets = 2
	// manyShare is the part of the size of the flow to which the mean byte belongs, from
	// which on a route's flows are large enough to be refused. Refusing smaller ones would
	// hit many callers and relieve the link by little.
	manyShare = 0.5
	// remainingShare is the part of a flow's bytes so far, or of its route's mean if that
	// is more, that is expected in addition: sizes vary, and a flow that still sends may be
	// a large one.
	remainingShare = 0.5
	// meanWeight is the number of flows that the moving mean of a route covers.
	meanWeight = 64
	// sizesWeight is the number of flows that the mean size over all routes covers.
	sizesWeight = 512

	// silence is the time without a packet after which a flow's reservation is released:
	// a caller with data in flight would have sent it again.
	silence = 2 * Retransmission
	// quietRate is the rate in bytes a second up to which a flow's earlier packets no longer
	// count: it has at most one packet in flight in each Retransmission.
	quietRate = fullPacket * float64(time.Second) / float64(Retransmission)

	// rateSamples is the number of Tick calls that the measured rates cover: one second, if
	// Tick is called every 100 ms.
	rateSamples = 10
	// minDrainShare is the least part of the link that counts as available for reserved
	// bytes, whatever other packets use.
	minDrainShare = 0.25
)

type (
	// Link accounts for the bytes that callers send through an entry's link.
	Link struct {
		rate       float64 // bytes a second
		maxDelay   atomic.Int64
		reserved   atomic.Int64 // bytes
		received   atomic.Int64 // bytes of all packets
		unreserved atomic.Int64 // bytes of packets of flows without a reservation

		callerRate     atomicFloat
		unreservedRate atomicFloat

		mu     sync.Mutex // taken when a flow begins or ends; for other packets only by raise
		routes map[netip.AddrPort]*routeSizes
		// bytes and weighted are decayed sums over the flows of all routes: their bytes, and
		// these times the mean of their route.
		bytes, weighted float64

		samples []rateSample // used by Tick only
	}

	// Flow is the account of one flow. The zero value is a flow without packets. Its owner
	// guards it against concurrent use.
	Flow struct {
		route    *routeSizes
		bytes    float64 // of packets with data since its last answer or silence
		at       time.Duration
		reserved int64
		ended    bool
	}

	// Verdict is the answer to an opening, with the data that it is based on.
	Verdict struct {
		// Refused means that the opening must not be placed.
		Refused bool
		// Delay is the time that the link needs for the reserved bytes and those of the flow.
		Delay time.Duration
		// Expected is the number of bytes that the flow is expected to bring.
		Expected int
	}

	// Status describes a link for operators.
	Status struct {
		// Rate is the capacity, and CallerRate what callers sent in the last second, in
		// bytes a second.
		Rate       float64 `json:"bytes-per-s"`
		CallerRate float64 `json:"caller-bytes-per-s"`
		// Use is CallerRate as a part of Rate.
		Use float64 `json:"use"`
		// Reserved is the number of bytes reserved for open flows, ReservedMS the time that
		// the link needs for them, and MaxDelayMS the longest that it may need.
		Reserved   int64   `json:"reserved-bytes"`
		ReservedMS float64 `json:"reserved-ms"`
		MaxDelayMS float64 `json:"max-delay-ms"`
		// Refused counts the refused openings, each copy, by VIP.
		Refused map[string]int64 `json:"refused"`
	}

	// routeSizes is what is known about the flows of a route.
	routeSizes struct {
		mean    atomicFloat  // bytes
		flows   atomic.Int64 // that have ended, up to meanWeight
		refused atomic.Int64
	}

	// rateSample holds the totals at one Tick.
	rateSample struct {
		at                   time.Duration
		received, unreserved int64
	}

	// atomicFloat is a float64 with atomic access.
	atomicFloat struct{ bits atomic.Uint64 }
)

// MaxDelay returns the longest time that a link may need for reserved bytes, so that
// callers do not send packets again and requests with the given target, 0 if not known,
// can be answered within it.
func MaxDelay(shortestTarget time.Duration) time.Duration {
	limit := Retransmission - transit
	if shortestTarget > 0 {
		limit = min(limit, time.Duration(targetShare*float64(shortestTarget)))
	}
	return limit
}

// New returns a link with a capacity in bytes a second, which must be above 0.
func New(rate float64) *Link {
	l := &Link{rate: rate, routes: make(map[netip.AddrPort]*routeSizes)}
	l.SetMaxDelay(MaxDelay(0))
	return l
}

// SetMaxDelay sets the longest time that the link may need for reserved bytes.
func (l *Link) SetMaxDelay(d time.Duration) { l.maxDelay.Store(int64(d)) }

// Admit decides on an opening of a flow that has not been placed. It refuses one of a route
// whose flows bring many bytes if the link would need longer than the maximum delay for what
// is reserved for the open flows and for this one.
func (l *Link) Admit(vip netip.AddrPort) Verdict {
	r, many := l.route(vip)
	mean := r.mean.load()
	// A flow may take half of the link's budget even if its window is larger, so that a
	// slow link serves one at a time.
	maxDelay := time.Duration(l.maxDelay.Load())
	need := min(expected(mean, 0), maxDelay.Seconds()*l.drainRate()/2)
	v := Verdict{Delay: l.delay(float64(l.reserved.Load()) + need), Expected: int(mean)}
	v.Refused = mean >= many && v.Delay > maxDelay
	if v.Refused {
		r.refused.Add(1)
	}
	return v
}

// Opened records that an opening of a flow is placed, and reserves what the flow may have
// in flight.
func (l *Link) Opened(now time.Duration, f *Flow, vip netip.AddrPort) {
	if f.ended {
		*f = Flow{} // the caller uses its port again
	}
	if f.route == nil {
		f.route, _ = l.route(vip)
	}
	f.at = now
	l.reserve(f, expected(f.route.mean.load(), f.bytes))
}

// Received records a packet of a caller with its size and the part of it that is data. f is
// nil if the packet is of no known flow.
func (l *Link) Received(now time.Duration, f *Flow, vip netip.AddrPort, size, data int) {
	bytes := int64(size + packetOverhead)
	l.received.Add(bytes)
	if f == nil || f.ended {
		l.unreserved.Add(bytes)
		return
	}
	if f.route == nil {
		f.route, _ = l.route(vip)
	}
	if data > 0 {
		f.bytes = max(0, f.bytes-(now-f.at).Seconds()*quietRate) + float64(bytes)
		mean := f.route.mean.load()
		if f.bytes > mean && f.route.flows.Load() == 0 {
			l.raise(f.route, f.bytes)
		}
		l.reserve(f, expected(mean, f.bytes))
	}
	f.at = now
	if f.reserved == 0 {
		l.unreserved.Add(bytes)
	}
}

// Answered records that a caller has received a part of an answer: its request has arrived,
// so that the flow brings nothing more for now.
func (l *Link) Answered(f *Flow) { l.settle(f) }

// Ended releases the reservation of a flow that its caller has closed or that is gone, and
// adds its size to the mean of its route. Later packets of it reserve nothing.
func (l *Link) Ended(f *Flow) {
	l.settle(f)
	f.ended = true
}

// Expire releases the reservation of a flow without packets for a while.
func (l *Link) Expire(now time.Duration, f *Flow) {
	if f.at != 0 && now-f.at > silence {
		l.settle(f)
		f.at = 0
	}
}

// Tick measures the rates of callers' bytes. It must be called every 100 ms or so, and not
// from two goroutines at a time.
func (l *Link) Tick(now time.Duration) {
	s := rateSample{now, l.received.Load(), l.unreserved.Load()}
	if len(l.samples) > 0 && now > l.samples[0].at {
		first := l.samples[0]
		seconds := (now - first.at).Seconds()
		l.callerRate.store(float64(s.received-first.received) / seconds)
		l.unreservedRate.store(float64(s.unreserved-first.unreserved) / seconds)
	}
	if len(l.samples) == rateSamples {
		copy(l.samples, l.samples[1:])
		l.samples = l.samples[:rateSamples-1]
	}
	l.samples = append(l.samples, s)
}

// Status returns the state of the link.
func (l *Link) Status() Status {
	reserved, callerRate := l.reserved.Load(), l.callerRate.load()
	s := Status{
		Rate: l.rate, CallerRate: callerRate, Use: callerRate / l.rate, Reserved: reserved,
		ReservedMS: milliseconds(l.delay(float64(reserved))), MaxDelayMS: milliseconds(time.Duration(l.maxDelay.Load())),
		Refused: make(map[string]int64),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for vip, r := range l.routes {
		if n := r.refused.Load(); n > 0 {
			s.Refused[vip.String()] = n
		}
	}
	return s
}

// route returns the sizes of a route, and the mean size from which on flows may be refused.
func (l *Link) route(vip netip.AddrPort) (r *routeSizes, many float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r = l.routes[vip]
	if r == nil {
		r = &routeSizes{}
		l.routes[vip] = r
	}
	many = fewPackets * fullPacket
	if l.bytes > 0 {
		many = max(many, manyShare*l.weighted/l.bytes)
	}
	return r, many
}

// raise makes the bytes of an open flow the mean of its route, of which none has ended yet:
// the largest one stands for the route until then.
func (l *Link) raise(r *routeSizes, bytes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := bytes - r.mean.load()
	if added <= 0 {
		return
	}
	r.mean.store(bytes)
	l.bytes += added
	l.weighted += added * bytes
}

// settle releases a flow's reservation and adds its size to the mean of its route.
func (l *Link) settle(f *Flow) {
	l.reserve(f, 0)
	if f.bytes == 0 || f.ended {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := f.route
	mean := f.bytes
	flows := r.flows.Load()
	if flows > 0 {
		mean = r.mean.load() + (f.bytes-r.mean.load())/float64(flows+1)
	}
	r.flows.Store(min(flows+1, meanWeight))
	r.mean.store(mean)
	const decay = 1 - 1.0/sizesWeight
	l.bytes = l.bytes*decay + f.bytes
	l.weighted = l.weighted*decay + f.bytes*mean
	f.bytes = 0
}

// reserve sets the reservation of a flow.
func (l *Link) reserve(f *Flow, bytes float64) {
	if n := int64(bytes); n != f.reserved {
		l.reserved.Add(n - f.reserved)
		f.reserved = n
	}
}

// drainRate returns the part of the link's rate that flows without a reservation leave.
func (l *Link) drainRate() float64 {
	return max(l.rate-l.unreservedRate.load(), l.rate*minDrainShare)
}

// delay returns the time that the link needs for a number of bytes.
func (l *Link) delay(bytes float64) time.Duration {
	return time.Duration(bytes / l.drainRate() * float64(time.Second))
}

// expected returns the bytes that a flow may have in flight next, after it has brought some,
// with the mean of its route. It is 0 if that is less than a packet.
func expected(mean, bytes float64) float64 {
	remaining := max(mean-bytes, remainingShare*max(mean, bytes))
	if remaining < fullPacket {
		return 0
	}
	return min(window, remaining)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }
