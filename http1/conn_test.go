package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
)

// newExchange returns an exchange on a connection from which text is read.
func newExchange(text string) *exchange {
	return &exchange{conn: newConn(strings.NewReader(text)), request: &Request{Method: http.MethodGet, AcceptsResponse: isResponseToOne}}
}

// isResponseToOne reports whether a response belongs to the request with ID one.
func isResponseToOne(h http.Header) bool { return h.Get("Id") == "one" }

func TestReceive(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok"
	const late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"
	for name, c := range map[string]struct {
		text string
		body string
	}{
		"a response": {response, "ok"},
		"after a late response to another request":           {late + response, "ok"},
		"after an interim response":                          {"HTTP/1.1 103 Early Hints\r\n\r\n" + response, "ok"},
		"without a length, up to the end of the connection":  {"HTTP/1.1 200 OK\r\nId: one\r\n\r\nall", "all"},
		"only a response to another request":                 {late, ""},
		"a head that is too long":                            {"HTTP/1.1 200 OK\r\nId: one\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", ""},
		"a long head":                                        {strings.Replace(response, "Id", "X: "+strings.Repeat("x", 3*readBufferBytes)+"\r\nId", 1), "ok"},
		"after a status below 100, whose body is a response": {"HTTP/1.1 000 Zero\r\nContent-Length: 48\r\n\r\n" + response, ""},
		"not HTTP": {"\x00\x01\x02\r\n\r\n", ""},
		"after a response to another request without a length": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + response, ""},
		"a protocol switch":                          {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + response, ""},
		"after too many responses to other requests": {strings.Repeat(late, maxSkippedResponses) + response, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := newExchange(c.text).receive()
			if c.body == "" {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			body, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(string(body), c.body)
		})
	}
}

func FuzzReceive(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := newExchange(text).receive()
		if err != nil {
			return
		}
		if a.Header.Get("Id") != "one" {
			t.Fatal("receive returned a response to another request")
		}
		if a.StatusCode < http.StatusOK || a.StatusCode > 599 {
			t.Fatalf("receive returned status %d", a.StatusCode)
		}
		for name := range a.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("receive returned a field with the name %q", name)
			}
		}
		body, err := io.ReadAll(a.Body)
		if err == nil && a.ContentLength >= 0 && int64(len(body)) != a.ContentLength {
			t.Fatal("no error for a truncated response")
		}
		if errors.Is(err, bytes.ErrTooLarge) {
			t.Fatal("the size of the body is not limited")
		}
	})
}

// TestSkippedBody guards against bytes of a skipped response that are read as the next head: the protocol allows no body there, but its head
// announces one.
func TestSkippedBody(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nno"
	length := "Content-Length: " + strconv.Itoa(len(response)) + "\r\n\r\n"
	for name, c := range map[string]struct {
		method  string
		skipped string
	}{
		"an interim response with a length":      {http.MethodGet, "HTTP/1.1 103 Early Hints\r\n" + length},
		"an interim response with chunks":        {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"a late response without content":        {http.MethodGet, "HTTP/1.1 204 No Content\r\nId: other\r\n" + length},
		"a late response that isn't modified":    {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: other\r\n" + length},
		"a late response before the one to HEAD": {http.MethodHead, "HTTP/1.1 200 OK\r\nId: other\r\n" + length},
	} {
		t.Run(name, func(t *testing.T) {
			x := newExchange(c.skipped + response)
			x.request.Method = c.method
			_, err := x.receive()
			is.New(t).True(err != nil)
		})
	}
	t.Run("a late response to an earlier HEAD", func(t *testing.T) {
		own := "HTTP/1.1 200 OK\r\nId: one\r\n" + length
		x := newExchange("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: " + strconv.Itoa(len(own)) + "\r\n\r\n" + own + response)
		x.conn.sentHead = true
		_, err := x.receive()
		is.New(t).True(err != nil)
	})
}

// TestExpectContinue guards against a body that is sent before the 100 Continue, and against an error that counts the
// request as sent although its body was withheld. The server refuses the request, asks for the body or closes the connection.
func TestExpectContinue(t *testing.T) {
	const refusal = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]struct {
		responses    []string
		body         string
		receivedBody string
		sent         bool
	}{
		"refused":               {[]string{refusal}, "no", "", false},
		"100 Continue received": {[]string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, "ok", "body", true},
		"connection closed before the 100 Continue": {nil, "", "", false},
		"connection closed after the body":          {[]string{"HTTP/1.1 100 Continue\r\n\r\n"}, "", "body", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, c.responses)
			a, err := NewPool(time.Now).Do(context.Background(), s.address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("body"), ExpectContinue: true})
			if c.body == "" {
				var e *Error
				is.True(errors.As(err, &e))
				is.Equal(e.Sent, c.sent)
			} else {
				is.NoErr(err)
				body, err := io.ReadAll(a.Body)
				is.NoErr(err)
				is.Equal(string(body), c.body)
				is.NoErr(a.Body.Close())
			}
			is.Equal(<-s.receivedBody, c.receivedBody)
		})
	}
}

// scriptedServer serves one request with given responses: the first follows the head of the request. If that is a 100
// Continue, the next follows the body.
type scriptedServer struct {
	listener     net.Listener
	address      string
	responses    []string
	receivedBody chan string
}

func newScriptedServer(t *testing.T, responses []string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{listener: l, address: l.Addr().String(), responses: responses, receivedBody: make(chan string, 1)}
	go s.run()
	return s
}

func (s *scriptedServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil || r.Header.Get("Expect") != "100-continue" {
		s.receivedBody <- "no Expect header"
		return
	}
	received := ""
	for i, text := range s.responses {
		if _, err := io.WriteString(c, text); err != nil {
			break
		}
		if i == 0 && strings.Contains(text, " 100 ") {
			body := make([]byte, r.ContentLength)
			n, _ := io.ReadFull(in, body)
			received = string(body[:n])
		}
	}
	s.receivedBody <- received
}
