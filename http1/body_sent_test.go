package http1

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
