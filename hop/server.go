package hop

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// Receiver serves the requests for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse
}

// Server is the HTTP handler for the requests that other sidecars forward.
type Server struct {
	receiver     Receiver
	idHeader     string
	now          func() time.Time
	closing      func() bool
	recordSender func(remote string, p jaypitch.Position)
	fallback     http.Handler
	budget       *memory.Budget
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithBudget sets the budget of the bodies and responses. Without it they aren't bounded.
func WithBudget(b *memory.Budget) ServerOption {
	return func(s *Server) { s.budget = b }
}

// NewServer returns a server. IdHeader is the name of the header with the request ID. While closing returns true, the server closes each
// connection after its response. RecordSender is called with the sender's remote address and the position of the sender's replica.
// Requests that no sidecar forwarded go to fallback.
func NewServer(r Receiver, idHeader string, now func() time.Time, closing func() bool,
	recordSender func(remote string, p jaypitch.Position), fallback http.Handler, options ...ServerOption) *Server {
	s := &Server{receiver: r, idHeader: idHeader, now: now, closing: closing, recordSender: recordSender, fallback: fallback, budget: memory.NewBudget(math.MaxInt64)}
	for _, o := range options {
		o(s)
	}
	return s
}

// ServeHTTP serves a request. It aborts the connection if the response can't be written completely.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttempt) == "" {
		s.fallback.ServeHTTP(w, r)
		return
	}
	if err := s.write(w, s.serve(w, r)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Refuse refuses a request as not executed, since the sidecar has too many connections.
func (s *Server) Refuse(w http.ResponseWriter, _ *http.Request) {
	r := jaypitch.NotExecutedResponse(jaypitch.CodeOverloaded, "the sidecar has too many connections")
	r.RetryAfter = memoryRetryAfter
	if err := s.write(w, r); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) *jaypitch.MeshResponse {
	f, e := s.parseRequest(r)
	if e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	s.recordSender(r.RemoteAddr, f.Position())
	body := &requestBody{request: r, control: http.NewResponseController(w), now: s.now, budget: s.budget, forward: f}
	defer body.release()
	if r.ContentLength < 0 || r.ContentLength >= offerBytes {
		f.BodySent = body.release
	}
	if r.Header.Get("Expect") != "" {
		f.ReadBody = body.read
		return s.receiver.Serve(r.Context(), f)
	}
	data, err := body.read()
	if err != nil {
		return refusalOf(err)
	}
	f.Body = data
	return s.receiver.Serve(r.Context(), f)
}

// parseRequest returns the request without its body.
func (s *Server) parseRequest(r *http.Request) (*jaypitch.MeshRequest, *jaypitch.Error) {
	f := &jaypitch.MeshRequest{ID: r.Header.Get(s.idHeader), Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: EndToEndHeader(r.Header)}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		f.CallerHost = host
	}
	now := s.now()
	parseRequestNotice(r.Header.Get(headerNotice), f, now)
	return f, parseAttempt(r.Header.Get(headerAttempt), f, now)
}

// write sends the response. An error means that the response is truncated.
func (s *Server) write(w http.ResponseWriter, r *jaypitch.MeshResponse) error {
	h := w.Header()
	// The slots of the server bound the responses here, so their memory isn't reserved before.
	s.budget.Hold(memory.Responses, int64(len(r.Body)))
	defer s.budget.Release(memory.Responses, int64(len(r.Body)))
	status := http.StatusOK
	if r.Execution == jaypitch.Executed {
		status = r.Status
		for name, values := range EndToEndHeader(r.Header) {
			h[name] = values
		}
	}
	h[headerResponse] = []string{formatResponse(r)}
	if notice := formatResponseNotice(r); notice != "" {
		h[headerNotice] = []string{notice}
	}
	if s.closing() {
		h["Connection"] = []string{"close"}
	}
	return WriteResponse(w, status, r)
}

// WriteResponse writes the status, the body and the stream, if there is one, and closes the stream. An error means that the response is truncated.
func WriteResponse(w http.ResponseWriter, status int, r *jaypitch.MeshResponse) error {
	h := w.Header()
	// A nil value keeps net/http from adding a header that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if r.Head && r.Execution == jaypitch.Executed {
		if r.HeadLength != "" {
			h[headerLength] = []string{r.HeadLength}
		}
		w.WriteHeader(status)
		return nil
	}
	if r.Stream == nil {
		h[headerLength] = []string{strconv.Itoa(len(r.Body))}
		w.WriteHeader(status)
		_, err := w.Write(r.Body)
		if err == http.ErrBodyNotAllowed {
			return nil
		}
		return err
	}
	defer r.Stream.Close()
	return writeStream(w, status, r)
}
