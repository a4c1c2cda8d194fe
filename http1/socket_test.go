package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// upload writes more to a connection than its buffers hold.
type upload struct {
	to   io.Writer
	done chan error
}

func (u *upload) run() {
	_, err := u.to.Write(make([]byte, 32<<20))
	u.done <- err
}

// TestStreamEnd guards against a reset that reads like the end of a stream once a write has taken its error, and against an end that counts as a reset.
func TestStreamEnd(t *testing.T) {
	end := func(c *net.TCPConn) { _ = c.CloseWrite() }
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for name, c := range map[string]struct {
		sequence []func(*net.TCPConn)
		// write is true if an upload is in progress, failsWrite if it ends by what the other side does. It ends before the read then.
		write, failsWrite bool
		want              error
	}{
		"a reset":                          {[]func(*net.TCPConn){reset}, true, true, syscall.ECONNRESET},
		"a reset while nothing is written": {[]func(*net.TCPConn){reset}, false, false, syscall.ECONNRESET},
		"an end":                           {[]func(*net.TCPConn){end}, true, false, nil},
		"an end and a reset after it":      {[]func(*net.TCPConn){end, reset}, true, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			is.NoErr(err)
			defer l.Close()
			dialed, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer dialed.Close()
			s, err := newSocket(dialed.(*net.TCPConn))
			is.NoErr(err)
			server, err := l.AcceptTCP()
			is.NoErr(err)
			defer server.Close()
			u := &upload{to: s, done: make(chan error, 1)}
			if c.write {
				go u.run()
			}
			_, err = io.WriteString(server, "part")
			is.NoErr(err)
			for _, f := range c.sequence {
				f(server)
			}
			if c.failsWrite {
				is.True(<-u.done != nil)
			}
			body, err := io.ReadAll(s)
			is.Equal(string(body), "part")
			is.True(errors.Is(err, c.want))
		})
	}
}
