package outbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
)

// aheadConn is a client's connection on which the requests behind the one in progress are visible. The HTTP server above it reads and answers requests
// one after the other as ever; the bytes that it gets, and their order, are the same. Each of its reads of a head ends at an empty line at the latest, so that
// all bytes behind a request without a body are still here while the request is in progress.
type aheadConn struct {
	net.Conn

	mu sync.Mutex
	// rest holds bytes of the client that the HTTP server hasn't read yet.
	rest []byte
	// inHead is true until the HTTP server has read an empty line since the last response.
	inHead bool
	// line is the number of bytes of the current line that the HTTP server has read while inHead, and returned whether the first is a carriage return.
	line     int
	returned bool
	// behind counts the bytes that the HTTP server has read since inHead became false, firstBehind is the first of them.
	behind      int
	firstBehind byte
	// lost is true once it is unknown where a request begins. Then nothing is started ahead on the connection any more.
	lost bool
	// current is the request in progress; nil between two requests.
	current *http.Request
	// begun is closed when the request whose head was read is in progress; nil unless a read waits for that.
	begun chan struct{}
	// start starts a request ahead of its turn, and returns nil if it has to wait. It is nil if every request behind the current one has to wait.
	start func(current, next *http.Request) *aheadRequest
	// queue holds the requests that were started, in the order in which they were sent.
	queue []*aheadRequest
	// cancel cancels the request in progress. The HTTP server doesn't notice that a client has left once it has read a byte of a further request.
	cancel context.CancelFunc
	// awaitLeaving returns io.EOF once a client that has closed its sending side has left, and another error if the read has to end before.
	awaitLeaving func() error
	// aborted returns a channel that is closed if the HTTP server needs the read no more.
	aborted func() <-chan struct{}
}

const (
	// maxAhead bounds the requests of one connection that are in progress ahead of their turn.
	maxAhead = 4
	// maxAheadBytes bounds the bytes that are read ahead on one connection.
	maxAheadBytes = 16 << 10
	// aheadReadBytes is the size of a read of bytes behind the current request.
	aheadReadBytes = 2 << 10
)

func newAheadConn(c net.Conn) *aheadConn {
	return &aheadConn{Conn: c, inHead: true, awaitLeaving: func() error { return io.EOF }, aborted: func() <-chan struct{} { return nil }}
}

// Read reads for the HTTP server. While a request is in progress, the server reads a single byte to notice that the client has gone. Once
// that byte belongs to a further request, the read goes on until the server ends it by a deadline, so that more requests are seen.
func (c *aheadConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == backgroundReadBytes && !c.inHead && c.current == nil {
		if err := c.awaitBegin(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	if len(c.rest) > 0 {
		n := c.pass(p, c.rest)
		c.rest = c.rest[n:]
		if len(c.rest) == 0 {
			c.rest = nil
		}
		if c.readsAhead() {
			c.readOn()
		}
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := c.pass(p, p[:n])
	c.rest = append(c.rest, p[passed:n]...)
	if c.readsAhead() {
		c.readOn()
	}
	return passed, err
}

// awaitBegin waits until the request whose head was read is in progress: a byte behind it that is read before ends the read, and with it the read-ahead.
// The caller holds the lock.
func (c *aheadConn) awaitBegin() error {
	begun := make(chan struct{})
	c.begun = begun
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-begun:
		return nil
	case <-c.aborted():
		c.forgetBegin(begun)
		return os.ErrDeadlineExceeded
	}
}

// forgetBegin records that no read waits any more, unless the request has begun meanwhile.
func (c *aheadConn) forgetBegin(begun chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun == begun {
		c.begun = nil
	}
}

// pass copies as many bytes as the HTTP server may get at once, and records what they are.
func (c *aheadConn) pass(p, from []byte) int {
	n := min(len(p), len(from))
	if c.inHead {
		n = c.scanHead(from[:n])
	} else if n > 0 {
		if c.behind == 0 {
			c.firstBehind = from[0]
		}
		c.behind += n
	}
	copy(p, from[:n])
	return n
}

// scanHead returns the number of bytes up to the end of the first empty line, or all.
func (c *aheadConn) scanHead(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if c.line == 0 && from < len(b) {
			c.returned = b[from] == '\r'
		}
		if i < 0 {
			c.line += len(b) - from
			return len(b)
		}
		line := c.line + i
		from += i + 1
		c.line = 0
		if line == 0 || line == 1 && c.returned {
			c.inHead, c.behind = false, 0
			return from
		}
	}
}

// readsAhead reports whether the bytes behind the current request may be the beginning of requests to start. The caller holds the lock.
func (c *aheadConn) readsAhead() bool {
	return c.current != nil && c.start != nil && !c.lost && !c.inHead && c.behind <= 1
}

// readOn reads bytes behind the current request and starts what they ask for, until the HTTP server ends the read. The caller holds the lock.
func (c *aheadConn) readOn() {
	buffer := make([]byte, aheadReadBytes)
	for c.readsAhead() && len(c.rest) < maxAheadBytes {
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.rest = append(c.rest, buffer[:n]...)
		c.startAhead()
		if err == io.EOF {
			// A client that has closed only its sending side still gets its responses.
			c.mu.Unlock()
			err = c.awaitLeaving()
			c.mu.Lock()
		}
		if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
			c.lose()
			c.cancel()
		}
		if err != nil {
			// Other errors are deadlines by which the HTTP server ends the read, or ones that it gets from its next read.
			return
		}
	}
}

