package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
)

// lateCopyServer sheds its first request. It writes a second copy of the refusal ahead of the response to the next request on that connection.
type lateCopyServer struct {
	mu   sync.Mutex
	shed string
}

// ServeHTTP responds to a request.
func (s *lateCopyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shed == "" {
		s.shed = r.RemoteAddr
		w.Header().Set(jaypitch.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.shed != r.RemoteAddr {
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nShed: true\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// TestLateCopyOfRefusal guards against a second copy of a refusal that is taken for the response to the next request: the server executes that one,
// and its client is told that it didn't.
func TestLateCopyOfRefusal(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(&lateCopyServer{})
	defer s.Close()
	r := &Receiver{admitter: &admitter{now: time.Now, admission: admit.NewAdmission(1)}}
	client := NewClient(strings.TrimPrefix(s.URL, "http://"), "/health", 1, time.Now)
	for _, want := range []jaypitch.Code{jaypitch.CodeShed, jaypitch.CodeOK} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		a, err := client.Do(ctx, &jaypitch.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		is.Equal(r.readResponse(ctx, a, &slot{admitter: r.admitter, started: time.Now()}, cancel).Code, want)
	}
}
