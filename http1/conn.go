package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is a request that is sent once, on one connection.
type Request struct {
	Method string
	// Target is the request target: the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the server repeats in its responses to the request; empty if it doesn't. The request isn't sent on a connection that carried one
	// with the same ID shortly before: a second copy of that one's response could not be told from its own.
	ID string
	// BodySent is called once a long body has been sent completely, and is no longer held by the request. It may be nil.
	BodySent func()
	// ExpectContinue sends the body only after a 100 Continue (RFC 9110, section 10.1.1), so that no body is sent if the server refuses the request.
	ExpectContinue bool
	// AcceptsResponse reports whether a response with this header belongs to the request. Other responses are skipped. Nil accepts all.
	AcceptsResponse func(http.Header) bool
}

// Conn is a persistent connection. It carries one request at a time and isn't safe for concurrent use.
type Conn struct {
	net *socket
	// source is what reader reads from.
	source  io.Reader
	reader  *bufio.Reader
	address string
	// usableUntil is the time until which the connection may be reused. After it the server may close the connection.
	usableUntil time.Time
	// sentHead is true once a request with method HEAD was sent. The response to one may come late, and no body follows it.
	sentHead bool
	// writtenBytes counts the bytes of the current request's head, and of a body that is sent with it.
	writtenBytes atomic.Int64
	// recentIDs is a ring of the IDs of the latest requests; sentIDs counts all of them.
	recentIDs [recentIDCount]string
	sentIDs   int
}

// exchange is a request and its response on a connection.
type exchange struct {
	conn    *Conn
	request *Request
	// awaitingContinue is true while the body is withheld until a 100 Continue arrives.
	awaitingContinue bool
	// writer sends the body concurrently; nil if the body was sent with the head or not at all.
	writer *bodyWriter
	// skipped is true if a response to another request came first. Its server may send more of them.
	skipped bool
}

// responseBody reads the body of a response. At its end it returns the connection to the pool or closes it.
type responseBody struct {
	io.ReadCloser
	conn   *Conn
	pool   *Pool
	stop   func() bool
	writer *bodyWriter
	// usableUntil is the time until which the connection may be reused after the response; zero if it may not.
	usableUntil time.Time
	// unread is the number of bytes of the body that weren't read; negative if its length is unknown.
	unread int64
	ended  bool
}

// bodyWriter sends a long body in a goroutine, since the server may respond before it has read the whole body.
type bodyWriter struct {
	conn    *Conn
	request *Request
	done    chan error
}

const (
	// maxInlineBodyBytes is the longest body that is sent together with the head, before the response is read. It fits the
	// TCP window of any link, so that the write does not wait for the server.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedResponses limits the interim responses, and the responses to other requests, that are skipped before the response to a request.
	maxSkippedResponses = 4
	// maxSkippedBytes limits the body of a response to another request that is skipped. A longer one may have no end.
	maxSkippedBytes = 1 << 20
	readBufferBytes = 4 << 10
	// recentIDCount is for how many further requests a connection remembers an ID. A server writes a late response where the next one is expected.
	recentIDCount = 8
	// headGrowBytes is the size of most heads that are sent.
	headGrowBytes = 512
)

var (
	errOtherResponses = errors.New("the connection carries responses to other requests")
	errProtocolSwitch = errors.New("the server switched protocols")
)

// newConn returns a connection that reads from a source.
func newConn(source io.Reader) *Conn {
	return &Conn{source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// carried reports whether one of the latest requests on the connection had an ID. An empty ID identifies none.
func (c *Conn) carried(id string) bool {
	return id != "" && slices.Contains(c.recentIDs[:], id)
}

func (c *Conn) recordID(id string) {
	if id != "" {
		c.recentIDs[c.sentIDs%recentIDCount] = id
		c.sentIDs++
	}
}

// do sends a request and reads the head of its response. Reads and writes fail if ctx ends before the end of the body.
func (c *Conn) do(ctx context.Context, p *Pool, r *Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.net.abort)
	c.recordID(r.ID)
	x := &exchange{conn: c, request: r, awaitingContinue: r.ExpectContinue && len(r.Body) > 0}
	err := x.send()
	if err != nil {
		stop()
		c.close()
		return nil, &Error{Sent: !x.awaitingContinue && c.writtenBytes.Load() > 0, Err: err}
	}
	a, err := x.receive()
	if x.skipped {
		p.onSkip(c.address)
	}
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: !x.awaitingContinue, Err: err}
	}
	b := &responseBody{ReadCloser: a.Body, conn: c, pool: p, stop: stop, writer: x.writer, unread: a.ContentLength}
	if !x.awaitingContinue && !x.skipped {
		b.usableUntil = p.usableUntil(a)
	}
	a.Body = b
	return a, nil
}

