package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// RawServer is a backend server whose responses a function writes to the connection, so that they can be broken in any way. It serves one
// request on each connection.
type RawServer struct {
	listener *net.TCPListener
	respond  func(c *net.TCPConn, r *http.Request)
}

// rawConn is a connection to a RawServer.
type rawConn struct {
	server *RawServer
	conn   *net.TCPConn
}

// partBytes is the length of the part of a body that ResetUpload sends.
const partBytes = 1000

// brokenHeads are heads of responses that RFC 9112 doesn't allow, by what is wrong with them. ID stands for the attempt ID.
var brokenHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 Zero\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"status 099":                       "HTTP/1.1 099 Low\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"status 600":                       "HTTP/1.1 600 High\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"a sign in the status":             "HTTP/1.1 +20 Sign\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"a control byte in the reason":     "HTTP/1.1 200 O\x00K\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"another major version":            "HTTP/2.0 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n",
	"a blank in a name":                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nX Broken: x\r\nContent-Length: 2\r\n\r\n",
	"a blank after the name of length": "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length : 2\r\n\r\n",
	"a blank before the name":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\n Content-Length: 2\r\n\r\n",
	"a tab before the name":            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\n\tContent-Length: 2\r\n\r\n",
	"a control byte in a name":         "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nX\x01Broken: x\r\nContent-Length: 2\r\n\r\n",
	"a control byte in a value":        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nX-Broken: x\x01\r\nContent-Length: 2\r\n\r\n",
	"an empty name":                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\n: x\r\nContent-Length: 2\r\n\r\n",
	"chunks in HTTP/1.0":               "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// BrokenResponses returns responses with heads that RFC 9112 doesn't allow, by what is wrong with them. The body of each is a whole response to
// the attempt ID, which a client that skips the head takes for the next one.
func BrokenResponses(id string) map[string]string {
	out := map[string]string{}
	for name, head := range brokenHeads {
		out[name] = strings.ReplaceAll(head+"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno", "ID", id)
	}
	return out
}

// NewRawServer starts a server on a loopback address. Respond is called once the head of a request has been read. When it returns, the server
// ends its sending side and reads until the client closes the connection.
func NewRawServer(respond func(c *net.TCPConn, r *http.Request)) (*RawServer, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l, respond: respond}
	go s.run()
	return s, nil
}

// Address returns the IP address and port that the server listens on.
func (s *RawServer) Address() string {
	return s.listener.Addr().String()
}

// Close stops accepting connections. Accepted ones stay open.
func (s *RawServer) Close() {
	_ = s.listener.Close()
}

func (s *RawServer) run() {
	for {
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		go (&rawConn{server: s, conn: c}).run()
	}
}

func (c *rawConn) run() {
	defer c.conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(c.conn))
	if err != nil {
		return
	}
	c.server.respond(c.conn, r)
	// A close with unread bytes would reset the connection.
	_ = c.conn.CloseWrite()
	_, _ = io.Copy(io.Discard, c.conn)
}

// ResetUpload responds to a request with a head and a part of a body without a length, and resets the connection while the request's body is
// unread.
func ResetUpload(c *net.TCPConn, r *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\nX-Server-Stamp: s\r\n\r\n"+strings.Repeat("x", partBytes))
	_ = c.SetLinger(0)
	_ = c.Close()
}
