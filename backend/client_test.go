package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// uploadBytes is the length of a body that the buffers of a connection don't hold.
const uploadBytes = 16 << 20

// receive sends a request with a body to a server and returns the error of its response.
func receive(t *testing.T, respond func(c *net.TCPConn, r *http.Request), body []byte) error {
	t.Helper()
	s, err := standin.NewRawServer(respond)
	is.New(t).NoErr(err)
	defer s.Close()
	client := NewClient(s.Address(), "/health", 1, time.Now)
	a, err := client.Do(context.Background(), &jaypitch.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: body, Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	_, err = io.ReadAll(a.Body)
	return err
}

// TestBrokenResponses guards against responses of the backend server that aren't HTTP, or were reset, and pass for complete ones.
func TestBrokenResponses(t *testing.T) {
	for name, text := range standin.BrokenResponses("one") {
		t.Run(name, func(t *testing.T) {
			err := receive(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) }, nil)
			is.New(t).True(err != nil)
		})
	}
	t.Run("reset during the upload", func(t *testing.T) {
		for range 20 {
			is.New(t).True(receive(t, standin.ResetUpload, make([]byte, uploadBytes)) != nil)
		}
	})
}
