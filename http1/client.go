// Package http1 holds two HTTP/1.1 clients, Client and Pool. When a request fails, they report whether any byte of it
// was sent. They never retry a request themselves.
package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Client sends requests over a pool of connections of net/http. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Error is the error of a failed request.
type Error struct {
	// Sent is false only if no byte of the request was sent, or if its body was withheld because no 100 Continue arrived.
	Sent bool
	Err  error
}

// Option configures a Client.
type Option func(*http.Transport)

// countedConn counts the writes to a connection.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// nonReplayableBody hides the type of a reader, so that the transport can't rewind the body and send it again.
type nonReplayableBody struct {
	io.Reader
}

const (
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 90 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// WithMaxConnections sets the maximum number of connections to one address, in use and idle.
func WithMaxConnections(n int) Option {
	return func(t *http.Transport) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// NewClient returns a client.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	for _, o := range options {
		o(t)
	}
	return &Client{transport: t}
}

// Error returns the text of the cause.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Do sends a request with a body of length bytes. It returns an *Error if the request fails.
func (c *Client) Do(ctx context.Context, method, url string, header http.Header, body io.Reader, length int64) (*http.Response, error) {
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*countedConn)
		before = conn.writes.Load()
	}}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, &nonReplayableBody{body})
	if err != nil {
		return nil, &Error{Err: err}
	}
	r.Header = header
	r.ContentLength = length
	a, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, &Error{Sent: conn != nil && conn.writes.Load() > before, Err: err}
	}
	return a, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// Write counts before it writes, so that an unchanged count proves that nothing was written.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Close does nothing: the reader belongs to the caller.
func (b *nonReplayableBody) Close() error {
	return nil
}