// send writes the head and, unless it is withheld, the body.
func (x *exchange) send() error {
	r := x.request
	var b bytes.Buffer
	b.Grow(headGrowBytes)
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
		// The copy of a short body saves a packet. net.Buffers would save both, but the race detector takes no note of writev.
		b.Write(r.Body)
	}
	n, err := x.conn.net.Write(b.Bytes())
	x.conn.writtenBytes.Add(int64(n))
	if err != nil || inline || x.awaitingContinue {
		return err
	}
	x.sendBody()
	return nil
}

// sendBody starts a goroutine that writes the body while the response is read.
func (x *exchange) sendBody() {
	x.writer = &bodyWriter{conn: x.conn, request: x.request, done: make(chan error, 1)}
	go x.writer.run()
}

func (w *bodyWriter) run() {
	_, err := w.conn.net.Write(w.request.Body)
	if err == nil && w.request.BodySent != nil {
		w.request.Body = nil
		w.request.BodySent()
	}
	w.done <- err
}

// finished reports whether the whole body has been sent. A nil writer has nothing to send.
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

// receive reads the head of the response. It sends a withheld body once a 100 Continue arrives.
func (x *exchange) receive() (*http.Response, error) {
	c, r := x.conn, x.request
	c.sentHead = c.sentHead || r.Method == http.MethodHead
	for range maxSkippedResponses {
		if err := c.checkNextHead(); err != nil {
			return nil, err
		}
		a, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		switch {
		case a.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocolSwitch
		case a.StatusCode >= http.StatusOK && (r.AcceptsResponse == nil || r.AcceptsResponse(a.Header)):
			return a, nil
		case a.ContentLength < 0 || x.hasDoubtfulEnd(a):
			return nil, errOtherResponses
		case a.StatusCode == http.StatusContinue && x.awaitingContinue:
			x.awaitingContinue = false
			x.sendBody()
			continue
		case a.StatusCode < http.StatusOK:
			continue
		}
		x.skipped = true
		if err := skipBody(a.Body); err != nil {
			return nil, err
		}
	}
	return nil, errOtherResponses
}

// hasDoubtfulEnd reports whether it is uncertain where a response ends that is skipped: its head announces a body, but none may follow. A faulty
// server could send one all the same, which would be read as the next head.
func (x *exchange) hasDoubtfulEnd(a *http.Response) bool {
	length := a.Header.Get("Content-Length")
	announced := len(a.TransferEncoding) > 0 || length != "" && length != "0"
	without := a.StatusCode < http.StatusOK || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified
	return announced && (without || x.conn.sentHead)
}

// skipBody reads the body of a response to another request. It fails if that is longer than maxSkippedBytes.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if n > maxSkippedBytes {
		return errOtherResponses
	}
	return err
}

// reusable reports whether an idle connection is still open and has no unsolicited data to read.
func (c *Conn) reusable() bool {
	return c.reader.Buffered() == 0 && c.net.idle()
}

func (c *Conn) close() {
	c.net.close()
}

// Read reads from the body. At the end of the body it releases the connection.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.unread -= int64(n)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close discards the rest of the response, unless Read has released the connection already. It closes the connection, unless all of the rest has
// arrived.
func (b *responseBody) Close() error {
	if !b.ended && b.unread >= 0 && b.unread <= int64(b.conn.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, b) // an error only means that the connection can't be used again
	}
	b.end(false)
	return nil
}

// end returns the connection to the pool if the response is complete and the connection may be reused; otherwise it closes the connection.
func (b *responseBody) end(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	if b.stop() && complete && b.writer.finished() && !b.usableUntil.IsZero() && b.conn.reader.Buffered() == 0 {
		b.conn.usableUntil = b.usableUntil
		if b.conn.reader.Size() > readBufferBytes {
			b.conn.resizeBuffer(readBufferBytes)
		}
		b.pool.put(b.conn)
		return
	}
	b.conn.close()
}
