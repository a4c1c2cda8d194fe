package http1

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
	is.True(p.get(address) != nil)
	is.Equal(p.idleCount, 2)
	p.CloseIdle(address)
	is.Equal(p.idleCount, 0)
}
