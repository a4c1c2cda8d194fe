package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// rawClient is a client that writes bytes of its own.
type rawClient struct {
	conn net.Conn
	// sent is what is written first, and then unit is written until total bytes are written or the server closes the connection.
	sent, unit string
	total      int
	// byteAtATime makes each write a single byte.
	byteAtATime bool
}

const (
	// blockedWrite is how long a write may wait for a server that doesn't read. It only ends a load; no check depends on it.
	blockedWrite = 300 * time.Millisecond
	// holdTime is how long a load keeps its connections open once it has written everything, so that the process gets to read it.
	holdTime = time.Second
)

var allListeners = []string{"callers", "peers", "ready", "metrics"}

// requestLines are the request line and the first header lines of a request to each listener.
var requestLines = map[string]string{
	"callers": "%s " + rulePrefix + "a HTTP/1.1\r\nHost: " + scenario.MeshDomain + "\r\n",
	"peers":   "%s " + rulePrefix + "a HTTP/1.1\r\nHost: " + scenario.MeshDomain + "\r\nJaypitch-Pass: server_0;s;r;1;1;2000000;500000;0;1\r\n",
	"ready":   "%s " + platform.ReadyPath + " HTTP/1.1\r\nHost: h\r\n",
	"metrics": "%s /metrics HTTP/1.1\r\nHost: h\r\nAccept-Encoding: gzip\r\n",
}

func head(listener, method string) string {
	return fmt.Sprintf(requestLines[listener], method)
}

// attack opens connections, writes to all at once, and keeps them open until all writes have ended or are blocked.
func attack(t *testing.T, address string, connections int, c rawClient) {
	t.Helper()
	var wg sync.WaitGroup
	clients := make([]rawClient, connections)
	for i := range clients {
		clients[i] = c
		if clients[i].conn = dial(address); clients[i].conn == nil {
			continue
		}
		defer clients[i].conn.Close()
		wg.Add(1)
		go clients[i].run(&wg)
	}
	wg.Wait()
	time.Sleep(holdTime)
}

// dial returns a connection whose receive buffer is small, so that a response which isn't read stays with the process; nil if the connection is
// refused, which is allowed.
func dial(address string) net.Conn {
	d := &net.Dialer{Timeout: time.Minute, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil
	}
	return c
}

func (c *rawClient) run(wg *sync.WaitGroup) {
	defer wg.Done()
	if c.write(c.sent) != nil || c.unit == "" {
		return
	}
	block := strings.Repeat(c.unit, max(1, (32<<10)/len(c.unit)))
	for n := len(c.sent); n < c.total; n += len(block) {
		if c.write(block) != nil {
			return
		}
	}
}

func (c *rawClient) write(text string) error {
	step := len(text)
	if c.byteAtATime {
		step = 1
	}
	for ; len(text) > 0; text = text[min(step, len(text)):] {
		_ = c.conn.SetWriteDeadline(time.Now().Add(blockedWrite))
		if _, err := io.WriteString(c.conn, text[:min(step, len(text))]); err != nil {
			return err
		}
	}
	return nil
}

// TestHeadOverLimit guards against buffering heads up to the limit of the HTTP library instead of the configuration's.
func TestHeadOverLimit(t *testing.T) {
	eachListener(t, func(t *testing.T, address, listener string) {
		attack(t, address, 100, rawClient{sent: head(listener, "GET") + "X-Long: ", unit: "x", total: 900 << 10})
	}, allListeners...)
}

// TestEndlessHead guards against a head without an end that is kept until a timeout.
func TestEndlessHead(t *testing.T) {
	eachListener(t, func(t *testing.T, address, listener string) {
		attack(t, address, 100, rawClient{sent: head(listener, "GET"), unit: "X-A: b\r\n", total: 4 << 20})
	}, allListeners...)
}

// TestEndlessEmptyLines guards against empty lines before a request that are kept, or read without an end.
func TestEndlessEmptyLines(t *testing.T) {
	eachListener(t, func(t *testing.T, address, _ string) {
		attack(t, address, 100, rawClient{unit: "\r\n", total: 4 << 20})
	}, allListeners...)
}

