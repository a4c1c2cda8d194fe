package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/settings"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestStopCutsAcceptedRequest guards against a request that is cut off without a response: its connection was accepted before the node closed its
// listeners, and it arrives afterwards.
func TestStopCutsAcceptedRequest(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	s, problems := settings.ParseNode("test", fmt.Appendf(nil, "[node]\nhost = h\ndata_centre = dc\nservice = entry\n[caller]\naddress = %s\n[peer]\naddress = %s\n[operator]\naddress = %s\n"+
		"[platform]\naddress = %s\n[backend]\naddress = %s\n", address, freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)))
	is.Equal(len(problems), 0)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- New(s, zap.NewNop()).Run(ctx) }()
	var open net.Conn
	for limit := time.Now().Add(time.Minute); open == nil && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		open, _ = net.Dial("tcp", address)
	}
	is.True(open != nil)
	stop()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = open.Close()
		open = c
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(open, "GET /fairs/a/b HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	a, err := http.ReadResponse(bufio.NewReader(open), nil)
	is.NoErr(err)
	is.Equal(a.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(open.Close())
	is.NoErr(<-done)
}
