package fleetsim

import (
	"embed"
	"encoding/json"
	"math"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/route"
)

const (
	patternDirectory = "patterns"
	patternSuffix    = ".json"

	// patternLead is the time from the start of the processes to the first request.
	patternLead = 2 * time.Second
	// worstWindow is the length of the time for which WorstWindow is computed.
	worstWindow = 2 * time.Second

	// The histograms of latencies cover 100 µs to 60 s with two significant digits, in
	// microseconds.
	shortestLatency = 100
	longestLatency  = 60_000_000
	latencyDigits   = 2
)

//go:embed patterns/*.json
var patternFiles embed.FS

type (
	// Pattern describes a load and what happens during it.
	Pattern struct {
		// About says which load the pattern stands for.
		About    string           `json:"about"`
		Entries  int              `json:"entries"`
		Duration Milliseconds     `json:"duration-ms"`
		Services []PatternService `json:"services"`
		Kinds    []PatternKind    `json:"kinds"`
		// QueueLength, Cold and ColdFactor are those of the upstreams.
		QueueLength int          `json:"queue-length"`
		Cold        Milliseconds `json:"cold-ms"`
		ColdFactor  float64      `json:"cold-factor"`
		StartSpread Milliseconds `json:"start-spread-ms"`
		Events      []Event      `json:"events"`
	}

	// PatternService is a service of a pattern.
	PatternService struct {
		Name      string `json:"name"`
		Upstreams int    `json:"upstreams"`
		Slots     int    `json:"slots"`
	}

	// PatternKind is a kind of request of a pattern. Shares are the weights of the
	// services.
	PatternKind struct {
		Name       string         `json:"name"`
		VIP        netip.AddrPort `json:"vip"`
		Shares     []PatternShare `json:"shares"`
		Rate       float64        `json:"rate"`
		Work       Milliseconds   `json:"work-ms"`
		Target     Milliseconds   `json:"target-ms"`
		Timeout    Milliseconds   `json:"timeout-ms"`
		Priority   uint8          `json:"priority"`
		Repeatable bool           `json:"repeatable"`
		FlowEach   bool           `json:"flow-each"`
	}

	// PatternShare is the weight of a service.
	PatternShare struct {
		Service string `json:"service"`
		Weight  uint32 `json:"weight"`
	}

	// Event is something that happens after At: "power-off" of all instances for the
	// time For, a "burst" of requests by Factor, of one Kind or of all, upstreams of a
	// Service that are "slow" by Factor, the first Count, or "full-links" of the entries,
	// on which the share Factor of their packets to callers is lost.
	Event struct {
		At      Milliseconds `json:"at-ms"`
		What    string       `json:"what"`
		For     Milliseconds `json:"for-ms"`
		Factor  float64      `json:"factor"`
		Service string       `json:"service"`
		Kind    string       `json:"kind"`
		Count   int          `json:"count"`
	}

	// Milliseconds is a duration in whole milliseconds.
	Milliseconds int

	// KindResult counts the outcomes of a kind of request. Latencies are in
	// milliseconds, of the answered ones.
	KindResult struct {
		Kind    string  `json:"kind"`
		Asked   int     `json:"asked"`
		InAim   int     `json:"in-aim"`
		Late    int     `json:"late"`
		Refused int     `json:"refused"`
		Failed  int     `json:"failed"`
		P50     float64 `json:"p50-ms"`
		P99     float64 `json:"p99-ms"`
		// Bound is that of all kinds of the same first service, set for the first.
		Bound Bound `json:"bound"`
	}

	// PatternResult is the result of a run of a pattern.
	PatternResult struct {
		Seed  uint64       `json:"seed"`
		Kinds []KindResult `json:"kinds"`
		// WorstWindow is the share of requests in aim in the worst two seconds.
		WorstWindow float64 `json:"worst-window"`
		// Violations counts violated invariants.
		Violations int `json:"violations"`
	}
)

