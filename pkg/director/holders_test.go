package director_test

import (
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/director"
	"hickoryhook.example/pkg/peer"
	"hickoryhook.example/pkg/route"
	"hickoryhook.example/platform"
)

// TestHoldersScripts plays the scripts in testdata/holders. A script says what a director
// learns about one VIP:
//
//	config 7 a b            version 7, which it follows on is not known, names services a and b
//	config 7 after 5 a      version 7, which followed on 5, names service a
//	config 7 none           version 7 has no route for the VIP
//	config 7 unreadable     version 7 has one route, which could not be read
//	merge 7 a b             a record that is complete through 7 names services a and b
//	at 60000                the time in milliseconds, with ticks until then
//	complete, incomplete    whether a search may prove that no agent holds a flow
//	through 7               the version through which the record is complete
//	holders a b             the services that may hold flows
func TestHoldersScripts(t *testing.T) {
	eachScript(t, "holders", func(t *testing.T) func(string, []string) {
		p := holdersPlayer{t: t, d: director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)}
		p.d.SetRegistered(0, nil)
		return p.play
	})
}

// holdersPlayer plays one script.
type holdersPlayer struct {
	t   *testing.T
	d   *director.Director
	now time.Duration
}

func (p *holdersPlayer) play(line string, fields []string) {
	p.t.Helper()
	is := is.New(p.t)
	command, args := fields[0], fields[1:]
	p.t.Log(line)
	switch command {
	case "config":
		previous := uint64(0)
		version := p.number(args[0])
		services := args[1:]
		if services[0] == "after" {
			previous, services = p.number(services[1]), services[2:]
		}
		if services[0] == "none" {
			p.d.SetNextConfig(route.New(version, nil), previous)
			return
		}
		if services[0] == "unreadable" {
			p.d.SetNextConfig(route.New(version, nil, route.WithUnreadable(1)), previous)
			return
		}
		var shares []route.Share
		for _, s := range services {
			shares = append(shares, route.Share{Service: s, Weight: 1})
		}
		p.d.SetNextConfig(route.New(version, []route.Route{{VIP: vipAt(1), Shares: shares}}), previous)
	case "merge":
		p.d.MergeHolders(map[netip.AddrPort][]string{vipAt(1): args[1:]}, p.number(args[0]))
	case "at":
		for end := time.Duration(p.number(args[0])) * time.Millisecond; p.now < end; {
			p.now += 250 * time.Millisecond
			p.d.Tick(p.now, 250*time.Millisecond)
		}
	case "complete", "incomplete":
		is.Equal(p.d.HoldersComplete(), command == "complete")
		is.Equal(p.d.Settled(max(p.now, time.Second)), command == "complete")
	case "through":
		is.Equal(p.d.HoldersThrough(), p.number(args[0]))
	case "holders":
		is.Equal(slices.Sorted(slices.Values(p.d.Holders()[vipAt(1)])), args)
	default:
		p.t.Fatal("unknown command")
	}
}

func (p *holdersPlayer) number(text string) uint64 {
	p.t.Helper()
	n, err := strconv.ParseUint(text, 10, 64)
	is.New(p.t).NoErr(err)
	return n
}

// TestVersionLostByStoreIsMissing guards against the reset of a living flow that was placed under a
// version which the store has lost: it has come back from an older copy, and the operator has written
// the newest version alone, so that an entry which starts takes that for the next one.
func TestVersionLostByStoreIsMissing(t *testing.T) {
	is := is.New(t)
	d := director.New(peer.Addr{10, 0, 0, 1}, platform.PacketCodec{}, nil)
	routes := func(version uint64, service string) *route.Config {
		return route.New(version, []route.Route{{VIP: vipAt(2), Shares: []route.Share{{Service: service, Weight: 1}}}})
	}
	d.SetConfig(routes(1, "maklerlink"))
	d.MergeHolders(nil, 1)
	is.True(d.HoldersComplete())
	d.SetNextConfig(routes(6, "maklerlink"), 5) // from another entry
	is.True(!d.HoldersComplete())
	d.SetNextConfig(routes(6, "maklerlink"), 1) // from the watch of the store
	is.True(!d.HoldersComplete())
	is.Equal(d.PreviousVersion(), uint64(5))
	d.SetNextConfig(routes(5, "exposeserver"), 1)
	d.SetNextConfig(routes(6, "maklerlink"), 0)
	is.True(d.HoldersComplete())
	is.Equal(d.Holders()[vipAt(2)], []string{"maklerlink", "exposeserver"})
}
