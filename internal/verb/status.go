package verb

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"hickoryhook.example/internal/fleet"
	"hickoryhook.example/internal/overview"
)

const statusUsage = `usage: hickoryhook status ADDRESS...

Fetches the metrics of running entries of the platform and prints problems, the
entries with their configuration, flows and calls to the store, and the agents
with the age of their last report. ADDRESS is an entry's IP address, with the
port of its metrics if that is not 9402. Exit code 1 if there is a problem.

Example: hickoryhook status 10.1.0.10 10.2.0.40
`

type statusRunner struct {
	streams   ioStreams
	addresses []string
}

func statusVerb() command {
	return command{
		name:    "status",
		summary: "state of running entries and agents",
		usage:   statusUsage,
		parse:   parseStatus,
	}
}

func parseStatus(args []string, streams ioStreams) (runner, error) {
	flags := newFlags("status")
	if err := flags.Parse(args); err != nil {
		return nil, asUsageError(err)
	}
	if flags.NArg() == 0 {
		return nil, &usageError{err: errors.New("status: want at least one address")}
	}
	r := &statusRunner{streams: streams}
	for _, text := range flags.Args() {
		if ip, err := netip.ParseAddr(text); err == nil {
			text = netip.AddrPortFrom(ip, fleet.MetricsPort).String()
		}
		if _, err := netip.ParseAddrPort(text); err != nil {
			return nil, &usageError{err: errors.Wrapf(err, "status: address %q", text)}
		}
		r.addresses = append(r.addresses, text)
	}
	return r, nil
}

func (r *statusRunner) run(ctx context.Context) error {
	o := overview.Read(ctx, r.addresses)
	if err := o.Write(r.streams.stdout); err != nil {
		return err
	}
	if n := len(o.Problems()); n > 0 {
		return errors.Errorf("%d problems", n)
	}
	return nil
}
