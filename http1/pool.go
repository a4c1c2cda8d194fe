package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Pool keeps connections to any number of addresses. A request is sent once, on one connection, and the
// pool never sends it again. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	now    func() time.Time
	onDial func(address string)

	mu   sync.Mutex
	idle map[string][]*Conn
}

// PoolOption changes a Pool that is being made.
type PoolOption func(*Pool)

const (
	// poolDialTimeout bounds a new connection inside a region: a lost opening packet is sent again after one second.
	poolDialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes nobody acknowledges; three resends of a lossy link fit in.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdleTime is how long a connection is kept if the other side doesn't tell, less than any server's usual timeout.
	maxIdleTime = 8 * time.Second
	// idleMargin is how much earlier than told a connection counts as closed.
	idleMargin = time.Second
)

// WithLocalIP makes connections come from an address of this host.
func WithLocalIP(ip netip.Addr) PoolOption {
	return func(p *Pool) { p.dialer.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()} }
}

// WithOnDial sets what is called for each new connection.
func WithOnDial(f func(address string)) PoolOption {
	return func(p *Pool) { p.onDial = f }
}

// NewPool makes a pool.
func NewPool(now func() time.Time, options ...PoolOption) *Pool {
	p := &Pool{now: now, idle: map[string][]*Conn{}, onDial: func(string) {}}
	p.dialer = net.Dialer{Timeout: poolDialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Do sends a request to an address. An error is an *Error; the answer's body must be read to its end or closed.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	c := p.get(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	c.writtenBytes.Store(0)
	return c.do(ctx, p, r)
}

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// CloseExpired closes connections that the other side is about to close.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// get returns the connection that was used last, so that spare ones grow old and are closed.
func (p *Pool) get(address string) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if p.now().Before(c.usableUntil) && c.reusable() {
			return c
		}
		c.close()
	}
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	p.onDial(address)
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := n.(*net.TCPConn)
	raw, err := t.SyscallConn()
	if err != nil {
		_ = t.Close()
		return nil, err
	}
	l := &io.LimitedReader{R: t}
	return &Conn{tcp: t, raw: raw, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes), address: address}, nil
}

// usableUntil says until when the connection may be used again; zero if it may not.
func (p *Pool) usableUntil(a *http.Response) time.Time {
	if a.Close {
		return time.Time{}
	}
	idle := maxIdleTime
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil {
				idle = min(idle, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	if idle <= 0 {
		return time.Time{}
	}
	return p.now().Add(idle)
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18
