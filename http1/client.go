// Package http1 is an HTTP/1.1 client with a bounded pool that knows, when a request fails, whether any
// byte of it was sent, and that never sends a request a second time by itself.
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

// Client sends requests over a pool of connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Error is a failed request.
type Error struct {
	// Sent is false only if no byte of the request was sent, or its body was held back.
	Sent bool
	Err  error
}

// Option changes a Client that is being made.
type Option func(*http.Transport)

type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// nonReplayableBody is a body that the transport can't send again.
type nonReplayableBody struct {
	io.Reader
}

const (
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 90 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// WithMaxConnections bounds the connections to one address.
func WithMaxConnections(n int) Option {
	return func(t *http.Transport) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// NewClient makes a client.
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

// Error returns the cause.
func (e *Error) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Do sends a request with a body. An error is an *Error.
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

// CloseIdle closes connections that are not in use.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}

// Write counts before it writes, so that a count that didn't grow is certain.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Close has nothing to close.
func (b *nonReplayableBody) Close() error {
	return nil
}
