package verb

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"hickoryhook.example/pkg/fabric"
)

const standInFabricUsage = `usage: hickoryhook stand-in fabric -vip IP:PORT... -entry IP:PORT... [flags]

Listens on the addresses of services and sends each datagram, with a PROXY
header, to a random entry, until it is stopped.

  -vip IP:PORT     address of a service; may be given several times
  -entry IP:PORT   fabric-address of an entry; may be given several times
  -reply IP:PORT   address that entries send replies to (fabric-reply-address)
  -seed N          random seed (default 1)
`

type standInFabricRunner struct {
	streams ioStreams
	vips    addressList
	entries addressList
	reply   addressValue
	seed    uint64
}

func standInFabricVerb() command {
	return command{
		name:    "fabric",
		summary: "a fabric that distributes datagrams over entries at random",
		usage:   standInFabricUsage,
		parse:   parseStandInFabric,
	}
}

func parseStandInFabric(args []string, streams ioStreams) (runner, error) {
	r := &standInFabricRunner{streams: streams}
	flags := newFlags("stand-in fabric")
	flags.Var(&r.vips, "vip", "")
	flags.Var(&r.entries, "entry", "")
	flags.Var(&r.reply, "reply", "")
	flags.Uint64Var(&r.seed, "seed", 1, "")
	if err := parseFlags(flags, args, 0); err != nil {
		return nil, err
	}
	if len(r.vips) == 0 || len(r.entries) == 0 || !r.reply.IsValid() {
		return nil, &usageError{err: errors.New("stand-in fabric: want -vip, -entry and -reply")}
	}
	return r, nil
}

func (r *standInFabricRunner) run(ctx context.Context) error {
	sprayer, err := fabric.NewSprayer(r.seed, r.reply.AddrPort, []netip.AddrPort(r.vips))
	if err != nil {
		return err
	}
	sprayer.SetEntries(r.entries)
	sprayer.Start(ctx)
	if _, err := fmt.Fprintf(r.streams.stdout, "distributing datagrams over %d entries\n", len(r.entries)); err != nil {
		return err
	}
	<-ctx.Done()
	return sprayer.Close()
}
