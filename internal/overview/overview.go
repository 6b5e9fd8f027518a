// Package overview fetches the metrics of running entries and summarizes the state of
// the entries, their configuration versions and the agents that they know.
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
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/capacity"
	"hickoryhook.example/pkg/director"
)

const (
	// requestTimeout bounds the request to one entry; a slow instance answers in
	// 0.1 s.
	requestTimeout = 2 * time.Second
	// maxResponse is the largest response that is read, in bytes: 200 B for each of
	// 10,000 agents.
	maxResponse = 2 << 20
	// storeCallPrefix is the prefix of the names of counts of calls to the store.
	storeCallPrefix = "store-"
	// bytesPerMegabit converts Mbit/s to bytes a second.
	bytesPerMegabit = 1e6 / 8
)

type (
	// Overview holds the metrics of some entries.
	Overview struct {
		Entries []Entry
	}

	// Entry holds the metrics of one entry, or why they could not be fetched.
	Entry struct {
		// Address is the entry's metrics address.
		Address string
		// Err is the error of the request, nil if Vars is set.
		Err  error
		Vars Vars
	}

	// Vars are the metrics of an entry that the overview uses.
	Vars struct {
		Build         string                 `json:"build"` // "" of a build that does not tell
		Ready         bool                   `json:"ready"`
		Settled       bool                   `json:"settled"`
		ConfigVersion uint64                 `json:"config-version"`
		Evacuation    Evacuation             `json:"evacuation"`
		Flows         int                    `json:"flows"`
		UptimeMS      int64                  `json:"uptime-ms"`
		Agents        []director.AgentStatus `json:"agents"`
		Counts        map[string]int64       `json:"counts"`
		// LeftOut is how many log lines were left out by sampling.
		LeftOut int64 `json:"log-lines-sampled"`
		// Link is the state of the entry's link, nil if its rate is not given.
		Link *capacity.Status `json:"link"`
	}

	// Evacuation holds the evacuated failure domains that an entry knows, and the era and
	// revision of the store at which it learned them.
	Evacuation struct {
		Known    bool     `json:"known"`
		Domains  []string `json:"domains"`
		Era      uint64   `json:"era"`
		Revision uint64   `json:"revision"`
	}
)

// newerThan reports whether e was read at a later point in the history of the store.
func (e Evacuation) newerThan(other Evacuation) bool {
	return e.Era > other.Era || e.Era == other.Era && e.Revision > other.Revision
}

// String returns the domains and the point in the history of the store, "-" if nothing is
// known.
func (e Evacuation) String() string {
	if !e.Known {
		return "-"
	}
	domains := "none"
	if len(e.Domains) > 0 {
		domains = strings.Join(e.Domains, ",")
	}
	return fmt.Sprintf("%s at %d/%d", domains, e.Era, e.Revision)
}

// Read fetches the metrics of the entries at the given metrics addresses, all at the
// same time. An entry that does not answer is in the result with its error.
func Read(ctx context.Context, addresses []string) Overview {
	o := Overview{Entries: make([]Entry, len(addresses))}
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			vars, err := fetch(ctx, address)
			o.Entries[i] = Entry{Address: address, Err: err, Vars: vars}
		})
	}
	wg.Wait()
	return o
}

// fetch fetches the metrics of the entry at the address.
func fetch(ctx context.Context, address string) (Vars, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return Vars{}, errors.Wrap(err, "metrics address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Vars{}, errors.Wrap(err, "fetch metrics")
	}
	defer resp.Body.Close()
	var vars Vars
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(&vars); err != nil {
		return Vars{}, errors.Wrap(err, "decode metrics")
	}
	return vars, nil
}

// Problems returns a line for each condition that an operator should check: entries that
// do not answer, are not ready, have an older configuration than another, or differ in the
// evacuated failure domains from the one that has read them last; agents whose upstream is
// ejected; agents that some of the entries do not know.
func (o Overview) Problems() []string {
	var out []string
	newest := uint64(0)
	var evacuation Evacuation
	for _, e := range o.Entries {
		newest = max(newest, e.Vars.ConfigVersion)
		if e.Vars.Evacuation.newerThan(evacuation) {
			evacuation = e.Vars.Evacuation
		}
	}
	for _, e := range o.Entries {
		switch {
		case e.Err != nil:
			out = append(out, fmt.Sprintf("%s does not answer: %v", e.Address, e.Err))
			continue
		case !e.Vars.Ready:
			out = append(out, e.Address+" is not ready")
		}
		if e.Vars.ConfigVersion < newest {
			out = append(out, fmt.Sprintf("%s has configuration %d, another has %d", e.Address, e.Vars.ConfigVersion, newest))
		}
		if own := e.Vars.Evacuation; evacuation.Known && (!own.Known || !slices.Equal(own.Domains, evacuation.Domains)) {
			out = append(out, fmt.Sprintf("%s has evacuated domains %s, another has %s", e.Address, own, evacuation))
		}
	}
	for _, a := range o.summarizeAgents() {
		if a.status.Failing {
			out = append(out, a.status.Agent+": its upstream resets its flows")
		}
		if a.knownBy < a.answered {
			out = append(out, fmt.Sprintf("%s is known to %d of %d entries", a.status.Agent, a.knownBy, a.answered))
		}
	}
	return out
}

