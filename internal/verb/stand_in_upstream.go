package verb

import (
	"context"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/upstream"
)

const standInUpstreamUsage = `usage: hickoryhook stand-in upstream -name NAME -address IP:PORT

Answers each datagram with its name, a space and the datagram, until it is
stopped.

  -name NAME         name in the replies
  -address IP:PORT   UDP address to listen on
`

type standInUpstreamRunner struct {
	name    string
	address addressValue
}

func standInUpstreamVerb() command {
	return command{
		name:    "upstream",
		summary: "an upstream that answers datagrams",
		usage:   standInUpstreamUsage,
		parse:   parseStandInUpstream,
	}
}

func parseStandInUpstream(args []string, _ ioStreams) (runner, error) {
	r := &standInUpstreamRunner{}
	flags := newFlags("stand-in upstream")
	flags.StringVar(&r.name, "name", "", "")
	flags.Var(&r.address, "address", "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if r.name == "" || !r.address.IsValid() {
		return nil, &usageError{err: errors.New("stand-in upstream: want -name and -address")}
	}
	return r, nil
}

func (r *standInUpstreamRunner) run(ctx context.Context) error {
	echo, err := upstream.NewEcho(r.name, r.address.AddrPort)
	if err != nil {
		return err
	}
	echo.Start(ctx)
	return <-echo.Done()
}
