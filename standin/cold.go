package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// health is the health endpoint of a MeshServer.
type health struct {
	// path is empty if there is none.
	path string
	cold time.Duration
	// coldUntil, if set, is when the cold time ends, which replaces cold.
	coldUntil time.Time
	// silent leaves out the cold time.
	silent   bool
	requests int
}

// ServeHealth makes the server respond at a path, with the time for which it stays cold.
func (s *MeshServer) ServeHealth(path string, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = health{path: path, cold: cold, requests: s.health.requests}
}

// ServeHealthUntil makes the server respond at a path, with the time for which it stays cold until a deadline.
func (s *MeshServer) ServeHealthUntil(path string, coldUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = health{path: path, coldUntil: coldUntil, requests: s.health.requests}
}

// HideCold makes the server leave the cold time out of its responses at the health path.
func (s *MeshServer) HideCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.silent = true
}

// HealthRequests returns the number of requests at the health path.
func (s *MeshServer) HealthRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.requests
}

// Crash closes the listener and all connections, as the end of the process does.
func (s *MeshServer) Crash() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close() // may be closed already
	}
}

// MostInSecond returns the largest number of requests that were executed within one second of a time span.
func (s *MeshServer) MostInSecond(from, until time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, t := range s.arrivals {
		if t.Before(from) {
			first = i + 1
			continue
		}
		if !t.Before(until) {
			break
		}
		for !s.arrivals[first].Add(time.Second).After(t) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// respondHealth responds to a request at the health path. It reports whether the request was one, and whether the connection can stay open. It takes
// a slot like any other request.
func (s *MeshServer) respondHealth(w io.Writer, r *http.Request) (is, stays bool) {
	s.mu.Lock()
	h, id, full := s.health, s.id, s.running >= s.slots
	if h.path == "" || r.URL.Path != h.path {
		s.mu.Unlock()
		return false, true
	}
	s.health.requests++
	s.mu.Unlock()
	s.observe(Arrival{At: time.Now(), Outcome: HealthCheck})
	if !h.coldUntil.IsZero() {
		h.cold = max(0, time.Until(h.coldUntil))
	}
	status, cold := "200 OK", fmt.Sprintf("X-Cold-Ms: %d\r\n", h.cold.Milliseconds())
	if full {
		status = "503 Service Unavailable"
	}
	if full || h.silent {
		cold = ""
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, cold, id)
	return true, err == nil
}
