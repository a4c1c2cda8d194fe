package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// unnamedServers is the number of entries whose services the configuration doesn't name.
	unnamedServers = 5000
	unnamedDrainS  = 2 * time.Second
	unnamedFor     = 6 * time.Second
	leavingServers = 2
)

// runUnnamed adds entries of services that the configuration doesn't name. Then two servers report that they drain, and exit some time after the bound.
func runUnnamed(f *fleet, trouble bool) (bool, error) {
	f.memoryMB, f.drain = 284, unnamedDrainS
	var routes []route
	for i := range 8 {
		service := fmt.Sprintf("desk%d", i)
		if _, err := f.add(service); err != nil {
			return false, err
		}
		routes = append(routes, route{prefix: "/" + service + "/", kind: "non_idempotent", service: service, timeoutS: 1.2, targetS: 0.5})
	}
	f.configure(1, routes)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i := range unnamedServers {
			f.put(fmt.Sprintf("servers/o-%06x", i), map[string]any{"address": fmt.Sprintf("127.90.%d.%d:8080", i/200, 1+i%200), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": fmt.Sprintf("other%d", i%50), "version": "v1", "zone": "mvd-centro", "slots": slots},
				"status": map[string]any{"state": "ready", "seq": 1, "coldRemainingS": 0}})
		}
		f.record("%d entries of services that the configuration doesn't name are in the store", unnamedServers)
	}
	readers, others, err := f.awaitReaders()
	if err != nil {
		return false, err
	}
	f.record("%d machines wait for changes of the store, %d don't", len(readers), len(others))
	leaving := others[:leavingServers]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var acked time.Time
	late, lost := 0, 0
	for _, m := range f.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(sendInterval):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					id := fmt.Sprintf("d%015x", rand.Uint64()>>4)
					status, err := f.get(m, "POST", "/"+m.service+"/1", id)
					times, at := m.server.runs(id)
					mu.Lock()
					defer mu.Unlock()
					if m != leaving[0] && m != leaving[1] || times == 0 || acked.IsZero() || at.Sub(acked) <= unnamedDrainS {
						return
					}
					late++
					if status != 200 {
						lost++
					}
					f.record("POST %s of a client of %s reached its server, which drains, %.3f s after the acknowledgement: status %d, %v", id, m.ip, at.Sub(acked).Seconds(), status, err)
				}()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for _, m := range leaving {
		f.register(m, "draining")
	}
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	f.record("the store has accepted that servers %s and %s drain", leaving[0].server.id, leaving[1].server.id)
	exit := time.AfterFunc(unnamedDrainS+exitDelay, func() {
		f.record("both servers exit")
		for _, m := range leaving {
			m.server.exit()
		}
	})
	defer exit.Stop()
	time.Sleep(unnamedFor)
	close(stop)
	clients.Wait()
	f.record("%d requests reached a server later than %s after the acknowledgement; %d of them ran and were lost with its exit", late, unnamedDrainS, lost)
	return late > 0, nil
}
