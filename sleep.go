package jaypitch

import (
	"context"
	"time"
)

// Sleep waits for a time; it ends early, with the context's error, if the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
