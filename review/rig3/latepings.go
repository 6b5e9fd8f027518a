package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// latePings: an agent and an entry are restarted as planned, and two pings of an ended lifetime, which
// a partition has delayed, are the first that the agent hears.
func latePings(s *site, trouble bool) (string, error) {
	const service, endpoints, flowCount = "huvo11a", 4, 90
	heartbeat = 1200 * time.Millisecond
	s.logPings = true
	s.setConfig(7, map[netip.AddrPort]string{bookings: service}, service)
	// The first lifetime of the endpoint on host 101 begins behind a partition, which holds up its pings.
	// It crashes there, and the partition ends.
	begin := time.Now()
	for seq := 1; seq <= 2; seq++ {
		s.rec.line("lifetime i-ended sends ping %d, which a partition holds up", seq)
		time.Sleep(time.Second)
	}
	s.rec.line("lifetime i-ended crashes, and the partition ends")
	var agents, entries []*proc
	var held []*endpoint
	for n := byte(101); n <= 100+endpoints; n++ {
		e, err := s.startEndpoint(n, service, func(*endpoint, netip.AddrPort, string) {})
		if err != nil {
			return "", err
		}
		p, err := s.startProc("agent", n, service)
		if err != nil {
			return "", err
		}
		held, agents = append(held, e), append(agents, p)
	}
	for n := byte(1); n <= 2; n++ {
		p, err := s.startProc("entry", n, "")
		if err != nil {
			return "", err
		}
		entries = append(entries, p)
	}
	go s.probe()
	if !s.awaitReady(2, 15*time.Second) {
		return "", errors.New("entries are not ready")
	}
	c, err := s.newConsumer(240)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(begin.Add(11 * time.Second)))
	own, agent, entry := held[0], agents[0], entries[0]
	latePing := func(seq int) {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"seq":%d}`,
			service, s.at(own.host, portApp), zoneName, slots, seq)
		req, _ := http.NewRequest(http.MethodPut, "http://"+s.at(own.host, portControl).String()+"/instances/i-ended", bytes.NewBufferString(body))
		req.Header.Set("Content-Type", "application/json")
		client := &http.Client{Timeout: time.Second}
		resp, err := client.Do(req)
		if err != nil {
			s.rec.line("delayed ping %d of i-ended: %v", seq, err)
			return
		}
		resp.Body.Close()
		s.rec.line("ping %d of i-ended, which ended before %s began, arrives after %.1f s: %d", seq, own.id, time.Since(begin.Add(time.Duration(seq-1)*time.Second)).Seconds(), resp.StatusCode)
	}
	// The agent ends just before a ping of its endpoint, which it misses.
	own.mu.Lock()
	due := own.due
	own.mu.Unlock()
	for time.Until(due) < 300*time.Millisecond {
		due = due.Add(heartbeat)
	}
	time.Sleep(time.Until(due.Add(-80 * time.Millisecond)))
	agent.signal(syscall.SIGTERM)
	if _, ended := agent.awaitEnd(3 * time.Second); !ended {
		return "", errors.New("the agent did not end")
	}
	for { // until it runs again
		resp, err := http.Get("http://" + s.at(agent.host, portReady).String() + "/ready")
		if err == nil {
			resp.Body.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.rec.line("the agent runs again")
	first := time.Now()
	if trouble {
		latePing(1)
	}
	var mu sync.Mutex
	var flows []*flow
	var opening sync.WaitGroup
	for i := range flowCount {
		opening.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			f, err := c.open(bookings)
			if err != nil {
				s.rec.line("flow %d not open: %v", i, err)
				return
			}
			if _, err = f.request(fmt.Sprintf("first-%d", i), 2500*time.Millisecond); err != nil {
				s.rec.line("first-%d: %v", i, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
	}
	time.Sleep(time.Until(first.Add(time.Second)))
	if trouble {
		latePing(2)
	}
	time.Sleep(250 * time.Millisecond)
	entry.signal(syscall.SIGTERM)
	opening.Wait()
	if _, ended := entry.awaitEnd(7 * time.Second); !ended {
		return "", errors.New("the entry did not end")
	}
	time.Sleep(6 * time.Second)
	broken, firstBroken, asked := 0, "", 0
	for i, f := range flows {
		if !own.holds(f.k) {
			continue
		}
		asked++
		id := fmt.Sprintf("second-%d", i)
		_, err := f.request(id, 2500*time.Millisecond)
		s.rec.line("%s of %s, open at %s: %v", id, f.k.caller, own.id, err)
		if err != nil && err.Error() == "reset" && own.holds(f.k) {
			if broken++; firstBroken == "" {
				firstBroken = f.k.caller.String()
			}
		}
	}
	s.rec.line("%d flows open at %s, %d of them reset by the system", asked, own.id, broken)
	if asked == 0 {
		return "", errors.New("no flow is open at the endpoint")
	}
	if broken > 0 {
		return fmt.Sprintf("FLOW: %d of %d flows that %s holds are reset by the system, the first: %s", broken, asked, own.id, firstBroken), nil
	}
	return "", nil
}
