// Package http1 is an HTTP/1.1 client over persistent connections. When a request fails, it reports whether any byte of it was sent. It never
// retries a request itself.
package http1

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Pool reuses persistent connections to any number of addresses. It sends a request once, on one connection, and never
// retries it. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	now    func() time.Time
	onDial func(address string)
	onSkip func(address string)

	mu sync.Mutex
	// idle holds the idle connections by address; the most recently used one is last.
	idle map[string][]*Conn
	// idleCount is their number, maxIdle the most of them; zero means no limit.
	idleCount, maxIdle int
	// maxIdleTime is how long a connection may be idle if the server sends no shorter Keep-Alive timeout.
	maxIdleTime time.Duration
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

const (
	// poolDialTimeout limits the dialing of a server in the same region. It is below the one second after which a lost SYN is retransmitted.
	poolDialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the connection is closed. It leaves time for
	// three retransmissions on a lossy link.
	unackedTimeout = 1500 * time.Millisecond
	// defaultMaxIdleTime is below the usual timeouts of servers.
	defaultMaxIdleTime = 8 * time.Second
	// idleMargin is how long before the server's Keep-Alive timeout a connection is no longer reused.
	idleMargin = time.Second
)

// WithLocalIP sets the local address of the connections, one of this host.
func WithLocalIP(ip netip.Addr) PoolOption {
	return func(p *Pool) { p.dialer.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()} }
}

// WithOnDial sets a function that is called before each new connection is dialed.
func WithOnDial(f func(address string)) PoolOption {
	return func(p *Pool) { p.onDial = f }
}

// WithOnSkip sets a function that is called after each exchange in which responses to other requests were skipped.
func WithOnSkip(f func(address string)) PoolOption {
	return func(p *Pool) { p.onSkip = f }
}

// WithMaxIdle sets the maximum number of idle connections to all addresses together.
func WithMaxIdle(n int) PoolOption {
	return func(p *Pool) { p.maxIdle = n }
}

// WithMaxIdleTime sets how long a connection may be idle if the server sends no shorter Keep-Alive timeout. The default is 8 s.
func WithMaxIdleTime(d time.Duration) PoolOption {
	return func(p *Pool) { p.maxIdleTime = d }
}

// NewPool returns a pool that reads the time from now.
func NewPool(now func() time.Time, options ...PoolOption) *Pool {
	p := &Pool{now: now, idle: map[string][]*Conn{}, onDial: func(string) {}, onSkip: func(string) {}, maxIdleTime: defaultMaxIdleTime}
	p.dialer = net.Dialer{Timeout: poolDialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Do sends a request to an address. It returns an *Error if the request fails. The caller reads the response body to its end or closes it.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	c := p.get(address, r.ID)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	c.writtenBytes.Store(0)
	return c.do(ctx, p, r)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(address)
}

// closeAllIdle closes the idle connections to all addresses.
func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.closeIdle(address)
	}
}

// closeIdle closes the idle connections to an address. The caller holds the lock.
func (p *Pool) closeIdle(address string) {
	for _, c := range p.idle[address] {
		c.close()
	}
	p.idleCount -= len(p.idle[address])
	delete(p.idle, address)
}

// CloseExpired closes the idle connections that may no longer be reused because the server may close them.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		usable := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
				usable = append(usable, c)
			} else {
				c.close()
			}
		}
		clear(list[len(usable):])
		p.idleCount -= len(list) - len(usable)
		p.idle[address] = usable
		if len(usable) == 0 {
			delete(p.idle, address)
		}
	}
}

// get removes and returns an idle connection that carried no request with an ID lately; nil if there is none. It is the one that was used last, so
// that surplus connections expire.
func (p *Pool) get(address, id string) *Conn {
	for {
		c, usable := p.take(address, id)
		if c == nil {
			return nil
		}
		if usable && p.now().Before(c.usableUntil) && c.reusable() {
			return c
		}
		c.close()
	}
}

// take removes and returns the connection that was used last of those that carried no request with an ID lately. If all did, it returns the one
// used last as not usable: the caller closes it, so that the connection dialed in its place adds none.
func (p *Pool) take(address, id string) (c *Conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, false
	}
	at := len(list) - 1
	for at >= 0 && list[at].carried(id) {
		at--
	}
	usable = at >= 0
	if !usable {
		at = len(list) - 1
	}
	c = list[at]
	p.idle[address] = slices.Delete(list, at, at+1)
	p.idleCount--
	return c, usable
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxIdle > 0 && p.idleCount >= p.maxIdle {
		c.close()
		return
	}
	p.idleCount++
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	p.onDial(address)
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := n.(*net.TCPConn)
	s, err := newSocket(t)
	if err != nil {
		_ = t.Close()
		return nil, err
	}
	c := newConn(s)
	c.net, c.address = s, address
	return c, nil
}

// usableUntil returns the time until which the connection of a response may be reused; zero if it may not.
func (p *Pool) usableUntil(a *http.Response) time.Time {
	if a.Close {
		return time.Time{}
	}
	idle := p.maxIdleTime
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

// setUserTimeout sets the TCP user timeout of a socket to unackedTimeout.
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

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux. Package syscall doesn't define it.
const tcpUserTimeout = 18
