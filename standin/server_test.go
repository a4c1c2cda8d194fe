package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestDeadline guards against a server that goes on with a request after its deadline: it has to cancel the request and close
// the connection without a response.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	v := NewServer("s", 1, ServerSettings{})
	server := httptest.NewServer(v)
	defer server.Close()
	r, err := http.NewRequest(http.MethodGet, server.URL+"/x?ms=3600000", nil)
	is.NoErr(err)
	r.Header.Set(jaypitch.HeaderTimeLeft, "1000")
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	is.Equal(v.Counts().Canceled, int64(1))
}
