package fleetsim

import (
	"math"
	"net/netip"
	"time"

	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/relay"
)

const (
	// workSpread is the standard deviation of the logarithm of a request's work.
	workSpread = 0.5
	// flowPause is the mean pause of a caller between the requests of one flow.
	flowPause = 2 * time.Second
)

// The outcomes of a request.
const (
	// Pending: the request has not ended.
	Pending Outcome = iota
	// Answered: the caller has received the response.
	Answered
	// Refused: the last attempt was refused by an upstream that had not run it.
	Refused
	// Failed: no attempt was answered in time, or the request may have run and must
	// not be repeated.
	Failed
)

// The mechanisms that WithoutMechanism switches off.
const (
	// MechanismWaiting is that openings wait beside a busy upstream.
	MechanismWaiting = "waiting"
	// MechanismPriority is that openings of urgent routes come first.
	MechanismPriority = "priority"
	// MechanismOverflow is that openings go to another service of their route.
	MechanismOverflow = "overflow"
	// MechanismShare is that less urgent openings get a share of those that are offered.
	MechanismShare = "share"
	// MechanismUrgentRoom is that urgent openings do not wait for less urgent requests.
	MechanismUrgentRoom = "urgent-room"
	// MechanismEarlyRefusal is that openings that cannot be served within their patience
	// are returned before it ends.
	MechanismEarlyRefusal = "early-refusal"
	// MechanismDisplacement is that urgent openings take the places of others in a full
	// queue.
	MechanismDisplacement = "displacement"
	// MechanismSnapshots is that entries store their open flows.
	MechanismSnapshots = "snapshots"
	// MechanismRepeatedResets is that entries send the reset of a lost flow several times.
	MechanismRepeatedResets = "repeated-resets"
)

type (
	// Outcome is how a request ended.
	Outcome int

	// Kind is a kind of request, all to one VIP. Its requests arrive at random at a
	// mean rate, each from a caller that has no other request at the time.
	Kind struct {
		Name string
		VIP  netip.AddrPort
		// Rate is the number of requests a second.
		Rate float64
		// Work is the mean time for which a request occupies a slot.
		Work time.Duration
		// Target is the time within which callers want the response, Timeout that
		// after which they give up.
		Target, Timeout time.Duration
		// Priority is that of the route; 0 is the most urgent.
		Priority uint8
		// Repeatable means that a request may run more than once.
		Repeatable bool
		// FlowEach means that each request has a flow of its own. Otherwise callers
		// keep their flows open.
		FlowEach bool
	}

	// Request is a request of a caller of AddLoad.
	Request struct {
		Kind *Kind
		// At is when it began, since the start of the simulation.
		At time.Duration
		// Work is its processing time at an upstream of usual speed.
		Work    time.Duration
		Outcome Outcome
		// Latency is the time until its end.
		Latency time.Duration
		// OnOpenFlow means that its first attempt was sent on a flow that was open.
		OnOpenFlow bool
	}

	// coldStart describes the warm-up of upstreams.
	coldStart struct {
		duration time.Duration
		factor   float64 // of the processing time
	}
)

// WithColdStart makes upstreams slower by the factor for the given time after their
// start; by default they are not.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(w *World) { w.cold = coldStart{duration: d, factor: factor} }
}

// WithQueueLength sets how many requests may wait at an upstream before it sheds further
// ones.
func WithQueueLength(n int) Option { return func(w *World) { w.queueLength = n } }

// Mechanisms returns the names that WithoutMechanism knows.
func Mechanisms() []string {
	return []string{
		MechanismWaiting, MechanismPriority, MechanismOverflow, MechanismShare, MechanismUrgentRoom,
		MechanismEarlyRefusal, MechanismDisplacement, MechanismSnapshots, MechanismRepeatedResets,
	}
}

// WithoutMechanism switches off a mechanism, to find out what it is worth.
func WithoutMechanism(name string) Option { return func(w *World) { w.without[name] = true } }

// InAim reports whether the request was answered within its target.
func (r *Request) InAim() bool { return r.Outcome == Answered && r.Latency <= r.Kind.Target }

// AddLoad starts the requests of a kind. factor returns the factor of its rate at a time
// since the start of the simulation.
func (w *World) AddLoad(k *Kind, factor func(at time.Duration) float64) {
	w.kinds[k.VIP] = k
	w.publish()
	var callers []*caller
	// Each caller pauses between its requests, so that this many share the rate.
	for range int(math.Ceil(k.Rate * flowPause.Seconds())) {
		callers = append(callers, w.newLoadCaller(k))
	}
	var next func()
	next = func() {
		i := w.random.IntN(len(callers))
		if callers[i].request != nil {
			callers = append(callers, w.newLoadCaller(k)) // busy: another one asks
			i = len(callers) - 1
		}
		w.requests = append(w.requests, callers[i].startOfKind())
		w.After(w.nextArrival(k, factor), next)
	}
	w.After(w.nextArrival(k, factor), next)
}

// nextArrival returns the time until the next request of the kind.
func (w *World) nextArrival(k *Kind, factor func(at time.Duration) float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / (k.Rate * factor(w.now())) * float64(time.Second))
}

// newLoadCaller returns a caller for requests of the kind.
func (w *World) newLoadCaller(k *Kind) *caller {
	c := w.newCaller(k.VIP, k.Repeatable)
	c.kind = k
	return c
}

// startOfKind begins a request of the caller's kind.
func (c *caller) startOfKind() *Request {
	w := c.world
	// The mean of a log-normal distribution is exp(s*s/2) times its median.
	work := float64(c.kind.Work) * math.Exp(workSpread*w.random.NormFloat64()-workSpread*workSpread/2)
	c.request = &Request{Kind: c.kind, At: w.now(), Work: time.Duration(work), OnOpenFlow: c.state == open}
	r := c.request
	c.startRequest(c.kind.Timeout)
	return r
}

// relayOptions returns the options of an agent's relay without the mechanisms that are
// switched off.
func (w *World) relayOptions() []relay.Option {
	var out []relay.Option
	if w.without[MechanismShare] {
		out = append(out, relay.WithShare(0))
	}
	if w.without[MechanismUrgentRoom] {
		out = append(out, relay.WithoutUrgentRoom())
	}
	if w.without[MechanismEarlyRefusal] {
		out = append(out, relay.WithoutEarlyRefusal())
	}
	if w.without[MechanismDisplacement] {
		out = append(out, relay.WithoutDisplacement())
	}
	return out
}

// withoutMechanisms returns the datagram as a fleet without some mechanisms would send it.
func (w *World) withoutMechanisms(datagram []byte) []byte {
	if len(w.without) == 0 {
		return datagram
	}
	if kind, err := peer.KindOf(datagram); err != nil || kind != peer.Place {
		return datagram
	}
	var f peer.Frame
	if err := f.Decode(datagram); err != nil {
		return datagram
	}
	if w.without[MechanismWaiting] {
		f.Patience = 0
	}
	if w.without[MechanismPriority] {
		f.Priority = 0
	}
	return f.Append(nil)
}
