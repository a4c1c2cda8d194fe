package peer

import (
	"bytes"
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

// RequestPath begins the paths of calls that are passed on between nodes.
const RequestPath = "/call"

// Receiver answers attempts.
type Receiver interface {
	Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response
}

// RequestClient passes attempts to other nodes over HTTP/1.1.
type RequestClient struct {
	client *http1.Client
	now    func() time.Time
}

// RequestServer takes attempts from other nodes.
type RequestServer struct {
	receiver Receiver
	now      func() time.Time
	maxBody  int64
}

const (
	// callConnections bounds the connections for calls to one peer.
	callConnections = 64
	// wholeAnswerBytes is the size up to which an answer is read before it is passed on, so that a cut is seen in time.
	wholeAnswerBytes = 64 << 10
	// streamBuffer is the size of the buffer that passes longer answers on.
	streamBuffer = 32 << 10
)

// hopHeaders end at each hop and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Date"}

// NewRequestClient makes the sending side.
func NewRequestClient(now func() time.Time) *RequestClient {
	return &RequestClient{client: http1.NewClient(http1.WithConnections(callConnections)), now: now}
}

// Do sends an attempt to the node at an address. Without an answer the error is an *http1.Error.
func (c *RequestClient) Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	r, err := c.client.Do(ctx, a.Method, "http://"+address+RequestPath+a.Path, c.headerOf(a), bytes.NewReader(a.Body), int64(len(a.Body)))
	if err != nil {
		cancel()
		return nil, err
	}
	answer, err := readAnswer(r)
	if err != nil || answer.Stream == nil {
		r.Body.Close()
		cancel()
		return answer, err
	}
	answer.Stream = &cancelCloser{ReadCloser: answer.Stream, cancel: cancel}
	return answer, nil
}

// cancelCloser ends the request when its answer is closed.
type cancelCloser struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the answer and the request.
func (c *cancelCloser) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// CloseIdle closes the connections that are not in use.
func (c *RequestClient) CloseIdle() {
	c.client.CloseIdle()
}

func (c *RequestClient) headerOf(a *jaypitch.Attempt) http.Header {
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

// EndToEndHeader copies a header without what ends at a hop and without the names that nodes use.
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
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// readAnswer reads a whole answer, or the head of a long one.
func readAnswer(r *http.Response) (*jaypitch.Response, error) {
	code, err := strconv.Atoi(r.Header.Get(jaypitch.HeaderCode))
	if err != nil {
		return nil, &http1.Error{Sent: true, Err: errors.New("the answer has no result code")}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, wholeAnswerBytes+1))
	if err != nil {
		return nil, &http1.Error{Sent: true, Err: err}
	}
	a := &jaypitch.Response{Code: jaypitch.Code(code), Reason: r.Header.Get(jaypitch.HeaderReason), Status: r.StatusCode, LoadReport: toldOf(r.Header), Body: body}
	a.Header = EndToEndHeader(r.Header)
	if len(body) > wholeAnswerBytes {
		a.Stream = r.Body
	}
	return a, nil
}

func toldOf(h http.Header) jaypitch.LoadReport {
	t := jaypitch.LoadReport{Stopping: h.Get(jaypitch.HeaderStopping) != ""}
	t.Process, _ = strconv.ParseUint(h.Get(jaypitch.HeaderProcess), 16, 64)
	t.Epoch, _ = strconv.ParseInt(h.Get(jaypitch.HeaderEpoch), 10, 64)
	t.Load, _ = strconv.ParseFloat(h.Get(jaypitch.HeaderLoad), 64)
	t.RetryAfterUS, _ = strconv.ParseInt(h.Get(jaypitch.HeaderRetryAfter), 10, 64)
	t.Revision, _ = strconv.ParseInt(h.Get(jaypitch.HeaderRevision), 10, 64)
	return t
}

// NewRequestServer makes the receiving side; bodies over maxBody bytes are refused.
func NewRequestServer(receiver Receiver, maxBody int64, now func() time.Time) *RequestServer {
	return &RequestServer{receiver: receiver, now: now, maxBody: maxBody}
}

// ServeHTTP answers one attempt. The request is read whole before anything is run.
func (s *RequestServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, e := s.attempt(r)
	if e != nil {
		writeAnswer(w, jaypitch.RefusalOf(e))
		return
	}
	writeAnswer(w, s.receiver.Serve(r.Context(), a))
}

func (s *RequestServer) attempt(r *http.Request) (*jaypitch.Attempt, *jaypitch.Error) {
	left, err := strconv.ParseInt(r.Header.Get(jaypitch.HeaderTimeLeft), 10, 64)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q; a number of microseconds is needed", jaypitch.HeaderTimeLeft, r.Header.Get(jaypitch.HeaderTimeLeft))
	}
	deadline := s.now().Add(time.Duration(left) * time.Microsecond)
	body, e := ReadBody(r, s.maxBody)
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

// ReadBody reads a whole request body of at most max bytes.
func ReadBody(r *http.Request, maxBytes int64) ([]byte, *jaypitch.Error) {
	if r.ContentLength > maxBytes {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "the body has %d bytes; at most %d are allowed", r.ContentLength, maxBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyCut, "the body ended after %d bytes: %s", len(body), err)
	}
	if int64(len(body)) > maxBytes {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "the body has more than %d bytes", maxBytes)
	}
	return body, nil
}

func writeAnswer(w http.ResponseWriter, a *jaypitch.Response) {
	h := w.Header()
	for name, values := range EndToEndHeader(a.Header) {
		h[name] = values
	}
	h.Set(jaypitch.HeaderCode, strconv.Itoa(int(a.Code)))
	if a.Reason != "" {
		h.Set(jaypitch.HeaderReason, strings.ReplaceAll(a.Reason, "\n", " "))
	}
	h.Set(jaypitch.HeaderProcess, strconv.FormatUint(a.LoadReport.Process, 16))
	h.Set(jaypitch.HeaderEpoch, strconv.FormatInt(a.LoadReport.Epoch, 10))
	h.Set(jaypitch.HeaderLoad, strconv.FormatFloat(a.LoadReport.Load, 'f', 3, 64))
	h.Set(jaypitch.HeaderRevision, strconv.FormatInt(a.LoadReport.Revision, 10))
	if a.LoadReport.RetryAfterUS > 0 {
		h.Set(jaypitch.HeaderRetryAfter, strconv.FormatInt(a.LoadReport.RetryAfterUS, 10))
	}
	if a.LoadReport.Stopping {
		h.Set(jaypitch.HeaderStopping, "true")
	}
	if WriteBody(w, a) != nil {
		panic(http.ErrAbortHandler)
	}
}

// WriteBody writes the status and the body of an answer. After an error the caller has to abort the
// connection, so that an answer cut off on its way here never looks whole to its reader.
func WriteBody(w http.ResponseWriter, a *jaypitch.Response) error {
	if a.Stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, err := w.Write(a.Body)
		return err
	}
	defer a.Stream.Close()
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	_, err := io.CopyBuffer(w, a.Stream, make([]byte, streamBuffer))
	return err
}
