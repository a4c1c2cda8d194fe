package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

// service gives the address of a server that has ended to a server of another service, three times. The machine's settings file names the new
// service, and the process has got SIGHUP, before the new server starts and sends its first call.
func service(f *fleet.Fleet, trouble bool) (bool, error) {
	const (
		slots      = 12
		work       = 20 * time.Millisecond
		reuseAfter = 2 * time.Second
	)
	for i, s := range []string{"agenda", "agenda", "caja", "caja"} {
		if _, err := f.AddMachine(fmt.Sprintf("z%d", i%2), s, slots, work, 1000); err != nil {
			return false, err
		}
	}
	f.PutConfig(7, []string{"agenda", "caja"}, fleet.Route{Prefix: "/pufi791/", Kind: "idempotent", Service: "caja", TargetS: 0.2, TimeoutS: 0.6})
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.Machines[1]
	var mu sync.Mutex
	began := map[string]string{} // the service of the machine at which each call began
	for round := range 3 {
		m.EndServer()
		time.Sleep(reuseAfter + 500*time.Millisecond)
		next := m.Service
		if trouble {
			next = map[string]string{"agenda": "caja", "caja": "agenda"}[m.Service]
		}
		m.Service = next
		if err := m.WriteSettings(); err != nil {
			return false, err
		}
		f.Logf("the settings file of %s names service %s", m.Name, next)
		m.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		if err := m.StartServer(next, slots, work, 1000); err != nil {
			return false, err
		}
		var wg sync.WaitGroup
		for k := range 4 {
			u := &user{fleet: f, machine: m, name: fmt.Sprintf("call-%d-%d", round, k), max: 30, pause: 50 * time.Millisecond,
				request: fleet.Request{Method: "GET", Host: fleet.Host, Path: "/pufi791/2f", Deadline: 600 * time.Millisecond},
				onAnswer: func(q fleet.Request, _ bool, _ fleet.Answer) {
					mu.Lock()
					defer mu.Unlock()
					began[q.ID] = next
				}}
			wg.Add(1)
			go u.run(&wg)
		}
		wg.Wait()
	}
	runs, wrong := f.Runs(), 0
	for _, r := range runs {
		if want := began[r.ID]; r.Caller != want {
			wrong++
			f.Logf("%s began on a machine of service %s, and ran with caller service %q", r.ID, want, r.Caller)
		}
	}
	f.Logf("%d calls ran, %d of them with another caller service than that of their machine", len(runs), wrong)
	fmt.Printf("%d calls ran, %d of them with another caller service than that of their machine\n", len(runs), wrong)
	return wrong > 0, nil
}
