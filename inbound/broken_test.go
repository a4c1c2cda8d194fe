package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/standin"
)

// assertTurnedAway checks that the response to a request isn't passed on, and that its slot is released. A stream may begin, but doesn't end well.
func assertTurnedAway(t *testing.T, respond func(c *net.TCPConn, r *http.Request), f *jaypitch.MeshRequest) {
	t.Helper()
	is := is.New(t)
	s, err := standin.NewRawServer(respond)
	is.NoErr(err)
	defer s.Close()
	g := &fixture{replica: mesh.NewReplica()}
	g.setServer(&schema.MeshServer{Id: "i-1", Service: "x", Address: s.Address(), Slots: 1, Revision: 2})
	g.receiver = NewReceiver(s.Address(), platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), time.Now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {})
	r := g.receiver.Serve(context.Background(), f)
	if r.Stream != nil {
		_, err = io.Copy(io.Discard, r.Stream)
		is.True(err != nil)
		is.NoErr(r.Stream.Close())
	} else {
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	}
	assertSlotFree(t, g)
}

// TestBrokenResponses guards against responses of the server that aren't HTTP, or were reset, and reach clients as its answer.
func TestBrokenResponses(t *testing.T) {
	for name, text := range standin.BrokenResponses("one") {
		t.Run(name, func(t *testing.T) {
			assertTurnedAway(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) }, newRequest("one", ""))
		})
	}
	t.Run("reset during the upload", func(t *testing.T) {
		for range 20 {
			assertTurnedAway(t, standin.ResetUpload, newRequest("one", string(make([]byte, uploadBytes))))
		}
	})
	t.Run("reset during the upload of a download's request", func(t *testing.T) {
		for range 20 {
			assertTurnedAway(t, standin.ResetUpload, newDownload("one", uploadBytes))
		}
	})
}

// uploadBytes is the length of a body that the buffers of a connection don't hold.
const uploadBytes = 16 << 20