// Duration returns the duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Add adds the numbers of another result, without regard to its kind.
func (r *KindResult) Add(other KindResult) {
	r.Asked += other.Asked
	r.InAim += other.InAim
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.P50 += other.P50
	r.P99 += other.P99
	r.Bound.Answered += other.Bound.Answered
	r.Bound.InAim += other.Bound.InAim
	r.Bound.InAimFirst += other.Bound.InAimFirst
	r.Bound.AnsweredThen += other.Bound.AnsweredThen
}

// PatternNames returns the names of the patterns that LoadPattern knows.
func PatternNames() []string {
	files, err := patternFiles.ReadDir(patternDirectory)
	if err != nil {
		panic(err) // the directory is embedded
	}
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), patternSuffix))
	}
	return names
}

// LoadPattern returns a pattern by its name.
func LoadPattern(name string) (*Pattern, error) {
	b, err := patternFiles.ReadFile(path.Join(patternDirectory, name+patternSuffix))
	if err != nil {
		return nil, errors.Errorf("no pattern %q; there are %s", name, strings.Join(PatternNames(), ", "))
	}
	return DecodePattern(b)
}

// DecodePattern decodes a pattern and checks it.
func DecodePattern(b []byte) (*Pattern, error) {
	var p Pattern
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrap(err, "decode pattern")
	}
	if p.Entries < 1 || p.Duration < 1 || len(p.Services) == 0 || len(p.Kinds) == 0 {
		return nil, errors.New("pattern: want entries, a duration, services and kinds")
	}
	for _, k := range p.Kinds {
		if k.Rate <= 0 || k.Work < 1 || k.Target < 1 || k.Timeout < 1 || len(k.Shares) == 0 {
			return nil, errors.Errorf("pattern: kind %q lacks a rate, work, target, timeout or share", k.Name)
		}
	}
	for _, e := range p.Events {
		if !slices.Contains([]string{"power-off", "burst", "slow", "full-links"}, e.What) {
			return nil, errors.Errorf("pattern: unknown event %q", e.What)
		}
	}
	return &p, nil
}

// Run simulates the pattern with a seed.
func (p *Pattern) Run(seed uint64, options ...Option) PatternResult {
	options = append([]Option{
		WithSeed(seed), WithQueueLength(p.QueueLength), WithStartSpread(p.StartSpread.Duration()),
		WithColdStart(p.Cold.Duration(), p.ColdFactor),
	}, options...)
	w := New(options...)
	for _, s := range p.Services {
		w.AddService(s.Name, s.Upstreams, s.Slots)
	}
	w.AddEntries(p.Entries)
	var kinds []*Kind
	for _, k := range p.Kinds {
		kinds = append(kinds, k.kind())
		w.SetRoute(k.VIP, k.shares(w.without[MechanismOverflow])...)
	}
	w.Run(patternLead)
	for _, k := range kinds {
		w.AddLoad(k, func(at time.Duration) float64 { return p.rateFactor(k, at-patternLead) })
	}
	for _, e := range p.Events {
		p.schedule(w, e)
	}
	w.Run(p.Duration.Duration())
	return p.result(w, seed, kinds)
}

// kind returns the kind of request.
func (k PatternKind) kind() *Kind {
	return &Kind{
		Name: k.Name, VIP: k.VIP, Rate: k.Rate, Work: k.Work.Duration(), Target: k.Target.Duration(), Timeout: k.Timeout.Duration(),
		Priority: k.Priority, Repeatable: k.Repeatable, FlowEach: k.FlowEach,
	}
}

// shares returns the services of the kind's route, only the first one if firstOnly is
// set.
func (k PatternKind) shares(firstOnly bool) []route.Share {
	var out []route.Share
	for _, s := range k.Shares {
		out = append(out, route.Share{Service: s.Service, Weight: s.Weight})
	}
	if firstOnly {
		out = out[:1]
	}
	return out
}

// rateFactor returns the factor of the rate of a kind at a time since the first request.
func (p *Pattern) rateFactor(k *Kind, at time.Duration) float64 {
	factor := 1.0
	for _, e := range p.Events {
		if e.What == "burst" && (e.Kind == "" || e.Kind == k.Name) && at >= e.At.Duration() && at < (e.At+e.For).Duration() {
			factor *= e.Factor
		}
	}
	return factor
}

