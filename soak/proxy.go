package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address, and delays, resets, cuts or silences them.
type proxy struct {
	listener net.Listener
	target   string
	// source returns the IP address of the connection to the target by that of the client; nil for any.
	source func(client net.IP) net.IP

	mu    sync.Mutex
	delay time.Duration
	// lost tells which directions lose their bytes: from the client, from the target.
	lost  [2]bool
	conns map[*proxiedConn]bool
}

// proxiedConn is a connection of a proxy.
type proxiedConn struct {
	proxy *proxy
	// ends are the connections with the client and with the target.
	ends [2]*net.TCPConn
	// broken is true once bytes were lost, after which the connection must not be used any more.
	broken bool
}

const (
	fromClient = 0
	fromTarget = 1

	proxyBufferBytes = 32 << 10
	proxyDialTimeout = time.Second
)

// newProxy starts a proxy. Its connections to the target come from the address that source returns, unless source is nil.
func newProxy(address, target string, source func(client net.IP) net.IP) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting a proxy: %w", err)
	}
	p := &proxy{listener: l, target: target, source: source, conns: map[*proxiedConn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go (&proxiedConn{proxy: p, ends: [2]*net.TCPConn{in.(*net.TCPConn)}}).run()
	}
}

// setFault replaces the fault. Connections that have lost bytes are reset.
func (p *proxy) setFault(delay time.Duration, lost [2]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.lost = delay, lost
	for c := range p.conns {
		if c.broken {
			c.reset()
		}
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (c *proxiedConn) run() {
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	if c.proxy.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.proxy.source(c.ends[fromClient].RemoteAddr().(*net.TCPAddr).IP)}
	}
	out, err := dialer.Dial("tcp", c.proxy.target)
	if err != nil {
		c.reset()
		return
	}
	c.ends[fromTarget] = out.(*net.TCPConn)
	c.proxy.mu.Lock()
	c.proxy.conns[c] = true
	c.proxy.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pass(fromClient) })
	both.Go(func() { c.pass(fromTarget) })
	both.Wait()
	c.proxy.mu.Lock()
	delete(c.proxy.conns, c)
	c.proxy.mu.Unlock()
	for _, e := range c.ends {
		_ = e.Close()
	}
}

// pass copies the bytes of one direction until its end.
func (c *proxiedConn) pass(direction int) {
	from, to := c.ends[direction], c.ends[1-direction]
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		c.proxy.mu.Lock()
		delay, lost := c.proxy.delay, c.proxy.lost[direction]
		c.broken = c.broken || lost && n > 0
		lost = c.broken && lost
		c.proxy.mu.Unlock()
		if n > 0 && !lost {
			time.Sleep(delay)
			if _, e := to.Write(buffer[:n]); e != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// reset closes both ends with a TCP reset, so that neither takes the end of the bytes for the end of a response.
func (c *proxiedConn) reset() {
	for _, e := range c.ends {
		if e != nil {
			_ = e.SetLinger(0)
			_ = e.Close()
		}
	}
}
