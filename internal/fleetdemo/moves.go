package fleetdemo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hickoryhook.example/platform"
)

const (
	// otherService is the service of every second upstream in a soak that moves the route.
	otherService = "exposeserver"
	// maxMovePause bounds the time between two moves of the route and back, maxMoveGap that
	// between the two changes of one.
	maxMovePause = 2 * time.Second
	maxMoveGap   = 400 * time.Millisecond
	// maxVersionStep is the largest step from one version of the configuration to the next.
	maxVersionStep = 4
)

// operatorConfig is the configuration that the operator has written last.
type operatorConfig struct {
	mu      sync.Mutex
	version uint64
	encoded []byte
}

// setRoute writes a configuration whose version is larger by step and that sends the new flows
// of vip to a service.
func (s *site) setRoute(to string, step uint64) error {
	c := &s.operatorConfig
	c.mu.Lock()
	defer c.mu.Unlock()
	encoded, err := json.Marshal(map[string]any{"version": c.version + step, "routes": []map[string]any{
		{"name": service, "host": vip.Addr().String(), "prefix": fmt.Sprintf("/%d/", vip.Port()), "service": to},
	}})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	c.version, c.encoded = c.version+step, encoded
	s.store.Set(platform.ConfigKey, encoded)
	return nil
}

// repeatConfig writes the last configuration again, as the store may have lost it.
func (s *site) repeatConfig() {
	c := &s.operatorConfig
	c.mu.Lock()
	defer c.mu.Unlock()
	s.store.Set(platform.ConfigKey, c.encoded)
}

// moveRouteUntil moves the route to otherService and back at random times. In between, entries
// place flows that they must find afterwards.
func (k *soak) moveRouteUntil(end time.Time, random *rand.Rand) error {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for time.Now().Before(end) {
		time.Sleep(below(maxMovePause))
		gap := below(maxMoveGap)
		k.announceFault(fmt.Sprintf("the route moves to %s, and after %s back", otherService, gap))
		for _, to := range []string{otherService, service} {
			if err := k.site.setRoute(to, 1+random.Uint64N(maxVersionStep)); err != nil {
				return err
			}
			time.Sleep(gap)
		}
	}
	return nil
}
