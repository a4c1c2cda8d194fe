package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// brokenStream is the rest of a response that breaks off.
type brokenStream struct{ io.Reader }

func (s *brokenStream) Close() error { return nil }

// streamForwarder returns a response that breaks off after its first bytes.
type streamForwarder struct{}

func (streamForwarder) Forward(context.Context, string, *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	rest := io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), &failingReader{})
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Arrived: true, Status: http.StatusOK, Header: http.Header{}, Body: []byte("start"), Stream: &brokenStream{rest}}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("the server broke off") }

// TestTruncatedResponseLooksComplete guards against a response that breaks off halfway and reaches the client as a complete one, also in HTTP/1.0,
// in which a response without a length ends with its connection.
func TestTruncatedResponseLooksComplete(t *testing.T) {
	s := mesh.NewReplica()
	s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, TimeoutUs: 10_000_000,
		Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}}}, Servers: []*schema.MeshServer{{Id: "i-1", Service: "x", Address: "10.0.0.1:1", Slots: 10, Revision: 1}}}, time.Now())
	d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, streamForwarder{}, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, 0, time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	h := NewHandler(d, s, jaypitch.HeaderNames{RequestID: "Id", TimeLeftMS: "Left"}, func() LocalState { return LocalState{} }, memory.NewBudget(1<<20), evidence.NewTracker(), time.Now, func(Record) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(h)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(NewListener(l, s, time.Now)) }()
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, "GET /a "+protocol+"\r\nHost: h\r\nId: one\r\n\r\n")
			is.NoErr(err)
			got, err := io.ReadAll(c)
			complete := err == nil
			if protocol == "HTTP/1.1" {
				complete = strings.HasSuffix(string(got), "0\r\n\r\n")
			}
			is.True(!complete)
		})
	}
}
