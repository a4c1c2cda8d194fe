package jaypitch

import (
	"context"
	"time"
)

// Sleep waits for d. If the context ends first, it returns the context's error at once.
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
