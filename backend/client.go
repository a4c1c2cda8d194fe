// Package backend receives attempts for the backend server on this host and sends them to it. A request is executed only if this node's own
// routing table allows it, since the sender's table may differ.
package backend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
)

// Client sends requests to the backend server over HTTP/1.1, with a bounded pool of connections.
type Client struct {
	client     *http1.Client
	address    string
	healthPath string
	now        func() time.Time
}

const (
	// warmBatch is how many connections Warm opens concurrently.
	warmBatch    = 4
	probeTimeout = 2 * time.Second
)

var _ jaypitch.BackendServer = (*Client)(nil)

// NewClient returns a client for the backend server at an address, with at most the given number of connections. Probe requests healthPath.
func NewClient(address, healthPath string, connections int, now func() time.Time) *Client {
	return &Client{client: http1.NewClient(now, http1.WithMaxConnections(connections)), address: address, healthPath: healthPath, now: now}
}

// Do sends a request. It returns once the head of the response is read; the caller reads and closes the body.
func (c *Client) Do(ctx context.Context, r *jaypitch.Request) (*http.Response, error) {
	h := r.Header.Clone()
	h.Set(jaypitch.HeaderCustomer, r.Customer)
	h.Set(jaypitch.HeaderTimeLeft, strconv.FormatInt(r.Deadline.Sub(c.now()).Microseconds(), 10))
	h.Set(jaypitch.HeaderRetries, strconv.Itoa(r.Retries))
	return c.client.Do(ctx, r.Method, c.address, r.Path, h, r.Body)
}

// Probe requests the health endpoint. It reports whether the backend server is draining. If it isn't, a status other than 200 is an error.
func (c *Client) Probe(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := c.client.Do(ctx, http.MethodGet, c.address, c.healthPath, http.Header{}, nil)
	if err != nil {
		return false, eris.Wrap(err, "probing the backend server")
	}
	defer response.Body.Close()
	if response.Header.Get(jaypitch.HeaderDraining) != "" {
		return true, nil
	}
	if response.StatusCode != http.StatusOK {
		return false, eris.Errorf("the health endpoint responded with status %d", response.StatusCode)
	}
	return false, nil
}

// Warm opens connections by sending probes, warmBatch at a time, so that the first requests don't wait for connections.
func (c *Client) Warm(ctx context.Context, connections int) {
	for opened := 0; opened < connections; opened += warmBatch {
		var wg sync.WaitGroup
		for range min(warmBatch, connections-opened) {
			w := &warmer{client: c, wg: &wg}
			wg.Add(1)
			go w.run(ctx)
		}
		wg.Wait()
	}
}

// warmer opens one connection with a probe.
type warmer struct {
	client *Client
	wg     *sync.WaitGroup
}

func (w *warmer) run(ctx context.Context) {
	defer w.wg.Done()
	_, _ = w.client.Probe(ctx)
}
