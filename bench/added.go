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

// pairedLoad sends requests alternately to a backend server and through two nodes, so that both measurements run under the same
// machine load.
type pairedLoad struct {
	client *http.Client
	// urls and latencies are for the direct path, then for the path through the nodes. Latencies are in microseconds.
	urls      [2]string
	latencies [2]*hdrhistogram.Histogram
	mu        sync.Mutex
	wg        sync.WaitGroup
	errors    int
}

// pairedRequest is one request of a pairedLoad; index selects its path.
type pairedRequest struct {
	load  *pairedLoad
	index int
}

const (
	overheadTime = 6 * time.Second
	// closedLoopTime and closedLoopClients define the load that measures requests per CPU second.
	closedLoopTime    = 6 * time.Second
	closedLoopClients = 16
	maxLatencyUS      = 10_000_000
)

// overheadRates are in requests per second: about the rate of one node in the target fleet, and a higher rate.
var overheadRates = []float64{70, 500}

// benchOverhead measures the time that two nodes add to a request, and the requests per second of CPU time.
func benchOverhead(b scenario.Binaries) error {
	return withFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
		f.Add("entry_1", "manila", "entry", 13, 120)
		f.Add("ledger_1", "manila", "ledger", 13, 120)
		if err := startFleet(f, "fairs", []byte(fairs)); err != nil {
			return err
		}
		for _, rate := range overheadRates {
			if err := measureOverhead(f, rate); err != nil {
				return err
			}
		}
		return measureRequestsPerCore(f)
	})
}

func measureOverhead(f *scenario.Fleet, rate float64) error {
	p := &pairedLoad{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second},
		urls: [2]string{"http://" + f.Hosts[0].Backend + "/x?ms=0", "http://" + f.Hosts[1].CallerAddress() + "/fairs/lot_sheet/x?ms=0"}}
	for i := range p.latencies {
		p.latencies[i] = hdrhistogram.New(1, maxLatencyUS, 3)
	}
	interval := time.Duration(float64(time.Second) / rate / 2)
	next := time.Now()
	for i, end := 0, next.Add(overheadTime); time.Now().Before(end); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		p.wg.Add(1)
		go (&pairedRequest{p, i % 2}).run()
	}
	p.wg.Wait()
	if p.errors > 0 {
		return fmt.Errorf("%d requests failed", p.errors)
	}
	for _, q := range []float64{50, 99} {
		direct, through := float64(p.latencies[0].ValueAtPercentile(q))/1000, float64(p.latencies[1].ValueAtPercentile(q))/1000
		printFigure(fmt.Sprintf("baseline_direct_p%.0f_ms_%.0f", q, rate), direct, "ms")
		printFigure(fmt.Sprintf("added_p%.0f_ms_%.0f", q, rate), through-direct, "ms")
	}
	return nil
}

func (c *pairedRequest) run() {
	p := c.load
	defer p.wg.Done()
	r, err := http.NewRequest(http.MethodGet, p.urls[c.index], nil)
	if err != nil {
		return
	}
	r.Header.Set(jaypitch.HeaderCustomer, "meadow")
	started := time.Now()
	resp, err := p.client.Do(r)
	took := time.Since(started)
	if err == nil {
		_ = resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || resp.StatusCode != http.StatusOK {
		p.errors++
		return
	}
	_ = p.latencies[c.index].RecordValue(max(1, took.Microseconds()))
}

// closedLoopClient sends requests one after the other and counts those completed with status 200.
type closedLoopClient struct {
	client    *http.Client
	url       string
	completed int64
	wg        *sync.WaitGroup
}

func (c *closedLoopClient) run(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
		if err != nil {
			return
		}
		r.Header.Set(jaypitch.HeaderCustomer, "meadow")
		resp, err := c.client.Do(r)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.completed++
		}
	}
}

// measureRequestsPerCore measures how many requests the two nodes forward per second of CPU time.
func measureRequestsPerCore(f *scenario.Fleet) error {
	before, err := nodeUsages(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), closedLoopTime)
	defer cancel()
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: closedLoopClients}}
	clients := make([]*closedLoopClient, closedLoopClients)
	for i := range clients {
		clients[i] = &closedLoopClient{client: client, url: "http://" + f.Hosts[1].CallerAddress() + "/fairs/lot_sheet/x?ms=0", wg: &wg}
		wg.Add(1)
		go clients[i].run(ctx)
	}
	wg.Wait()
	after, err := nodeUsages(f)
	if err != nil {
		return err
	}
	var completed int64
	for _, c := range clients {
		completed += c.completed
	}
	cpu := 0.0
	for i := range after {
		cpu += (after[i].CPU - before[i].CPU).Seconds()
	}
	printFigure("calls_per_core_second", float64(completed)/cpu, "1/s")
	return nil
}
