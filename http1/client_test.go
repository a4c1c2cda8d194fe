package http1

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMaxConnections guards against more requests in progress at an address than a client may have connections there, and against ones that
// are never released.
func TestMaxConnections(t *testing.T) {
	is := is.New(t)
	const most, requests = 2, 20
	var inProgress, peak, complete atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		n := inProgress.Add(1)
		defer inProgress.Add(-1)
		for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
		}
	}))
	defer s.Close()
	c := NewClient(time.Now, WithMaxConnections(most))
	defer c.CloseIdle()
	var done sync.WaitGroup
	for range requests {
		done.Go(func() {
			a, err := c.Do(context.Background(), http.MethodGet, strings.TrimPrefix(s.URL, "http://"), "/", http.Header{}, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, a.Body); err == nil {
				complete.Add(1)
			}
			_ = a.Body.Close()
		})
	}
	done.Wait()
	is.Equal(complete.Load(), int64(requests))
	is.True(peak.Load() <= most)
	is.True(c.pool.idleCount <= most)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range most {
		c.semaphore("other:1") <- struct{}{}
	}
	_, err := c.Do(ctx, http.MethodGet, "other:1", "/", http.Header{}, nil)
	is.Equal(err.(*Error).Sent, false)
}
