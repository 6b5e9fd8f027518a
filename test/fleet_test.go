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
	// fleetScenario is the state of one script: the simulated fleet that its commands
	// change and check.
	fleetScenario struct {
		world *fleetsim.World
	}

	fleetCommand = func(*fleetScenario, []string) error
)

// TestFleet runs the scripts in cases/fleet, which simulate entries and agents on the
// platform (package fleetsim). With FLEET_TRACE=1 the lines of
// fleetsim.WithTrace are printed to stderr.
func TestFleet(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "cases/fleet",
		Setup: func(env *testscript.Env) error {
			env.Values["fleet"] = &fleetScenario{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":          adaptFleetCommand((*fleetScenario).newWorld),
			"service":        adaptFleetCommand((*fleetScenario).addService),
			"entries":        adaptFleetCommand((*fleetScenario).addEntries),
			"route":          adaptFleetCommand((*fleetScenario).setRoute),
			"drop":           adaptFleetCommand((*fleetScenario).removeRoute),
			"callers":        adaptFleetCommand(addCallers((*fleetsim.World).AddCallers)),
			"bookings":       adaptFleetCommand(addCallers((*fleetsim.World).AddNonIdempotentCallers)),
			"run":            adaptFleetCommand((*fleetScenario).run),
			"forget":         adaptFleetCommand((*fleetScenario).resetCounts),
			"roll":           adaptFleetCommand(eachEntry((*fleetsim.Entry).RestartGracefully)),
			"crash-entry":    adaptFleetCommand(eachEntryFor((*fleetsim.Entry).Crash)),
			"pause-entry":    adaptFleetCommand(eachEntryFor((*fleetsim.Entry).Pause)),
			"uninform-entry": adaptFleetCommand(eachEntryFor((*fleetsim.Entry).Uninform)),
			"drain":          adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).Drain)),
			"restart-agent":  adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).RestartAgent)),
			"crash-upstream": adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).CrashUpstream)),
			"fail-upstream":  adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).FailUpstream)),
			"power-off":      adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).PowerCycle)),
			"cut":            adaptFleetCommand(eachInstanceFor((*fleetsim.Instance).Partition)),
			"vanish":         adaptFleetCommand(eachInstanceFor(func(i *fleetsim.Instance, _ time.Duration) { i.Disconnect() })),
			"evacuate":       adaptFleetCommand(eachDomain((*fleetsim.World).Evacuate)),
			"end-evacuation": adaptFleetCommand(eachDomain((*fleetsim.World).EndEvacuation)),
			"all-power-off":  adaptFleetCommand(wholeFleetFor((*fleetsim.World).PowerCycle)),
			"all-killed":     adaptFleetCommand(wholeFleetFor((*fleetsim.World).KillAll)),
			"check":          adaptFleetCommand((*fleetScenario).check),
		},
	})
}

// adaptFleetCommand converts f to a testscript command. A command preceded by "!" must
// fail.
func adaptFleetCommand(f fleetCommand) func(*testscript.TestScript, bool, []string) {
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

// newWorld starts a simulation. Arguments: the flags -seed, -loss, -domains (the number of
// failure domains), -cold-start (the warm-up of an upstream) and -cold-rate (the openings a
// second that it bears meanwhile).
func (s *fleetScenario) newWorld(args []string) error {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "")
	loss := flags.Float64("loss", 0, "")
	domains := flags.Int("domains", 0, "")
	coldStart := flags.Duration("cold-start", 0, "")
	coldRate := flags.Float64("cold-rate", 0, "")
	if err := flags.Parse(args); err != nil {
		return err
	}
	options := []fleetsim.Option{fleetsim.WithSeed(*seed), fleetsim.WithLoss(*loss), fleetsim.WithDomains(*domains),
		fleetsim.WithColdStart(*coldStart, 1), fleetsim.WithColdRate(*coldRate)}
	if os.Getenv("FLEET_TRACE") != "" {
		options = append(options, fleetsim.WithTrace(os.Stderr))
	}
	s.world = fleetsim.New(options...)
	return nil
}

// addService adds a service. Arguments: name, number of upstreams, slots of each
// upstream.
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

// addEntries starts entries. Argument: their number.
func (s *fleetScenario) addEntries(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	s.world.AddEntries(n)
	return nil
}

// setRoute routes new flows of a VIP to services. Arguments: VIP, then a share
// SERVICE=WEIGHT for each service.
func (s *fleetScenario) setRoute(args []string) error {
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

// removeRoute removes the route of a VIP. Argument: the VIP.
func (s *fleetScenario) removeRoute(args []string) error {
	vip, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return err
	}
	s.world.RemoveRoute(vip)
	return nil
}

// addCallers returns a command that starts callers with add. Arguments: number of
// callers, VIP, interval between requests.
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
		interval, err := time.ParseDuration(args[2])
		if err != nil {
			return err
		}
		add(s.world, n, vip, interval)
		return nil
	}
}

// run advances the virtual time. Argument: a duration.
func (s *fleetScenario) run(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.world.Run(d)
	return nil
}

// resetCounts sets all counts to zero. It takes no arguments.
func (s *fleetScenario) resetCounts([]string) error {
	s.world.ResetCounts()
	return nil
}

// eachEntry returns a command that calls f for entries. Arguments: the numbers of the
// entries, starting at 1.
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

// eachEntryFor returns a command that calls f for entries with a duration. Arguments:
// the duration, then the numbers of the entries.
func eachEntryFor(f func(*fleetsim.Entry, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		return eachEntry(func(e *fleetsim.Entry) { f(e, d) })(s, args[1:])
	}
}

// eachInstanceFor returns a command that calls f for upstream instances with a duration.
// Arguments: the duration, then the instances as SERVICE-N, with N starting at 1.
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

// eachDomain returns a command that calls f for failure domains. Arguments: their names.
func eachDomain(f func(*fleetsim.World, string)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		for _, name := range args {
			f(s.world, name)
		}
		return nil
	}
}

// wholeFleetFor returns a command that calls f for the whole fleet. Argument: a
// duration.
func wholeFleetFor(f func(*fleetsim.World, time.Duration)) fleetCommand {
	return func(s *fleetScenario, args []string) error {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		f(s.world, d)
		return nil
	}
}

// check compares the sum of counts with a number and fails if the comparison does not
// hold. Arguments: names of counts as in World.Count, operator (=, < or >), number. An
// unknown name counts as 0.
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
