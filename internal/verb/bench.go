package verb

// benchVerb returns the group of benchmarks and simulations.
func benchVerb() command {
	return group{
		name:    "bench",
		summary: "run a benchmark or a simulation",
		subcommands: []command{
			benchFlowsVerb(),
			benchPlacementVerb(),
			benchPathVerb(),
			benchFleetVerb(),
			benchLoadVerb(),
		},
	}.command()
}
