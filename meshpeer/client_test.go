package meshpeer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// TestEndlessResponses guards against a host whose endless response is read and kept until the request times out.
func TestEndlessResponses(t *testing.T) {
	// The buffers of a connection take less than the difference.
	const maxTaken = maxMessageBytes + 56<<20
	for name, start := range map[string]string{
		"head":               "HTTP/1.1 200 OK\r\nX: ",
		"message":            "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n",
		"error":              "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n",
		"of another program": "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			taken := make(chan int, 1)
			s, err := standin.NewRawServer(func(c *net.TCPConn, _ *http.Request) {
				n := 0
				_, err := io.WriteString(c, start)
				for block := make([]byte, 1<<20); err == nil && n < 2*maxTaken; n += len(block) {
					_, err = c.Write(block)
				}
				taken <- n
			})
			is.NoErr(err)
			defer s.Close()
			_, err = NewClient(netip.MustParseAddr("127.0.0.1")).ChangesSince(context.Background(), s.Address(), jaypitch.Position{}, 0)
			is.True(err != nil)
			is.True(<-taken < maxTaken)
		})
	}
}
