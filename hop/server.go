package hop

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Receiver takes requests for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse
}

// Server takes requests that other sidecars pass on.
type Server struct {
	receiver Receiver
	idHeader string
	now      func() time.Time
	closing  func() bool
	heard    func(remote string, revision int64)
	other    http.Handler
}

// heldBack is a body that its sender holds back until it is asked for.
type heldBack struct {
	request *http.Request
	control *http.ResponseController
	now     func() time.Time
}

// bodyWait bounds the time for a body that was asked for: a round trip of a region and one lost packet, which is sent again after
// 200 ms; a slot may be held meanwhile.
const bodyWait = 400 * time.Millisecond

// NewServer makes the handler; idHeader names the header with a request's id, closing says whether connections are to be given up, heard is told what each sender
// holds, and other answers what isn't a request passed on.
func NewServer(r Receiver, idHeader string, now func() time.Time, closing func() bool, heard func(remote string, revision int64), other http.Handler) *Server {
	return &Server{receiver: r, idHeader: idHeader, now: now, closing: closing, heard: heard, other: other}
}

// ServeHTTP takes one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerPass) == "" {
		s.other.ServeHTTP(w, r)
		return
	}
	if err := s.write(w, s.serve(w, r)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) *jaypitch.MeshResponse {
	f, e := s.forward(r)
	if e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	s.heard(r.RemoteAddr, f.Revision)
	if r.Header.Get("Expect") != "" {
		f.ReadBody = (&heldBack{request: r, control: http.NewResponseController(w), now: s.now}).read
		return s.receiver.Serve(r.Context(), f)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return jaypitch.NotExecutedResponse(jaypitch.CodeBodyCut, "the body ended early: %s", err)
	}
	f.Body = body
	return s.receiver.Serve(r.Context(), f)
}

// read asks the sender for the body and reads it; the HTTP server asks at the first read.
func (b *heldBack) read() ([]byte, error) {
	if err := b.control.SetReadDeadline(b.now().Add(bodyWait)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(b.request.Body)
	if err != nil {
		return nil, err
	}
	return body, b.control.SetReadDeadline(time.Time{})
}

// forward reads what the sending sidecar says of the request.
func (s *Server) forward(r *http.Request) (*jaypitch.MeshRequest, *jaypitch.Error) {
	f := &jaypitch.MeshRequest{ID: r.Header.Get(s.idHeader), Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: EndToEndHeader(r.Header)}
	return f, parsePass(r.Header.Get(headerPass), f, s.now())
}

// write sends the reply; a stream that breaks off cuts the connection.
func (s *Server) write(w http.ResponseWriter, r *jaypitch.MeshResponse) error {
	h := w.Header()
	status := http.StatusOK
	if r.Execution == jaypitch.Executed {
		status = r.Status
		for name, values := range EndToEndHeader(r.Header) {
			h[name] = values
		}
	}
	h[headerReply] = []string{reply(r)}
	if s.closing() {
		h["Connection"] = []string{"close"}
	}
	return WriteResponse(w, status, r)
}

// WriteResponse writes a status, the body and, if the answer is long, what follows. An error means that the answer is cut.
func WriteResponse(w http.ResponseWriter, status int, r *jaypitch.MeshResponse) error {
	h := w.Header()
	// Headers that the server did not send are not made up.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
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
	w.WriteHeader(status)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	_, err := io.Copy(w, r.Stream)
	return err
}
