// Package overview asks running entries for their metrics and shows what they
// know of each other, of the configuration and of the agents.
//
// # Usage
//
//	o, err := overview.Read(ctx, []string{"10.1.0.10:9402", "10.2.0.40:9402"})
//	err = o.Write(os.Stdout)
package overview

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/director"
)

const (
	// answerTimeout bounds one entry's answer: a slow instance needs 0.1 s.
	answerTimeout = 2 * time.Second
	// maxVars bounds the answer in bytes: 200 B for each of 10,000 agents.
	maxVars = 2 << 20
	// storeCalls is the prefix of the counts of calls to the store.
	storeCalls = "store-"
)

type (
	// Overview is what some entries said.
	Overview struct {
		Entries []Entry
	}

	// Entry is one entry's answer.
	Entry struct {
		Address string
		// Err is why there is no answer.
		Err  error
		Vars Vars
	}

	// Vars are the metrics that are shown.
	Vars struct {
		Ready    bool                   `json:"ready"`
		Settled  bool                   `json:"settled"`
		Config   uint64                 `json:"config-version"`
		Flows    int                    `json:"flows"`
		UptimeMS int64                  `json:"uptime-ms"`
		Agents   []director.AgentStatus `json:"agents"`
		Counts   map[string]int64       `json:"counts"`
		// LeftOut is how many log lines were sampled out.
		LeftOut int64 `json:"log-lines-sampled"`
	}
)

// Read asks the entries at the given metrics addresses, all at once. An entry
// that does not answer is part of the overview.
func Read(ctx context.Context, addresses []string) Overview {
	o := Overview{Entries: make([]Entry, len(addresses))}
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Go(func() {
			vars, err := ask(ctx, address)
			o.Entries[i] = Entry{Address: address, Err: err, Vars: vars}
		})
	}
	all.Wait()
	return o
}

func ask(ctx context.Context, address string) (Vars, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return Vars{}, errors.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Vars{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	var vars Vars
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVars)).Decode(&vars); err != nil {
		return Vars{}, errors.Wrap(err, "answer")
	}
	return vars, nil
}

// Problems returns, for each thing that an operator should look at, a line.
func (o Overview) Problems() []string {
	var out []string
	newest := uint64(0)
	for _, e := range o.Entries {
		newest = max(newest, e.Vars.Config)
	}
	for _, e := range o.Entries {
		switch {
		case e.Err != nil:
			out = append(out, fmt.Sprintf("%s does not answer: %v", e.Address, e.Err))
			continue
		case !e.Vars.Ready:
			out = append(out, e.Address+" is not ready")
		}
		if e.Vars.Config < newest {
			out = append(out, fmt.Sprintf("%s has configuration %d, another has %d", e.Address, e.Vars.Config, newest))
		}
	}
	for _, a := range o.agents() {
		if a.status.Failing {
			out = append(out, a.status.Agent+": its upstream resets its flows")
		}
		if a.heardBy < a.of {
			out = append(out, fmt.Sprintf("%s is known to %d of %d entries", a.status.Agent, a.heardBy, a.of))
		}
	}
	return out
}

// agentView is the newest report of an agent that an entry has.
type agentView struct {
	status  director.AgentStatus
	heardBy int // entries that know it
	of      int // entries that answered
}

// agents returns each agent, as the entry sees it that heard it last.
func (o Overview) agents() []agentView {
	views := make(map[string]*agentView)
	answered := 0
	for _, e := range o.Entries {
		if e.Err != nil {
			continue
		}
		answered++
		for _, a := range e.Vars.Agents {
			v := views[a.Agent]
			if v == nil {
				v = &agentView{status: a}
				views[a.Agent] = v
			}
			v.heardBy++
			if a.AgeMS < v.status.AgeMS {
				v.status = a
			}
		}
	}
	out := make([]agentView, 0, len(views))
	for _, v := range views {
		v.of = answered
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b agentView) int {
		return cmp.Or(cmp.Compare(a.status.Service, b.status.Service), cmp.Compare(a.status.Agent, b.status.Agent))
	})
	return out
}

// Write prints the overview: problems, entries, agents.
func (o Overview) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range o.Problems() {
		fmt.Fprintln(t, p)
	}
	fmt.Fprintf(t, "\nentry\tready\tsettled\tconfiguration\tflows\tup\tcalls to the store\tlog lines left out\n")
	for _, e := range o.Entries {
		if e.Err == nil {
			fmt.Fprintf(t, "%s\t%t\t%t\t%d\t%d\t%s\t%d\t%d\n", e.Address, e.Vars.Ready, e.Vars.Settled, e.Vars.Config, e.Vars.Flows,
				time.Duration(e.Vars.UptimeMS)*time.Millisecond, e.Vars.calls(), e.Vars.LeftOut)
		}
	}
	fmt.Fprintf(t, "\nservice\tagent\tupstream\tplace\ttaking\tflows\trunning\tslots\tage\n")
	for _, a := range o.agents() {
		s := a.status
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\t%s\n", s.Service, s.Agent, s.Upstream, s.Place, s.Taking, s.Flows, s.Running, s.Slots,
			time.Duration(s.AgeMS)*time.Millisecond)
	}
	return t.Flush()
}

// calls returns how many calls the entry has made to the store.
func (v Vars) calls() int64 {
	n := int64(0)
	for name, count := range v.Counts {
		if strings.HasPrefix(name, storeCalls) && name != "store-errors" {
			n += count
		}
	}
	return n
}