// agentSummary is the newest report of an agent among those that the entries have.
type agentSummary struct {
	status   director.AgentStatus
	knownBy  int // entries that know the agent
	answered int // entries that answered
}

// summarizeAgents returns a summary of each agent, sorted by service and agent.
func (o Overview) summarizeAgents() []agentSummary {
	summaries := make(map[string]*agentSummary)
	answered := 0
	for _, e := range o.Entries {
		if e.Err != nil {
			continue
		}
		answered++
		for _, a := range e.Vars.Agents {
			s := summaries[a.Agent]
			if s == nil {
				s = &agentSummary{status: a}
				summaries[a.Agent] = s
			}
			s.knownBy++
			if a.AgeMS < s.status.AgeMS {
				s.status = a
			}
		}
	}
	out := make([]agentSummary, 0, len(summaries))
	for _, s := range summaries {
		s.answered = answered
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b agentSummary) int {
		return cmp.Or(cmp.Compare(a.status.Service, b.status.Service), cmp.Compare(a.status.Agent, b.status.Agent))
	})
	return out
}

// builds returns a text for each build of the entries that answered: how many run it. Fleets
// have two while they are upgraded.
func (o Overview) builds() []string {
	counts := make(map[string]int)
	for _, e := range o.Entries {
		if e.Err == nil {
			counts[cmp.Or(e.Vars.Build, "older")]++
		}
	}
	var out []string
	for _, build := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%d of %s", counts[build], build))
	}
	return out
}

// Write writes the problems and tables of the entries and agents as text.
func (o Overview) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range o.Problems() {
		fmt.Fprintln(t, p)
	}
	if builds := o.builds(); len(builds) > 1 {
		fmt.Fprintf(t, "entries of %d builds: %s\n", len(builds), strings.Join(builds, ", "))
	}
	fmt.Fprintf(t, "\nentry\tbuild\tready\tsettled\tconfiguration\tevacuated\tflows\tup\tcalls to the store\tlog lines left out\n")
	for _, e := range o.Entries {
		if e.Err == nil {
			fmt.Fprintf(t, "%s\t%s\t%t\t%t\t%d\t%s\t%d\t%s\t%d\t%d\n", e.Address, cmp.Or(e.Vars.Build, "older"), e.Vars.Ready, e.Vars.Settled, e.Vars.ConfigVersion, e.Vars.Evacuation, e.Vars.Flows,
				time.Duration(e.Vars.UptimeMS)*time.Millisecond, e.Vars.storeCalls(), e.Vars.LeftOut)
		}
	}
	o.writeLinks(t)
	fmt.Fprintf(t, "\nservice\tagent\tupstream\tplace\ttaking\tflows\trunning\tslots\tage\n")
	for _, a := range o.summarizeAgents() {
		s := a.status
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\t%s\n", s.Service, s.Agent, s.Upstream, s.FailureDomain, s.Taking, s.Flows, s.Running, s.Slots,
			time.Duration(s.AgeMS)*time.Millisecond)
	}
	return t.Flush()
}

// writeLinks writes a table of the entries whose link's rate is given, if there are any.
func (o Overview) writeLinks(w io.Writer) {
	header := "\nlink of\tMbit/s\tin use\treserved\tat most\trefused openings\n"
	for _, e := range o.Entries {
		l := e.Vars.Link
		if e.Err != nil || l == nil {
			continue
		}
		fmt.Fprintf(w, "%s%s\t%.1f\t%.0f%%\t%.0f ms\t%.0f ms\t%d\n", header, e.Address, l.Rate/bytesPerMegabit, 100*l.Use, l.ReservedMS, l.MaxDelayMS,
			e.Vars.Counts[string(director.LinkFull)])
		header = ""
	}
}

// storeCalls returns how many calls the entry has made to the store. It leaves out the
// count store-errors, as failed calls are counted by their kind, too.
func (v Vars) storeCalls() int64 {
	n := int64(0)
	for name, count := range v.Counts {
		if strings.HasPrefix(name, storeCallPrefix) && name != "store-errors" {
			n += count
		}
	}
	return n
}