// TestManyHeaderLines guards against heads of legal size that cost many times their bytes in memory, held by bodies that don't come.
func TestManyHeaderLines(t *testing.T) {
	for name, line := range map[string]string{"short": "%x:\r\n", "odd": "%x:\t \r\n", "repeated": "A:\r\n"} {
		t.Run(name, func(t *testing.T) {
			eachListener(t, func(t *testing.T, address, listener string) {
				text := head(listener, "PUT") + "Content-Length: 1\r\n"
				for i := 0; len(text) < 15<<10; i++ {
					if strings.Contains(line, "%") {
						text += fmt.Sprintf(line, i)
					} else {
						text += line
					}
				}
				attack(t, address, 600, rawClient{sent: text + "\r\n"})
			}, "callers", "peers")
		})
	}
}

// TestByteAtATime guards against slow heads and bodies that hold descriptors and memory.
func TestByteAtATime(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		eachListener(t, func(t *testing.T, address, listener string) {
			attack(t, address, 600, rawClient{sent: head(listener, "GET") + "X-Slow: " + strings.Repeat("x", 100), byteAtATime: true})
		}, allListeners...)
	})
	t.Run("body", func(t *testing.T) {
		eachListener(t, func(t *testing.T, address, listener string) {
			attack(t, address, 600, rawClient{sent: head(listener, "PUT") + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100), byteAtATime: true})
		}, "callers", "peers")
	})
}

// TestEndlessChunks guards against chunk extensions and trailers without an end.
func TestEndlessChunks(t *testing.T) {
	for name, start := range map[string]string{"extension": "1;", "trailer": "0\r\n"} {
		t.Run(name, func(t *testing.T) {
			eachListener(t, func(t *testing.T, address, listener string) {
				attack(t, address, 100, rawClient{sent: head(listener, "PUT") + "Transfer-Encoding: chunked\r\n\r\n" + start, unit: "a=b;", total: 4 << 20})
			}, "callers", "peers")
		})
	}
	t.Run("chunks", func(t *testing.T) {
		eachListener(t, func(t *testing.T, address, listener string) {
			attack(t, address, 100, rawClient{sent: head(listener, "PUT") + "Transfer-Encoding: chunked\r\n\r\n", unit: "20;a=b\r\n" + strings.Repeat("x", 32) + "\r\n", total: 4 << 20})
		}, "callers", "peers")
	})
}

// TestIdleConnections guards against connections without a bound: idle ones, those with half a head and those after a request.
func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]rawClient{"no request": {}, "half a head": {sent: "GET "}} {
		t.Run(name, func(t *testing.T) {
			eachListener(t, func(t *testing.T, address, _ string) { attack(t, address, 1500, c) }, allListeners...)
		})
	}
	t.Run("after a request", func(t *testing.T) {
		eachListener(t, func(t *testing.T, address, listener string) {
			attack(t, address, 1500, rawClient{sent: head(listener, "GET") + "\r\n"})
		}, allListeners...)
	})
}

// TestPipelinedUnread guards against responses to pipelined requests that pile up because the client doesn't read them.
func TestPipelinedUnread(t *testing.T) {
	eachListener(t, func(t *testing.T, address, listener string) {
		attack(t, address, 100, rawClient{unit: head(listener, "GET") + "\r\n", total: 1 << 20})
	}, allListeners...)
}

// TestUnreadResponses guards against long responses that pile up because their clients don't read them. The server's response is as long as
// the request's body. The clients come one after the other, so that few bodies are in progress at once.
func TestUnreadResponses(t *testing.T) {
	const (
		clients   = 400
		bodyBytes = 200 << 10
	)
	w := newMesh(t, 0, memoryMB)
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head("callers", "PUT"), bodyBytes) + strings.Repeat("x", bodyBytes)
	for range clients {
		c := rawClient{sent: text, conn: dial(w.Address(0, "callers"))}
		if c.conn == nil {
			continue
		}
		defer c.conn.Close()
		_ = c.write(c.sent) // a refused request may end with its connection
		_ = c.conn.SetReadDeadline(time.Now().Add(blockedWrite))
		_, _ = c.conn.Read(make([]byte, 1)) // the first byte only
	}
	time.Sleep(holdTime)
	w.assertWithinBounds(t)
}

