package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// backgroundLoad runs a load in a goroutine; result is set when the load has ended.
type backgroundLoad struct {
	generator *scenario.LoadGenerator
	result    scenario.Result
	wg        *sync.WaitGroup
}

const (
	stopRounds = 12
	// stopRate is in requests per second.
	stopRate     = 400
	stopInterval = 700 * time.Millisecond
	stopLimit    = 20 * time.Second
	// drainGrace is the time after which a draining backend server must receive no new requests.
	drainGrace = 3 * time.Second
)

func (r *backgroundLoad) run(ctx context.Context) {
	defer r.wg.Done()
	r.result = r.generator.Run(ctx)
}

// benchStop restarts nodes one after the other under a load of non-idempotent requests, then drains a backend server.
func benchStop(b scenario.Binaries) error {
	return withFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
		scenario.KesongPerya(f)
		if err := startFleet(f, "fairs", []byte(fairs)); err != nil {
			return err
		}
		if err := restartNodes(f); err != nil {
			return err
		}
		return drainServer(f)
	})
}

// restartNodes restarts nodes of the service entry one after the other while clients send requests to the nodes of the service ledger.
func restartNodes(f *scenario.Fleet) error {
	k := scenario.RequestKind{Name: "filing", Path: "/fairs/file_entry/x?ms=3", Customer: "meadow", Target: 250 * time.Millisecond, Body: "entry"}
	r, stop := startLoad(k, stopRate, callerAddresses(f, "ledger"))
	for i := range stopRounds {
		h := f.Hosts[i%8]
		time.Sleep(stopInterval)
		started := time.Now()
		h.Node().Signal(syscall.SIGTERM)
		status, err := h.Node().Await(stopLimit)
		if err != nil || status != 0 {
			return fmt.Errorf("node %q exited with status %d: %w", h.Name, status, err)
		}
		if i == 0 {
			printFigure("stop_took_ms", ms(time.Since(started)), "ms")
		}
		if err := h.StartNode(); err != nil {
			return err
		}
	}
	stop()
	duplicates, err := duplicateExecutions(f)
	if err != nil {
		return err
	}
	printFigure("stop_calls", float64(r.result.Sent), "calls")
	printFigure("stop_not_whole", float64(r.result.Sent-r.result.Succeeded), "calls")
	printFigure("stop_unknown", float64(unknownExecutions(r.result)), "calls")
	printFigure("cut_in_flight", float64(r.result.Invalid), "calls")
	printFigure("doubles", float64(duplicates), "calls")
	return nil
}

// drainServer sets a backend server to draining and counts the requests that it receives within and after the grace time.
func drainServer(f *scenario.Fleet) error {
	k := scenario.RequestKind{Name: "lots", Path: "/fairs/lot_sheet/x?ms=3", Customer: "meadow", Target: 250 * time.Millisecond}
	r, stop := startLoad(k, stopRate, callerAddresses(f, "ledger"))
	h := f.Hosts[0]
	if err := h.SetServer(standin.ServerSettings{ServiceTimeMS: 5, Draining: true}); err != nil {
		return err
	}
	time.Sleep(drainGrace)
	before, err := h.ServerCounts()
	if err != nil {
		return err
	}
	time.Sleep(drainGrace)
	after, err := h.ServerCounts()
	if err != nil {
		return err
	}
	stop()
	printFigure("reached_within_grace", float64(before.ExecutedWhileDraining), "calls")
	printFigure("reached_after_leaving", float64(after.ExecutedWhileDraining-before.ExecutedWhileDraining), "calls")
	printFigure("drain_not_whole", float64(r.result.Sent-r.result.Succeeded), "calls")
	return nil
}

// startLoad starts a load. The returned function stops the load and waits for its last responses.
func startLoad(k scenario.RequestKind, perSecond float64, addresses []string) (*backgroundLoad, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	r := &backgroundLoad{generator: scenario.NewLoadGenerator(k, perSecond, addresses), wg: &wg}
	wg.Add(1)
	go r.run(ctx)
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// callerAddresses returns the addresses at which the nodes of a service accept requests of clients.
func callerAddresses(f *scenario.Fleet, service string) []string {
	var out []string
	for _, h := range f.Hosts {
		if h.Service == service {
			out = append(out, h.CallerAddress())
		}
	}
	return out
}

// duplicateExecutions returns how many executions at the backend servers repeated a request that had been executed before.
func duplicateExecutions(f *scenario.Fleet) (int64, error) {
	var n int64
	for _, h := range f.Hosts {
		c, err := h.ServerCounts()
		if err != nil {
			return 0, err
		}
		n += c.Duplicates
	}
	return n, nil
}

// unknownExecutions returns how many requests ended with a result code for unknown execution (150 to 159).
func unknownExecutions(r scenario.Result) int64 {
	var n int64
	for code, count := range r.Codes {
		if code >= 150 && code < 160 {
			n += count
		}
	}
	return n
}
