package transfer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// read reads a stream of a transfer with a number of bytes to its end and returns the time that it took.
func read(ctx context.Context, t *Transfer, length int) (time.Duration, error) {
	began := time.Now()
	t.SetLength(int64(length))
	s := NewStream(ctx, io.NopCloser(bytes.NewReader(make([]byte, length))), t)
	defer s.Close()
	_, err := io.Copy(io.Discard, struct{ io.Reader }{s})
	return time.Since(began), err
}

// TestGatePacesTransfers guards against transfers that use more than the link's capacity, that never end, or that end with no sign after their deadline.
func TestGatePacesTransfers(t *testing.T) {
	admit := func(g *Gate) *Transfer {
		now := time.Now()
		x, _, _ := g.Admit("d", now.Add(1200*time.Millisecond), now.Add(500*time.Millisecond))
		return x
	}
	t.Run("two transfers share the capacity", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(16, time.Now)
			times := make(chan time.Duration)
			for range 2 {
				go func() {
					took, err := read(context.Background(), admit(g), 200_000)
					if err != nil {
						took = 0
					}
					times <- took
				}()
			}
			first, second := <-times, <-times
			// 400,000 bytes take 235 ms at 0.85 of 16 Mbit/s, of which the kernel holds 30 ms and the last chunk.
			is.True(first > 0 && first <= second)
			is.True(second > 180*time.Millisecond && second < 235*time.Millisecond)
			is.Equal(g.Counts(), Counts{})
		})
	})
	t.Run("one that can't end before its deadline is broken off at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(16, time.Now)
			took, err := read(context.Background(), admit(g), 3_000_000)
			is.True(errors.Is(err, errTooLate))
			is.Equal(took, time.Duration(0))
			is.Equal(g.Counts(), Counts{BrokenOff: 1})
		})
	})
	t.Run("one whose client is gone ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(1, time.Now)
			x := g.Begin("d", time.Now(), 1_000_000)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			took, err := read(ctx, x, 1_000_000)
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(took, time.Second)
			is.Equal(g.Counts(), Counts{})
		})
	})
	t.Run("a link of unknown capacity delays nothing", func(t *testing.T) {
		is := is.New(t)
		g := NewGate(0, time.Now)
		_, err := read(context.Background(), admit(g), 3_000_000)
		is.NoErr(err)
	})
}
