package standin

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

// MeshServer is a backend server of a mesh on a raw socket, so that it can answer in every wrong way. It counts the
// requests that it ran by id.
type MeshServer struct {
	listener net.Listener

	mu       sync.Mutex
	id       string
	slots    int
	running  int
	work     time.Duration
	manner   Behaviour
	ran      map[string]int
	seen     []http.Header
	cut      int
	accepted int
}

// Behaviour is how an App answers.
type Behaviour string

// appConn serves one connection.
type appConn struct {
	app  *MeshServer
	conn net.Conn
}

const (
	// Normal answers are whole.
	Normal Behaviour = ""
	// Extra sends a second answer after each.
	Extra Behaviour = "extra"
	// Unframed answers have no length and end with their connection.
	Unframed Behaviour = "unframed"
	// Early answers before it has read a long body.
	Early Behaviour = "early"
	// Truncated ends the connection in the middle of an answer.
	Truncated Behaviour = "cut"
	// Disconnected runs the request and closes the connection without an answer.
	Disconnected Behaviour = "lost"
	// Unresponsive runs the request and never answers.
	Unresponsive Behaviour = "silent"
	// Malformed sends bytes that are no answer.
	Malformed Behaviour = "spoiled"
	// Shedding answers that it did not run the request.
	Shedding Behaviour = "sheds"
	// Failing answers 500, as a run that failed.
	Failing Behaviour = "fails"
	// WrongAttemptID answers with the id of another request.
	WrongAttemptID Behaviour = "foreign"
	// Unstamped answers without the server's stamp.
	Unstamped Behaviour = "unstamped"
)

// NewMeshServer starts a server with an identity and some slots at an address of loopback.
func NewMeshServer(address, id string, slots int, work time.Duration) (*MeshServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &MeshServer{listener: l, id: id, slots: slots, work: work, ran: map[string]int{}}
	go a.run()
	return a, nil
}

// Address is where the server listens.
func (a *MeshServer) Address() string {
	return a.listener.Addr().String()
}

// Close ends the server.
func (a *MeshServer) Close() {
	_ = a.listener.Close()
}

// SetBehaviour sets the manner of the answers from now on.
func (a *MeshServer) SetBehaviour(m Behaviour) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manner = m
}

// SetID makes it another server at the same address.
func (a *MeshServer) SetID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id = id
}

// Executions returns how often a request ran, and the number of all runs.
func (a *MeshServer) Executions(id string) (times, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.ran {
		all += n
	}
	return a.ran[id], all
}

// RequestHeaders returns the headers of the requests that arrived.
func (a *MeshServer) RequestHeaders() []http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]http.Header(nil), a.seen...)
}

// Cancelled returns how many requests were dropped because their connection closed.
func (a *MeshServer) Cancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut
}

// Connections returns the number of connections.
func (a *MeshServer) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted
}

func (a *MeshServer) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.accepted++
		a.mu.Unlock()
		go (&appConn{app: a, conn: c}).run()
	}
}

func (c *appConn) run() {
	defer c.conn.Close()
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !c.app.answer(c.conn, in, r) {
			return
		}
	}
}

// answer serves one request; it returns false if the connection is to be closed.
func (a *MeshServer) answer(w net.Conn, in *bufio.Reader, r *http.Request) bool {
	a.mu.Lock()
	m, id, work := a.manner, a.id, a.work
	a.seen = append(a.seen, r.Header)
	full := a.running >= a.slots
	a.mu.Unlock()
	name := r.Header.Get("X-Attempt-Id")
	if m == Early {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nearly", name)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	switch expect := r.Header.Get("X-Expect-Instance"); {
	case expect != "" && expect != id:
		fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return true
	case full || m == Shedding:
		fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", name)
		return true
	}
	if !a.hold(w, in, r, name, work) {
		return false
	}
	return a.finish(w, m, name, body)
}

// hold keeps a slot for the time of one request; it returns false if the connection was closed meanwhile.
func (a *MeshServer) hold(w net.Conn, in *bufio.Reader, r *http.Request, name string, work time.Duration) bool {
	a.mu.Lock()
	a.running++
	a.ran[name]++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.running--
		a.mu.Unlock()
	}()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work = time.Duration(ms) * time.Millisecond
	}
	_ = w.SetReadDeadline(time.Now().Add(work))
	_, err := in.Peek(1)
	_ = w.SetReadDeadline(time.Time{})
	if t, ok := err.(net.Error); ok && t.Timeout() {
		return true
	}
	a.mu.Lock()
	a.cut++
	a.mu.Unlock()
	return false
}

func (a *MeshServer) finish(w net.Conn, m Behaviour, name string, body []byte) bool {
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", name, len(body)+2, body) + "ok"
	switch m {
	case Extra:
		answer += answer
	case Unframed:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n\r\n%sok", name, body)
		return false
	case Truncated:
		_, _ = io.WriteString(w, answer[:len(answer)-1])
		return false
	case Disconnected:
		return false
	case Unresponsive:
		// Returns once the other side gives up.
		_, _ = io.Copy(io.Discard, w)
		return false
	case Malformed:
		answer = "\x00\x01 no answer\r\n\r\n"
	case Failing:
		answer = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", name)
	case WrongAttemptID:
		answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
	case Unstamped:
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nno", name)
	}
	_, err := io.WriteString(w, answer)
	return err == nil
}
