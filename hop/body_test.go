package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/memory"
)

// readingReceiver reads the body as the receiver does once it has admitted a request.
type readingReceiver struct{}

func (readingReceiver) Serve(_ context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	if f.ReadBody != nil {
		if _, err := f.ReadBody(); err != nil {
			return refusalOf(err)
		}
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: http.StatusOK, Header: http.Header{}}
}

// bodyServer returns the address of a server whose budget has a number of bytes.
func bodyServer(t *testing.T, budget int64) string {
	t.Helper()
	h := NewServer(readingReceiver{}, "Id", time.Now, func() bool { return false }, func(string, jaypitch.Position) {}, http.NotFoundHandler(),
		WithBudget(memory.NewBudget(budget)))
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestBodyWithoutMemory guards against a receiver that reads a body for which it has no memory, and against a refusal that the sender can't tell
// from a request that may have been executed.
func TestBodyWithoutMemory(t *testing.T) {
	for name, size := range map[string]int{"sent at once": 20_000, "offered by head first": offerBytes} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := request()
			f.Body, f.Deadline = make([]byte, size), time.Now().Add(time.Minute)
			r := NewClient(http1.NewPool(time.Now), time.Now).Forward(context.Background(), bodyServer(t, 10_000), f)
			is.Equal(r.Execution, jaypitch.NotExecuted)
			is.Equal(r.Code, jaypitch.CodeOverloaded)
			is.Equal(r.RetryAfter, memoryRetryAfter)
		})
	}
}

// TestLateBody guards against a body that holds memory although its sender has stopped, and against a code for which the sender would close its
// client's connection without a response.
func TestLateBody(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp", bodyServer(t, 1<<20))
	is.NoErr(err)
	defer c.Close()
	f := request()
	f.Deadline = time.Now().Add(time.Minute)
	_, err = io.WriteString(c, fmt.Sprintf("PUT / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 1000\r\n\r\nx", headerAttempt, formatAttempt(f, time.Now())))
	is.NoErr(err)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer a.Body.Close()
	r, e := parseHead(a)
	is.True(e == nil)
	is.Equal(r.Execution, jaypitch.NotExecuted)
	is.Equal(r.Code, jaypitch.CodeDeadline)
}
