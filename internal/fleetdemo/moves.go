package fleetdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/platform"
)

const (
	// otherService is the service of every second upstream in a soak that moves the route. It
	// has the same short identifier as service, see peer.ServiceID.
	otherService = "exposeserver-mfftqlx"
	// maxMovePause bounds the time between two moves of the route and back, maxMoveGap that
	// between the two changes of one.
	maxMovePause = 2 * time.Second
	maxMoveGap   = 400 * time.Millisecond
	// stayShare is the part of the moves after which the route stays for longer than configBound,
	// by up to maxStay, so that an entry with an old configuration shows.
	stayShare = 0.4
	maxStay   = 1500 * time.Millisecond
	// maxVersionStep is the largest step from one version of the configuration to the next.
	maxVersionStep = 4
	// Each configuration has the markers of the last markerVersions: VIPs that no other one has, so
	// that an opening shows which versions an entry may have.
	markerVersions  = 2
	firstMarkerPort = 2000
	markerPorts     = 50000
	// markerInterval is the time between two openings to markers.
	markerInterval = 60 * time.Millisecond
)

// operatorConfig is the configuration that the operator has written last.
type operatorConfig struct {
	mu      sync.Mutex
	version uint64
	encoded []byte
	written int // number of configurations
}

// markerOf returns the marker of the configuration with a number.
func markerOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(vip.Addr().Next(), uint16(firstMarkerPort+n%markerPorts))
}

// setRoute writes a configuration whose version is larger by step and that sends the new flows
// of vip to a service.
func (s *site) setRoute(to string, step uint64) error {
	c := &s.operatorConfig
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := map[netip.AddrPort]string{vip: to}
	if s.moves {
		for n := max(0, c.written+1-markerVersions); n <= c.written; n++ {
			routes[markerOf(n)] = service
		}
	}
	var docs []map[string]any
	for v, to := range routes {
		docs = append(docs, map[string]any{"name": v.String(), "host": v.Addr().String(), "prefix": fmt.Sprintf("/%d/", v.Port()), "service": to})
	}
	for n := range s.routes {
		docs = append(docs, map[string]any{
			"name": fmt.Sprintf("further-%d", n), "host": fmt.Sprintf("198.19.%d.%d", n>>8, n&0xff), "prefix": "/443/", "service": service,
		})
	}
	encoded, err := json.Marshal(map[string]any{"version": c.version + step, "routes": docs})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	c.version, c.encoded, c.written = c.version+step, encoded, c.written+1
	s.judge.announce(c.version, routes)
	s.store.Set(platform.ConfigKey, encoded)
	s.judge.acknowledge(time.Now())
	return nil
}

// repeatConfig writes the last configuration again, as the store may have lost it.
func (s *site) repeatConfig() {
	c := &s.operatorConfig
	c.mu.Lock()
	defer c.mu.Unlock()
	s.store.Set(platform.ConfigKey, c.encoded)
}

// moveRoute moves the route to otherService and back at random times until the context ends. It
// moves back in quick succession, so that entries place flows that they must find afterwards, or
// lets the route stay for longer than configBound.
func (k *soak) moveRoute(ctx context.Context, random *rand.Rand) error {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for sleep(ctx, below(maxMovePause)) == nil {
		gap := below(maxMoveGap)
		if random.Float64() < stayShare {
			gap = configBound + below(maxStay)
		}
		k.announceFault(fmt.Sprintf("the route moves to %s, and after %s back", otherService, gap))
		for _, to := range []string{otherService, service} {
			if err := k.site.setRoute(to, 1+random.Uint64N(maxVersionStep)); err != nil {
				return err
			}
			if sleep(ctx, gap) != nil {
				return nil
			}
		}
	}
	return nil
}

// openMarkers opens flows to the markers of the last configurations, and of one that has just
// been dropped, until the context ends.
func (k *soak) openMarkers(ctx context.Context, random *rand.Rand) error {
	var running sync.WaitGroup
	defer running.Wait()
	for sleep(ctx, markerInterval) == nil {
		c := &k.site.operatorConfig
		c.mu.Lock()
		n := c.written - 1 - random.IntN(markerVersions+1)
		c.mu.Unlock()
		if n < 0 {
			continue
		}
		running.Go(func() {
			if f, ok := k.callers.open(markerOf(n)); ok {
				k.callers.request(f)
			}
		})
	}
	return nil
}
