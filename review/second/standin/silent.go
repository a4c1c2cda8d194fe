package main

import (
	"net"
	"sync"
	"time"
)

// silentListener accepts connections that can go silent: nothing more passes them in either direction, while new ones work.
type silentListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]bool
}

// silentConn is a connection of a silentListener.
type silentConn struct {
	*net.TCPConn
	listener *silentListener
	silent   chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// keepAliveTime is when the keep-alive of a sidecar shows that a silent connection is dead: one second of rest and two probes, a second apart. The
// system of this machine answers probes in place of a lost peer, so the connection is reset then.
const keepAliveTime = 3 * time.Second

func newSilentListener(l net.Listener) *silentListener {
	return &silentListener{Listener: l, open: map[*silentConn]bool{}}
}

// Accept waits for the next connection.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &silentConn{TCPConn: c.(*net.TCPConn), listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[out] = true
	return out, nil
}

// silence makes all open connections silent, and returns how many.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		close(c.silent)
		time.AfterFunc(keepAliveTime, func() {
			_ = c.SetLinger(0) // fails only if the connection is closed
			_ = c.Close()
		})
	}
	n := len(l.open)
	clear(l.open)
	return n
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read reads from the connection. On a silent one nothing arrives.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. What is written to a silent one is lost.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
