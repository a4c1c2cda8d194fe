package outbound

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
)

// Listener holds callers to the limits of the configuration in force, which may change while they are connected.
type Listener struct {
	net.Listener
	state *mesh.Replica
	now   func() time.Time
}

// limitedConn sets its own deadlines where the HTTP server sets one for a phase.
type limitedConn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	phase phase
}

// phase is for what the HTTP server sets the next deadline.
type phase int

const (
	// phaseHeader is the time to send a head; a new connection begins with it.
	phaseHeader phase = iota
	// phaseIdle is the time between two requests.
	phaseIdle
	// phaseOther is none of these.
	phaseOther

	// firstHeader and firstIdle hold until a configuration sets the limits.
	firstHeader = 5 * time.Second
	firstIdle   = 60 * time.Second
	// maxHeadBytes bounds a head whatever the configuration says, in bytes.
	maxHeadBytes = 1 << 20
)

// NewServer makes the HTTP server of the callers' listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: firstHeader, IdleTimeout: firstIdle, MaxHeaderBytes: maxHeadBytes, ConnState: noteState}
}

// NewListener makes a listener for that server.
func NewListener(l net.Listener, state *mesh.Replica, now func() time.Time) *Listener {
	return &Listener{Listener: l, state: state, now: now}
}

// Accept waits for a caller.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, listener: l}, nil
}

// noteState sees that a connection becomes idle, just before the HTTP server sets the deadline for that.
func noteState(c net.Conn, s http.ConnState) {
	if l, ok := c.(*limitedConn); ok && s == http.StateIdle {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.phase = phaseIdle
	}
}

// SetReadDeadline sets the deadline of the configuration in force for the phase that begins.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.listener.state.Table().Limits
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

// checkHead refuses a head that is longer than the configuration allows.
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
		return jaypitch.Errorf(jaypitch.CodeHeadTooLarge, "the head has %d bytes; %d are allowed", n, limit)
	}
	return nil
}
