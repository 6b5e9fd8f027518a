package world

import "hickoryhook.example/pkg/agent"

// Report holds the results of a simulation. The control rates are in bytes per second,
// sent and received, including UDP and IP headers: the highest mean of a node from its
// start to the report and, for AgentControlBytesPeak, the highest value of an agent in one
// second. ExtraHopsMean is the number of hops between agents per delivered datagram, and
// SearchesPerFlow the number of searches per placed flow. OpenFlowsPerAgentMaximum is the
// highest number of flows that an agent owns at the time of the report, or owned at its end.
type Report struct {
	Flows                    int     `json:"flows"`
	Placed                   int     `json:"placed-flows"`
	DeliveredPackets         int64   `json:"delivered-packets"`
	BrokenFlows              int     `json:"broken-flows"`
	LostWithUpstream         int     `json:"lost-with-upstream"`
	MisroutedPackets         int     `json:"misrouted-packets"`
	CrossAnswered            int     `json:"cross-answered"`
	NewWorkAfterDrain        int     `json:"new-work-after-drain"`
	Conflicts                int     `json:"conflicts"`
	ExtraHopsMean            float64 `json:"extra-hops-mean"`
	ControlBytesPerSecond    float64 `json:"control-bytes-per-second"`
	AgentControlBytes        float64 `json:"agent-control-bytes-per-second"`
	EntryControlBytes        float64 `json:"entry-control-bytes-per-second"`
	AgentControlBytesPeak    int64   `json:"agent-control-bytes-peak"`
	SearchesPerFlow          float64 `json:"searches-per-flow"`
	OpenFlowsPerAgentMaximum int     `json:"open-flows-per-agent-maximum"`
}

// Violations returns the number of violated invariants: broken flows, packets delivered
// to another service, replies delivered to another flow, and flows opened more than
// drainGrace after the start of a drain and placed on the draining upstream.
func (r Report) Violations() int {
	return r.BrokenFlows + r.MisroutedPackets + r.CrossAnswered + r.NewWorkAfterDrain
}

// Report returns the results so far.
func (w *World) Report() Report {
	c := &w.counts
	r := Report{
		Flows:             c.flows,
		Placed:            c.placed,
		DeliveredPackets:  c.delivered,
		BrokenFlows:       c.broken,
		LostWithUpstream:  c.lostWithUpstream,
		MisroutedPackets:  c.misrouted,
		CrossAnswered:     c.crossAnswered,
		NewWorkAfterDrain: c.newWorkAfterDrain,
		Conflicts:         c.events[agent.Conflict],
	}
	if c.delivered > 0 {
		r.ExtraHopsMean = float64(c.extraHops) / float64(c.delivered)
	}
	w.reportAgents(&r)
	for _, e := range w.entries {
		r.EntryControlBytes = max(r.EntryControlBytes, e.traffic.meanRate(w.Now()))
	}
	r.ControlBytesPerSecond = max(r.AgentControlBytes, r.EntryControlBytes)
	return r
}

// reportAgents sets the fields that come from the agents, including those that have ended.
func (w *World) reportAgents(r *Report) {
	var searches int64
	for _, a := range w.agents {
		r.AgentControlBytes = max(r.AgentControlBytes, a.traffic.meanRate(w.Now()))
		r.AgentControlBytesPeak = max(r.AgentControlBytesPeak, a.traffic.peakRate)
		r.OpenFlowsPerAgentMaximum = max(r.OpenFlowsPerAgentMaximum, a.core.OwnedFlows())
		searches += a.core.Stats().Snapshot().Searches
	}
	if w.counts.placed > 0 {
		r.SearchesPerFlow = float64(searches) / float64(w.counts.placed)
	}
}
