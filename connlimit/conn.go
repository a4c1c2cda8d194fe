package connlimit

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/memory"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	// over is true for a connection over the limit: its request is refused, and it is in no list.
	over  bool
	phase atomic.Int32
	// readAhead counts the lines in the last read of a body. They may belong to the head of the next request.
	readAhead atomic.Int64

	// since is when the phase began, and element the place in the list of the phase. The listener's lock protects these fields.
	since   time.Time
	element *list.Element
	// head counts the bytes read since the phase began, charge is the cost of the heads, and last the part of the last read, which may belong to
	// the next request.
	head, charge, last int64
}

// Phases of a connection.
const (
	// phaseReading is before the end of a head.
	phaseReading int32 = iota
	phaseBusy
	phaseIdle
	phaseClosed
)

const (
	// byteCost and lineCost are what a byte and a line of a head take in memory: they are copied into maps of both directions.
	byteCost = 4
	lineCost = 256
	// freeCost is the cost of a head that is part of connectionBytes. So short heads, as of probes, are read also while memory is short.
	freeCost = 4 << 10
	// readAheadBytes is the buffer of the HTTP server, which may hold the begin of a body or of the next request.
	readAheadBytes = 4 << 10
	// writeStep is how many bytes have to be read by the other side in stallTimeout, or in scarceStallTimeout while memory is scarce.
	writeStep          = 64 << 10
	stallTimeout       = 15 * time.Second
	scarceStallTimeout = 2 * time.Second
	// refusalTimeout bounds the write of a refusal, which fits the send buffer of a connection without responses in it.
	refusalTimeout = 10 * time.Millisecond

	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailable  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refuse writes a refusal and closes a connection, from which no complete head was read.
func refuse(c net.Conn, response string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // without a deadline the write is as short
	_, _ = io.WriteString(c, response)                     // the close tells the client as well
	_ = c.Close()
}

// Read reads from the connection. It refuses a head that is too long or for which there is no memory; the bytes are then not returned.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.phase.Load() == phaseBusy {
		if len(p) <= readAheadBytes {
			c.readAhead.Store(int64(bytes.Count(p[:n], []byte("\n"))))
		}
		return n, err
	}
	if refusal, ok := c.account(p[:n]); !ok {
		if refusal != "" {
			refuse(c.Conn, refusal)
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	return n, err
}

// account reserves the cost of bytes of a head. If it returns false, the connection has to be closed with the refusal, or is closed already.
func (c *conn) account(p []byte) (refusal string, ok bool) {
	cost := byteCost*int64(len(p)) + lineCost*int64(bytes.Count(p, []byte("\n")))
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.phase.Load() {
	case phaseClosed:
		return "", false
	case phaseIdle:
		c.enter(phaseReading, &l.reading)
	}
	if c.head += int64(len(p)); c.head > l.limit() {
		l.remove(c)
		l.refused.Add(1)
		return headTooLarge, false
	}
	if more := reserved(c.charge+cost) - reserved(c.charge); more > 0 && !l.budget.Reserve(memory.Heads, more) {
		l.remove(c)
		l.refused.Add(1)
		return unavailable, false
	}
	c.charge, c.last = c.charge+cost, cost
	return "", true
}

// becomeBusy records that a head is complete. It returns false if the connection has been closed to make room.
func (c *conn) becomeBusy() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase.Load() == phaseClosed {
		return false
	}
	c.enter(phaseBusy, nil)
	c.readAhead.Store(0)
	return true
}

// becomeIdle records that a request has ended. What the last read has reserved stays reserved, since it may belong to the next request.
func (c *conn) becomeIdle() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase.Load() == phaseClosed {
		return
	}
	if lines := c.readAhead.Swap(0); lines > 0 {
		cost := lineCost * lines
		l.budget.Hold(memory.Heads, reserved(c.charge+cost)-reserved(c.charge))
		c.charge, c.last = c.charge+cost, cost
	}
	l.budget.Release(memory.Heads, reserved(c.charge)-reserved(c.last))
	c.charge = c.last
	c.enter(phaseIdle, &l.idle)
}

// reserved returns the part of a cost that is reserved.
func reserved(cost int64) int64 {
	return max(cost-freeCost, 0)
}

// enter begins a phase and moves the connection to its list; nil is none. The caller holds the listener's lock.
func (c *conn) enter(phase int32, to *list.List) {
	c.unlist()
	c.phase.Store(phase)
	c.since, c.head = c.listener.now(), 0
	if to != nil && !c.over {
		c.element = to.PushBack(c)
	}
}

func (c *conn) unlist() {
	if c.element != nil {
		// An element is in one of the lists; removing it from the other has no effect.
		c.listener.reading.Remove(c.element)
		c.listener.idle.Remove(c.element)
		c.element = nil
	}
}

// Write writes in steps. It fails if the other side doesn't read for the time of a step.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		timeout := stallTimeout
		if c.listener.budget.Scarce() {
			timeout = scarceStallTimeout
		}
		if err := c.SetWriteDeadline(c.listener.now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[:min(len(p), writeStep)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// SyscallConn returns the connection's raw form, as net.TCPConn does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, os.ErrInvalid
}

// SetLinger sets what a close does with unsent data, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending direction. The HTTP server uses it so that a client reads a response whose request it hasn't sent completely.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns its memory.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
