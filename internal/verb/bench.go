package verb

// benchVerb dispatches to the experiments.
func benchVerb() command {
	return group{
		name:    "bench",
		summary: "run an experiment",
		subs: []command{
			benchFlowsVerb(),
			benchPlacementVerb(),
			benchPathVerb(),
			benchFleetVerb(),
		},
	}.command()
}
