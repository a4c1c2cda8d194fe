package outbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHalfClose guards against a client that closes its sending side after its request and gets no response.
func TestHalfClose(t *testing.T) {
	for _, c := range []struct {
		name, target, protocol string
		asked                  bool
	}{
		{"at once", "/length/5", "HTTP/1.1", false},
		{"at once, HTTP/1.0", "/length/5", "HTTP/1.0", false},
		{"after the client was asked", "/held/5", "HTTP/1.1", true},
		{"a long response", "/held/2000000", "HTTP/1.1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newStreamFixture(t, time.Minute)
			conn := g.dial(t)
			_, err := fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\n\r\n", c.target, c.protocol)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			in := bufio.NewReader(conn)
			a, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			if c.asked {
				is.Equal(a.StatusCode, http.StatusContinue)
				close(g.half)
				a, err = http.ReadResponse(in, nil)
				is.NoErr(err)
			}
			is.Equal(a.StatusCode, http.StatusOK)
			_, err = io.Copy(io.Discard, a.Body)
			is.NoErr(err)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// TestClientThatLeavesIsNoticed guards against a request that holds its slot after its client has closed the connection.
func TestClientThatLeavesIsNoticed(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			g := newStreamFixture(t, time.Minute)
			conn := g.dial(t)
			_, err := fmt.Fprintf(conn, "GET /held/5 %s\r\nHost: h\r\n\r\n", protocol)
			is.NoErr(err)
			for n := 0; n == 0; n, _, _ = g.receiver.Counts() {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(conn.Close())
			closed := time.Now()
			g.awaitFreeSlot(t)
			t.Logf("noticed after %s", time.Since(closed))
		})
	}
}
