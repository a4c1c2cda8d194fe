package outbound

import (
	"context"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closeWatch tells whether a client that has closed its sending side has left. TCP shows the same for both: only a client that has left resets the
// connection when it gets data. So the request goes on for leaveDelay, and then an interim response is sent, which clients of HTTP/1.1 skip
// (RFC 9110, section 15.2). A client of HTTP/1.0 counts as one that has left.
type closeWatch struct {
	mu sync.Mutex
	// interim is true while a client of HTTP/1.1 waits for its response and may get an interim one.
	interim bool
	// responding is true once the response may have begun.
	responding bool
	// wake ends the wait of a read; nil if none waits. aborted is true while no read may wait.
	wake    chan struct{}
	aborted bool
}

const (
	// leaveDelay is how long a request goes on before the client is asked whether it has left. Nearly all clients that close their sending side have
	// left, and a request of one of them holds a slot for this time and a round trip.
	leaveDelay = 10 * time.Millisecond
	// resetInterval is the time between two looks whether the client has reset the connection.
	resetInterval = 25 * time.Millisecond
	// backgroundReadBytes is the size of the reads by which the HTTP server notices, while a handler runs, that a client has left.
	backgroundReadBytes = 1

	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Read reads from the connection. While a request is processed, the end of what the client sends is returned only once the client has left.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || err != io.EOF || len(p) != backgroundReadBytes {
		return n, err
	}
	return 0, c.awaitLeaving()
}

// Close ends a wait for the client to leave and closes the connection.
func (c *limitedConn) Close() error {
	c.watch.setAborted(true)
	return c.Conn.Close()
}

// awaitLeaving returns io.EOF once the client has left, and os.ErrDeadlineExceeded if the HTTP server needs the read no more.
func (c *limitedConn) awaitLeaving() error {
	wake := c.watch.begin()
	t := time.NewTimer(leaveDelay)
	defer t.Stop()
	for asked := false; ; asked = true {
		select {
		case <-wake:
			return os.ErrDeadlineExceeded
		case <-t.C:
		}
		if c.closedByClient() || !asked && !c.sendInterim() {
			return io.EOF
		}
		t.Reset(resetInterval)
	}
}

// sendInterim sends an interim response, unless the response has begun, which shows as well whether the client has left. It reports whether the
// client's answer can be awaited.
func (c *limitedConn) sendInterim() bool {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	if c.watch.responding {
		return true
	}
	if !c.watch.interim {
		return false
	}
	sent := 0
	err := c.control(func(fd uintptr) {
		sent, _ = unix.SendmsgN(int(fd), []byte(interimResponse), nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	})
	// Without room for so few bytes the client doesn't read, and a part of them would spoil the response.
	return err == nil && sent == len(interimResponse)
}

// closedByClient reports whether the client has reset the connection.
func (c *limitedConn) closedByClient() bool {
	closed := false
	err := c.control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}

// control calls a function with the connection's file descriptor.
func (c *limitedConn) control(f func(fd uintptr)) error {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return os.ErrInvalid
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}

// begin starts a wait and returns the channel that ends it.
func (w *closeWatch) begin() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	wake := make(chan struct{})
	if w.aborted {
		close(wake)
	} else {
		w.wake = wake
	}
	return wake
}

// setAborted sets whether reads are aborted. If they are, it ends the wait of a read.
func (w *closeWatch) setAborted(aborted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aborted = aborted
	if aborted && w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
}

// setInterim sets whether the client of a request's connection may get an interim response, and whether its response has begun.
func setInterim(ctx context.Context, allowed, responding bool) {
	c, ok := ctx.Value(connKey{}).(*limitedConn)
	if !ok {
		return
	}
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	c.watch.interim, c.watch.responding = allowed, responding
}
