// Package peer speaks to other nodes: settings, evidence and service-level counts over connect,
// and calls passed on over HTTP/1.1. Both share one listener.
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

	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Traffic counts the bytes of control connections on the wire. It is safe for concurrent use.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Clients keeps one control connection to each peer. It is safe for concurrent use.
type Clients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]schemaconnect.PeerClient
}

// countingConn counts a control connection. One that was accepted carries control traffic if it begins
// with the preface of HTTP/2, and calls otherwise.
type countingConn struct {
	net.Conn
	traffic *Traffic
	control atomic.Bool
	begun   bool
}

const (
	dialTimeout = time.Second
	// idleConnTime closes connections to peers that are no longer parents.
	idleConnTime = 30 * time.Second
	// pingAfter is the silence after which a control connection is probed.
	pingAfter = 5 * time.Second
	pingWait  = 2 * time.Second
	// maxClients bounds the clients kept; their connections are kept by the transport.
	maxClients = 1024
	// maxMessageBytes bounds a control message.
	maxMessageBytes = 16 << 20
	// compressFrom is the size from which messages are compressed.
	compressFrom = 512
	// http2Preface is how a connection of HTTP/2 begins.
	http2Preface = "PRI * HTTP/2.0"
)

// NewClients makes the control clients of a node.
func NewClients(traffic *Traffic) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countingConn{Conn: c, traffic: traffic, begun: true}
			counted.control.Store(true)
			return counted, nil
		},
		IdleConnTimeout: idleConnTime,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingWait},
		Protocols:       new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &Clients{http: &http.Client{Transport: t}, clients: map[string]schemaconnect.PeerClient{}}
}

// To returns the client of the peer at an address.
func (c *Clients) To(address string) schemaconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clients[address]
	if p == nil {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		p = schemaconnect.NewPeerClient(c.http, "http://"+address, connect.WithSendGzip(),
			connect.WithCompressMinBytes(compressFrom), connect.WithReadMaxBytes(maxMessageBytes))
		c.clients[address] = p
	}
	return p
}

// Read counts what is received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.begun && n > 0 {
		c.begun = true
		c.control.Store(strings.HasPrefix(http2Preface, string(b[:min(n, len(http2Preface))])))
	}
	if c.control.Load() {
		c.traffic.Received.Add(int64(n))
	}
	return n, err
}

// Write counts what is sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.control.Load() {
		c.traffic.Sent.Add(int64(n))
	}
	return n, err
}

// countingListener counts what its connections send and receive.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// NewCountingListener makes a listener that counts the bytes of its connections.
func NewCountingListener(l net.Listener, traffic *Traffic) net.Listener {
	return &countingListener{Listener: l, traffic: traffic}
}

// Accept waits for a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}

// HandlerOptions bounds the messages that a node takes.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom)}
}
