package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
)

// RequestPath is the prefix of the paths of attempts between nodes.
const RequestPath = "/call"

// Receiver processes the attempts that other nodes send to this one.
type Receiver interface {
	// Serve returns the response to an attempt: the backend server's or a refusal.
	Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response
}

// RequestClient sends attempts to other nodes over HTTP/1.1.
type RequestClient struct {
	client *http1.Client
	now    func() time.Time
}

// RequestServer receives attempts from other nodes.
type RequestServer struct {
	receiver Receiver
	now      func() time.Time
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes int64
}

const (
	// maxConnections is the maximum number of connections to one peer for attempts.
	maxConnections = 64
	// maxBufferedBodyBytes is the size of the longest response body that is buffered. A truncated one is detected before any of it
	// reaches the client.
	maxBufferedBodyBytes = 64 << 10
	// streamBufferBytes is the size of the buffer through which longer bodies are copied.
	streamBufferBytes = 32 << 10
)

// hopByHopHeaders are not forwarded: they concern one connection, or each hop sets them itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Date"}

// NewRequestClient returns a client; now gives the time from which the time left until a deadline is computed.
func NewRequestClient(now func() time.Time) *RequestClient {
	return &RequestClient{client: http1.NewClient(now, http1.WithMaxConnections(maxConnections)), now: now}
}

// Do sends an attempt to the node at an address, host:port. Without a response the error is an *http1.Error, which says whether
// the request may have been sent. The caller closes the Stream of the response if there is one.
func (c *RequestClient) Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	r, err := c.client.Do(ctx, a.Method, address, RequestPath+a.Path, c.requestHeader(a), a.Body)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := readResponse(r)
	if err != nil || resp.Stream == nil {
		r.Body.Close()
		cancel()
		return resp, err
	}
	resp.Stream = &cancelCloser{ReadCloser: resp.Stream, cancel: cancel}
	return resp, nil
}

// cancelCloser cancels the context of a request when the response's stream is closed.
type cancelCloser struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels the context.
func (c *cancelCloser) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// CloseIdle closes the idle connections.
func (c *RequestClient) CloseIdle() {
	c.client.CloseIdle()
}

// requestHeader returns the header of an attempt: the end-to-end headers of the request and those between nodes.
func (c *RequestClient) requestHeader(a *jaypitch.Attempt) http.Header {
	h := EndToEndHeader(a.Header)
	h.Set(jaypitch.HeaderTeam, a.Team)
	h.Set(jaypitch.HeaderRoute, a.Route)
	h.Set(jaypitch.HeaderCustomer, a.Customer)
	h.Set(jaypitch.HeaderSender, a.Sender)
	h.Set(jaypitch.HeaderTimeLeft, strconv.FormatInt(a.Deadline.Sub(c.now()).Microseconds(), 10))
	h.Set(jaypitch.HeaderRetries, strconv.Itoa(a.Retries))
	h.Set(jaypitch.HeaderRevision, strconv.FormatInt(a.Revision, 10))
	h.Set(jaypitch.HeaderProcess, strconv.FormatUint(a.Process, 16))
	if a.Token != "" {
		h.Set(jaypitch.HeaderToken, a.Token)
	}
	if a.Repeat {
		h.Set(jaypitch.HeaderRepeat, "true")
	}
	return h
}

// EndToEndHeader returns a copy of a header without the hop-by-hop headers and without those that begin with Jaypitch-. The values are shared.
func EndToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !strings.HasPrefix(name, "Jaypitch-") {
			out[name] = values
		}
	}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// readResponse reads a response. Of a body over maxBufferedBodyBytes it reads the start; the rest follows in Stream.
func readResponse(r *http.Response) (*jaypitch.Response, error) {
	code, err := strconv.Atoi(r.Header.Get(jaypitch.HeaderCode))
	if err != nil {
		return nil, &http1.Error{Sent: true, Err: errors.New("response has no valid result code")}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, &http1.Error{Sent: true, Err: err}
	}
	resp := &jaypitch.Response{Code: jaypitch.Code(code), Reason: r.Header.Get(jaypitch.HeaderReason), Status: r.StatusCode, LoadReport: parseLoadReport(r.Header), Body: body}
	resp.Header = EndToEndHeader(r.Header)
	if len(body) > maxBufferedBodyBytes {
		resp.Stream = r.Body
	}
	return resp, nil
}

// parseLoadReport returns the load report in a response's headers. A field without a valid header is zero.
func parseLoadReport(h http.Header) jaypitch.LoadReport {
	report := jaypitch.LoadReport{Stopping: h.Get(jaypitch.HeaderStopping) != ""}
	report.Process, _ = strconv.ParseUint(h.Get(jaypitch.HeaderProcess), 16, 64)
	report.Epoch, _ = strconv.ParseInt(h.Get(jaypitch.HeaderEpoch), 10, 64)
	report.Load, _ = strconv.ParseFloat(h.Get(jaypitch.HeaderLoad), 64)
	report.RetryAfterUS, _ = strconv.ParseInt(h.Get(jaypitch.HeaderRetryAfter), 10, 64)
	report.Revision, _ = strconv.ParseInt(h.Get(jaypitch.HeaderRevision), 10, 64)
	return report
}

