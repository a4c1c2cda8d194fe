package outbound

import (
	"context"
	"errors"
	"os"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/hop"
)

// truncated returns what is recorded of a response that couldn't be written completely. The server has executed the request. Ctx is the context
// of the client's request: if it ends, the stream is aborted.
func truncated(ctx context.Context, r *jaypitch.MeshResponse, err error) *jaypitch.MeshResponse {
	stream := errors.Is(err, hop.ErrStream)
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), jaypitch.ErrStopping)
	out := *r
	out.Reason = err.Error()
	switch {
	case stream && left, !stream && !errors.Is(err, os.ErrDeadlineExceeded):
		out.Code = jaypitch.CodeCallerGone
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Code = jaypitch.CodeAnswerTooLate
	default:
		out.Code = jaypitch.CodeAnswerCut
	}
	return &out
}
