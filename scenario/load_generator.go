package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// RequestKind is one kind of call.
type RequestKind struct {
	Name     string
	Path     string
	Customer string
	// Target is the time within which a call is good.
	Target time.Duration
	// Body is sent with POST if it isn't empty.
	Body string
}

// LoadGenerator sends calls of one kind at a steady rate to a list of addresses in turn.
type LoadGenerator struct {
	Kind      RequestKind
	PerSecond float64
	Addresses []string

	ids    *atomic.Int64
	mu     sync.Mutex
	result Result
	wg     sync.WaitGroup
}

// Result is what a load saw.
type Result struct {
	Sent      int64
	Succeeded int64
	// InTarget is the number of whole answers within the target.
	InTarget int64
	// Invalid is the number of answers that ended early or were another call's.
	Invalid int64
	Codes   map[int]int64
	// Latency holds microseconds.
	Latency *hdrhistogram.Histogram
}

// call is one call of a load.
type call struct {
	load    *LoadGenerator
	id      string
	address string
}

const (
	maxLatencyUS  = 60_000_000
	latencyDigits = 3
	callTimeout   = 10 * time.Second
	codeCut       = -1
)

var loadClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 1024}}

// NewLoadGenerator makes a load whose request ids begin with the kind's name.
func NewLoadGenerator(k RequestKind, perSecond float64, addresses []string) *LoadGenerator {
	return &LoadGenerator{Kind: k, PerSecond: perSecond, Addresses: addresses, ids: &atomic.Int64{},
		result: Result{Codes: map[int]int64{}, Latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}}
}

// Run sends calls until the context ends, waits for the last answers and returns what it saw.
func (l *LoadGenerator) Run(ctx context.Context) Result {
	gap := time.Duration(float64(time.Second) / l.PerSecond)
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		if ctx.Err() != nil {
			break
		}
		c := &call{load: l, id: fmt.Sprintf("%s-%d", l.Kind.Name, l.ids.Add(1)), address: l.Addresses[n%len(l.Addresses)]}
		l.wg.Add(1)
		go c.run()
	}
	l.wg.Wait()
	return l.result
}

func (c *call) run() {
	defer c.load.wg.Done()
	started := time.Now()
	code := c.do()
	took := time.Since(started)
	l := c.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	l.result.Codes[code]++
	switch code {
	case int(jaypitch.CodeOK):
		l.result.Succeeded++
		_ = l.result.Latency.RecordValue(max(1, took.Microseconds()))
		if took <= l.Kind.Target {
			l.result.InTarget++
		}
	case codeCut:
		l.result.Invalid++
	}
}

// do sends the call and returns its result code; an answer that isn't the call's own and whole counts as cut.
func (c *call) do() int {
	k := c.load.Kind
	method, body := http.MethodGet, io.Reader(nil)
	want := c.id + "\n"
	if k.Body != "" {
		want = c.id + " " + k.Body
		method, body = http.MethodPost, strings.NewReader(want)
	}
	r, err := http.NewRequest(method, "http://"+c.address+k.Path, body)
	if err != nil {
		return codeCut
	}
	r.Header.Set(jaypitch.HeaderCustomer, k.Customer)
	r.Header.Set(standin.HeaderRequestID, c.id)
	a, err := loadClient.Do(r)
	if err != nil {
		return codeCut
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	if err != nil {
		return codeCut
	}
	code, err := strconv.Atoi(a.Header.Get(jaypitch.HeaderCode))
	if err != nil {
		code = directCode(a.StatusCode)
	}
	if code == int(jaypitch.CodeOK) && (a.StatusCode != http.StatusOK || string(got) != want) {
		return codeCut
	}
	return code
}

// directCode is the result code of an answer that came from a backend server itself.
func directCode(status int) int {
	if status == http.StatusOK {
		return int(jaypitch.CodeOK)
	}
	return int(jaypitch.CodeShed)
}

// Percentile returns a percentile of the latency in milliseconds.
func (r Result) Percentile(p float64) float64 {
	return float64(r.Latency.ValueAtPercentile(p)) / 1000
}
