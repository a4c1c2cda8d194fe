package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newExchange makes an exchange on a connection that has only bytes to be read.
func newExchange(text string) *exchange {
	l := &io.LimitedReader{R: strings.NewReader(text)}
	return &exchange{conn: &Conn{limiter: l, reader: bufio.NewReader(l)}, request: &Request{Method: http.MethodGet, AcceptsResponse: isResponseToOne}}
}

// isResponseToOne accepts answers to one request.
func isResponseToOne(h http.Header) bool { return h.Get("Id") == "one" }

func TestReceive(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok"
	const late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"
	for name, c := range map[string]struct {
		text string
		body string
	}{
		"an answer":                           {answer, "ok"},
		"after a late answer to another":      {late + answer, "ok"},
		"after an interim answer":             {"HTTP/1.1 103 Early Hints\r\n\r\n" + answer, "ok"},
		"with no length, up to the end":       {"HTTP/1.1 200 OK\r\nId: one\r\n\r\nall", "all"},
		"only another's":                      {late, ""},
		"a head that is too long":             {"HTTP/1.1 200 OK\r\nId: one\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", ""},
		"no answer in the protocol":           {"\x00\x01\x02\r\n\r\n", ""},
		"another's without a length":          {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + answer, ""},
		"a switch of protocols":               {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer, ""},
		"more of others than can be believed": {strings.Repeat(late, maxSkippedResponses) + answer, ""},
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
			t.Fatal("an answer to another request")
		}
		body, err := io.ReadAll(a.Body)
		if err == nil && a.ContentLength >= 0 && int64(len(body)) != a.ContentLength {
			t.Fatal("an answer that ended early looks complete")
		}
		if errors.Is(err, bytes.ErrTooLarge) {
			t.Fatal("the body has no bound")
		}
	})
}

// TestExpectContinue speaks with a server that refuses, asks for the body, or hangs up.
func TestExpectContinue(t *testing.T) {
	const refusal = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]struct {
		answers []string
		body    string
		got     string
		sent    bool
	}{
		"refused":             {[]string{refusal}, "no", "", false},
		"asked for":           {[]string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, "ok", "body", true},
		"the server hangs up": {nil, "", "", false},
		"hangs up after it":   {[]string{"HTTP/1.1 100 Continue\r\n\r\n"}, "", "body", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, c.answers)
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
			is.Equal(<-s.receivedBody, c.got)
		})
	}
}

// scriptedServer is a server for one request that writes given texts: the first after the head, the next after four bytes of body.
type scriptedServer struct {
	listener     net.Listener
	address      string
	responses    []string
	receivedBody chan string
}

func newScriptedServer(t *testing.T, answers []string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{listener: l, address: l.Addr().String(), responses: answers, receivedBody: make(chan string, 1)}
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
		s.receivedBody <- "no expectation"
		return
	}
	got := ""
	for i, text := range s.responses {
		if _, err := io.WriteString(c, text); err != nil {
			break
		}
		if i == 0 && strings.Contains(text, " 100 ") {
			body := make([]byte, r.ContentLength)
			n, _ := io.ReadFull(in, body)
			got = string(body[:n])
		}
	}
	s.receivedBody <- got
}
