package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"hickoryhook.example/internal/bench"
)

const benchPathUsage = `usage: hickoryhook bench path [-json]

Measures the steps of the packet path, and round trips through an entry and an
agent, and compares them with round trips through two plain UDP relays in the
same run.

  -json   prints one JSON object
`

type benchPathRunner struct {
	streams ioStreams
	json    bool
}

func benchPathVerb() command {
	return command{
		name:    "path",
		summary: "time per packet at the entry and the agent",
		usage:   benchPathUsage,
		parse:   parseBenchPath,
	}
}

func parseBenchPath(args []string, streams ioStreams) (runner, error) {
	r := &benchPathRunner{streams: streams}
	flags := newFlags("bench path")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *benchPathRunner) run(context.Context) error {
	result, err := bench.Path()
	if err != nil {
		return err
	}
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(result)
	}
	t := tabwriter.NewWriter(r.streams.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "step\tns\tpackets per second\tallocs\tto relay\tdatagram bytes\t")
	for _, row := range result.Rows {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t\n", row.Step, row.Nanoseconds, row.PerSecond, row.Allocations, row.RatioToRelay, row.DatagramBytes)
	}
	fmt.Fprintf(t, "bytes of an entry per flow\t%.0f\t\n", result.BytesPerFlow)
	return t.Flush()
}
