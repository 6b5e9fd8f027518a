package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// visits records which endpoints the packets of a flow reach.
type visits struct {
	mu   sync.Mutex
	at   map[flowKey][]visit
	open map[flowKey]string // endpoint that holds the flow
	// ended is when the consumer gave the flow up or closed it.
	ended map[flowKey]time.Time
}

type visit struct {
	at       time.Time
	endpoint string
}

func (v *visits) add(k flowKey, endpoint string, opens bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if opens {
		v.open[k] = endpoint
	}
	v.at[k] = append(v.at[k], visit{time.Now(), endpoint})
}

// broken returns the flows of which, for flowTime and while their consumers used them, three or more
// packets reached other endpoints and none its own.
func (v *visits) broken(flowTime time.Duration) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for k, list := range v.at {
		own, held := v.open[k]
		if !held {
			continue
		}
		for i, first := range list {
			if first.endpoint == own {
				continue
			}
			others, reachesOwn := 0, false
			for _, x := range list[i:] {
				if x.at.Sub(first.at) > flowTime {
					break
				}
				reachesOwn = reachesOwn || x.endpoint == own
				others++
			}
			end, ended := v.ended[k]
			if others >= 3 && !reachesOwn && (!ended || end.Sub(first.at) >= flowTime) {
				out = append(out, fmt.Sprintf("flow %s>%s is open at %s: in the %s from %s on, %d packets of it reached other endpoints and none its own", k.caller, k.vip, own, flowTime, first.at.Format("15:04:05.000"), others))
				break
			}
		}
	}
	sort.Strings(out)
	return out
}

// strays: an entry and an agent are restarted at the same time, the agent twice.
func strays(s *site, trouble bool) (string, error) {
	const service = "huvo11a"
	s.setConfig(7, map[netip.AddrPort]string{bookings: service}, service)
	v := &visits{at: map[flowKey][]visit{}, open: map[flowKey]string{}, ended: map[flowKey]time.Time{}}
	s.visits = v
	onRun := func(*endpoint, netip.AddrPort, string) {}
	var agents, entries []*proc
	for n := byte(101); n <= 106; n++ {
		if _, err := s.startEndpoint(n, service, onRun); err != nil {
			return "", err
		}
		p, err := s.startProc("agent", n, service)
		if err != nil {
			return "", err
		}
		agents = append(agents, p)
	}
	for n := byte(1); n <= 3; n++ {
		p, err := s.startProc("entry", n, "")
		if err != nil {
			return "", err
		}
		entries = append(entries, p)
	}
	go s.probe()
	if !s.awaitReady(3, 15*time.Second) {
		return "", errors.New("entries are not ready")
	}
	var consumers sync.WaitGroup
	var asked, lost atomic.Int64
	stop := make(chan struct{})
	for i := range 120 {
		c, err := s.newConsumer(byte(120 + i))
		if err != nil {
			return "", err
		}
		consumers.Go(func() {
			var f *flow
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+i%20*20) * time.Millisecond):
				}
				if f == nil {
					if f, err = c.open(bookings); err != nil {
						f = nil
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				begin := time.Now()
				_, err := f.request(id, 2500*time.Millisecond)
				asked.Add(1)
				if err != nil {
					lost.Add(1)
					s.rec.line("%s of flow %s: NOT ANSWERED: %v", id, f.k.caller, err)
					f = nil
				} else if took := time.Since(begin); took > 250*time.Millisecond {
					s.rec.line("%s of flow %s: answered after %.3f s", id, f.k.caller, took.Seconds())
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for round := range 8 {
			e := entries[round%3]
			e.signal(syscall.SIGTERM)
			for e.isReady() {
				time.Sleep(5 * time.Millisecond)
			}
			a := agents[round%len(agents)]
			a.signal(syscall.SIGTERM)
			time.Sleep(880 * time.Millisecond)
			a.signal(syscall.SIGTERM)
			time.Sleep(6 * time.Second)
		}
	} else {
		time.Sleep(55 * time.Second)
	}
	close(stop)
	consumers.Wait()
	s.rec.line("%d requests asked, %d not answered within their time budget", asked.Load(), lost.Load())
	list := v.broken(2 * time.Second)
	for _, b := range list {
		s.rec.line("FLOW: %s", b)
	}
	if len(list) > 0 {
		return fmt.Sprintf("FLOW: %d flows, %d of %d requests not answered; the first: %s", len(list), lost.Load(), asked.Load(), list[0]), nil
	}
	return "", nil
}

func (p *proc) isReady() bool {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	return p.ready
}
