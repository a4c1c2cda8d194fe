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

// RequestKind describes requests of one kind.
type RequestKind struct {
	// Name begins the IDs of the requests.
	Name     string
	Path     string
	Customer string
	// Target is the latency target.
	Target time.Duration
	// Body is sent with POST, after the request ID. If it is empty, the request is a GET.
	Body string
}

// LoadGenerator sends requests of one kind at a constant rate to a list of addresses in round-robin order.
// It doesn't wait for a response before it sends the next request.
type LoadGenerator struct {
	Kind      RequestKind
	PerSecond float64
	Addresses []string

	lastID *atomic.Int64
	mu     sync.Mutex
	result Result
	wg     sync.WaitGroup
}

// Result counts the requests of a load generator.
type Result struct {
	Sent int64
	// Succeeded is the number of requests with result code OK and a complete response that belongs to the request.
	Succeeded int64
	// InTarget is the number of requests that succeeded within the latency target.
	InTarget int64
	// Invalid is the number of requests with no response, a truncated one or that of another request.
	Invalid int64
	// Codes is the number of requests by result code; -1 stands for invalid responses.
	Codes map[int]int64
	// Latency holds the latencies of the requests that succeeded, in microseconds.
	Latency *hdrhistogram.Histogram
}

// loadRequest is one request of a load generator.
type loadRequest struct {
	generator *LoadGenerator
	id        string
	address   string
}

const (
	maxLatencyUS   = 60_000_000
	latencyDigits  = 3
	requestTimeout = 10 * time.Second
	codeInvalid    = -1
)

var loadClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 1024}}

// NewLoadGenerator returns a load generator whose request IDs begin with the kind's name.
func NewLoadGenerator(k RequestKind, perSecond float64, addresses []string) *LoadGenerator {
	return &LoadGenerator{Kind: k, PerSecond: perSecond, Addresses: addresses, lastID: &atomic.Int64{},
		result: Result{Codes: map[int]int64{}, Latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}}
}

// Run sends requests until the context ends, waits for the last responses and returns the result.
func (l *LoadGenerator) Run(ctx context.Context) Result {
	gap := time.Duration(float64(time.Second) / l.PerSecond)
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		if ctx.Err() != nil {
			break
		}
		c := &loadRequest{generator: l, id: fmt.Sprintf("%s-%d", l.Kind.Name, l.lastID.Add(1)), address: l.Addresses[n%len(l.Addresses)]}
		l.wg.Add(1)
		go c.run()
	}
	l.wg.Wait()
	return l.result
}

func (c *loadRequest) run() {
	defer c.generator.wg.Done()
	started := time.Now()
	code := c.do()
	took := time.Since(started)
	l := c.generator
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
	case codeInvalid:
		l.result.Invalid++
	}
}

// do sends the request and returns the result code of the response, or codeInvalid if there is no response,
// it is truncated, or it is that of another request.
func (c *loadRequest) do() int {
	k := c.generator.Kind
	method, body := http.MethodGet, io.Reader(nil)
	want := c.id + "\n"
	if k.Body != "" {
		want = c.id + " " + k.Body
		method, body = http.MethodPost, strings.NewReader(want)
	}
	r, err := http.NewRequest(method, "http://"+c.address+k.Path, body)
	if err != nil {
		return codeInvalid
	}
	r.Header.Set(jaypitch.HeaderCustomer, k.Customer)
	r.Header.Set(standin.HeaderRequestID, c.id)
	resp, err := loadClient.Do(r)
	if err != nil {
		return codeInvalid
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return codeInvalid
	}
	code, err := strconv.Atoi(resp.Header.Get(jaypitch.HeaderCode))
	if err != nil {
		code = codeOfStatus(resp.StatusCode)
	}
	if code == int(jaypitch.CodeOK) && (resp.StatusCode != http.StatusOK || string(got) != want) {
		return codeInvalid
	}
	return code
}

// codeOfStatus returns the result code for a response sent directly by a backend server, without a result code header.
func codeOfStatus(status int) int {
	if status == http.StatusOK {
		return int(jaypitch.CodeOK)
	}
	return int(jaypitch.CodeShed)
}

// Percentile returns a percentile of the latency, from 0 to 100, in milliseconds.
func (r Result) Percentile(p float64) float64 {
	return float64(r.Latency.ValueAtPercentile(p)) / 1000
}
