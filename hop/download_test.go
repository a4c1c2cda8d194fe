package hop

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// endlessStream has no end. It records that it was closed.
type endlessStream struct{ closed chan struct{} }

func (s *endlessStream) Read(p []byte) (int, error) { return len(p), nil }

func (s *endlessStream) Close() error {
	close(s.closed)
	return nil
}

// TestUnreadDownloadIsBrokenOff guards against a download whose client reads nothing and that is held until the backend server gives up.
func TestUnreadDownloadIsBrokenOff(t *testing.T) {
	is := is.New(t)
	stream := &endlessStream{closed: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := WriteResponse(w, http.StatusOK, &jaypitch.MeshResponse{Stream: stream, Download: true}); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-stream.closed
	got, err := io.ReadAll(c)
	is.True(len(got) > 0)
	is.True(err != nil || string(got[len(got)-5:]) != "0\r\n\r\n")
}
