package inbound

import (
	"context"
	"errors"

	"github.com/jaypitch/jaypitch"
)

// queueCanceled returns the refusal of a queued request whose context has ended: its sender has left, or this process stops.
func queueCanceled(ctx context.Context) *jaypitch.Error {
	if errors.Is(context.Cause(ctx), jaypitch.ErrStopping) {
		return jaypitch.Errorf(jaypitch.CodeStopping, "the sidecar stopped while the request was queued")
	}
	return jaypitch.Errorf(jaypitch.CodeCallerGone, "the sender canceled the queued request")
}
