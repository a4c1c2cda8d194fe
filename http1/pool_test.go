package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMaxIdle guards against idle connections that exceed the descriptors of the process, and against a count that drifts.
func TestMaxIdle(t *testing.T) {
	is := is.New(t)
	const parallel = 5
	var arrived sync.WaitGroup
	arrived.Add(parallel)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived.Done()
		arrived.Wait()
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	p := NewPool(time.Now, WithMaxIdle(3))
	var done sync.WaitGroup
	for range parallel {
		done.Go(func() {
			a, err := p.Do(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
			}
		})
	}
	done.Wait()
	is.Equal(len(p.idle[address]), 3)
	is.True(p.get(address, "") != nil)
	is.Equal(p.idleCount, 2)
	p.CloseIdle(address)
	is.Equal(p.idleCount, 0)
}

// TestRequestIsRepeatedOnConnection guards against a request that is sent on a connection that carried one with the same ID, where a second copy of the
// first response would pass for the second one, and against more connections than requests in progress for the sake of that.
func TestRequestIsRepeatedOnConnection(t *testing.T) {
	is := is.New(t)
	opened := 0
	var mu sync.Mutex
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			mu.Lock()
			defer mu.Unlock()
			opened++
		}
	}
	s.Start()
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	p := NewPool(time.Now)
	send := func(id string) string {
		a, err := p.Do(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: id})
		is.NoErr(err)
		connection, err := io.ReadAll(a.Body)
		is.NoErr(err)
		return string(connection)
	}
	first := send("one")
	is.Equal(send("two"), first)
	second := send("one")
	is.True(second != first)
	is.Equal(send(""), second)
	is.Equal(send(""), second)
	is.Equal(len(p.idle[address]), 1)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(opened, 2)
}

// TestBodySent guards against a body that is held while the server works on the request, and against one that is given up before it was sent.
func TestBodySent(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 1 << 20
	sent := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		<-sent
		if n != bodyBytes || err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer s.Close()
	r := &Request{Method: http.MethodPut, Target: "/", Host: "h", Body: make([]byte, bodyBytes), BodySent: func() { close(sent) }}
	a, err := NewPool(time.Now).Do(context.Background(), strings.TrimPrefix(s.URL, "http://"), r)
	is.NoErr(err)
	defer a.Body.Close()
	is.Equal(a.StatusCode, http.StatusOK)
	is.Equal(len(r.Body), 0)
}
