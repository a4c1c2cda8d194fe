package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MeshServer is a backend server of a mesh. It writes its responses to the raw connection, so that they can be malformed or incomplete.
// It counts executions by attempt ID.
type MeshServer struct {
	listener net.Listener

	mu          sync.Mutex
	id          string
	slots       int
	running     int
	serviceTime time.Duration
	behaviour   Behaviour
	executions  map[string]int
	headers     []http.Header
	canceled    int
	connections int
	// notice holds the lines of the header with what the server states about itself, each with its line end.
	notice string
	health health
	// open holds the connections that were accepted, for Crash; some may be closed.
	open []net.Conn
	// arrivals are the times at which requests were executed.
	arrivals []time.Time
	observe  func(Arrival)
	// downloadBytes is the length of the body of a response to a path below downloadPrefix, which is empty if there are none.
	downloadPrefix string
	downloadBytes  int
}

// Arrival is one request that reached a MeshServer.
type Arrival struct {
	At time.Time
	// ID is the attempt ID of the request; empty for a health check.
	ID      string
	Outcome Outcome
	// Leaving is true if the response states that the server is leaving.
	Leaving bool
}

// Outcome is what a MeshServer did with a request.
type Outcome string

// ServerOption configures a MeshServer.
type ServerOption func(*MeshServer)

// Behaviour is how a MeshServer responds to requests.
type Behaviour string

// meshServerConn serves one connection.
type meshServerConn struct {
	server *MeshServer
	conn   net.Conn
	// late is the second copy of the response before, which is written ahead of the next one; nil if there is none.
	late []byte
}

// recordingConn records what is written to a connection.
type recordingConn struct {
	net.Conn
	written []byte
}

const (
	// Normal sends complete responses.
	Normal Behaviour = ""
	// Extra sends every response twice.
	Extra Behaviour = "extra"
	// LateCopy sends every response once more ahead of the next response on the connection.
	LateCopy Behaviour = "late_copy"
	// LateCopyShedding is LateCopy with refusals like those of Shedding.
	LateCopyShedding Behaviour = "late_copy_sheds"
	// Large sends complete responses of LargeBytes.
	Large Behaviour = "large"
	// Unframed sends responses without Content-Length, which end when the connection closes.
	Unframed Behaviour = "unframed"
	// Early responds before it has read the request body.
	Early Behaviour = "early"
	// Truncated closes the connection before the last byte of a response.
	Truncated Behaviour = "cut"
	// Disconnected executes the request and closes the connection without a response.
	Disconnected Behaviour = "lost"
	// Unresponsive executes the request and never responds.
	Unresponsive Behaviour = "silent"
	// Malformed sends bytes that are not an HTTP response.
	Malformed Behaviour = "spoiled"
	// Shedding responds with 503 and X-Not-Executed, without executing the request.
	Shedding Behaviour = "sheds"
	// Failing executes the request and responds with 500.
	Failing Behaviour = "fails"
	// WrongAttemptID responds with the ID of another attempt.
	WrongAttemptID Behaviour = "foreign"
	// EndlessHead sends a header that doesn't end until the client closes the connection.
	EndlessHead Behaviour = "endless_head"
	// EndlessLine sends bytes without a line end, instead of a response, until the client closes the connection.
	EndlessLine Behaviour = "endless_line"
	// EndlessChunk sends a response whose first chunk has a size that doesn't end until the client closes the connection.
	EndlessChunk Behaviour = "endless_chunk"
	// EndlessBody sends a response whose body doesn't end until the client closes the connection.
	EndlessBody Behaviour = "endless_body"
	// EndlessOther sends the response to another attempt, with a body that doesn't end until the client closes the connection.
	EndlessOther Behaviour = "endless_foreign"
	// Unstamped leaves out X-Server-Stamp, which marks a response as the backend server's own.
	Unstamped Behaviour = "unstamped"
	// RepeatedRefusal executes the request, but writes the refusal of an earlier attempt once more before the response.
	RepeatedRefusal Behaviour = "repeats_refusal"
	// AnonymousRefusal is RepeatedRefusal with a refusal that doesn't name its attempt.
	AnonymousRefusal Behaviour = "repeats_anonymous_refusal"
	// AnonymousMisdirected is AnonymousRefusal with the refusal of a request that was meant for another server.
	AnonymousMisdirected Behaviour = "repeats_anonymous_421"
	// FalseRefusal executes the request, and responds that it didn't. No sidecar can notice that.
	FalseRefusal Behaviour = "refuses_falsely"
	// FalseBody responds with a body that isn't that of the request. No sidecar can notice that.
	FalseBody Behaviour = "false_body"
)

