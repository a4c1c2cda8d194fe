package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// manyRoutes is the number of routes: those that the site's configuration has in any case, and those of one big_config.
	manyRoutes = 1120 + 1680
	// stormTime and stormGap are those of the densest config_storm of the site.
	stormTime = 2 * time.Second
	stormGap  = 80 * time.Millisecond
	// calmTime is how long after the disruption a server drains. All machines are in touch again after 3 s.
	calmTime = 8 * time.Second
	watchFor = 5 * time.Second
	configS  = 2500 * time.Millisecond
)

// runStorm lets the connections to the store go silent at the beginning of a storm of configurations. Some seconds later a server reports that it
// drains, and exits some time after the bound.
func runStorm(f *fleet, trouble bool) (bool, error) {
	f.linkMbps, f.memoryMB, f.drain = 140, 184, drainS
	for _, service := range []string{"entries-desk", "entries-desk", "entries-desk", "fair-ledger", "fair-ledger", "fair-ledger"} {
		if _, err := f.add(service); err != nil {
			return false, err
		}
	}
	version := 1
	f.configure(version, stormRoutes("entries-desk"))
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		n := 0
		for _, l := range f.storeListeners {
			n += l.silence()
		}
		f.record("the %d open connections to the store go silent; new ones work", n)
	}
	began := time.Now()
	for time.Since(began) < stormTime {
		version++
		f.configure(version, stormRoutes([]string{"entries-desk", "fair-ledger"}[version%2]))
		time.Sleep(stormGap)
	}
	version++
	if version%2 == 0 {
		version++
	}
	f.configure(version, stormRoutes("fair-ledger"))
	configAcked := time.Now()
	f.record("the last of %d configurations, r%d, is accepted; it sends /moved/ to fair-ledger", version-1, version)
	time.Sleep(calmTime - time.Since(began))
	leaving := f.machines[3]
	f.register(leaving, "draining")
	acked := time.Now()
	f.record("the store has accepted that server %s drains", leaving.server.id)
	exited := time.AfterFunc(drainS+exitDelay, func() {
		f.record("server %s exits", leaving.server.id)
		leaving.server.exit()
	})
	defer exited.Stop()
	stale, late, lost := 0, 0, 0
	var calls sync.WaitGroup
	for n := 0; time.Since(acked) < watchFor; n++ {
		m := f.machines[n%len(f.machines)]
		calls.Add(1)
		go func() {
			defer calls.Done()
			id := fmt.Sprintf("d%015x", rand.Uint64()>>4)
			sent := time.Since(acked)
			status, err := f.get(m, "POST", "/fees/1", id)
			times, at := leaving.server.runs(id)
			if times == 0 || at.Sub(acked) <= drainS {
				return
			}
			f.mu.Lock()
			late++
			if status != 200 {
				lost++
			}
			f.mu.Unlock()
			f.record("POST %s, sent to %s %.3f s after the acknowledgement, reached the server that drains %.3f s after it: status %d, %v", id, m.ip, sent.Seconds(), at.Sub(acked).Seconds(), status, err)
		}()
		calls.Add(1)
		go func() {
			defer calls.Done()
			id := fmt.Sprintf("e%015x", rand.Uint64()>>4)
			sent := time.Since(configAcked)
			_, _ = f.get(m, "GET", "/moved/1", id) // where it ran counts
			for _, o := range f.machines[:3] {
				if times, _ := o.server.runs(id); times > 0 && sent > configS {
					f.mu.Lock()
					stale++
					f.mu.Unlock()
				}
			}
		}()
		time.Sleep(sendInterval)
	}
	calls.Wait()
	f.record("%d requests reached the server later than %s after the acknowledgement; %d of them ran and were lost with its exit", late, drainS, lost)
	f.record("%d requests of the moved route, sent later than %s after its version, were run by the old service", stale, configS)
	return late > 0, nil
}

// stormRoutes returns the routes of a configuration. One of them goes to the given service.
func stormRoutes(moved string) []route {
	out := []route{{prefix: "/fees/", kind: "non_idempotent", service: "fair-ledger", timeoutS: 2, targetS: 0.5}, {prefix: "/moved/", kind: "idempotent", service: moved, timeoutS: 2, targetS: 0.8, priority: 1}}
	for len(out) < manyRoutes {
		out = append(out, route{prefix: fmt.Sprintf("/route%d/", len(out)), kind: "idempotent", service: "entries-desk", timeoutS: 2, targetS: 0.8, priority: 1})
	}
	return out
}
