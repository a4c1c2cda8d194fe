package outbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/connlimit"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/mesh"
)

// TestBodiesAreNotHeads guards against a limited listener that doesn't learn when a head is complete, since a wrapper between it and the HTTP server
// hides its connection: it then counted the bodies on a kept connection as one head, and refused the request that exceeded the limit with 431.
func TestBodiesAreNotHeads(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limited := connlimit.New(inner, memory.NewBudget(1<<20), 10, time.Now, connlimit.WithHeadBytes(func() int64 { return 16384 }))
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // the client checks the status
		if n != r.ContentLength {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	connlimit.Attach(s, connlimit.Refuse)
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(NewListener(limited, mesh.NewReplica(), time.Now)) }()
	for range 10 {
		r, err := http.Post("http://"+inner.Addr().String(), "", bytes.NewReader(make([]byte, 20_000)))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, r.Body)
		is.NoErr(err)
		is.NoErr(r.Body.Close())
		is.Equal(r.StatusCode, http.StatusOK)
	}
}
