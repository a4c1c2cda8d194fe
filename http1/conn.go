package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Request is one request to be sent once, on one connection.
type Request struct {
	Method string
	// Target is the path with its query, as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ExpectContinue sends the body only once the other side asks for it (RFC 9110, section 10.1.1), so that a refusal costs no body.
	ExpectContinue bool
	// AcceptsResponse says whether an answer's head belongs to this request; one that doesn't is skipped. Nil accepts all.
	AcceptsResponse func(http.Header) bool
}

// Conn is one kept connection that carries one request at a time. It isn't safe for concurrent use.
type Conn struct {
	tcp     *net.TCPConn
	raw     syscall.RawConn
	reader  *bufio.Reader
	limiter *io.LimitedReader
	address string
	// usableUntil is when the other side may close the connection.
	usableUntil  time.Time
	writtenBytes atomic.Int64
}

// exchange is one request and its answer on a connection.
type exchange struct {
	conn    *Conn
	request *Request
	// awaitingContinue is true while the body is held back until the other side asks for it.
	awaitingContinue bool
	// bodyWriter sends the body beside; nil if it was sent with the head, or not at all.
	bodyWriter *bodyWriter
}

// responseBody reads an answer's responseBody and gives the connection back, or closes it, at its end.
type responseBody struct {
	io.ReadCloser
	conn        *Conn
	pool        *Pool
	stop        func() bool
	bodyWriter  *bodyWriter
	usableUntil time.Time
	ended       bool
}

// bodyWriter sends a long body while the answer may come already.
type bodyWriter struct {
	conn *Conn
	data []byte
	done chan error
}

const (
	// maxHeadBytes bounds the head of an answer, in bytes.
	maxHeadBytes = 64 << 10
	// maxInlineBodyBytes is the longest body that is sent before the answer is waited for, in bytes; it fits any link's window.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedResponses is how many answers that belong to other requests are skipped on one connection.
	maxSkippedResponses = 4
	readBufferBytes     = 4 << 10
)

var (
	errOtherResponses = errors.New("the connection carries answers of other requests")
	errProtocolSwitch = errors.New("the answer switches protocols")
)

// do sends a request and reads the answer's head.
func (c *Conn) do(ctx context.Context, p *Pool, r *Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.abort)
	x := &exchange{conn: c, request: r, awaitingContinue: r.ExpectContinue && len(r.Body) > 0}
	err := x.send()
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Sent: !x.awaitingContinue && c.writtenBytes.Load() > 0, Err: err}
	}
	a, err := x.receive()
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: !x.awaitingContinue, Err: err}
	}
	b := &responseBody{ReadCloser: a.Body, conn: c, pool: p, stop: stop, bodyWriter: x.bodyWriter}
	if !x.awaitingContinue {
		b.usableUntil = p.usableUntil(a)
	}
	a.Body = b
	return a, nil
}

// send writes the head and, unless it has to wait, the body.
func (x *exchange) send() error {
	r := x.request
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if x.awaitingContinue {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	inline := !x.awaitingContinue && len(r.Body) <= maxInlineBodyBytes
	if inline {
		b.Write(r.Body)
	}
	n, err := io.WriteString(x.conn.tcp, b.String())
	x.conn.writtenBytes.Add(int64(n))
	if err != nil || inline || x.awaitingContinue {
		return err
	}
	x.sendBody()
	return nil
}

// sendBody writes the body while the answer is read.
func (x *exchange) sendBody() {
	x.bodyWriter = &bodyWriter{conn: x.conn, data: x.request.Body, done: make(chan error, 1)}
	go x.bodyWriter.run()
}

func (w *bodyWriter) run() {
	_, err := w.conn.tcp.Write(w.data)
	w.done <- err
}

// finished says whether the whole body is sent.
func (w *bodyWriter) finished() bool {
	if w == nil {
		return true
	}
	select {
	case err := <-w.done:
		return err == nil
	default:
		return false
	}
}

// receive reads the head of the answer, and sends a body that is asked for.
func (x *exchange) receive() (*http.Response, error) {
	c, r := x.conn, x.request
	for range maxSkippedResponses {
		c.limiter.N = maxHeadBytes
		a, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		c.limiter.N = 1 << 62
		switch {
		case a.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocolSwitch
		case a.StatusCode == http.StatusContinue && x.awaitingContinue:
			x.awaitingContinue = false
			x.sendBody()
			continue
		case a.StatusCode < http.StatusOK:
			continue
		case r.AcceptsResponse == nil || r.AcceptsResponse(a.Header):
			return a, nil
		case a.ContentLength < 0:
			return nil, errOtherResponses
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return nil, err
		}
	}
	return nil, errOtherResponses
}

// reusable says whether a kept connection is still open and holds no bytes that nobody asked for.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// abort makes all that waits on the connection fail.
func (c *Conn) abort() {
	_ = c.tcp.SetDeadline(time.Unix(1, 0))
}

func (c *Conn) close() {
	_ = c.tcp.Close()
}

// Read ends the use of the connection at the end of the answer.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close gives up what is left of the answer.
func (b *responseBody) Close() error {
	b.end(false)
	return nil
}

func (b *responseBody) end(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	if b.stop() && whole && b.bodyWriter.finished() && !b.usableUntil.IsZero() && b.conn.reader.Buffered() == 0 {
		b.conn.usableUntil = b.usableUntil
		b.pool.put(b.conn)
		return
	}
	b.conn.close()
}
