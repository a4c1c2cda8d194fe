package outbound

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHead guards against a response to HEAD that is taken for truncated, since the body that its length announces doesn't follow, and against one
// that loses this length. A response on the same connection follows each.
func TestHead(t *testing.T) {
	for target, length := range map[string]int64{"/length/5": 5, "/length/1000000": 1_000_000, "/length/0": 0, "/chunks/70000": -1} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			g := newStreamFixture(t, time.Minute)
			c := g.dial(t)
			in := bufio.NewReader(c)
			for _, method := range []string{http.MethodHead, http.MethodGet} {
				_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\n\r\n", method, target)
				is.NoErr(err)
				a, err := http.ReadResponse(in, &http.Request{Method: method})
				is.NoErr(err)
				is.Equal(a.StatusCode, http.StatusOK)
				if method == http.MethodHead {
					is.Equal(a.ContentLength, length)
				}
				_, err = io.Copy(io.Discard, a.Body)
				is.NoErr(err)
			}
			g.awaitFreeSlot(t)
		})
	}
}
