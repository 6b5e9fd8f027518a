package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	bookings = netip.MustParseAddrPort("198.18.0.1:8080")
	pages    = netip.MustParseAddrPort("198.18.0.2:8443")
)

// serviceName: the names of a day's two services have the same 32-bit FNV-1a hash. Requests of the
// first one's route are run by the second one.
func serviceName(s *site, trouble bool) (string, error) {
	first, second := "rupo72a", "baso22b"
	if trouble {
		second = "baso21b"
	}
	serviceOf := map[netip.AddrPort]string{bookings: first, pages: second}
	var mu sync.Mutex
	foreign, runs := 0, 0
	firstForeign := ""
	onRun := func(e *endpoint, vip netip.AddrPort, request string) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		if serviceOf[vip] != e.service {
			if foreign++; firstForeign == "" {
				firstForeign = fmt.Sprintf("%s of route %s, whose service is %s, by %s of %s", request, vip, serviceOf[vip], e.id, e.service)
			}
		}
	}
	s.setConfig(7, serviceOf, first, second)
	for n := byte(101); n <= 104; n++ {
		service := first
		if n > 102 {
			service = second
		}
		if _, err := s.startEndpoint(n, service, onRun); err != nil {
			return "", err
		}
		if _, err := s.startProc("agent", n, service); err != nil {
			return "", err
		}
	}
	for n := byte(1); n <= 2; n++ {
		if _, err := s.startProc("entry", n, ""); err != nil {
			return "", err
		}
	}
	go s.probe()
	if !s.awaitReady(2, 15*time.Second) {
		return "", errors.New("entries are not ready")
	}
	time.Sleep(5 * time.Second)
	c, err := s.newConsumer(240)
	if err != nil {
		return "", err
	}
	answered, wrong := 0, 0
	const asked = 120
	for i := range asked {
		vip := bookings
		if i%2 == 1 {
			vip = pages
		}
		id := fmt.Sprintf("r%d", i)
		s.rec.line("consumer sends %s to %s, whose service is %s", id, vip, serviceOf[vip])
		f, err := c.open(vip)
		if err != nil {
			s.rec.line("%s: flow not open: %v", id, err)
			continue
		}
		got, err := f.request(id, 600*time.Millisecond)
		s.rec.line("%s: answer %q, %v", id, got, err)
		if err == nil {
			if answered++; !strings.HasPrefix(got, serviceOf[vip]+" ") {
				wrong++
			}
			f.close()
		}
		time.Sleep(30 * time.Millisecond)
	}
	if answered < asked/2 {
		return "", fmt.Errorf("%d of %d requests are answered", answered, asked)
	}
	mu.Lock()
	defer mu.Unlock()
	s.rec.line("%d requests, %d answered, %d of them by a foreign service; %d runs, %d of them at a foreign service", asked, answered, wrong, runs, foreign)
	if foreign > 0 {
		return fmt.Sprintf("ROUTE: %d of %d requests were run by a service that no desired state allows, the first: %s", foreign, runs, firstForeign), nil
	}
	return "", nil
}

// hangup: while an entry that was told to stop drains, the settings files change (SIGHUP).
func hangup(s *site, trouble bool) (string, error) {
	const service = "huvo11a"
	s.setConfig(7, map[netip.AddrPort]string{bookings: service}, service)
	var mu sync.Mutex
	ran := map[string]int{}
	onRun := func(_ *endpoint, _ netip.AddrPort, request string) {
		mu.Lock()
		defer mu.Unlock()
		ran[request]++
	}
	for n := byte(101); n <= 103; n++ {
		if _, err := s.startEndpoint(n, service, onRun); err != nil {
			return "", err
		}
		if _, err := s.startProc("agent", n, service); err != nil {
			return "", err
		}
	}
	var entries []*proc
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
	time.Sleep(5 * time.Second)
	// Consumers keep flows open and send a booking each 250 ms on each.
	var lost, asked int
	var firstLost string
	var consumers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 24 {
		c, err := s.newConsumer(byte(200 + i))
		if err != nil {
			return "", err
		}
		consumers.Go(func() {
			var f *flow
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				if f == nil {
					if f, err = c.open(bookings); err != nil {
						f = nil
						s.rec.line("consumer %d: flow not open: %v", i, err)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				begin := time.Now()
				got, err := f.request(id, 600*time.Millisecond)
				mu.Lock()
				asked++
				if err != nil {
					lost++
					s.rec.line("%s: sent %.3f s before, NOT ANSWERED: %v", id, time.Since(begin).Seconds(), err)
					if firstLost == "" {
						firstLost = id
					}
					f = nil
				} else {
					s.rec.line("%s: answered %q after %.3f s", id, got, time.Since(begin).Seconds())
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	crashes := 0
	note := ""
	for _, p := range entries {
		p.signal(syscall.SIGTERM)
		if trouble {
			time.Sleep(300 * time.Millisecond)
			p.signal(syscall.SIGHUP)
		}
		state, ended := p.awaitEnd(7 * time.Second)
		if !ended {
			return "", errors.New("the entry did not end in its grace time")
		}
		if ws, ok := state.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			crashes++
			note = ws.Signal().String()
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	consumers.Wait()
	s.rec.line("%d requests asked, %d not answered, first %s; %d of %d entries were ended by a signal %s", asked, lost, firstLost, crashes, len(entries), note)
	if crashes > 0 {
		return fmt.Sprintf("%d of %d entries that were told to stop were ended by a signal (%s) while they drained; %d of %d requests were not answered", crashes, len(entries), note, lost, asked), nil
	}
	if lost > 0 {
		s.rec.line("requests were not answered without the disruption")
	}
	return "", nil
}
