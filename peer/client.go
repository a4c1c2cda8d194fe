// Package peer connects a node to other nodes. Control messages, which distribute documents and gather evidence and service-level counts,
// use Connect over HTTP/2; attempts use HTTP/1.1. Both share one listener.
package peer

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Traffic counts the bytes that control connections send and receive, with the overhead of HTTP/2. It is safe for concurrent use.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Clients holds a control client for each peer. Each client sends its requests over one connection. It is safe for concurrent use.
type Clients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]schemaconnect.PeerClient
}

// countingConn counts the bytes of a control connection. An accepted connection is a control connection if it begins with the
// HTTP/2 preface; otherwise it carries attempts, which aren't counted.
type countingConn struct {
	net.Conn
	traffic *Traffic
	control atomic.Bool
	// classified is true once control is known: from the start for a dialed connection, after the first read for an accepted one.
	classified bool
}

const (
	dialTimeout = time.Second
	// idleConnTimeout is the time after which an unused connection is closed, such as one to a peer that is no longer a parent.
	idleConnTimeout = 30 * time.Second
	// pingIdleTime is the time without a received frame after which a ping is sent on a control connection.
	pingIdleTime = 5 * time.Second
	pingTimeout  = 2 * time.Second
	// maxClients is the maximum number of clients in the map. The transport holds their connections, so clearing the map closes none.
	maxClients = 1024
	// maxMessageBytes is the maximum size of a control message.
	maxMessageBytes = 16 << 20
	// compressMinBytes is the size from which messages are compressed.
	compressMinBytes = 512
	// http2Preface is the start of the preface that an HTTP/2 client sends first.
	http2Preface = "PRI * HTTP/2.0"
)

// NewClients returns an empty set of clients whose connections are counted in traffic.
func NewClients(traffic *Traffic) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countingConn{Conn: c, traffic: traffic, classified: true}
			counted.control.Store(true)
			return counted, nil
		},
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		Protocols:       new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &Clients{http: &http.Client{Transport: http1.NewBoundedTransport(t, maxMessageBytes)}, clients: map[string]schemaconnect.PeerClient{}}
}

// To returns the client for the peer at an address, host:port. It creates the client if there is none.
func (c *Clients) To(address string) schemaconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clients[address]
	if p == nil {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		p = schemaconnect.NewPeerClient(c.http, "http://"+address, connect.WithSendGzip(),
			connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes))
		c.clients[address] = p
	}
	return p
}

// Read reads from the connection and counts the bytes. The first read of an accepted connection classifies it.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.classified && n > 0 {
		c.classified = true
		c.control.Store(strings.HasPrefix(http2Preface, string(b[:min(n, len(http2Preface))])))
	}
	if c.control.Load() {
		c.traffic.Received.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.control.Load() {
		c.traffic.Sent.Add(int64(n))
	}
	return n, err
}

// countingListener counts the bytes of the control connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// NewCountingListener returns a listener that counts the bytes of its control connections in traffic.
func NewCountingListener(l net.Listener, traffic *Traffic) net.Listener {
	return &countingListener{Listener: l, traffic: traffic}
}

// Accept waits for a connection, which isn't classified yet.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}

// HandlerOptions returns the options of a node's control handler: the maximum size of a request and the compression of responses.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes)}
}
