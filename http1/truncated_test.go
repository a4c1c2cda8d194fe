package http1

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTruncatedResponse guards against a response that ends early and looks complete: each is cut at every byte.
func TestTruncatedResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer: s\r\nId: one\r\n"
	for name, c := range map[string]struct {
		response string
		// whole is the length from which the response is complete; zero if that is its own length.
		whole int
	}{
		"length":    {head + "Content-Length: 11\r\n\r\nhello world", 0},
		"empty":     {head + "Content-Length: 0\r\n\r\n", 0},
		"chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", 0},
		"trailer":   {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nTrailer: x\r\n\r\n", 0},
		"no length": {head + "\r\nhello world", len(head) + 2},
		"HTTP/1.0":  {"HTTP/1.0" + head[len("HTTP/1.1"):] + "\r\nhello world", len(head) + 2},
		"bare LF":   {"HTTP/1.1 200 OK\nId: one\nContent-Length: 2\n\nok", 0},
	} {
		t.Run(name, func(t *testing.T) {
			if c.whole == 0 {
				c.whole = len(c.response)
			}
			for n := range len(c.response) + 1 {
				a, err := newExchange(c.response[:n]).receive()
				if err == nil {
					_, err = io.ReadAll(a.Body)
				}
				if complete := err == nil; complete != (n >= c.whole) {
					t.Fatalf("complete: %t, after %q: %v", complete, c.response[:n], err)
				}
			}
		})
	}
}

// endlessReader repeats a text after a start, and counts the bytes that are read.
type endlessReader struct {
	start, unit string
	read        int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.start)
	r.start = r.start[n:]
	for n < len(p) {
		n += copy(p[n:], r.unit)
	}
	r.read += n
	return n, nil
}

// TestEndlessResponse guards against bytes that are no response, without end, of which more is read and held than a head may have.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: one\r\n"
	for name, r := range map[string]endlessReader{
		"line":              {"", "x", 0},
		"empty lines":       {"", "\r\n", 0},
		"reason":            {"HTTP/1.1 200 ", "x", 0},
		"field name":        {head, "x", 0},
		"field value":       {head + "X: ", "x", 0},
		"fields":            {head, "X: x\r\n", 0},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"chunk size":        {head + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 0},
		"trailer line":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", 0},
		"trailer":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newExchange("")
			x.conn = newConn(&r)
			a, err := x.receive()
			if err == nil {
				_, err = io.ReadAll(a.Body)
			}
			is.True(err != nil)
			is.True(!errors.Is(err, io.EOF))
			if r.read > maxHeadBytes+readBufferBytes {
				t.Fatalf("%d bytes were read", r.read)
			}
		})
	}
}

// silence is the read of a connection on which nothing arrives any more.
type silence struct{ t *testing.T }

func (s silence) Read([]byte) (int, error) {
	s.t.Fatal("more was read")
	return 0, io.EOF
}

// TestBrokenHeadEndsAtOnce guards against a request that waits until its deadline for the rest of bytes that are no response.
func TestBrokenHeadEndsAtOnce(t *testing.T) {
	for name, text := range map[string]string{
		"no status line": "\x00\x01 no",
		"status":         "HTTP/1.1 000 Zero\r\n",
		"field name":     "HTTP/1.1 200 OK\r\nX Y: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := newExchange("")
			x.conn = newConn(io.MultiReader(strings.NewReader(text), silence{t}))
			_, err := x.receive()
			is.New(t).True(err != nil)
		})
	}
}
