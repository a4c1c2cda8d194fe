package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch/connlimit"
	"github.com/jaypitch/jaypitch/outbound"
)

// listeners are the sockets of a sidecar.
type listeners struct {
	callers, peers, ready, metrics net.Listener
}

// serveTask serves one listener.
type serveTask struct {
	server   *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

const (
	// peerIdleTimeout is how long a connection from a sidecar, the platform or Prometheus may stay idle. It is longer than a sidecar's
	// pool keeps an idle connection.
	peerIdleTimeout = 30 * time.Second
	// headerTimeout bounds the time to read the headers of a request from a sidecar, the platform or Prometheus.
	headerTimeout = 5 * time.Second
)

func (c *Sidecar) listen() (*listeners, error) {
	s := c.settings.Load().GetListen()
	l := &listeners{}
	for _, i := range []struct {
		to      *net.Listener
		address string
	}{{&l.callers, s.GetCallers()}, {&l.peers, s.GetPeers()}, {&l.ready, s.GetReady()}, {&l.metrics, s.GetMetrics()}} {
		got, err := listenAt(i.address)
		if err != nil {
			return nil, err
		}
		*i.to = got
	}
	return l, nil
}

func (c *Sidecar) serve(ctx context.Context, l *listeners) []*http.Server {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+c.platform.ReadyPath, c.handleReady)
	operators := http.NewServeMux()
	operators.Handle("/", c.metrics.handler())
	// Both query all hosts, so their number bounds the connections that they open.
	queries := &inFlightLimit{handler: http.HandlerFunc(c.handleQuery), most: maxQueries}
	operators.Handle("GET /evidence", queries)
	operators.Handle("GET /burn", queries)
	operators.HandleFunc("GET /where", c.handleWhere)
	operators.HandleFunc("GET /status", c.handleStatus)
	servers := []*http.Server{
		outbound.NewServer(c.handler),
		{Handler: c.peerServer, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout},
		{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout},
		{Handler: operators, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout},
	}
	bounded := c.memory.listeners(l, c.configuredHeadBytes, c.now)
	for i, listener := range []net.Listener{outbound.NewListener(bounded[0], c.replica, c.now), bounded[1], bounded[2], bounded[3]} {
		refusal := connlimit.Refuse
		if i == peersListener {
			refusal = c.peerServer.Refuse
		}
		connlimit.Attach(servers[i], refusal)
		servers[i].BaseContext = func(net.Listener) context.Context { return ctx }
		c.wg.Add(1)
		go (&serveTask{server: servers[i], listener: listener, wg: &c.wg}).run()
	}
	return servers
}

func (s *serveTask) run() {
	defer s.wg.Done()
	// Serve returns an error only when the listener is closed.
	_ = s.server.Serve(s.listener)
}

// handleQuery serves the queries of operators.
func (c *Sidecar) handleQuery(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/burn" {
		c.handleBurn(w, r)
		return
	}
	c.handleEvidence(w, r)
}

func (c *Sidecar) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !c.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
