package http1

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Client sends requests over a Pool with a bounded number of connections to each address. It is safe for concurrent use.
type Client struct {
	pool           *Pool
	maxConnections int

	mu sync.Mutex
	// inUse holds, by address, a channel with an element for each request in progress.
	inUse map[string]chan struct{}
	// sweepAt is when expired connections are closed next.
	sweepAt time.Time
}

// Error is the error of a failed request.
type Error struct {
	// Sent is false only if no byte of the request was sent, or if its body was withheld because no 100 Continue arrived.
	Sent bool
	Err  error
}

// Option configures a Client.
type Option func(*Client)

// releasingBody is the body of a response whose request is in progress until the body has been read or closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

const (
	// clientIdleTime is how long a connection of a Client may be idle. It is below the time after which nodes close idle connections.
	clientIdleTime        = 90 * time.Second
	defaultMaxConnections = 32
	sweepInterval         = time.Second
)

// WithMaxConnections sets the maximum number of connections to one address, in use and idle.
func WithMaxConnections(n int) Option {
	return func(c *Client) { c.maxConnections = n }
}

// NewClient returns a client that reads the time from now.
func NewClient(now func() time.Time, options ...Option) *Client {
	c := &Client{pool: NewPool(now, WithMaxIdleTime(clientIdleTime)), maxConnections: defaultMaxConnections, inUse: map[string]chan struct{}{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Error returns the text of the cause.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Do sends a request to an address, host:port, once a connection is free. Target is the path with the query. It returns an *Error if the request
// fails. The caller reads the response body to its end or closes it.
func (c *Client) Do(ctx context.Context, method, address, target string, header http.Header, body []byte) (*http.Response, error) {
	inUse := c.semaphore(address)
	select {
	case inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Err: ctx.Err()}
	}
	release := sync.OnceFunc(func() { <-inUse })
	a, err := c.pool.Do(ctx, address, &Request{Method: method, Target: target, Host: address, Header: header, Body: body})
	if err != nil {
		release()
		return nil, err
	}
	a.Body = &releasingBody{ReadCloser: a.Body, release: release}
	return a, nil
}

// semaphore returns the channel of an address. It closes expired connections from time to time.
func (c *Client) semaphore(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.pool.now(); !now.Before(c.sweepAt) {
		c.sweepAt = now.Add(sweepInterval)
		c.pool.CloseExpired()
	}
	s := c.inUse[address]
	if s == nil {
		s = make(chan struct{}, c.maxConnections)
		c.inUse[address] = s
	}
	return s
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.pool.closeAllIdle()
}

// Read reads from the body. At its end it releases the request.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release()
	}
	return n, err
}

// Close closes the body and releases the request.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}
