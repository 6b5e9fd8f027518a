package test_test

import (
	"flag"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"hickoryhook.example/internal/fleetsim"
	"hickoryhook.example/pkg/route"
)

type (
	// fleetScenario is what the commands of one script act on.
	fleetScenario struct {
		world *fleetsim.World
	}

	fleetCommand = func(*fleetScenario, []string) error
)

// TestFleet runs the scenarios of entries and agents on the platform's terms.
// FLEET_TRACE=1 prints each decision.
func TestFleet(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "cases/fleet",
		Setup: func(env *testscript.Env) error {
			env.Values["fleet"] = &fleetScenario{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":          onFleet((*fleetScenario).newWorld),
			"service":        onFleet((*fleetScenario).addService),
			"entries":        onFleet((*fleetScenario).addEntries),
			"route":          onFleet((*fleetScenario).route),
			"drop":           onFleet((*fleetScenario).drop),
			"callers":        onFleet(addCallers((*fleetsim.World).AddCallers)),
			"bookings":       onFleet(addCallers((*fleetsim.World).AddNonIdempotentCallers)),
			"run":            onFleet((*fleetScenario).run),
			"forget":         onFleet((*fleetScenario).forget),
			"roll":           onFleet(eachEntry((*fleetsim.Entry).RestartGracefully)),
			"crash-entry":    onFleet(eachEntryFor((*fleetsim.Entry).Crash)),
			"pause-entry":    onFleet(eachEntryFor((*fleetsim.Entry).Pause)),
			"drain":          onFleet(eachInstanceFor((*fleetsim.Instance).Drain)),
			"restart-agent":  onFleet(eachInstanceFor((*fleetsim.Instance).RestartAgent)),
			"crash-upstream": onFleet(eachInstanceFor((*fleetsim.Instance).CrashUpstream)),
			"fail-upstream":  onFleet(eachInstanceFor((*fleetsim.Instance).FailUpstream)),
			"power-off":      onFleet(eachInstanceFor((*fleetsim.Instance).PowerCycle)),
			"cut":            onFleet(eachInstanceFor((*fleetsim.Instance).Partition)),
			"vanish":         onFleet(eachInstanceFor(func(i *fleetsim.Instance, _ time.Duration) { i.Disconnect() })),
			"all-power-off":  onFleet(everywhere((*fleetsim.World).PowerCycle)),
			"all-killed":     onFleet(everywhere((*fleetsim.World).KillAll)),
			"check":          onFleet((*fleetScenario).check),
		},
	})
}

func onFleet(f fleetCommand) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value("fleet").(*fleetScenario), args)
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
		if err == nil && neg {
			ts.Fatalf("did not fail")
		}
	}
}

// newWorld takes the flags below.
func (s *fleetScenario) newWorld(args []string) error {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "")
	loss := flags.Float64("loss", 0, "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	options := []fleetsim.Option{fleetsim.WithSeed(*seed), fleetsim.WithLoss(*loss)}
	if os.Getenv("FLEET_TRACE") != "" {
		options = append(options, fleetsim.WithTrace(os.Stderr))
	}
	s.world = fleetsim.New(options...)
	return nil
}

// addService takes a name, a number of upstreams and the slots of each.
func (s *fleetScenario) addService(args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	slots, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	s.world.AddService(args[0], count, slots)
	return nil
}

// addEntries takes a number.
func (s *fleetScenario) addEntries(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	s.world.AddEntries(n)
	return nil
}

// route takes an address and shares as service=weight.
func (s *fleetScenario) route(args []string) error {
	vip, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return err
	}
	var shares []route.Share
	for _, text := range args[1:] {
		name, weight, _ := strings.Cut(text, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return err
		}
		shares = append(shares, route.Share{Service: name, Weight: uint32(n)})
	}
	s.world.SetRoute(vip, shares...)
	return nil
}

// drop takes an address.
func (s *fleetScenario) drop(args []string) error {
	vip, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return err
	}
	s.world.RemoveRoute(vip)
	return nil
}

// addCallers takes a number, an address and an interval.
func addCallers(add func(*fleetsim.World, int, netip.AddrPort, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		vip, err := netip.ParseAddrPort(args[1])
		if err != nil {
			return err
		}
		every, err := time.ParseDuration(args[2])
		if err != nil {
			return err
		}
		add(s.world, n, vip, every)
		return nil
	}
}

// run takes a duration.
func (s *fleetScenario) run(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.world.Run(d)
	return nil
}

// forget sets the counts to zero.
func (s *fleetScenario) forget([]string) error {
	s.world.ResetCounts()
	return nil
}

// eachEntry takes numbers of entries, from 1.
func eachEntry(f func(*fleetsim.Entry)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		for _, text := range args {
			n, err := strconv.Atoi(text)
			if err != nil {
				return err
			}
			f(s.world.Entry(n))
		}
		return nil
	}
}

// eachEntryFor takes a duration and numbers of entries.
func eachEntryFor(f func(*fleetsim.Entry, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		return eachEntry(func(e *fleetsim.Entry) { f(e, d) })(s, args[1:])
	}
}

// eachInstanceFor takes a duration and instances as SERVICE-N.
func eachInstanceFor(f func(*fleetsim.Instance, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		for _, name := range args[1:] {
			at := strings.LastIndexByte(name, '-')
			n, err := strconv.Atoi(name[at+1:])
			if err != nil {
				return err
			}
			f(s.world.Instances(name[:at])[n-1], d)
		}
		return nil
	}
}

// everywhere takes a duration.
func everywhere(f func(*fleetsim.World, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		f(s.world, d)
		return nil
	}
}

// check takes names of counts, an operator and a number, which the sum of the
// counts must satisfy.
func (s *fleetScenario) check(args []string) error {
	names, operator, text := args[:len(args)-2], args[len(args)-2], args[len(args)-1]
	want, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	got := 0
	for _, name := range names {
		got += s.world.Count(name)
	}
	ok, known := map[string]bool{"=": got == want, "<": got < want, ">": got > want}[operator]
	if !known {
		return errors.Errorf("operator %q", operator)
	}
	if !ok {
		return errors.Errorf("%s is %d, want %s %d; %s", strings.Join(names, "+"), got, operator, want, s.world.Counts())
	}
	return nil
}
