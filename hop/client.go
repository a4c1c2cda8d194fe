package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
)

// Client forwards requests to other sidecars. It implements jaypitch.Forwarder.
type Client struct {
	pool *http1.Pool
	now  func() time.Time
}

const (
	// maxBufferedBody is the size in bytes from which a response body is streamed instead of buffered.
	maxBufferedBody = 256 << 10
	// ProbePath is the path at which a sidecar responds to the liveness probes of others.
	ProbePath = "/alive"
)

var _ jaypitch.Forwarder = (*Client)(nil)

// NewClient returns a client that uses the connections of a pool.
func NewClient(pool *http1.Pool, now func() time.Time) *Client {
	return &Client{pool: pool, now: now}
}

// Forward sends a request to the sidecar at an address and returns its response, or one with the code of the failure. A body of
// maxBufferedBody bytes or more, and all of a download, continues in the response's Stream, which the caller closes.
func (c *Client) Forward(ctx context.Context, address string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	started := c.now()
	a, err := c.pool.Do(ctx, address, c.request(f))
	if err != nil {
		return errorResponse(ctx, err)
	}
	response, e := parseHead(a)
	if e != nil {
		_ = a.Body.Close()
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the sidecar's response cannot be parsed: %s", e.Reason)
	}
	response.SetHead(f.Method, a)
	response.NetworkTime = c.now().Sub(started) - response.ServiceTime - response.QueueTime
	a.Body = c.observeBody(a.Body, f)
	if response.Execution == jaypitch.Executed && f.StreamsResponse(a.StatusCode, a.ContentLength) {
		response.Stream, response.Length, response.Download = a.Body, max(0, a.ContentLength), true
		return response
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBody))
	if err != nil {
		_ = a.Body.Close()
		if response.Execution == jaypitch.Executed {
			return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerCut, "the sidecar's response was truncated: %s", err)
		}
		return response
	}
	response.Body = body
	if len(body) == maxBufferedBody {
		response.Stream = a.Body
		return response
	}
	_ = a.Body.Close()
	return response
}

// Probe checks that the sidecar at an address is alive and responds within a time. If the probe fails, the pool's connections to the address are closed.
func (c *Client) Probe(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.pool.Do(ctx, address, &http1.Request{Method: http.MethodGet, Target: ProbePath, Host: address})
	if err != nil {
		c.pool.CloseIdle(address)
		return err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

func (c *Client) request(f *jaypitch.MeshRequest) *http1.Request {
	h := f.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	now := c.now()
	h[headerAttempt] = []string{formatAttempt(f, now)}
	if notice := formatRequestNotice(f, now); notice != "" {
		h[headerNotice] = []string{notice}
	}
	return &http1.Request{Method: f.Method, Target: f.Target, Host: f.Host, Header: h, Body: f.Body, ExpectContinue: f.ExpectContinue || len(f.Body) >= offerBytes}
}

// errorResponse returns the response for an attempt that failed with a transport error.
func errorResponse(ctx context.Context, err error) *jaypitch.MeshResponse {
	var e *http1.Error
	switch {
	case errors.As(err, &e) && !e.Sent && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return jaypitch.NotExecutedResponse(jaypitch.CodeDeadline, "the request could not be sent to the sidecar before the deadline")
	case errors.As(err, &e) && !e.Sent && errors.Is(context.Cause(ctx), jaypitch.ErrStopping):
		return jaypitch.NotExecutedResponse(jaypitch.CodeStopping, "the sidecar stopped before the request was sent")
	case errors.As(err, &e) && !e.Sent && ctx.Err() != nil:
		return jaypitch.NotExecutedResponse(jaypitch.CodeCallerGone, "the client closed the connection before the request was sent")
	case errors.As(err, &e) && !e.Sent:
		return jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "no connection to the sidecar: %s", err)
	case errors.Is(context.Cause(ctx), jaypitch.ErrSuperseded):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "%s", jaypitch.ErrSuperseded)
	case errors.Is(context.Cause(ctx), jaypitch.ErrStopping):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the sidecar stopped before the response")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerTooLate, "the sidecar did not respond before the deadline")
	case ctx.Err() != nil:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the client closed the connection before the response")
	}
	return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the connection to the sidecar failed: %s", err)
}

// parseHead returns the response that the head of the sidecar's HTTP response describes, without its body.
func parseHead(a *http.Response) (*jaypitch.MeshResponse, *jaypitch.Error) {
	r := &jaypitch.MeshResponse{Status: a.StatusCode}
	if e := parseResponse(a.Header.Get(headerResponse), r); e != nil {
		return nil, e
	}
	parseResponseNotice(a.Header.Get(headerNotice), r)
	translateClientCode(r)
	if r.Execution != jaypitch.Executed {
		r.Reason = "the sidecar of the server answered " + r.Code.Info().Name
	}
	r.Header = EndToEndHeader(a.Header)
	return r, nil
}
