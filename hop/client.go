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

// Client passes requests to other sidecars. It implements jaypitch.Hop.
type Client struct {
	pool *http1.Pool
	now  func() time.Time
}

const (
	// heldBody is the longest answer that is read whole before it is passed on, in bytes.
	heldBody = 256 << 10
	// lifeWait is how long a sign of life is awaited: many round trips of a region, and one pause of a machine whose processor time is a quota.
	lifeWait = 200 * time.Millisecond
	// LifePath is where a sidecar gives a sign of life to others.
	LifePath = "/alive"
)

var _ jaypitch.Forwarder = (*Client)(nil)

// NewClient makes a client over a pool of connections.
func NewClient(pool *http1.Pool, now func() time.Time) *Client {
	return &Client{pool: pool, now: now}
}

// Forward sends a request to the sidecar at an address and returns what became of it.
func (c *Client) Forward(ctx context.Context, address string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	started := c.now()
	a, err := c.pool.Do(ctx, address, c.request(f))
	if err != nil {
		return failed(ctx, err)
	}
	reply, e := head(a)
	if e != nil {
		_ = a.Body.Close()
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the sidecar's answer can't be read: %s", e.Reason)
	}
	reply.NetworkTime = c.now().Sub(started) - reply.ServiceTime - reply.QueueTime
	body, err := io.ReadAll(io.LimitReader(a.Body, heldBody))
	if err != nil {
		_ = a.Body.Close()
		if reply.Execution == jaypitch.Executed {
			return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerCut, "the sidecar's answer broke off: %s", err)
		}
		return reply
	}
	reply.Body = body
	if len(body) == heldBody {
		reply.Stream = a.Body
		return reply
	}
	_ = a.Body.Close()
	return reply
}

// Probe asks the sidecar at an address for a sign of life; without one its connections are closed.
func (c *Client) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, lifeWait)
	defer cancel()
	a, err := c.pool.Do(ctx, address, &http1.Request{Method: http.MethodGet, Target: LifePath, Host: address})
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
	h[headerPass] = []string{pass(f, c.now())}
	return &http1.Request{Method: f.Method, Target: f.Target, Host: f.Host, Header: h, Body: f.Body, ExpectContinue: f.ExpectContinue}
}

// failed says what a failure to pass a request on means.
func failed(ctx context.Context, err error) *jaypitch.MeshResponse {
	var e *http1.Error
	switch {
	case errors.As(err, &e) && !e.Sent && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return jaypitch.NotExecutedResponse(jaypitch.CodeDeadline, "the sidecar did not take the request in time")
	case errors.As(err, &e) && !e.Sent && ctx.Err() != nil:
		return jaypitch.NotExecutedResponse(jaypitch.CodeCallerGone, "the caller left before the request was sent")
	case errors.As(err, &e) && !e.Sent:
		return jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "no connection to the sidecar: %s", err)
	case errors.Is(context.Cause(ctx), jaypitch.ErrSuperseded):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "%s", jaypitch.ErrSuperseded)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerTooLate, "the sidecar did not answer in time")
	case ctx.Err() != nil:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the caller left")
	}
	return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the connection to the sidecar failed: %s", err)
}

// head reads what the sidecar says of the request.
func head(a *http.Response) (*jaypitch.MeshResponse, *jaypitch.Error) {
	r := &jaypitch.MeshResponse{Status: a.StatusCode}
	if e := parseReply(a.Header.Get(headerReply), r); e != nil {
		return nil, e
	}
	if r.Execution != jaypitch.Executed {
		r.Reason = "the sidecar of the server answered " + r.Code.Info().Name
	}
	r.Header = EndToEndHeader(a.Header)
	return r, nil
}
