package fleetsim

import (
	"time"

	"hickoryhook.example/pkg/segment"
	"hickoryhook.example/platform"
)

const (
	// meanWork is how long a request takes on average.
	meanWork = 15 * time.Millisecond
	// queued is how many requests wait for a slot before others are shed.
	queued = 20
	// answerBytes and shedBytes are the sizes of an answer and of a refusal.
	answerBytes = 100
	shedBytes   = 10
)

type (
	// upstream answers requests. One packet carries a request, one its answer.
	upstream struct {
		instance *Instance
		id       string
		born     int64
		beats    uint64
		draining bool
		failing  bool // resets each flow with its next request
		// drainAcked is when the agent acknowledged it, 0 if it has not.
		drainAcked time.Duration
		flows      map[segment.Flow]*served
		running    int
		waiting    []func()
	}

	// served is a flow at an upstream.
	served struct {
		first    uint32 // own first sequence number
		next     uint32 // own next sequence number
		want     uint32 // next byte of the caller
		answered bool
		busy     bool
		last     []byte // last answer, sent again for a repeated request
	}
)

func newUpstream(i *Instance, id string, born int64) *upstream {
	return &upstream{instance: i, id: id, born: born, flows: make(map[segment.Flow]*served)}
}

// receive handles a packet of the agent.
func (u *upstream) receive(b []byte) {
	w := u.instance.world
	h, err := w.codec.FromCaller(b)
	if err != nil {
		w.count("malformed")
		return
	}
	if h.Opens() {
		u.open(h)
		return
	}
	f := u.flows[h.Flow]
	if f == nil || h.Acknowledged-f.first > 1<<24 {
		if !w.allowed[h.Flow.VIP()][u.instance.service] {
			w.count("strayed")
		}
		u.bounce(b)
		return
	}
	if h.Has(segment.Fin) {
		delete(u.flows, h.Flow)
		return
	}
	if h.Length == 0 {
		return
	}
	if u.failing {
		w.count("reset-by-upstream")
		delete(u.flows, h.Flow)
		u.send(packet(h.Flow, true, segment.Reset, f.next, 0, 0))
		return
	}
	if h.Sequence != f.want {
		if f.last != nil && !f.busy {
			u.send(f.last)
		}
		return
	}
	f.want += uint32(h.Length)
	f.busy = true
	u.work(h.Flow, f)
}

func (u *upstream) open(h segment.Header) {
	w := u.instance.world
	if !w.allowed[h.Flow.VIP()][u.instance.service] {
		w.count("misrouted")
	}
	if at := u.drainAcked; at > 0 && w.now()-at > 100*time.Millisecond {
		w.count("opened-while-draining")
	}
	f := u.flows[h.Flow]
	if f == nil {
		f = &served{first: w.random.Uint32(), want: h.Sequence + 1}
		f.next = f.first + 1
		u.flows[h.Flow] = f
	}
	u.send(packet(h.Flow, true, segment.Open|segment.Ack, f.first, h.Sequence+1, 0))
}

// work runs a request when a slot is free.
func (u *upstream) work(flow segment.Flow, f *served) {
	w := u.instance.world
	run := func() {
		u.running++
		w.count("ran")
		d := time.Duration(w.random.ExpFloat64() * float64(meanWork))
		w.After(d, func() { u.finish(flow, f) })
	}
	if u.running < u.instance.slots {
		run()
		return
	}
	if len(u.waiting) >= queued {
		w.count("shed")
		f.busy = false
		f.last = packet(flow, true, segment.Ack, f.next, f.want, shedBytes)
		f.next += shedBytes
		u.send(f.last)
		return
	}
	u.waiting = append(u.waiting, run)
}

func (u *upstream) finish(flow segment.Flow, f *served) {
	u.running--
	if u.instance.upstream != u {
		return // ended meanwhile
	}
	f.busy, f.answered = false, true
	flags := segment.Ack
	if u.draining {
		flags |= segment.Fin
	}
	f.last = packet(flow, true, flags, f.next, f.want, answerBytes)
	f.next += answerBytes
	u.send(f.last)
	if u.draining {
		delete(u.flows, flow)
	}
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

func (u *upstream) send(b []byte) {
	i := u.instance
	if !i.agentUp || i.upstream != u {
		return
	}
	news, err := i.relay.HandleUpstreamPacket(i.world.now(), append([]byte(nil), b...))
	if err != nil {
		i.world.count("malformed")
	}
	if news {
		i.report()
	}
}

// bounce returns a packet that belongs to no flow here.
func (u *upstream) bounce(b []byte) {
	platform.MarkReturned(b)
	u.instance.world.After(50*time.Microsecond, func() { u.send(b) })
}

// packet returns an encoded packet of the caller, or of the upstream.
func packet(flow segment.Flow, fromUpstream bool, flags segment.Flags, seq, ack uint32, length int) []byte {
	return platform.EncodePacket(segment.Header{Flow: flow, Flags: flags, Sequence: seq, Acknowledged: ack, Length: uint16(length)}, fromUpstream)
}
