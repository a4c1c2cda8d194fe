package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server. It answers with bodies that repeat the attempt ID; the query "bytes" is the length of the body.
type server struct {
	fleet       *fleet
	id, service string
	born        time.Time
	work        time.Duration

	mu      sync.Mutex
	running int
	ran     map[string]int
	arrived map[string]time.Time
	// cut returns whether the answer to a request is broken off; nil if none is.
	cut func(id string) bool

	http *http.Server
}

// postWork is how long a request with POST takes.
const postWork = 120 * time.Millisecond

func newServer(f *fleet, address, id, service string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, service: service, born: time.Now(), work: 10 * time.Millisecond, ran: map[string]int{}, arrived: map[string]time.Time{}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: startTimeout, IdleTimeout: 10 * time.Second}
	go func() {
		_ = s.http.Serve(l) // ends with the server or the process
	}()
	return s, nil
}

// exit closes the listener and all connections.
func (s *server) exit() {
	_ = s.http.Close() // the connections are closed in any case
}

// ServeHTTP answers a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Instance-Id", s.id)
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	work := s.work
	if r.Method == http.MethodPost {
		work = postWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	length, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		length = 100
	}
	body := answerBody(id, length)
	h.Set("X-Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	h.Set("Content-Length", strconv.Itoa(length))
	s.mu.Lock()
	cut := s.cut != nil && s.cut(id)
	s.mu.Unlock()
	if cut {
		_, _ = io.WriteString(w, body[:len(body)*19/20]) // the connection is closed in any case
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // fails only if the caller has left
}

// setCut sets which answers are broken off.
func (s *server) setCut(cut func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// begin takes a slot for a request, unless all are in use.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= slots {
		return false
	}
	s.running++
	s.ran[id]++
	s.arrived[id] = time.Now()
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// runs returns how often a request ran, and when it last began.
func (s *server) runs(id string) (times int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id], s.arrived[id]
}

// answerBody returns the body of an answer.
func answerBody(id string, length int) string {
	unit := id + "\n"
	return strings.Repeat(unit, length/len(unit)+1)[:length]
}
