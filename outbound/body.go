package outbound

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// readBody reads the body of a client's request, for which the memory is reserved before. It refuses a body over the limit of the configuration
// in bytes, for which there is no memory, or that hasn't arrived by the request's deadline. The caller releases the body.
func (h *Handler) readBody(r *http.Request, limit int64, f *jaypitch.MeshRequest) (*memory.Body, *jaypitch.Error) {
	if r.ContentLength != 0 {
		setBodyDeadline(r.Context(), f.Deadline)
	}
	body, err := h.budget.ReadBody(r.Body, r.ContentLength, limit, memory.SenderBodies, memory.Claim{Rank: f.Rank, TimeLeft: f.Deadline.Sub(h.now())})
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "the body has more than the %d bytes allowed", limit)
	case errors.Is(err, memory.ErrShort):
		return nil, jaypitch.Errorf(jaypitch.CodeTooManyCalls, "%s", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, jaypitch.Errorf(jaypitch.CodeDeadline, "the body did not arrive before the deadline")
	case err != nil:
		return nil, jaypitch.Errorf(jaypitch.CodeBodyCut, "the body ended early: %s", err)
	}
	if r.ContentLength != 0 {
		setBodyDeadline(r.Context(), time.Time{})
	}
	return body, nil
}

// setBodyDeadline sets the read deadline of a request's connection.
func setBodyDeadline(ctx context.Context, t time.Time) {
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		_ = c.Conn.SetReadDeadline(t) // fails only if the connection is closed already, which the read reports
	}
}
