package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/caller"
)

const standInCallerUsage = `usage: hickoryhook stand-in caller -address IP:PORT [flags]

Opens flows to a service, sends datagrams on each, and reports how many flows
were answered by more than one upstream or by none, and how many replies
belonged to another flow. Exit code 1 if there are any.

  -address IP:PORT   address of the service
  -flows N           flows (default 20)
  -interval D        time between the datagrams of a flow (default 100ms)
  -for D             how long to send (default 5s)
  -json              prints one JSON object
`

type (
	standInCallerRunner struct {
		streams  ioStreams
		address  addressValue
		flows    int
		interval time.Duration
		duration time.Duration
		json     bool
	}

	// callerResult sums up the reports of all flows.
	callerResult struct {
		Flows         int            `json:"flows"`
		Datagrams     int            `json:"datagrams"`
		Answered      int            `json:"answered"`
		BrokenFlows   int            `json:"broken-flows"`
		CrossAnswered int            `json:"cross-answered"`
		Upstreams     map[string]int `json:"flows-by-upstream"`
	}
)

func standInCallerVerb() command {
	return command{
		name:    "caller",
		summary: "callers with long-lived flows",
		usage:   standInCallerUsage,
		parse:   parseStandInCaller,
	}
}

func parseStandInCaller(args []string, streams ioStreams) (runner, error) {
	r := &standInCallerRunner{streams: streams}
	flags := newFlags("stand-in caller")
	flags.Var(&r.address, "address", "")
	flags.IntVar(&r.flows, "flows", 20, "")
	flags.DurationVar(&r.interval, "interval", 100*time.Millisecond, "")
	flags.DurationVar(&r.duration, "for", 5*time.Second, "")
	flags.BoolVar(&r.json, "json", false, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if !r.address.IsValid() || r.flows < 1 || r.interval <= 0 || r.duration <= 0 {
		return nil, &usageError{err: errors.New("stand-in caller: want -address, and positive -flows, -interval and -for")}
	}
	return r, nil
}

func (r *standInCallerRunner) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.duration)
	defer cancel()
	var flows []*caller.Flow
	for i := range r.flows {
		f, err := caller.Dial(r.address.AddrPort, fmt.Sprintf("flow-%d", i+1), r.interval)
		if err != nil {
			return err
		}
		f.Start(ctx)
		flows = append(flows, f)
	}
	result := callerResult{Flows: r.flows, Upstreams: make(map[string]int)}
	for _, f := range flows {
		report, err := f.Wait()
		if err != nil {
			return err
		}
		result.add(report)
	}
	if err := r.print(result); err != nil {
		return err
	}
	if result.BrokenFlows+result.CrossAnswered > 0 {
		return errors.New("stand-in caller: flows were broken")
	}
	return nil
}

// add counts one flow. A flow is broken unless exactly one upstream answered it.
func (c *callerResult) add(report caller.Report) {
	c.Datagrams += report.Sent()
	c.Answered += report.Answered()
	c.CrossAnswered += report.CrossAnswered()
	if len(report.Upstreams()) != 1 {
		c.BrokenFlows++
	}
	for _, name := range report.Upstreams() {
		c.Upstreams[name]++
	}
}

func (r *standInCallerRunner) print(result callerResult) error {
	if r.json {
		return json.NewEncoder(r.streams.stdout).Encode(result)
	}
	rows := []row{
		{"flows", result.Flows},
		{"datagrams", result.Datagrams},
		{"answered", result.Answered},
		{"broken flows", result.BrokenFlows},
		{"cross-answered", result.CrossAnswered},
	}
	for name, n := range result.Upstreams {
		rows = append(rows, row{"flows at " + name, n})
	}
	return printTable(r.streams.stdout, rows)
}
