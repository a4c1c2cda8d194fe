package fleet

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is a client's kept connection to the outbound address of its machine. It carries one request at a time.
type Conn struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Request is one client attempt.
type Request struct {
	Method, Host, Path, ID string
	Body                   []byte
	Deadline               time.Duration
}

// Answer is what the client got.
type Answer struct {
	Status int
	Stamp  string
	Bytes  int
	// Complete is true if the whole answer came; otherwise Err says how the connection ended.
	Complete bool
	Err      error
}

// NewConn returns a connection to an address, which is dialed for its first request.
func NewConn(address string) *Conn {
	return &Conn{address: address}
}

// Do sends a request and reads its answer, until the request's deadline. A connection that has ended is dialed anew by the next request.
func (c *Conn) Do(q Request) Answer {
	until := time.Now().Add(q.Deadline)
	if c.conn == nil {
		n, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.conn, c.reader = n, bufio.NewReader(n)
	}
	_ = c.conn.SetDeadline(until)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	if len(q.Body) > 0 || q.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.Close()
		return Answer{Err: err}
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	n, err := io.Copy(io.Discard, r.Body)
	a := Answer{Status: r.StatusCode, Stamp: r.Header.Get("X-Server-Stamp"), Bytes: int(n), Complete: err == nil, Err: err}
	if err != nil || r.Close {
		c.Close()
	}
	return a
}

// Kept reports whether the connection is open from an earlier request.
func (c *Conn) Kept() bool {
	return c.conn != nil
}

// Close closes the connection.
func (c *Conn) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// TimedOut reports whether the client gave up at its deadline, in contrast to a connection that the machine closed.
func (a Answer) TimedOut() bool {
	var t net.Error
	return errors.As(a.Err, &t) && t.Timeout()
}

func (a Answer) String() string {
	switch {
	case a.Complete:
		return fmt.Sprintf("%d, %d bytes, signature %q", a.Status, a.Bytes, a.Stamp)
	case a.Status != 0:
		return fmt.Sprintf("%d, broken off after %d bytes: %v", a.Status, a.Bytes, a.Err)
	}
	return fmt.Sprintf("no answer: %v", a.Err)
}
