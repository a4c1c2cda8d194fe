package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

const (
	shortAnswer = 30_000
	longAnswer  = 2_000_000
)

// answers moves a route to a service whose answers are long. Its servers are sound.
func answers(f *fleet.Fleet, trouble bool) (bool, error) {
	const slots = 12
	for i, s := range []struct {
		service string
		bytes   int
	}{{"agenda", shortAnswer}, {"agenda", shortAnswer}, {"caja", longAnswer}, {"caja", longAnswer}} {
		if _, err := f.AddMachine(fmt.Sprintf("z%d", i%2), s.service, slots, 50*time.Millisecond, s.bytes); err != nil {
			return false, err
		}
	}
	other := fleet.Route{Prefix: "/pufi791/", Kind: "idempotent", Service: "agenda", TargetS: 0.6, TimeoutS: 1.2, Priority: 1}
	route := fleet.Route{Prefix: "/lohu930/", Kind: "idempotent", Service: "agenda", TargetS: 0.6, TimeoutS: 1.2, Priority: 1}
	f.PutConfig(7, []string{"agenda", "caja"}, other, route)
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		route.Service = "caja"
		f.PutConfig(9, []string{"agenda", "caja"}, other, route)
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, cut := 0, 0
	for i, m := range f.Machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 25 {
				c := fleet.NewConn(m.Address("outbound"))
				q := fleet.Request{Method: "GET", Host: fleet.Host, Path: "/pufi791/2f", ID: fmt.Sprintf("u%d-%d-first", i, n), Deadline: 2500 * time.Millisecond}
				f.Logf("client sends %s %s to %s", q.ID, q.Path, m.Name)
				f.Logf("client of %s gets: %s", q.ID, c.Do(q))
				q.Path, q.ID = "/lohu930/2f", fmt.Sprintf("u%d-%d-second", i, n)
				kept := c.Kept()
				f.Logf("client sends %s %s to %s on the same connection, which is still open: %t", q.ID, q.Path, m.Name, kept)
				a := c.Do(q)
				f.Logf("client of %s gets: %s", q.ID, a)
				c.Close()
				mu.Lock()
				sent++
				if kept && f.Ran(q.ID) && !a.Complete && !a.TimedOut() {
					cut++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	f.Logf("%d requests; %d on kept connections, which their machine closed before the whole answer", sent, cut)
	fmt.Printf("%d requests; %d on kept connections, which their machine closed before the whole answer\n", sent, cut)
	return cut > 3, nil
}
