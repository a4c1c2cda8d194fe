package outbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// newBodyRequest returns a request with a body of unknown length.
func newBodyRequest(body io.Reader) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/a", io.NopCloser(body))
	r.ContentLength = -1
	return r
}

// TestBodiesExceedTheirBudget guards against bodies that together take more memory than the budget: those that arrive at the same time, and those
// whose length is unknown.
func TestBodiesExceedTheirBudget(t *testing.T) {
	t.Run("at the same time", func(t *testing.T) {
		is := is.New(t)
		h := &Handler{budget: memory.NewBudget(100_000), now: time.Now}
		body, client := io.Pipe()
		first := httptest.NewRequest(http.MethodPost, "/a", body)
		first.ContentLength = 60_000
		done := make(chan *jaypitch.Error)
		go func() {
			got, e := h.readBody(first, 0, &jaypitch.MeshRequest{})
			got.Release()
			done <- e
		}()
		_, err := io.WriteString(client, "x")
		is.NoErr(err)
		second := httptest.NewRequest(http.MethodPost, "/a", strings.NewReader(strings.Repeat("y", 60_000)))
		_, e := h.readBody(second, 0, &jaypitch.MeshRequest{})
		is.True(e != nil)
		is.Equal(e.Code, jaypitch.CodeTooManyCalls)
		_, err = io.WriteString(client, strings.Repeat("x", 59_999))
		is.NoErr(err)
		is.NoErr(client.Close())
		is.True(<-done == nil)
		is.Equal(h.budget.Held(memory.SenderBodies), int64(0))
	})
	t.Run("of unknown length", func(t *testing.T) {
		is := is.New(t)
		h := &Handler{budget: memory.NewBudget(200_000), now: time.Now}
		_, e := h.readBody(newBodyRequest(strings.NewReader(strings.Repeat("x", 300_000))), 0, &jaypitch.MeshRequest{})
		is.True(e != nil)
		is.Equal(e.Code, jaypitch.CodeTooManyCalls)
		is.Equal(h.budget.Held(memory.SenderBodies), int64(0))
		body, e := h.readBody(newBodyRequest(strings.NewReader(strings.Repeat("x", 100_000))), 0, &jaypitch.MeshRequest{})
		is.True(e == nil)
		is.Equal(len(body.Data), 100_000)
		is.True(h.budget.Held(memory.SenderBodies) >= 100_000)
		body.Release()
		is.Equal(h.budget.Held(memory.SenderBodies), int64(0))
	})
	t.Run("a body as long as the budget is accepted", func(t *testing.T) {
		is := is.New(t)
		h := &Handler{budget: memory.NewBudget(50_001), now: time.Now}
		body, e := h.readBody(httptest.NewRequest(http.MethodPost, "/a", strings.NewReader(strings.Repeat("x", 50_000))), 0, &jaypitch.MeshRequest{})
		is.True(e == nil)
		is.Equal(len(body.Data), 50_000)
	})
}
