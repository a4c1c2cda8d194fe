package outbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
)

// Listener enforces the time limits of the current configuration on client connections, also if it changes while they are open.
type Listener struct {
	net.Listener
	replica *mesh.Replica
	now     func() time.Time
}

// limitedConn replaces the read deadlines that the HTTP server sets for a phase by those of the configuration.
type limitedConn struct {
	net.Conn
	listener *Listener
	watch    closeWatch

	mu    sync.Mutex
	phase phase
}

// connKey is the key of the client's connection in the context of its requests.
type connKey struct{}

// phase is what the next read deadline of the HTTP server is for.
type phase int

const (
	// phaseHeader is the time in which the client has to send a request's head. A new connection begins with it.
	phaseHeader phase = iota
	// phaseIdle is the time between two requests.
	phaseIdle
	// phaseOther is anything else; its deadlines are not replaced.
	phaseOther

	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration sets the limits.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeadBytes bounds the head of a request regardless of the configuration, in bytes.
	maxHeadBytes = 1 << 20
)

// NewServer returns the HTTP server for clients. Its listener has to come from NewListener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeadBytes, ConnState: recordIdle,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
}

// resetOnClose makes the close of a request's connection a reset, so that a client of HTTP/1.0 doesn't take the end of a truncated response, which has
// no length, for its regular end.
func resetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		c.resetOnClose()
	}
}

func (c *limitedConn) resetOnClose() {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
}

// Write makes the close of the connection a reset if it fails. The HTTP server closes the connection right after a failed write, before the handler
// learns of it, and a client of HTTP/1.0 would take a regular end for that of the response.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.resetOnClose()
	}
	return n, err
}

// NewListener returns a listener for NewServer, whose time limits follow the replica's configuration.
func NewListener(l net.Listener, replica *mesh.Replica, now func() time.Time) *Listener {
	return &Listener{Listener: l, replica: replica, now: now}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ahead := newAheadConn(c)
	out := &limitedConn{Conn: ahead, listener: l}
	ahead.awaitLeaving, ahead.aborted = out.awaitLeaving, out.watch.begin
	return out, nil
}

// recordIdle records that a connection becomes idle after a response. The HTTP server calls it just before it sets the idle deadline.
func recordIdle(c net.Conn, s http.ConnState) {
	if l, ok := c.(*limitedConn); ok && s == http.StateIdle {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.phase = phaseIdle
		if a, ok := l.Conn.(*aheadConn); ok {
			a.idle()
		}
	}
}

// SetReadDeadline sets the current configuration's deadline for the phase that begins, or t if the configuration has none. A zero t removes
// the deadline.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	// The HTTP server aborts its background read by a deadline that has passed.
	c.watch.setAborted(!t.IsZero() && t.Before(c.listener.now()))
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.listener.replica.Table().Limits
	c.mu.Lock()
	us := int64(0)
	switch c.phase {
	case phaseIdle:
		us, c.phase = limits.GetIdleUs(), phaseHeader
	case phaseHeader:
		us, c.phase = limits.GetHeaderUs(), phaseOther
	}
	c.mu.Unlock()
	if us > 0 {
		t = c.listener.now().Add(time.Duration(us) * time.Microsecond)
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite ends the sending direction. The HTTP server uses it so that a client that still sends a refused body reads the response.
func (c *limitedConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// checkHead returns an error with CodeHeadTooLarge if a request's head has more bytes than the limit. A limit of zero means no limit.
func checkHead(r *http.Request, limit int64) *jaypitch.Error {
	if limit <= 0 {
		return nil
	}
	n := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	if n > limit {
		return jaypitch.Errorf(jaypitch.CodeHeadTooLarge, "the head has %d bytes; at most %d are allowed", n, limit)
	}
	return nil
}
