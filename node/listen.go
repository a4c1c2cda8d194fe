package node

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	headerTimeout    = 5 * time.Second
	peerIdleTimeout  = 2 * time.Minute
	maxHeaderBytes   = 64 << 10
	maxOperatorConns = 64
)

// newServer returns a server for HTTP/1.1 and HTTP/2 without TLS. It sets no timeout for bodies: the handlers set their own.
func newServer(h http.Handler, idle time.Duration) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// limitConnections bounds the number of open connections of a listener.
func limitConnections(l net.Listener, connections int64) net.Listener {
	return netutil.LimitListener(l, int(connections))
}
