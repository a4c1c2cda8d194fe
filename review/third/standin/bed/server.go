package bed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server stands in for a backend server. It answers as the users' pages say: it echoes the attempt ID, answers 421 to a request that expects another
// instance, and 503 without executing the request if all slots are in use and its queue is full.
type Server struct {
	ID, Service, Zone string

	listener net.Listener
	born     int64
	slots    int
	queue    int
	work     func(r *http.Request) time.Duration
	observe  func(Run)

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	extra   func(status int) bool
	// misdirected is the number of answers 421.
	misdirected int
	// open holds the connections that were accepted.
	open []net.Conn
}

// Run is a request that a server began to execute.
type Run struct {
	// Arrived is when the whole request had arrived, At when it began to run.
	Arrived  time.Time
	At       time.Time
	Server   string
	ID       string
	Target   string
	Caller   string
	Deadline string
	Method   string
}

// serverConn is one connection of a server. Late holds a second copy of an earlier answer, which is written where the next answer is expected.
type serverConn struct {
	server *Server
	conn   net.Conn
	late   []byte
}

// NewServer starts a server on an address. Work returns how long a request takes; observe is called when a request begins to run.
func NewServer(address, id, service, zone string, slots int, work func(r *http.Request) time.Duration, observe func(Run)) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Zone: zone, listener: l, born: time.Now().UnixMilli(), slots: slots, queue: 4 * slots, work: work, observe: observe,
		extra: func(int) bool { return false }}
	s.free = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Entry returns the server's entry in the store.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{"address": s.Address(), "born": s.born,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemainingS": 0}}
}

// SetExtra sets for which answers, by their status, the server sends a second copy later. It is the disruption garble, variant "extra late".
func (s *Server) SetExtra(extra func(status int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = extra
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open = append(s.open, c)
		s.mu.Unlock()
		go (&serverConn{server: s, conn: c}).run()
	}
}

// Misdirected returns the number of answers 421.
func (s *Server) Misdirected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misdirected
}

// Close ends the server: it closes its listener and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close() // it may be closed already
	}
}

func (c *serverConn) run() {
	defer c.conn.Close()
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if len(c.late) > 0 {
			if _, err := c.conn.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		if !c.serve(in, r) {
			return
		}
	}
}

func (c *serverConn) serve(in *bufio.Reader, r *http.Request) bool {
	s := c.server
	id, arrived := r.Header.Get("X-Attempt-Id"), time.Now()
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/health":
		return c.write(http.StatusOK, "X-Instance-Id: "+s.ID+"\r\n", "")
	case expected != "" && expected != s.ID:
		return c.write(http.StatusMisdirectedRequest, "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\nX-Instance-Id: "+s.ID+"\r\n", "")
	case id == "":
		return c.write(http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
	}
	if !s.takeSlot() {
		return c.write(http.StatusServiceUnavailable, "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n", "")
	}
	defer s.releaseSlot()
	s.observe(Run{Arrived: arrived, At: time.Now(), Server: s.ID, ID: id, Target: r.RequestURI, Caller: r.Header.Get("X-Caller-Service"), Deadline: r.Header.Get("X-Deadline-Ms"), Method: r.Method})
	took, status := s.work(r), http.StatusOK
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < took {
		took, status = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout
	}
	// The request is dropped when its connection closes.
	_ = c.conn.SetReadDeadline(time.Now().Add(took))
	_, err := in.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	if t, ok := err.(net.Error); !ok || !t.Timeout() {
		return false
	}
	if r.Method == http.MethodHead {
		return c.write(status, "X-Attempt-Id: "+id+"\r\nX-Server-Stamp: "+s.ID+"."+id+"\r\n", "")
	}
	return c.write(status, "X-Attempt-Id: "+id+"\r\nX-Server-Stamp: "+s.ID+"."+id+"\r\n", Body(id))
}

func (c *serverConn) write(status int, header, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	c.server.mu.Lock()
	if status == http.StatusMisdirectedRequest {
		c.server.misdirected++
	}
	if c.server.extra(status) {
		c.late = []byte(text)
	}
	c.server.mu.Unlock()
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (s *Server) takeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.free.Wait()
	}
	s.waiting--
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free.Signal()
}

// Body returns the body of the answer to a request.
func Body(id string) string {
	return "answer to " + id + "\n"
}
