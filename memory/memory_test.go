package memory

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// TestAdmits guards against an order of refusals other than rank, work and deadline, and against refusing a request that is alone.
func TestAdmits(t *testing.T) {
	const limit = 1600
	busy := Usage{Limit: limit, Held: 1000, Bodies: 500}
	for name, c := range map[string]struct {
		usage Usage
		claim Claim
		want  bool
	}{
		"alone, as long as the limit":       {Usage{Limit: limit}, Claim{Bytes: limit, Rank: 9, TimeLeft: time.Hour}, true},
		"alone, longer than the limit":      {Usage{Limit: limit}, Claim{Bytes: limit + 1}, false},
		"the most urgent up to the reserve": {Usage{Limit: limit, Held: 1400, Bodies: 1400}, Claim{Bytes: 100}, true},
		"the reserve for heads":             {Usage{Limit: limit, Held: 1401, Bodies: 1400}, Claim{Bytes: 100}, false},
		"less urgent":                       {Usage{Limit: limit, Held: 1301, Bodies: 1300}, Claim{Bytes: 100, Rank: 1}, false},
		"more urgent at the same use":       {Usage{Limit: limit, Held: 1301, Bodies: 1300}, Claim{Bytes: 100}, true},
		"large":                             {busy, Claim{Bytes: 301}, false},
		"short, at the same total":          {Usage{Limit: limit, Held: 1201, Bodies: 500}, Claim{Bytes: 100}, true},
		"held for long":                     {Usage{Limit: limit, Held: 1201, Bodies: 500}, Claim{Bytes: 100, TimeLeft: time.Minute}, false},
		"its own part is no other body":     {Usage{Limit: limit, Held: 800, Bodies: 800}, Claim{Bytes: 800, Own: 800}, true},
		"unknown rank counts as the last":   {busy, Claim{Bytes: 100, Rank: 1 << 60}, true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(Admits(c.usage, c.claim), c.want) })
	}
}

// TestReadBody guards against bodies that are read without a reservation, and against reservations that aren't returned.
func TestReadBody(t *testing.T) {
	text := strings.Repeat("x", 100_000)
	for name, c := range map[string]struct {
		budget, length, limit int64
		in                    io.Reader
		want                  error
	}{
		"known length":                   {100_000, 100_000, 100_000, strings.NewReader(text), nil},
		"unknown length":                 {400_000, -1, 100_000, iotest.DataErrReader(strings.NewReader(text)), nil},
		"no room":                        {99_999, 100_000, 0, iotest.ErrReader(io.ErrNoProgress), ErrShort},
		"no room for an unknown length":  {100_000, -1, 0, strings.NewReader(text), ErrShort},
		"announced over the limit":       {400_000, 100_000, 99_999, iotest.ErrReader(io.ErrNoProgress), ErrTooLong},
		"over the limit":                 {400_000, -1, 99_999, strings.NewReader(text), ErrTooLong},
		"shorter than announced":         {400_000, 100_001, 0, strings.NewReader(text), io.ErrUnexpectedEOF},
		"an error after a part of it":    {400_000, -1, 0, io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrNoProgress)), io.ErrNoProgress},
		"an error of an announced body":  {400_000, 5, 0, iotest.ErrReader(io.ErrNoProgress), io.ErrNoProgress},
		"unknown length, alone":          {100_001 + 64<<10, -1, 100_000, strings.NewReader(text), nil},
		"none, although nothing is free": {0, 0, 0, iotest.ErrReader(io.ErrNoProgress), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(c.budget)
			body, err := b.ReadBody(c.in, c.length, c.limit, SenderBodies, Claim{})
			is.Equal(err, c.want)
			if err == nil && c.length != 0 {
				is.Equal(string(body.Data), text)
				is.True(b.Held(SenderBodies) >= 100_000)
			}
			body.Release()
			is.Equal(b.Held(SenderBodies), int64(0))
			is.Equal(b.held.Load(), int64(0))
		})
	}
}

// TestGarbageIsCollected guards against a body that takes the place of one that was released, but isn't freed yet.
func TestGarbageIsCollected(t *testing.T) {
	is := is.New(t)
	collected := 0
	b := NewBudget(1<<20, WithCollector(func() { collected++ }))
	for range 4 {
		is.True(b.ReserveBody(ReceiverBodies, Claim{Bytes: 400 << 10}))
		b.Release(ReceiverBodies, 400<<10)
	}
	is.Equal(collected, 1)
}

// TestLimitsOf guards against limits that don't fit the smallest host of the platform: the largest body has to fit the budget.
func TestLimitsOf(t *testing.T) {
	is := is.New(t)
	l := LimitsOf(112)
	is.True(l.Budget > 67108864+1<<20)
	is.True(l.Runtime+fileBytes <= 112*mebibyte*8/10)
	is.True(LimitsOf(16).Budget > 0)
}
