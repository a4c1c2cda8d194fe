package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

// stopping stops one machine while its server works on long requests of clients of another machine.
func stopping(f *fleet.Fleet, trouble bool) (bool, error) {
	const slots = 12
	for _, s := range []string{"agenda", "caja", "caja"} {
		if _, err := f.AddMachine("z0", s, slots, 8*time.Second, 1000); err != nil {
			return false, err
		}
	}
	f.Machines[0].Server.SetWork(50 * time.Millisecond)
	f.PutConfig(7, []string{"agenda", "caja"},
		fleet.Route{Prefix: "/lohu930/", Kind: "idempotent", Service: "agenda", TargetS: 0.6, TimeoutS: 1.2, Priority: 1},
		fleet.Route{Prefix: "/pufi791/", Kind: "non_idempotent", Service: "caja", TargetS: 9, TimeoutS: 10})
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	closed := 0
	for k := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := fleet.NewConn(f.Machines[0].Address("outbound"))
			defer c.Close()
			first := fleet.Request{Method: "GET", Host: fleet.Host, Path: "/lohu930/2f", ID: fmt.Sprintf("first-%d", k), Deadline: 2500 * time.Millisecond}
			f.Logf("client sends %s to %s", first.ID, f.Machines[0].Name)
			f.Logf("client of %s gets: %s", first.ID, c.Do(first))
			q := fleet.Request{Method: "PUT", Host: fleet.Host, Path: "/pufi791/2f", ID: fmt.Sprintf("long-%d", k), Body: []byte("job"), Deadline: 12 * time.Second}
			f.Logf("client sends %s to %s, kept connection %t", q.ID, f.Machines[0].Name, c.Kept())
			a := c.Do(q)
			f.Logf("client of %s gets: %s", q.ID, a)
			if f.Ran(q.ID) && !a.Complete && !a.TimedOut() {
				mu.Lock()
				defer mu.Unlock()
				closed++
			}
		}()
	}
	time.Sleep(time.Second)
	if trouble {
		f.Machines[1].Signal(syscall.SIGTERM)
	}
	wg.Wait()
	f.Logf("%s, which wasn't stopped, closed %d kept connections without an answer", f.Machines[0].Name, closed)
	fmt.Printf("%s, which wasn't stopped, closed %d kept connections without an answer\n", f.Machines[0].Name, closed)
	return closed > 3, nil
}
