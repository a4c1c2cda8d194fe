package outbound

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	last time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.last = t
	return nil
}

func TestDeadlinesFollowTheConfiguration(t *testing.T) {
	is := is.New(t)
	s := mesh.NewReplica()
	set := func(version, header, idle int64) {
		s.Merge(jaypitch.MeshUpdate{Config: &schema.MeshConfig{Version: version, Limits: &schema.MeshLimits{HeaderUs: header, IdleUs: idle}}}, testTime)
	}
	inner := &deadlineConn{}
	c := &limitedConn{Conn: inner, listener: NewListener(nil, s, func() time.Time { return testTime })}
	serverDeadline := testTime.Add(time.Hour)
	is.NoErr(c.SetReadDeadline(serverDeadline))
	is.Equal(inner.last, serverDeadline)
	set(1, 3_000_000, 15_000_000)
	recordIdle(c, http.StateIdle)
	is.NoErr(c.SetReadDeadline(serverDeadline))
	is.Equal(inner.last, testTime.Add(15*time.Second))
	set(2, 2_000_000, 5_000_000)
	is.NoErr(c.SetReadDeadline(serverDeadline))
	is.Equal(inner.last, testTime.Add(2*time.Second))
	is.NoErr(c.SetReadDeadline(serverDeadline))
	is.Equal(inner.last, serverDeadline)
	recordIdle(c, http.StateIdle)
	is.NoErr(c.SetReadDeadline(serverDeadline))
	is.Equal(inner.last, testTime.Add(5*time.Second))
	is.NoErr(c.SetReadDeadline(time.Time{}))
	is.True(inner.last.IsZero())
}

func TestHeadOverTheLimit(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodGet, "/a", nil)
	r.Header.Set("Long", strings.Repeat("x", 100))
	is.True(checkHead(r, 1000) == nil)
	is.Equal(checkHead(r, 100).Code, jaypitch.CodeHeadTooLarge)
}
