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

// runner runs one load in the background.
type runner struct {
	load   *scenario.LoadGenerator
	result scenario.Result
	wg     *sync.WaitGroup
}

const (
	stopRounds    = 12
	stopPerSecond = 400
	stopGap       = 700 * time.Millisecond
	stopLimit     = 20 * time.Second
	// drainGrace is the time after which a leaving backend server may get no new work.
	drainGrace = 3 * time.Second
)

func (r *runner) run(ctx context.Context) {
	defer r.wg.Done()
	r.result = r.load.Run(ctx)
}

// benchStop stops nodes one after the other under load that isn't idempotent, then lets a backend server drain.
func benchStop(b scenario.Binaries) error {
	return inFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
		scenario.KesongPerya(f)
		if err := startFleet(f, "fairs", []byte(fairs)); err != nil {
			return err
		}
		if err := stopNodes(f); err != nil {
			return err
		}
		return drainServer(f)
	})
}

// stopNodes restarts one entry node after the other while calls arrive at the ledger's nodes.
func stopNodes(f *scenario.Fleet) error {
	k := scenario.RequestKind{Name: "filing", Path: "/fairs/file_entry/x?ms=3", Customer: "meadow", Target: 250 * time.Millisecond, Body: "entry"}
	r, end := startRunner(k, stopPerSecond, callersOf(f, "ledger"))
	for i := range stopRounds {
		h := f.Hosts[i%8]
		time.Sleep(stopGap)
		started := time.Now()
		h.Node().Signal(syscall.SIGTERM)
		status, err := h.Node().Await(stopLimit)
		if err != nil || status != 0 {
			return fmt.Errorf("node %q ended with status %d: %w", h.Name, status, err)
		}
		if i == 0 {
			line("stop_took_ms", ms(time.Since(started)), "ms")
		}
		if err := h.StartNode(); err != nil {
			return err
		}
	}
	end()
	doubles, err := doublesOf(f)
	if err != nil {
		return err
	}
	line("stop_calls", float64(r.result.Sent), "calls")
	line("stop_not_whole", float64(r.result.Sent-r.result.Succeeded), "calls")
	line("stop_unknown", float64(unknownOf(r.result)), "calls")
	line("cut_in_flight", float64(r.result.Invalid), "calls")
	line("doubles", float64(doubles), "calls")
	return nil
}

// drainServer lets a backend server say that it is leaving and counts what reaches it after the grace.
func drainServer(f *scenario.Fleet) error {
	k := scenario.RequestKind{Name: "lots", Path: "/fairs/lot_sheet/x?ms=3", Customer: "meadow", Target: 250 * time.Millisecond}
	r, end := startRunner(k, stopPerSecond, callersOf(f, "ledger"))
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
	end()
	line("reached_within_grace", float64(before.ExecutedWhileDraining), "calls")
	line("reached_after_leaving", float64(after.ExecutedWhileDraining-before.ExecutedWhileDraining), "calls")
	line("drain_not_whole", float64(r.result.Sent-r.result.Succeeded), "calls")
	return nil
}

// startRunner starts a load; the function that it returns ends the load and waits for it.
func startRunner(k scenario.RequestKind, perSecond float64, addresses []string) (*runner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	r := &runner{load: scenario.NewLoadGenerator(k, perSecond, addresses), wg: &wg}
	wg.Add(1)
	go r.run(ctx)
	return r, func() {
		cancel()
		wg.Wait()
	}
}

func callersOf(f *scenario.Fleet, service string) []string {
	var out []string
	for _, h := range f.Hosts {
		if h.Service == service {
			out = append(out, h.CallerAddress())
		}
	}
	return out
}

func doublesOf(f *scenario.Fleet) (int64, error) {
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

func unknownOf(r scenario.Result) int64 {
	var n int64
	for code, count := range r.Codes {
		if code >= 150 && code < 160 {
			n += count
		}
	}
	return n
}
