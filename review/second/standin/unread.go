package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the machines that read the store stand still. It is the largest in the site files.
	freezeTime = 4 * time.Second
	// drainS is the bound of the deployment, and exitDelay the time after it for which a server that leaves goes on serving.
	drainS    = 2500 * time.Millisecond
	exitDelay = 700 * time.Millisecond
	// transferBytes is the length of the answers that the two other machines exchange.
	transferBytes = 250_000
	// sendInterval is the time between two requests that aren't idempotent.
	sendInterval = 50 * time.Millisecond
	// visitInterval is the time between two short requests of the clients of one machine.
	visitInterval = 50 * time.Millisecond
)

// runUnread freezes the three machines that read the store, while clients of the two others fetch long answers from each other's server. Then a
// server reports that it drains, and exits some time after the bound.
func runUnread(f *fleet, trouble bool) (bool, error) {
	f.linkMbps, f.drain = 16, drainS
	services := []string{"seviye", "kalibre", "arsiv", "olcum", "kayit"}
	for _, service := range services {
		if _, err := f.add(service); err != nil {
			return false, err
		}
	}
	routes := []route{{prefix: "/pull/", kind: "download", service: "arsiv", timeoutS: 1.2, targetS: 0.5, priority: 2}}
	for _, s := range services {
		routes = append(routes, route{prefix: "/read-" + s + "/", kind: "idempotent", service: s, timeoutS: 1, targetS: 0.4, priority: 1},
			route{prefix: "/log-" + s + "/", kind: "non_idempotent", service: s, timeoutS: 1.2, targetS: 0.5, priority: 1})
	}
	f.configure(1, routes)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	readers, others, err := f.awaitReaders()
	if err != nil {
		return false, err
	}
	x, y := others[0], others[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if os.Getenv("EXCHANGE") != "0" {
		wg.Add(1)
		go f.exchange(x, y, stop, &wg)
	}
	for _, m := range f.machines {
		wg.Add(1)
		go f.visit(m, services, stop, &wg)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range readers {
			f.record("machine %s freezes", m.ip)
			if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(20 * time.Millisecond)
	f.register(y, "draining")
	acked := time.Now()
	f.record("the store has accepted that server %s at %s drains", y.server.id, y.ip)
	exited := time.AfterFunc(drainS+exitDelay, func() {
		f.record("server %s exits", y.server.id)
		y.server.exit()
	})
	defer exited.Stop()
	late, lost := 0, 0
	target := "/log-" + y.service + "/1"
	var calls sync.WaitGroup
	for time.Since(acked) < freezeTime {
		calls.Add(1)
		go func() {
			defer calls.Done()
			id := fmt.Sprintf("d%015x", rand.Uint64()>>4)
			sent := time.Since(acked)
			status, err := f.get(x, "POST", target, id)
			times, at := y.server.runs(id)
			if times == 0 || at.Sub(acked) <= drainS {
				return
			}
			f.mu.Lock()
			late++
			if status != 200 {
				lost++
			}
			f.mu.Unlock()
			f.record("request %s, sent to %s %.3f s after the acknowledgement, reached the server that drains %.3f s after it: status %d, %v", id, x.ip, sent.Seconds(), at.Sub(acked).Seconds(), status, err)
		}()
		time.Sleep(sendInterval)
	}
	calls.Wait()
	for _, m := range readers {
		_ = m.process.Process.Signal(syscall.SIGCONT) // fails only if it has ended
	}
	close(stop)
	wg.Wait()
	f.record("%d requests reached the server later than %s after the acknowledgement; %d of them ran and were lost with its exit", late, drainS, lost)
	return late > 0, nil
}

// awaitReaders returns the three machines that wait for changes of the store, and the others.
func (f *fleet) awaitReaders() (readers, others []*machine, err error) {
	time.Sleep(4 * time.Second)
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		readers, others = nil, nil
		for _, m := range f.machines {
			if f.watching(m.index) {
				readers = append(readers, m)
			} else {
				others = append(others, m)
			}
		}
		if len(readers) == 3 {
			return readers, others, nil
		}
	}
	return nil, nil, errors.New("not three machines watch the store")
}

// exchange fetches long answers in turn: a client of x from the server beside y, and one of y from the server beside x.
func (f *fleet) exchange(x, y *machine, stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		from, to := x, y
		if n%2 == 1 {
			from, to = y, x
		}
		began := time.Now()
		status, err := f.get(from, "GET", fmt.Sprintf("/read-%s/1?bytes=%d", to.service, transferBytes), fmt.Sprintf("e%015x", rand.Uint64()>>4))
		f.record("long answer from the server beside %s to a client of %s: status %d after %.3f s, %v", to.ip, from.ip, status, time.Since(began).Seconds(), err)
		if status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// visit sends short requests from a machine to all services, as its clients do all the time.
func (f *fleet) visit(m *machine, services []string, stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(visitInterval):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Its answer doesn't matter.
			_, _ = f.get(m, "GET", "/read-"+services[rand.IntN(len(services))]+"/2", fmt.Sprintf("f%015x", rand.Uint64()>>4))
		}()
	}
}

// get sends a request without a body to a machine on a new connection and returns the status.
func (f *fleet) get(m *machine, method, target, id string) (int, error) {
	c, err := net.Dial("tcp", m.address(f, "callers"))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := send(c, method, target, id); err != nil {
		return 0, err
	}
	return receive(bufio.NewReader(c), id)
}
