package main

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

// memory makes a server slow while clients send it long bodies. The platform kills a process that exceeds the memory of its machine, and starts
// it again.
func memory(f *fleet.Fleet, trouble bool) (bool, error) {
	const (
		machines  = 10
		slots     = 12
		bodyBytes = 5_000_000
		work      = 200 * time.Millisecond
		slowX     = 5
		slowFor   = 6500 * time.Millisecond
		perSecond = 3 // uploads of each machine
	)
	for i := range machines {
		s := "agenda"
		if i == machines-1 {
			s = "caja"
		}
		if _, err := f.AddMachine(fmt.Sprintf("z%d", i%3), s, slots, work, 1500); err != nil {
			return false, err
		}
	}
	f.PutConfig(7, []string{"agenda", "caja"},
		fleet.Route{Prefix: "/lohu930/", Kind: "idempotent", Service: "agenda", TargetS: 0.6, TimeoutS: 1.2, Priority: 1},
		fleet.Route{Prefix: "/pufi791/", Kind: "non_idempotent", Service: "caja", TargetS: 1.5, TimeoutS: 1.5})
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	watch := &memoryWatch{fleet: f, stop: stop, most: make([]int, machines)}
	var wg sync.WaitGroup
	wg.Add(1)
	go watch.run(&wg)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var mu sync.Mutex
	closed := make([]int, machines) // by machine
	for i, m := range f.Machines {
		up := &uploads{fleet: f, machine: m, name: fmt.Sprintf("up-%d", i), body: body, pause: time.Second / perSecond, stop: stop}
		wg.Add(1)
		go up.run(&wg)
		for k := range 8 {
			u := &user{fleet: f, machine: m, name: fmt.Sprintf("get-%d-%d", i, k), pause: 20 * time.Millisecond, stop: stop,
				request: fleet.Request{Method: "GET", Host: fleet.Host, Path: "/lohu930/2f", Deadline: 2500 * time.Millisecond},
				onAnswer: func(q fleet.Request, kept bool, a fleet.Answer) {
					mu.Lock()
					defer mu.Unlock()
					if kept && f.Ran(q.ID) && !a.Complete && !a.TimedOut() {
						closed[i]++
					}
				}}
			wg.Add(1)
			go u.run(&wg)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.Logf("the server of caja turns slow, %d times", slowX)
		f.Machines[machines-1].Server.SetWork(slowX * work)
	}
	time.Sleep(slowFor)
	f.Machines[machines-1].Server.SetWork(work)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	const megabyte = 1e6
	result := fmt.Sprintf("memory at its peak %.0f MB of %d; %d processes killed for it; one machine closed %d kept connections without an answer to a request that a sound server worked on",
		float64(watch.most[machines-1])/megabyte, fleet.MemoryMB, watch.killed, slices.Max(closed))
	f.Logf("%s", result)
	fmt.Println(result)
	return watch.killed > 0 && slices.Max(closed) > 3, nil
}

// memoryWatch stands in for the platform's memory limit.
type memoryWatch struct {
	fleet  *fleet.Fleet
	stop   <-chan struct{}
	most   []int
	killed int
}

func (w *memoryWatch) run(wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for i, m := range w.fleet.Machines {
			n := m.Memory()
			w.most[i] = max(w.most[i], n)
			if n <= fleet.MemoryMB<<20 {
				continue
			}
			w.fleet.Logf("the process of %s has %d bytes of anonymous memory, over its limit", m.Name, n)
			m.Signal(syscall.SIGKILL)
			<-m.Ended()
			w.killed++
			time.Sleep(500 * time.Millisecond)
			if err := m.Start(); err != nil {
				w.fleet.Logf("starting %s: %s", m.Name, err)
			}
		}
	}
}

// uploads sends long bodies at a constant rate, each on a new connection.
type uploads struct {
	fleet   *fleet.Fleet
	machine *fleet.Machine
	name    string
	body    []byte
	pause   time.Duration
	stop    <-chan struct{}
}

func (u *uploads) run(wg *sync.WaitGroup) {
	defer wg.Done()
	for n := 0; ; n++ {
		select {
		case <-u.stop:
			return
		case <-time.After(u.pause):
		}
		wg.Add(1)
		go u.send(fmt.Sprintf("%s-%d", u.name, n), wg)
	}
}

func (u *uploads) send(id string, wg *sync.WaitGroup) {
	defer wg.Done()
	c := fleet.NewConn(u.machine.Address("outbound"))
	defer c.Close()
	u.fleet.Logf("client sends %s to %s, body of %d bytes", id, u.machine.Name, len(u.body))
	a := c.Do(fleet.Request{Method: "PUT", Host: fleet.Host, Path: "/pufi791/2f", ID: id, Body: u.body, Deadline: 3 * time.Second})
	u.fleet.Logf("client of %s gets: %s", id, a)
}
