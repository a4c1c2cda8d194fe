package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

// tally counts the requests that were sent in a span of time, and those of them that were served.
type tally struct {
	sent, served int
}

func (t tally) share() float64 {
	return float64(t.served) / float64(max(1, t.sent))
}

// entries ends the day with the final fault: right after a change of the configuration all processes are killed, and they start again. Shortly
// before, another writer puts entries into the store that lack fields and have the addresses of servers.
func entries(f *fleet.Fleet, trouble bool) (bool, error) {
	const (
		slots      = 12
		down       = time.Second
		recoveryS  = 15 * time.Second
		span       = 8 * time.Second
		leastShare = 0.25
	)
	for i, s := range []string{"agenda", "agenda", "caja", "caja"} {
		if _, err := f.AddMachine(fmt.Sprintf("z%d", i%2), s, slots, 50*time.Millisecond, 1500); err != nil {
			return false, err
		}
	}
	routes := []fleet.Route{
		{Prefix: "/lohu930/", Kind: "idempotent", Service: "agenda", TargetS: 0.6, TimeoutS: 1.2, Priority: 1},
		{Prefix: "/pufi791/", Kind: "non_idempotent", Service: "caja", TargetS: 0.5, TimeoutS: 1},
	}
	f.PutConfig(7, []string{"agenda", "caja"}, routes...)
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	c := &counter{}
	var wg sync.WaitGroup
	for i, m := range f.Machines {
		for k := range 4 {
			q := fleet.Request{Method: http.MethodGet, Host: fleet.Host, Path: "/lohu930/2f", Deadline: 2500 * time.Millisecond}
			if k%2 == 1 {
				q = fleet.Request{Method: http.MethodPut, Host: fleet.Host, Path: "/pufi791/2f", Body: []byte("job"), Deadline: 2 * time.Second}
			}
			u := &user{fleet: f, machine: m, name: fmt.Sprintf("u%d-%d", i, k), pause: 100 * time.Millisecond, stop: stop, request: q, onAnswer: c.add}
			wg.Add(1)
			go u.run(&wg)
		}
	}
	c.take()
	time.Sleep(span)
	before := c.take()
	if trouble {
		for i, m := range f.Machines {
			m.PutOddEntry(fmt.Sprintf("odd-%d", i))
		}
	}
	routes[0].TimeoutS = 1.1
	f.PutConfig(9, []string{"agenda", "caja"}, routes...)
	for _, m := range f.Machines {
		m.Signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	if err := f.StartAll(); err != nil {
		return false, err
	}
	f.Logf("all machines are back and ready")
	time.Sleep(recoveryS)
	c.take()
	time.Sleep(span)
	after := c.take()
	close(stop)
	wg.Wait()
	result := fmt.Sprintf("served before the final fault: %d of %d; later than %s after the machines are back: %d of %d", before.served, before.sent, recoveryS,
		after.served, after.sent)
	f.Logf("%s", result)
	fmt.Println(result)
	return before.share() >= leastShare && after.share() < leastShare, nil
}

// counter counts the answers since it was taken last.
type counter struct {
	mu  sync.Mutex
	now tally
}

func (c *counter) add(_ fleet.Request, _ bool, a fleet.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.sent++
	if a.Complete && a.Status == http.StatusOK && a.Stamp != "" {
		c.now.served++
	}
}

func (c *counter) take() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.now
	c.now = tally{}
	return t
}
