// Package backend speaks to the backend server on this host, and is the last gate before it: whatever a
// sender believes, a call runs only if this node's own settings allow it.
package backend

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
)

// Client is a backend server reached over HTTP/1.1 with a bounded pool of connections.
type Client struct {
	client     *http1.Client
	base       string
	healthPath string
	now        func() time.Time
}

const (
	// warmBatch is how many connections are opened at once after a start.
	warmBatch    = 4
	probeTimeout = 2 * time.Second
)

var _ jaypitch.BackendServer = (*Client)(nil)

// NewClient makes the adapter of a backend server.
func NewClient(address, healthPath string, connections int, now func() time.Time) *Client {
	return &Client{client: http1.NewClient(http1.WithConnections(connections)), base: "http://" + address, healthPath: healthPath, now: now}
}

// Do sends a call and returns the answer's head with its body still to be read.
func (s *Client) Do(ctx context.Context, c *jaypitch.Request) (*http.Response, error) {
	h := c.Header.Clone()
	h.Set(jaypitch.HeaderCustomer, c.Customer)
	h.Set(jaypitch.HeaderTimeLeft, strconv.FormatInt(c.Deadline.Sub(s.now()).Microseconds(), 10))
	h.Set(jaypitch.HeaderRetries, strconv.Itoa(c.Retries))
	return s.client.Do(ctx, c.Method, s.base+c.Path, h, bytes.NewReader(c.Body), int64(len(c.Body)))
}

// Probe asks the health endpoint.
func (s *Client) Probe(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := s.client.Do(ctx, http.MethodGet, s.base+s.healthPath, http.Header{}, bytes.NewReader(nil), 0)
	if err != nil {
		return false, eris.Wrap(err, "probing the backend server")
	}
	defer a.Body.Close()
	if a.Header.Get(jaypitch.HeaderDraining) != "" {
		return true, nil
	}
	if a.StatusCode != http.StatusOK {
		return false, eris.Errorf("the health endpoint answered %d", a.StatusCode)
	}
	return false, nil
}

// Warm opens connections, a few at once, so that first calls don't wait for them.
func (s *Client) Warm(ctx context.Context, connections int) {
	for opened := 0; opened < connections; opened += warmBatch {
		var wg sync.WaitGroup
		for range min(warmBatch, connections-opened) {
			w := &warmer{server: s, wg: &wg}
			wg.Add(1)
			go w.run(ctx)
		}
		wg.Wait()
	}
}

// warmer opens one connection.
type warmer struct {
	server *Client
	wg     *sync.WaitGroup
}

func (w *warmer) run(ctx context.Context) {
	defer w.wg.Done()
	_, _ = w.server.Probe(ctx)
}