const (
	// Executed is the outcome of a request that took a slot.
	Executed Outcome = "executed"
	// Refused is the outcome of a request that got 503.
	Refused Outcome = "refused"
	// Misdirected is the outcome of a request for another server, which got 421.
	Misdirected Outcome = "misdirected"
	// HealthCheck is the outcome of a request at the health path.
	HealthCheck Outcome = "health_check"
)

// LargeBytes is the length of the body of a response that Large sends.
const LargeBytes = 300_000

// EndlessUnit is what the body of EndlessBody repeats.
const EndlessUnit = "no answer"

// headerLeaving states that a server is leaving.
const headerLeaving = "Server-Leaving"

// NewMeshServer starts a server that listens on a loopback address. The ID is its instance ID in the mesh; each request occupies
// a slot for the service time.
func NewMeshServer(address, id string, slots int, serviceTime time.Duration, options ...ServerOption) (*MeshServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &MeshServer{listener: l, id: id, slots: slots, serviceTime: serviceTime, executions: map[string]int{}, observe: func(Arrival) {}}
	for _, o := range options {
		o(s)
	}
	go s.serve()
	return s, nil
}

// WithObserver makes the server report each request as it arrives, before it responds. The function is called concurrently.
func WithObserver(observe func(Arrival)) ServerOption {
	return func(s *MeshServer) { s.observe = observe }
}

// WithHealth is ServeHealthUntil from the first connection on.
func WithHealth(path string, coldUntil time.Time) ServerOption {
	return func(s *MeshServer) { s.health = health{path: path, coldUntil: coldUntil} }
}

// WithDownloads makes the server respond at paths that begin with a prefix with a body made by DownloadBody.
func WithDownloads(prefix string, length int) ServerOption {
	return func(s *MeshServer) { s.downloadPrefix, s.downloadBytes = prefix, length }
}

// DownloadBody returns the body of a large response, which repeats the attempt ID.
func DownloadBody(attemptID string, length int) string {
	unit := attemptID + "\n"
	return strings.Repeat(unit, length/len(unit)+1)[:length]
}

// Address returns the IP address and port that the server listens on.
func (s *MeshServer) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting connections. Accepted ones stay open.
func (s *MeshServer) Close() {
	_ = s.listener.Close()
}

// SetBehaviour sets the behaviour for the requests that arrive from now on.
func (s *MeshServer) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// SetServiceTime sets how long a request that arrives from now on occupies its slot.
func (s *MeshServer) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetID changes the instance ID, as if another server had taken over the address.
func (s *MeshServer) SetID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
}

// NameLimit makes the server name a limit in all its responses, as a decimal number of requests per second; empty ends that.
func (s *MeshServer) NameLimit(perSecond string) {
	s.setNotice("Server-Limit", perSecond)
}

// Leave makes the server state in all its responses that it is leaving.
func (s *MeshServer) Leave() {
	s.setNotice(headerLeaving, "1")
}

func (s *MeshServer) setNotice(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = ""
	if value != "" {
		s.notice = name + ": " + value + "\r\n"
	}
}

// Executions returns the number of executions of one attempt ID, and of all together.
func (s *MeshServer) Executions(id string) (times, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.executions {
		all += n
	}
	return s.executions[id], all
}

// RequestHeaders returns the headers of all requests, in the order in which they arrived.
func (s *MeshServer) RequestHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// Canceled returns the number of requests whose execution ended early because the client closed the connection.
func (s *MeshServer) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// Connections returns the number of accepted connections.
func (s *MeshServer) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func (s *MeshServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.open = append(s.open, c)
		s.mu.Unlock()
		go (&meshServerConn{server: s, conn: c}).serve()
	}
}

func (c *meshServerConn) serve() {
	defer c.conn.Close()
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !c.respond(in, r) {
			return
		}
	}
}

// respond serves one request, after the late copy of the response before. It reports whether the connection can stay open.
func (c *meshServerConn) respond(in *bufio.Reader, r *http.Request) bool {
	if _, err := c.conn.Write(c.late); err != nil {
		return false
	}
	out := &recordingConn{Conn: c.conn}
	stays := c.server.respond(out, in, r)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.late = nil
	if c.server.behaviour == LateCopy || c.server.behaviour == LateCopyShedding {
		c.late = out.written
	}
	return stays
}

// Write writes to the connection and keeps a copy.
func (c *recordingConn) Write(p []byte) (int, error) {
	c.written = append(c.written, p...)
	return c.Conn.Write(p)
}

