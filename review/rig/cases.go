package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// openFlows opens n flows to a route at once and sends a request on each.
func (w *world) openFlows(zone, routeName string, n, want int) []*clientFlow {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []*clientFlow
	to := w.routeNamed(routeName).address()
	for range n {
		wg.Go(func() {
			f, err := w.clients[zone].dial(to)
			if err != nil {
				w.note("flow %s not opened: %v", f.id, err)
				return
			}
			id, by, err := f.request("GET", "/feed", 0, want, time.Second)
			w.note("request %s on %s: answered by %q, error: %v", id, f.id, by, err)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, f)
		})
	}
	wg.Wait()
	return out
}

// again sends another request on each of the flows.
func (w *world) again(flows []*clientFlow, want int, budget time.Duration) {
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() {
			id, by, err := f.request("GET", "/feed", 0, want, budget)
			w.note("request %s on %s: answered by %q, error: %v", id, f.id, by, err)
		})
	}
	wg.Wait()
}

func (w *world) closeFlows(flows []*clientFlow) {
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(f.closeFlow)
	}
	wg.Wait()
}

// moveRoute lets a route send its new flows to a service.
func (w *world) moveRoute(name, service string) {
	r := w.routeNamed(name)
	r.Service = service
	w.setRoute(r)
	w.configure(2+rand.Uint64N(3), fmt.Sprintf("%s goes to %s", name, service))
}

const (
	// changeGap is the time between two desired states in quick succession.
	changeGap  = 330 * time.Millisecond
	joinRounds = 9
)

// runJoin lets an entry machine join right after two desired states in quick succession: the
// new flows of a route go to another service and, changeGap later, to the first one again. The
// machine leaves after a while. Each round takes another zone, route and address.
func runJoin(w *world, trouble bool) error {
	w.planned = true
	for i := range joinRounds {
		r := routeDoc{Name: fmt.Sprintf("viewing-booking-%d", i+1), Host: fmt.Sprintf("198.18.1.%d", i+1), Prefix: "/8080/", Type: "unsafe", Timeout: 600, Target: 120, Priority: 1, Service: "maklerlink", Attempts: 2}
		w.setRoute(r)
	}
	if err := w.startSite(listings); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for i := range joinRounds {
		zone := listings.zones[i%len(listings.zones)]
		name := fmt.Sprintf("viewing-booking-%d", i+1)
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
		begin := time.Now()
		w.moveRoute(name, "exposeserver")
		time.Sleep(60 * time.Millisecond)
		flows := w.openFlows(zone, name, 12, 600)
		time.Sleep(time.Until(begin.Add(changeGap)))
		w.moveRoute(name, "maklerlink")
		var spare *proc
		if trouble {
			var err error
			if spare, err = w.addSpare(listings, zone, i/len(listings.zones)); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(begin.Add(4 * time.Second)))
		w.again(flows, 600, 2*time.Second)
		w.closeFlows(flows)
		if trouble {
			w.remove(spare)
		}
	}
	return nil
}

// runKilled kills all processes of the system right after a desired state is acknowledged.
func runKilled(w *world, trouble bool) error {
	if err := w.startSite(listings); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for round := range 3 {
		w.moveRoute("listing-feed", "exposeserver")
		time.Sleep(60 * time.Millisecond)
		var flows []*clientFlow
		var wg sync.WaitGroup
		var mu sync.Mutex
		for _, zone := range listings.zones {
			wg.Go(func() {
				more := w.openFlows(zone, "listing-feed", 8, 4000)
				mu.Lock()
				defer mu.Unlock()
				flows = append(flows, more...)
			})
		}
		wg.Wait()
		w.moveRoute("listing-feed", "maklerlink")
		time.Sleep(50 * time.Millisecond)
		if trouble {
			w.note("all processes of the system are killed, round %d", round+1)
			w.disturbed()
			for _, p := range w.procs {
				p.hold(true)
				p.signal(syscall.SIGKILL)
			}
			time.Sleep(900 * time.Millisecond)
			for _, p := range w.procs {
				p.hold(false)
			}
			time.Sleep(restartDelay + 200*time.Millisecond)
			w.disturbed()
			w.note("all processes run again")
		}
		time.Sleep(7 * time.Second)
		w.again(flows, 4000, 2*time.Second)
		w.closeFlows(flows)
		time.Sleep(2 * time.Second)
	}
	return nil
}

// runLongFlow sends many requests on one flow. Without trouble it opens another flow after each
// hundred requests.
func runLongFlow(w *world, trouble bool) error {
	w.planned = true
	if err := w.startSite(listings); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const (
		requests = 750
		size     = 24000 // the largest answer of the route's class
		pause    = 30 * time.Millisecond
	)
	to := w.routeNamed("listing-feed").address()
	var f *clientFlow
	for i := range requests {
		if f == nil || !trouble && i%100 == 0 {
			if f != nil {
				f.closeFlow()
			}
			var err error
			if f, err = w.clients["graz-nord"].dial(to); err != nil {
				return err
			}
			w.note("flow %s is open", f.id)
		}
		id, by, err := f.request("GET", "/feed", 0, size, time.Second)
		w.note("request %d %s on %s: answered by %q, error: %v", i+1, id, f.id, by, err)
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	return nil
}

// runLatePing delays a ping of an endpoint that crashes until the next lifetime at its address
// has served for a while.
func runLatePing(w *world, trouble bool) error {
	if err := w.startSite(listings); err != nil {
		return err
	}
	e := w.eps[0]
	l, err := newWire(w, w.at(e.host, portWire), e.control)
	if err != nil {
		return err
	}
	defer l.listener.Close()
	e.mu.Lock()
	e.control = w.at(e.host, portWire)
	e.mu.Unlock()
	time.Sleep(5 * time.Second)
	l.hold()
	time.Sleep(1500 * time.Millisecond)
	w.note("endpoint %s on %s crashes", e.id, e.name)
	if err := e.crash(1500 * time.Millisecond); err != nil {
		return err
	}
	w.disturbed()
	begin := time.Now()
	w.note("endpoint %s starts at the address", e.id)
	var flows []*clientFlow
	for time.Since(begin) < 8*time.Second {
		flows = append(flows, w.openFlows("graz-nord", "viewing-booking", 2, 600)...)
		time.Sleep(200 * time.Millisecond)
	}
	w.note("endpoint %s holds %d open flows", e.id, e.openFlows())
	if e.openFlows() == 0 {
		return errors.New("the new lifetime got no flows")
	}
	if trouble {
		l.release()
	}
	time.Sleep(2 * time.Second)
	w.again(flows, 600, 2*time.Second)
	return nil
}
