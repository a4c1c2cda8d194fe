// Package connlimit bounds what the connections of a listener take: their number, the bytes and lines of the heads that they send, and the time
// for which they leave a response unread. It closes idle and slow connections before it refuses new ones.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch/memory"
)

// Listener accepts the connections of an HTTP server whose hooks Attach has set.
type Listener struct {
	net.Listener
	budget    *memory.Budget
	most      int
	headBytes func() int64
	now       func() time.Time

	closed, refused atomic.Int64

	mu sync.Mutex
	// open counts the connections without those over the limit, which overflow counts.
	open, overflow int
	// reading holds the connections without a complete head, idle those between two requests; the longest is first in each.
	reading, idle list.List
}

// Option configures a Listener.
type Option func(*Listener)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

const (
	// connectionBytes is what a connection costs: 24 kB of buffers and stacks after its first request, measured with 1,500 of them.
	connectionBytes = 24 << 10
	// guaranteed is the number of connections that get memory also while it is short, so that probes and ordinary clients aren't shut out by bodies.
	guaranteed = 32
	// maxOverflow is how many connections over the limit are open so that their requests get a refusal. A refusal before the request would be
	// dropped by many clients as one that they didn't ask for.
	maxOverflow = 16
	retryAfter  = "0.500"
	// defaultHeadBytes bounds a head if no limit is configured. It is four times the limit of the platform's configuration.
	defaultHeadBytes = 64 << 10
)

// bodyTimeout bounds the time for a body that the handler doesn't read: the HTTP server reads up to 256 KiB of it before it responds, without a
// limit of its own. Handlers that read a body set a read deadline themselves, and remove it at the end of the body.
const bodyTimeout = 5 * time.Second

// WithHeadBytes sets the function that returns the limit for a request's head; zero means none is configured.
func WithHeadBytes(f func() int64) Option {
	return func(l *Listener) { l.headBytes = f }
}

// MostFor returns how many connections take at most a number of bytes.
func MostFor(bytes int64) int {
	return int(bytes / connectionBytes)
}

// New returns a listener that has at most a number of open connections, which take their memory from a budget.
func New(l net.Listener, budget *memory.Budget, most int, now func() time.Time, options ...Option) *Listener {
	out := &Listener{Listener: l, budget: budget, most: most, now: now, headBytes: func() int64 { return 0 }}
	for _, o := range options {
		o(out)
	}
	return out
}

// Refuse refuses a request with 503.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Attach sets the hooks of a server, so that its connections know when a head is complete and when a request has ended. Requests of connections
// over the limit go to refusal.
func Attach(s *http.Server, refusal http.HandlerFunc) {
	handler, connState, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			if own := unwrap(c); own != nil {
				own.becomeIdle()
			}
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c != nil {
			if !c.becomeBusy() {
				panic(http.ErrAbortHandler)
			}
			if r.ContentLength != 0 {
				_ = c.Conn.SetReadDeadline(c.listener.now().Add(bodyTimeout)) // fails only if the connection is closed already
			}
			if c.over {
				w.Header().Set("Connection", "close")
				refusal(w, r)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// unwrap returns the connection of this package inside of others; nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		switch v := c.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// Accept waits for the next connection that may be open. It closes the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.admit(c); out != nil {
			return out, nil
		}
		_ = c.Close() // nothing was read from it
	}
}

// admit returns the connection, or nil if there is no room for it.
func (l *Listener) admit(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := l.open >= l.most && !l.makeRoom() || !l.reserve()
	if over {
		l.refused.Add(1)
		if l.overflow >= maxOverflow {
			return nil
		}
		l.overflow++
		l.budget.Hold(memory.Connections, connectionBytes)
	} else {
		l.open++
	}
	out := &conn{Conn: c, listener: l, since: l.now(), over: over}
	if !over {
		out.element = l.reading.PushBack(out)
	}
	return out
}

// reserve reserves the memory of a connection. If there is none, it closes another one. The caller holds the lock.
func (l *Listener) reserve() bool {
	if l.open < guaranteed {
		l.budget.Hold(memory.Connections, connectionBytes)
		return true
	}
	return l.budget.Reserve(memory.Connections, connectionBytes) || l.makeRoom() && l.budget.Reserve(memory.Connections, connectionBytes)
}

// makeRoom closes the connection that victim chooses, and reports whether there is one. The caller holds the lock.
func (l *Listener) makeRoom() bool {
	var c *conn
	switch victim(oldest(&l.reading), oldest(&l.idle), l.now()) {
	case closeReading:
		c = l.reading.Front().Value.(*conn)
	case closeIdle:
		c = l.idle.Front().Value.(*conn)
	case refuseNew:
		return false
	}
	l.remove(c)
	l.closed.Add(1)
	_ = c.Conn.Close() // fails only if the connection is closed already
	return true
}

// remove removes a connection from the bookkeeping. The caller holds the lock.
func (l *Listener) remove(c *conn) {
	if c.phase.Swap(phaseClosed) == phaseClosed {
		return
	}
	c.unlist()
	if c.over {
		l.overflow--
	} else {
		l.open--
	}
	l.budget.Release(memory.Connections, connectionBytes)
	l.budget.Release(memory.Heads, reserved(c.charge))
	c.charge = 0
}

// limit returns the most bytes that a connection may send before its head is complete: the configured limit, and what is read ahead.
func (l *Listener) limit() int64 {
	if n := l.headBytes(); n > 0 {
		return n + readAheadBytes
	}
	return defaultHeadBytes + readAheadBytes
}

// Counts returns the open connections, those that were closed to make room, and those that were refused.
func (l *Listener) Counts() (open, closed, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.open), l.closed.Load(), l.refused.Load()
}

// oldest returns the time of the first connection of a list; zero if the list is empty.
func oldest(l *list.List) time.Time {
	if l.Len() == 0 {
		return time.Time{}
	}
	return l.Front().Value.(*conn).since
}