// schedule schedules an event. A burst is part of rateFactor.
func (p *Pattern) schedule(w *World, e Event) {
	switch e.What {
	case "power-off":
		w.After(e.At.Duration(), func() { w.PowerCycle(e.For.Duration()) })
	case "full-links":
		w.After(e.At.Duration(), func() { w.callerLoss = e.Factor })
		w.After((e.At + e.For).Duration(), func() { w.callerLoss = 0 })
	case "slow":
		instances := w.Instances(e.Service)
		instances = instances[:min(e.Count, len(instances))]
		setFactor := func(factor float64) {
			for _, i := range instances {
				i.slowFactor = factor
			}
		}
		w.After(e.At.Duration(), func() { setFactor(e.Factor) })
		w.After((e.At + e.For).Duration(), func() { setFactor(1) })
	}
}

// result summarizes the requests that ended.
func (p *Pattern) result(w *World, seed uint64, kinds []*Kind) PatternResult {
	out := PatternResult{Seed: seed, WorstWindow: worstShareInAim(w.requests)}
	for _, name := range Invariants() {
		out.Violations += w.Count(name)
	}
	for i, k := range kinds {
		r := summarize(k, w.requests)
		if i == 0 {
			r.Bound = NewBound(p.requestsOf(w, p.Kinds[0].Shares[0].Service), p.capacity(p.Kinds[0].Shares))
		}
		out.Kinds = append(out.Kinds, r)
	}
	return out
}

// requestsOf returns the requests of the kinds whose first service is the given one.
func (p *Pattern) requestsOf(w *World, service string) []*Request {
	var out []*Request
	for _, r := range w.requests {
		for _, k := range p.Kinds {
			if k.Name == r.Kind.Name && k.Shares[0].Service == service {
				out = append(out, r)
			}
		}
	}
	return out
}

// capacity returns the capacity of the services of the shares.
func (p *Pattern) capacity(shares []PatternShare) Capacity {
	c := Capacity{Cold: p.Cold.Duration(), ColdFactor: p.ColdFactor}
	for _, s := range p.Services {
		if slices.ContainsFunc(shares, func(share PatternShare) bool { return share.Service == s.Name }) {
			c.Slots += s.Upstreams * s.Slots
		}
	}
	for _, e := range p.Events {
		if e.What == "power-off" {
			from := patternLead + e.At.Duration()
			c.Outages = append(c.Outages, Outage{from, from + e.For.Duration()})
		}
	}
	return c
}

// summarize counts the outcomes of a kind. Requests that have not ended are left out.
func summarize(k *Kind, requests []*Request) KindResult {
	out := KindResult{Kind: k.Name}
	latencies := hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
	for _, r := range requests {
		if r.Kind != k || r.Outcome == Pending {
			continue
		}
		out.Asked++
		switch {
		case r.InAim():
			out.InAim++
		case r.Outcome == Answered:
			out.Late++
		case r.Outcome == Refused:
			out.Refused++
		default:
			out.Failed++
		}
		if r.Outcome == Answered {
			if err := latencies.RecordValue(min(max(r.Latency.Microseconds(), shortestLatency), longestLatency)); err != nil {
				panic(err) // the value is within the limits
			}
		}
	}
	out.P50 = float64(latencies.ValueAtQuantile(50)) / 1000
	out.P99 = float64(latencies.ValueAtQuantile(99)) / 1000
	return out
}

// worstShareInAim returns the lowest share of requests in aim among those of each
// worstWindow.
func worstShareInAim(requests []*Request) float64 {
	asked, inAim := make(map[time.Duration]int), make(map[time.Duration]int)
	for _, r := range requests {
		if r.Outcome == Pending {
			continue
		}
		window := r.At / worstWindow
		asked[window]++
		if r.InAim() {
			inAim[window]++
		}
	}
	worst := math.Inf(1)
	for window, n := range asked {
		worst = min(worst, float64(inAim[window])/float64(n))
	}
	return worst
}
