package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/schema"
)

// longResponder responds with a body of much more than a message may have, and sends how many bytes of it were taken.
type longResponder struct {
	status      int
	contentType string
	taken       chan int
}

func (l *longResponder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	const length = 16 * maxMessageBytes
	w.Header().Set("Content-Type", l.contentType)
	w.WriteHeader(l.status)
	n := 0
	for block, err := make([]byte, 1<<20), error(nil); err == nil && n < length; n += len(block) {
		_, err = w.Write(block)
	}
	l.taken <- n
}

// TestLongControlResponses guards against a response to a control message that is read and kept though it is too long.
func TestLongControlResponses(t *testing.T) {
	for name, l := range map[string]*longResponder{
		"message": {http.StatusOK, "application/proto", make(chan int, 1)},
		"error":   {http.StatusInternalServerError, "application/json", make(chan int, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewUnstartedServer(l)
			s.Config.Protocols = new(http.Protocols)
			s.Config.Protocols.SetUnencryptedHTTP2(true)
			s.Start()
			defer s.Close()
			_, err := NewClients(&Traffic{}).To(strings.TrimPrefix(s.URL, "http://")).Poll(context.Background(), connect.NewRequest(&schema.PollRequest{}))
			is.True(err != nil)
			is.True(<-l.taken < 2*maxMessageBytes)
		})
	}
}