// upload sends bodies to a sidecar, one after the other.
type upload struct {
	mesh    *watchedMesh
	host    int
	body    []byte
	uploads int
}

func (u *upload) run(wg *sync.WaitGroup) {
	defer wg.Done()
	for range u.uploads {
		put(u.mesh, u.host, u.body)
	}
}

// put sends a body to a host and returns the status; zero if there is no response. The response's body isn't checked.
func put(w *watchedMesh, host int, body []byte) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+w.Address(host, "callers")+rulePrefix+"a", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = scenario.MeshDomain
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestUploadsToSlowServer guards against a receiver that holds the bodies of all its senders: clients on several hosts upload to the one
// server of a service, which is slow. The memory of the senders is larger, so that they accept the uploads.
func TestUploadsToSlowServer(t *testing.T) {
	const (
		senders     = 4
		parallel    = 6
		bodyBytes   = 5_000_000
		serviceTime = time.Second
	)
	w := newMesh(t, 0, memoryMB, 400, 400, 400, 400)
	w.Hosts[0].Server.SetServiceTime(serviceTime)
	var wg sync.WaitGroup
	for i := range senders {
		for range parallel {
			wg.Add(1)
			go (&upload{mesh: w, host: i + 1, body: bytes.Repeat([]byte("x"), bodyBytes), uploads: 3}).run(&wg)
		}
	}
	wg.Wait()
	w.Hosts[0].Server.SetServiceTime(0)
	w.assertWithinBounds(t)
}

// TestLargestBody guards against refusing a single request inside the limits while there is no other load, on the smallest host of the platform.
func TestLargestBody(t *testing.T) {
	const (
		hostMB    = 112
		bodyBytes = 67108864
	)
	for name, host := range map[string]int{"from another host": 1, "from the server's host": 0} {
		t.Run(name, func(t *testing.T) {
			w := newMesh(t, 0, hostMB, hostMB)
			// The rule's timeout may pass on a slow machine, so the request is repeated as its client would do it.
			eventually(t, "the request is served", func() bool { return put(w, host, bytes.Repeat([]byte("x"), bodyBytes)) == http.StatusOK })
			w.assertWithinBounds(t)
		})
	}
}

// TestControlBodies guards against control messages whose bodies are read without a bound.
func TestControlBodies(t *testing.T) {
	w := newMesh(t, 0, memoryMB)
	text := "POST " + schemaconnect.MeshPeerHeldProcedure + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\nConnect-Protocol-Version: 1\r\nContent-Length: 4194304\r\n\r\n"
	attack(t, w.Address(0, "peers"), 100, rawClient{sent: text, unit: "x", total: 4 << 20})
	w.assertWithinBounds(t)
}

// TestBodySlowerThanTimeout guards against a client that gets no response if it sends its body more slowly than the rule's timeout.
func TestBodySlowerThanTimeout(t *testing.T) {
	is := is.New(t)
	w := newMesh(t, 0, memoryMB)
	c := rawClient{conn: dial(w.Address(0, "callers"))}
	is.True(c.conn != nil)
	defer c.conn.Close()
	is.NoErr(c.write(head("callers", "PUT") + "Content-Length: 10000\r\n\r\nx"))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	w.assertWithinBounds(t)
}

// TestAbandonedBodies guards against requests that hold the connections of a listener forever, as their handlers don't wait for the bodies that
// never come. The clients stay connected while the ordinary requests are made.
func TestAbandonedBodies(t *testing.T) {
	const connections = 200
	for listener, path := range map[string]string{"callers": "/nowhere", "peers": "/nowhere", "ready": platform.ReadyPath, "metrics": "/metrics"} {
		t.Run(listener, func(t *testing.T) {
			w := newMesh(t, 0, memoryMB)
			for range connections {
				c := rawClient{conn: dial(w.Address(0, listener))}
				if c.conn == nil {
					continue
				}
				defer c.conn.Close()
				_ = c.write("GET " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n") // a refused connection is allowed
			}
			w.assertWithinBounds(t)
			eventually(t, "the listener serves again", func() bool { return w.Get(0, listener, path, "again", nil) != 0 })
		})
	}
}