// respond serves one request. It reports whether the connection can stay open.
func (s *MeshServer) respond(w net.Conn, in *bufio.Reader, r *http.Request) bool {
	if is, stays := s.respondHealth(w, r); is {
		return stays
	}
	s.mu.Lock()
	b, id, serviceTime, notice := s.behaviour, s.id, s.serviceTime, s.notice
	s.headers = append(s.headers, r.Header)
	full := s.running >= s.slots
	s.mu.Unlock()
	attemptID := r.Header.Get("X-Attempt-Id")
	if b == Early {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nearly", notice, attemptID)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	switch expect := r.Header.Get("X-Expect-Instance"); {
	case expect != "" && expect != id:
		s.observe(Arrival{At: time.Now(), ID: attemptID, Outcome: Misdirected})
		fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\n%sX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", notice, attemptID, id)
		return true
	case full || b == Shedding || b == LateCopyShedding:
		s.observe(Arrival{At: time.Now(), ID: attemptID, Outcome: Refused})
		fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\n%sX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", notice, attemptID)
		return true
	}
	s.observe(Arrival{At: time.Now(), ID: attemptID, Outcome: Executed, Leaving: strings.HasPrefix(notice, headerLeaving)})
	if !s.execute(w, in, r, attemptID, serviceTime) {
		return false
	}
	if s.downloadPrefix != "" && strings.HasPrefix(r.URL.Path, s.downloadPrefix) {
		body = []byte(DownloadBody(attemptID, s.downloadBytes))
	}
	return s.writeResponse(w, b, notice, attemptID, body)
}

// execute occupies a slot for the service time, or until the request's deadline. It returns false if the client closed the
// connection before.
func (s *MeshServer) execute(w net.Conn, in *bufio.Reader, r *http.Request, attemptID string, serviceTime time.Duration) bool {
	s.mu.Lock()
	s.running++
	s.executions[attemptID]++
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < serviceTime {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	_ = w.SetReadDeadline(time.Now().Add(serviceTime))
	_, err := in.Peek(1)
	_ = w.SetReadDeadline(time.Time{})
	if t, ok := err.(net.Error); ok && t.Timeout() {
		return true
	}
	s.mu.Lock()
	s.canceled++
	s.mu.Unlock()
	return false
}

func (s *MeshServer) writeResponse(w net.Conn, b Behaviour, notice, attemptID string, body []byte) bool {
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", notice, attemptID, len(body)+2, body) + "ok"
	if start, unit := endless(b, attemptID); unit != "" {
		return writeEndlessly(w, start, unit)
	}
	switch b {
	case FalseRefusal:
		response = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", notice, attemptID)
	case FalseBody:
		response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno", notice, attemptID)
	case Large:
		response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n", notice, attemptID, LargeBytes) + strings.Repeat("x", LargeBytes)
	case Extra:
		response += response
	case RepeatedRefusal:
		response = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: earlier\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + response
	case AnonymousRefusal:
		response = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + response
	case AnonymousMisdirected:
		response = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: other\r\nContent-Length: 0\r\n\r\n" + response
	case Unframed:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n\r\n%sok", notice, attemptID, body)
		return false
	case Truncated:
		_, _ = io.WriteString(w, response[:len(response)-1])
		return false
	case Disconnected:
		return false
	case Unresponsive:
		// Reads until the client closes the connection.
		_, _ = io.Copy(io.Discard, w)
		return false
	case Malformed:
		response = "\x00\x01 no answer\r\n\r\n"
	case Failing:
		response = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%sX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", notice, attemptID)
	case WrongAttemptID:
		response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
	case Unstamped:
		response = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nno", attemptID)
	}
	_, err := io.WriteString(w, response)
	return err == nil
}

// endless returns the start of a response that doesn't end, and what follows it again and again; empty for other behaviours.
func endless(b Behaviour, attemptID string) (start, unit string) {
	const head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
	switch b {
	case EndlessHead:
		return head + attemptID + "\r\n", "X-More: more\r\n"
	case EndlessLine:
		return "", "\x00\x01no answer"
	case EndlessChunk:
		return head + attemptID + "\r\nTransfer-Encoding: chunked\r\n\r\n", "0;no answer"
	case EndlessBody:
		return head + attemptID + "\r\n\r\n", EndlessUnit
	case EndlessOther:
		return head + "other\r\nContent-Length: 1000000000000\r\n\r\n", "no answer"
	}
	return "", ""
}

// writeEndlessly writes until the client closes the connection. It returns false, since the connection can't be used again.
func writeEndlessly(w io.Writer, start, unit string) bool {
	_, err := io.WriteString(w, start)
	for block := strings.Repeat(unit, 1000); err == nil; {
		_, err = io.WriteString(w, block)
	}
	return false
}
