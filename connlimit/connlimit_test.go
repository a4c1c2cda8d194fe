package connlimit

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/memory"
)

// pipeListener accepts the server sides of pipes.
type pipeListener struct{ conns chan net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) { return <-p.conns, nil }
func (p *pipeListener) Close() error              { return nil }
func (p *pipeListener) Addr() net.Addr            { return nil }

var start = time.Unix(5000, 0)

// fixture is a listener for most connections, whose clock is at start.
func fixture(budget *memory.Budget, most int) (*Listener, func() (client net.Conn, server *conn)) {
	p := &pipeListener{conns: make(chan net.Conn, 1)}
	l := New(p, budget, most, func() time.Time { return start }, WithHeadBytes(func() int64 { return 1000 }))
	return l, func() (net.Conn, *conn) {
		client, server := net.Pipe()
		p.conns <- server
		got, _ := l.Accept() // a pipeListener never fails
		return client, got.(*conn)
	}
}

// send writes a text and returns what the server reads of it.
func send(client net.Conn, server *conn, text string) (string, error) {
	go func() { _, _ = io.WriteString(client, text) }()
	buffer := make([]byte, readAheadBytes)
	n, err := server.Read(buffer)
	return string(buffer[:n]), err
}

// TestVictim guards against closing an ordinary connection while a slow or idle one is open, and against refusing a new one for an idle one.
func TestVictim(t *testing.T) {
	at := func(ago time.Duration) time.Time { return start.Add(-ago) }
	for name, c := range map[string]struct {
		reading, idle time.Time
		want          choice
	}{
		"all have requests in progress":      {time.Time{}, time.Time{}, refuseNew},
		"a slow head before an idle one":     {at(time.Second), at(time.Hour), closeReading},
		"an idle one before a new one":       {at(time.Millisecond), at(time.Second), closeIdle},
		"a new one if there is nothing else": {at(time.Millisecond), time.Time{}, closeReading},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(victim(c.reading, c.idle, start), c.want) })
	}
}

// TestFullListener guards against closing a connection with a request in progress, and against a closed one whose next request is served.
func TestFullListener(t *testing.T) {
	is := is.New(t)
	l, connect := fixture(memory.NewBudget(1<<20), 2)
	client, busy := connect()
	_, err := send(client, busy, "GET / HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	is.True(busy.becomeBusy())
	_, idle := connect()
	idle.becomeIdle()
	connect()
	is.True(!idle.becomeBusy())
	is.True(busy.phase.Load() == phaseBusy)
	open, closed, _ := l.Counts()
	is.Equal(open, int64(2))
	is.Equal(closed, int64(1))
}

// TestOverflow guards against a full listener that closes a connection without a response, or without a bound on those that it refuses.
func TestOverflow(t *testing.T) {
	is := is.New(t)
	l, connect := fixture(memory.NewBudget(1<<20), 1)
	_, busy := connect()
	busy.becomeBusy()
	var over []*conn
	for range maxOverflow {
		_, c := connect()
		is.True(c.over)
		over = append(over, c)
	}
	client, server := net.Pipe()
	is.True(l.admit(server) == nil)
	is.NoErr(client.Close())
	busy.becomeIdle()
	_, next := connect()
	is.True(!next.over)
	for _, c := range over {
		is.NoErr(c.Close())
	}
	is.Equal(l.overflow, 0)
	open, _, refused := l.Counts()
	is.Equal(open, int64(1))
	is.Equal(refused, int64(maxOverflow+1))
}

// TestProbesWhileMemoryIsShort guards against bodies that shut out probes: a connection and a short head don't need free memory.
func TestProbesWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(1 << 20)
	b.Hold(memory.ReceiverBodies, 1<<20)
	_, connect := fixture(b, 2)
	client, server := connect()
	_, err := send(client, server, "GET /alive HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.NoErr(server.Close())
	is.Equal(b.Held(memory.Connections)+b.Held(memory.Heads), int64(0))
}

// TestHeads guards against heads whose cost isn't reserved, or not returned, and against heads over the limit that are read on.
func TestHeads(t *testing.T) {
	t.Run("the cost of its lines", func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(1 << 20)
		_, connect := fixture(b, 2)
		client, server := connect()
		_, err := send(client, server, "GET / HTTP/1.1\r\n"+strings.Repeat("A:\r\n", 100))
		is.NoErr(err)
		is.True(b.Held(memory.Heads) >= 100*lineCost-freeCost)
		is.NoErr(server.Close())
		is.Equal(b.Held(memory.Heads), int64(0))
		is.Equal(b.Held(memory.Connections), int64(0))
	})
	t.Run("lines read ahead with a body", func(t *testing.T) {
		is := is.New(t)
		b := memory.NewBudget(1 << 20)
		_, connect := fixture(b, 2)
		client, server := connect()
		server.becomeBusy()
		_, err := send(client, server, "end of a body"+strings.Repeat("A:\r\n", 100))
		is.NoErr(err)
		server.becomeIdle()
		is.True(b.Held(memory.Heads) >= 100*lineCost-freeCost)
	})
	for name, c := range map[string]struct {
		budget int64
		text   string
		status string
	}{
		"over the limit": {1 << 20, strings.Repeat("x", 2000), "431"},
		"without memory": {connectionBytes + 1000, strings.Repeat("\n", 100), "503"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, connect := fixture(memory.NewBudget(c.budget), 2)
			client, server := connect()
			answer := make(chan string)
			go func() {
				for range 5 {
					if _, err := io.WriteString(client, c.text); err != nil {
						break
					}
				}
				got, _ := io.ReadAll(client)
				answer <- string(got)
			}()
			var err error
			for err == nil {
				_, err = server.Read(make([]byte, readAheadBytes))
			}
			// A pipe has no buffer, so the refusal may meet a client that still writes.
			if got := <-answer; got != "" {
				is.True(strings.HasPrefix(got, "HTTP/1.1 "+c.status))
			}
		})
	}
}