// begin records that a request is in progress, which cancel ends. Start is called for requests behind it; it may be nil.
func (c *aheadConn) begin(r *http.Request, cancel context.CancelFunc, start func(current, next *http.Request) *aheadRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if r.ContentLength != 0 || c.inHead {
		start = nil
	}
	c.current, c.start = r, start
	if c.begun != nil {
		close(c.begun)
		c.begun = nil
	}
	c.startAhead()
}

// idle records that the HTTP server has written a response and reads the next request.
func (c *aheadConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := int64(0)
	if c.current != nil {
		body = c.current.ContentLength
	}
	read := int64(c.behind) - body
	if body < 0 || c.inHead || read < 0 || read > 1 {
		// Bytes of the next request may be in the HTTP server's own buffer.
		c.lose()
	}
	c.current, c.start = nil, nil
	c.inHead, c.line = true, 0
	if read == 1 && !c.lost {
		c.rescan(body)
	}
}

// rescan records the byte behind the last request, which the HTTP server has read already, as the first of a head.
func (c *aheadConn) rescan(body int64) {
	if body > 0 {
		// It isn't known which byte it was.
		c.lose()
		return
	}
	c.scanHead([]byte{c.firstBehind})
}

// startAhead starts the requests that are complete and may start. The caller holds the lock.
func (c *aheadConn) startAhead() {
	if !c.readsAhead() {
		return
	}
	var behind []byte
	if c.behind == 1 {
		behind = append(behind, c.firstBehind)
	}
	behind = append(behind, c.rest...)
	for _, a := range c.queue {
		behind = behind[min(len(behind), a.size):]
	}
	for len(behind) > 0 && len(c.queue) < maxAhead {
		in := bytes.NewReader(behind)
		buffered := bufio.NewReader(in)
		next, err := http.ReadRequest(buffered)
		if err != nil {
			// The head is incomplete or malformed; the HTTP server decides which at its turn.
			return
		}
		a := c.start(c.current, next)
		if a == nil {
			c.start = nil
			return
		}
		a.size = len(behind) - in.Len() - buffered.Buffered()
		c.queue = append(c.queue, a)
		behind = behind[a.size:]
	}
}

// take returns the request that was started ahead for a request whose turn has come; nil if none was. If it was started for another request, nothing that
// was started ahead is used.
func (c *aheadConn) take(r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	a := c.queue[0]
	if !a.isFor(r) {
		c.lose()
		return nil
	}
	c.queue = c.queue[1:]
	close(a.taken)
	return a
}

// end records that the response to the current request is about to be written. A request that a client sends once it has that response isn't one
// that waits behind another. It reports whether requests that were started ahead aren't answered yet.
func (c *aheadConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = nil
	return len(c.queue) > 0
}

// lose ends the read-ahead on the connection and cancels what was started. The caller holds the lock.
func (c *aheadConn) lose() {
	c.lost = true
	for _, a := range c.queue {
		a.cancel()
	}
	c.queue = nil
}

// Close cancels what was started ahead: its responses are never sent.
func (c *aheadConn) Close() error {
	c.mu.Lock()
	c.lose()
	c.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *aheadConn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite ends the sending direction.
func (c *aheadConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// SyscallConn returns the connection's raw form.
func (c *aheadConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, os.ErrInvalid
}

// SetLinger sets what closing the connection does with data that wasn't sent.
func (c *aheadConn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}
