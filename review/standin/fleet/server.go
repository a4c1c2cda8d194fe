package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one run of a request at a server.
type Run struct {
	ID, Service, Server, Caller string
	BodyBytes                   int
}

// Server stands in for an application server. It follows the platform's page on servers: it works on at most Slots requests at once, names
// its ID, rejects requests for another instance with 421 and drops a request whose connection closes.
type Server struct {
	ID, Service string

	listener net.Listener
	slots    chan struct{}
	work     atomic.Int64 // nanoseconds
	answer   atomic.Int64 // bytes
	onRun    func(Run)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

const (
	pieceBytes = 64 << 10
	piecePause = time.Millisecond
)

func newServer(address, id, service string, slots int, work time.Duration, answerBytes int, onRun func(Run)) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, listener: l, slots: make(chan struct{}, slots), onRun: onRun, conns: map[net.Conn]bool{}}
	s.work.Store(int64(work))
	s.answer.Store(int64(answerBytes))
	go s.serve()
	return s, nil
}

// SetWork sets how long the server works on a request that starts from now on.
func (s *Server) SetWork(d time.Duration) {
	s.work.Store(int64(d))
}

// End ends the server: its listener and all its connections close.
func (s *Server) End() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || !s.respond(c, in, r, int(n)) {
			return
		}
	}
}

// respond serves one request. It reports whether the connection can stay open.
func (s *Server) respond(c net.Conn, in *bufio.Reader, r *http.Request, bodyBytes int) bool {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.ID {
		return s.write(c, "421 Misdirected Request", id, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.ID+"\r\n", 0)
	}
	if r.URL.Path == "/health" {
		return s.write(c, "200 OK", id, "X-Instance-Id: "+s.ID+"\r\n", 0)
	}
	if id == "" {
		return s.write(c, "400 Bad Request", id, "X-Not-Executed: 1\r\n", 0)
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return s.write(c, "503 Service Unavailable", id, "X-Not-Executed: 1\r\n", 0)
	}
	defer func() { <-s.slots }()
	s.onRun(Run{ID: id, Service: s.Service, Server: s.ID, Caller: r.Header.Get("X-Caller-Service"), BodyBytes: bodyBytes})
	work := time.Duration(s.work.Load())
	late := false
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work, late = time.Duration(ms)*time.Millisecond, true
	}
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if t, ok := err.(net.Error); !ok || !t.Timeout() {
		return false // the caller has closed the connection
	}
	if late {
		return s.write(c, "504 Gateway Timeout", id, "X-Server-Stamp: "+s.ID+"."+id+"\r\n", 0)
	}
	return s.write(c, "200 OK", id, "X-Server-Stamp: "+s.ID+"."+id+"\r\n", int(s.answer.Load()))
}

func (s *Server) write(c net.Conn, status, id, header string, bodyBytes int) bool {
	if id != "" {
		header += "X-Attempt-Id: " + id + "\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, header, bodyBytes); err != nil {
		return false
	}
	// A long answer leaves the server in pieces, as it reads them from somewhere.
	for left := bodyBytes; left > 0; left -= pieceBytes {
		if _, err := io.WriteString(c, strings.Repeat("x", min(left, pieceBytes))); err != nil {
			return false
		}
		if left > pieceBytes {
			time.Sleep(piecePause)
		}
	}
	return true
}
