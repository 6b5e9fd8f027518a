package fleet

import (
	"sync"
)

// counters counts events by name. The zero value is ready to use.
type counters struct {
	mu     sync.Mutex
	byName map[string]int64
}

func (c *counters) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = make(map[string]int64)
	}
	c.byName[name]++
}

func (c *counters) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.byName))
	for k, v := range c.byName {
		out[k] = v
	}
	return out
}
