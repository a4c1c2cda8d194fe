package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/scenario"
)

// pacer sends calls directly and through two nodes in turn, so that both meet the same machine.
type pacer struct {
	client *http.Client
	paths  [2]string
	times  [2]*hdrhistogram.Histogram
	mu     sync.Mutex
	wg     sync.WaitGroup
	errors int
}

// paced is one call of a pacer.
type paced struct {
	pacer *pacer
	which int
}

const (
	addedTime = 6 * time.Second
	// closedTime and closedCallers make the load that finds the calls of a core.
	closedTime    = 6 * time.Second
	closedCallers = 16
	maxAddedUS    = 10_000_000
)

// addedRates are calls a second: about a node's share at the target, and more.
var addedRates = []float64{70, 500}

// benchAdded measures what two nodes add to a call.
func benchAdded(b scenario.Binaries) error {
	return inFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
		f.Add("entry_1", "manila", "entry", 13, 120)
		f.Add("ledger_1", "manila", "ledger", 13, 120)
		if err := startFleet(f, "fairs", []byte(fairs)); err != nil {
			return err
		}
		for _, rate := range addedRates {
			if err := measureAdded(f, rate); err != nil {
				return err
			}
		}
		return measureCore(f)
	})
}

func measureAdded(f *scenario.Fleet, rate float64) error {
	p := &pacer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second},
		paths: [2]string{"http://" + f.Hosts[0].Backend + "/x?ms=0", "http://" + f.Hosts[1].CallerAddress() + "/fairs/lot_sheet/x?ms=0"}}
	for i := range p.times {
		p.times[i] = hdrhistogram.New(1, maxAddedUS, 3)
	}
	gap := time.Duration(float64(time.Second) / rate / 2)
	next := time.Now()
	for i, end := 0, next.Add(addedTime); time.Now().Before(end); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		p.wg.Add(1)
		go (&paced{p, i % 2}).run()
	}
	p.wg.Wait()
	if p.errors > 0 {
		return fmt.Errorf("%d calls failed", p.errors)
	}
	for _, q := range []float64{50, 99} {
		direct, through := float64(p.times[0].ValueAtPercentile(q))/1000, float64(p.times[1].ValueAtPercentile(q))/1000
		line(fmt.Sprintf("baseline_direct_p%.0f_ms_%.0f", q, rate), direct, "ms")
		line(fmt.Sprintf("added_p%.0f_ms_%.0f", q, rate), through-direct, "ms")
	}
	return nil
}

func (c *paced) run() {
	p := c.pacer
	defer p.wg.Done()
	r, err := http.NewRequest(http.MethodGet, p.paths[c.which], nil)
	if err != nil {
		return
	}
	r.Header.Set(jaypitch.HeaderCustomer, "meadow")
	started := time.Now()
	a, err := p.client.Do(r)
	took := time.Since(started)
	if err == nil {
		_ = a.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || a.StatusCode != http.StatusOK {
		p.errors++
		return
	}
	_ = p.times[c.which].RecordValue(max(1, took.Microseconds()))
}

// closedCaller sends one call after the other.
type closedCaller struct {
	client *http.Client
	url    string
	calls  int64
	wg     *sync.WaitGroup
}

func (c *closedCaller) run(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
		if err != nil {
			return
		}
		r.Header.Set(jaypitch.HeaderCustomer, "meadow")
		a, err := c.client.Do(r)
		if err != nil {
			return
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			c.calls++
		}
	}
}

// measureCore finds how many calls a core of the two nodes carries.
func measureCore(f *scenario.Fleet) error {
	before, err := usageOf(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), closedTime)
	defer cancel()
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: closedCallers}}
	callers := make([]*closedCaller, closedCallers)
	for i := range callers {
		callers[i] = &closedCaller{client: client, url: "http://" + f.Hosts[1].CallerAddress() + "/fairs/lot_sheet/x?ms=0", wg: &wg}
		wg.Add(1)
		go callers[i].run(ctx)
	}
	wg.Wait()
	after, err := usageOf(f)
	if err != nil {
		return err
	}
	var calls int64
	for _, c := range callers {
		calls += c.calls
	}
	cpu := 0.0
	for i := range after {
		cpu += (after[i].CPU - before[i].CPU).Seconds()
	}
	line("calls_per_core_second", float64(calls)/cpu, "1/s")
	return nil
}