// NewRequestServer returns a server that refuses requests with a body over maxBodyBytes.
func NewRequestServer(receiver Receiver, maxBodyBytes int64, now func() time.Time) *RequestServer {
	return &RequestServer{receiver: receiver, now: now, maxBodyBytes: maxBodyBytes}
}

// ServeHTTP processes one attempt. It reads the complete body first, so that a truncated request is never executed.
func (s *RequestServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, e := s.readAttempt(r)
	if e != nil {
		writeResponse(w, jaypitch.RefusalOf(e))
		return
	}
	writeResponse(w, s.receiver.Serve(r.Context(), a))
}

// readAttempt reads an attempt from its headers and body. The deadline is the time left from now, on this process's clock.
func (s *RequestServer) readAttempt(r *http.Request) (*jaypitch.Attempt, *jaypitch.Error) {
	left, err := strconv.ParseInt(r.Header.Get(jaypitch.HeaderTimeLeft), 10, 64)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q, not a number of microseconds", jaypitch.HeaderTimeLeft, r.Header.Get(jaypitch.HeaderTimeLeft))
	}
	deadline := s.now().Add(time.Duration(left) * time.Microsecond)
	body, e := ReadBody(r, s.maxBodyBytes)
	if e != nil {
		return nil, e
	}
	a := &jaypitch.Attempt{Request: &jaypitch.Request{Team: r.Header.Get(jaypitch.HeaderTeam), Route: r.Header.Get(jaypitch.HeaderRoute),
		Customer: r.Header.Get(jaypitch.HeaderCustomer), Path: strings.TrimPrefix(r.URL.RequestURI(), RequestPath), Method: r.Method,
		Body: body, Deadline: deadline, Token: r.Header.Get(jaypitch.HeaderToken), Repeat: r.Header.Get(jaypitch.HeaderRepeat) != ""}}
	a.Retries, _ = strconv.Atoi(r.Header.Get(jaypitch.HeaderRetries))
	a.Sender = r.Header.Get(jaypitch.HeaderSender)
	a.Revision, _ = strconv.ParseInt(r.Header.Get(jaypitch.HeaderRevision), 10, 64)
	a.Process, _ = strconv.ParseUint(r.Header.Get(jaypitch.HeaderProcess), 16, 64)
	a.Header = EndToEndHeader(r.Header)
	return a, nil
}

// ReadBody reads the complete body of a request, at most maxBytes. It fails with CodeBodyTooLarge or CodeBodyCut.
func ReadBody(r *http.Request, maxBytes int64) ([]byte, *jaypitch.Error) {
	if r.ContentLength > maxBytes {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "request body has %d bytes; at most %d are allowed", r.ContentLength, maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyCut, "request body ended after %d bytes: %s", len(body), err)
	}
	if int64(len(body)) > maxBytes {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "request body has more than %d bytes", maxBytes)
	}
	return body, nil
}

// writeResponse writes a response with its load report. If the body can't be written completely, it aborts the connection.
func writeResponse(w http.ResponseWriter, resp *jaypitch.Response) {
	h := w.Header()
	for name, values := range EndToEndHeader(resp.Header) {
		h[name] = values
	}
	h.Set(jaypitch.HeaderCode, strconv.Itoa(int(resp.Code)))
	if resp.Reason != "" {
		h.Set(jaypitch.HeaderReason, strings.ReplaceAll(resp.Reason, "\n", " "))
	}
	h.Set(jaypitch.HeaderProcess, strconv.FormatUint(resp.LoadReport.Process, 16))
	h.Set(jaypitch.HeaderEpoch, strconv.FormatInt(resp.LoadReport.Epoch, 10))
	h.Set(jaypitch.HeaderLoad, strconv.FormatFloat(resp.LoadReport.Load, 'f', 3, 64))
	h.Set(jaypitch.HeaderRevision, strconv.FormatInt(resp.LoadReport.Revision, 10))
	if resp.LoadReport.RetryAfterUS > 0 {
		h.Set(jaypitch.HeaderRetryAfter, strconv.FormatInt(resp.LoadReport.RetryAfterUS, 10))
	}
	if resp.LoadReport.Stopping {
		h.Set(jaypitch.HeaderStopping, "true")
	}
	if WriteBody(w, resp) != nil {
		panic(http.ErrAbortHandler)
	}
}

// WriteBody writes the status and the body of a response, and closes its Stream. After an error the caller has to abort the
// connection, so that a truncated response never looks complete to the client.
func WriteBody(w http.ResponseWriter, resp *jaypitch.Response) error {
	if resp.Stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
		w.WriteHeader(resp.Status)
		_, err := w.Write(resp.Body)
		return err
	}
	defer resp.Stream.Close()
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		return err
	}
	_, err := io.CopyBuffer(w, resp.Stream, make([]byte, streamBufferBytes))
	return err
}
