// Package demo runs the whole packet path in one process: a fabric stand-in,
// entries, agents, upstream stand-ins and callers, on loopback sockets.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Config{Seed: 7}, logger)
package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"hickoryhook.example/internal/agentd"
	"hickoryhook.example/internal/daemon"
	"hickoryhook.example/internal/entryd"
	"hickoryhook.example/internal/settings"
	"hickoryhook.example/pkg/fabric"
	"hickoryhook.example/pkg/flow"
	"hickoryhook.example/pkg/member"
	"hickoryhook.example/pkg/placement"
	"hickoryhook.example/pkg/upstream"
)

const (
	convergenceTime = 2500 * time.Millisecond
	settleTime      = 5 * time.Second
	maxFlows        = 1000
	slots           = 2
	// oldWeight is the weight of a member on an old machine, which has half the
	// capacity.
	oldWeight = 50
)

var (
	failureDomains = []string{"graz-nord", "graz-sued", "leoben"}
)

type (
	// site holds the running parts of the demo.
	site struct {
		ctx        context.Context
		log        *zap.Logger
		common     settings.Common
		fabric     *fabric.Sprayer
		entries    map[string]*entryd.Daemon
		agents     map[string]*agentd.Daemon // by member name
		echoes     []*upstream.Echo
		viewNumber uint64
	}

	// serviceSpec is a service of the demo and its number of members.
	serviceSpec struct {
		id      flow.ServiceID
		name    string
		members int
	}
)

func serviceSpecs() []serviceSpec {
	return []serviceSpec{
		{id: 1, name: "maklerlink", members: 7},
		{id: 2, name: "exposeserver", members: 3},
	}
}

// newSite starts the fabric, the entries, and the agents with their upstreams.
func newSite(ctx context.Context, seed uint64, entries int, log *zap.Logger) (*site, error) {
	s := &site{
		ctx:     ctx,
		log:     log,
		entries: make(map[string]*entryd.Daemon),
		agents:  make(map[string]*agentd.Daemon),
		common: settings.Common{
			FailureDomain:  failureDomains[0],
			Keys:           []settings.Key{{ID: 1, Secret: secret(seed)}},
			FlowHashSecret: secret(seed + 1),
		},
	}
	if err := s.reserveAddresses(); err != nil {
		return nil, err
	}
	if err := s.startFabric(seed); err != nil {
		return nil, err
	}
	for i := range entries {
		if err := s.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	for i := range s.common.Services {
		for _, m := range s.common.Services[i].Members {
			if err := s.startAgent(&s.common.Services[i], m.Name); err != nil {
				return nil, errors.Join(err, s.close())
			}
		}
	}
	s.setFabricEntries()
	return s, nil
}

// reserveAddresses adds the services to the settings, without VIPs, and chooses free
// addresses for their members.
func (s *site) reserveAddresses() error {
	for _, spec := range serviceSpecs() {
		svc := settings.Service{ID: spec.id, Name: spec.name}
		for i := range spec.members {
			address, err := daemon.FreeAddress()
			if err != nil {
				return err
			}
			svc.Members = append(svc.Members, newMember(spec.name, i, address))
		}
		s.common.Services = append(s.common.Services, svc)
	}
	return nil
}

// newMember returns the i-th member of a service. Every other member is an old one
// with half the capacity.
func newMember(service string, i int, address netip.AddrPort) settings.Member {
	weight := uint32(member.DefaultWeight)
	if i%2 == 1 {
		weight = oldWeight
	}
	return settings.Member{
		Name:          fmt.Sprintf("%s-%d", service, i+1),
		Address:       address,
		FailureDomain: failureDomains[i%len(failureDomains)],
		Weight:        weight,
	}
}

// startFabric chooses the VIPs of the services and starts the fabric stand-in.
func (s *site) startFabric(seed uint64) error {
	var vips []netip.AddrPort
	for i := range s.common.Services {
		vip, err := daemon.FreeAddress()
		if err != nil {
			return err
		}
		s.common.Services[i].VIP = vip
		vips = append(vips, vip)
	}
	sprayer, err := fabric.NewSprayer(seed, netip.AddrPortFrom(daemon.Loopback, 0), vips)
	if err != nil {
		return err
	}
	s.fabric = sprayer
	sprayer.Start(s.ctx)
	return nil
}

// startEntry starts an entry, to which the fabric does not send yet.
func (s *site) startEntry(name string) error {
	common := s.common
	common.Name = name
	common.TunnelAddress = netip.AddrPortFrom(daemon.Loopback, 0)
	d, err := entryd.New(&settings.Entry{
		Common:             common,
		FabricAddress:      netip.AddrPortFrom(daemon.Loopback, 0),
		FabricReplyAddress: s.fabric.ReplyAddress(),
		ConvergenceTime:    settings.Duration(convergenceTime),
	}, s.log)
	if err != nil {
		return err
	}
	d.Start(s.ctx)
	s.entries[name] = d
	return nil
}

// startAgent starts the agent of the named member and its upstream.
func (s *site) startAgent(svc *settings.Service, name string) error {
	echo, err := upstream.NewEcho(name, netip.AddrPortFrom(daemon.Loopback, 0))
	if err != nil {
		return err
	}
	echo.Start(s.ctx)
	s.echoes = append(s.echoes, echo)
	common := s.common
	common.Name = "agent-" + name
	for _, m := range svc.Members {
		if m.Name == name {
			common.TunnelAddress = m.Address
		}
	}
	d, err := agentd.New(s.ctx, &settings.Agent{
		Common:      common,
		Entries:     s.tunnelAddresses(),
		Upstreams:   []settings.Upstream{{Member: name, Service: svc.ID, Address: echo.Address(), Slots: slots}},
		Policy:      placement.LeastWorkName,
		MaxFlows:    maxFlows,
		IdleTimeout: settings.Duration(time.Minute),
		SettleTime:  settings.Duration(settleTime),
		WarmUp:      settings.Duration(time.Second),
	}, s.log)
	if err != nil {
		return err
	}
	d.Start(s.ctx)
	s.agents[name] = d
	return nil
}

// tunnelAddresses returns the addresses on which the entries receive packets of agents.
func (s *site) tunnelAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range s.entries {
		addresses = append(addresses, e.TunnelAddress())
	}
	return addresses
}

// setFabricEntries makes the fabric send to all entries but the one named except, if it
// is given.
func (s *site) setFabricEntries(except ...string) {
	var addresses []netip.AddrPort
	for name, e := range s.entries {
		if len(except) > 0 && name == except[0] {
			continue
		}
		addresses = append(addresses, e.FabricAddress())
	}
	s.fabric.SetEntries(addresses)
}

// close closes the entries, the agents and the fabric. The upstream stand-ins end with
// the context of the site.
func (s *site) close() error {
	var errs []error
	for _, e := range s.entries {
		errs = append(errs, e.Close())
	}
	for _, a := range s.agents {
		errs = append(errs, a.Close())
	}
	if s.fabric != nil {
		errs = append(errs, s.fabric.Close())
	}
	return errors.Join(errs...)
}

// secret derives a key from the seed with a linear congruential generator.
func secret(seed uint64) settings.Secret {
	var s settings.Secret
	for i := range s {
		seed = seed*6364136223846793005 + 1442695040888963407
		s[i] = byte(seed >> 56)
	}
	return s
}
