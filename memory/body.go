package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// Body is a complete body whose bytes are reserved until Release.
type Body struct {
	Data   []byte
	budget *Budget
	holder Holder
	held   atomic.Int64
}

const (
	// firstBytes is the memory that is reserved at first for a body of unknown length. It is doubled as the body grows.
	firstBytes = 4 << 10
	// wholeBytes is the size from which a body of unknown length that meets no other body gets the memory of the longest one at once. Doubling would
	// hold the body twice for a moment, and the longest one fits the smallest host only once.
	wholeBytes = 1 << 20
)

var (
	// ErrShort is the error of a body for which the budget has no room.
	ErrShort = errors.New("the memory budget has no room for the body")
	// ErrTooLong is the error of a body that is longer than allowed.
	ErrTooLong = errors.New("the body is longer than allowed")
)

// ReadBody reads a body and reserves its bytes before they are read. The length is negative if it is unknown; a limit of zero means none. The
// claim's bytes are set here.
func (b *Budget) ReadBody(in io.Reader, length, limit int64, h Holder, c Claim) (*Body, error) {
	body := &Body{budget: b, holder: h}
	if limit > 0 && length > limit {
		return nil, ErrTooLong
	}
	if length == 0 {
		return body, nil
	}
	err := body.read(in, length, limit, c)
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) read(in io.Reader, length, limit int64, c Claim) error {
	if length > 0 {
		if err := b.grow(length, c); err != nil {
			return err
		}
		n, err := io.ReadFull(in, b.Data[:length])
		b.Data = b.Data[:n]
		return err
	}
	for {
		if len(b.Data) == cap(b.Data) {
			if err := b.grow(b.nextSize(limit), c); err != nil {
				return err
			}
		}
		n, err := in.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		switch {
		case limit > 0 && int64(len(b.Data)) > limit:
			return ErrTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// nextSize returns the size to which a full buffer grows. One byte more than the limit shows that a body is too long.
func (b *Body) nextSize(limit int64) int64 {
	size := int64(cap(b.Data))
	if limit > 0 && size >= wholeBytes && b.budget.bodies() == b.held.Load() {
		return limit + 1
	}
	if limit > 0 {
		return min(max(2*size, firstBytes), limit+1)
	}
	return max(2*size, firstBytes)
}

// grow moves the data to a longer buffer. Both are reserved meanwhile.
func (b *Body) grow(bytes int64, c Claim) error {
	c.Bytes, c.Own = bytes, b.held.Load()
	if !b.budget.ReserveBody(b.holder, c) {
		return ErrShort
	}
	before := b.held.Load()
	data := make([]byte, len(b.Data), bytes)
	copy(data, b.Data)
	b.Data = data
	b.budget.Release(b.holder, before)
	b.held.Store(bytes)
	return nil
}

// Held returns the bytes that the body holds.
func (b *Body) Held() int64 {
	return b.held.Load()
}

// Release returns the bytes to the budget. It may be called on nil, and more than once at the same time.
func (b *Body) Release() {
	if b == nil {
		return
	}
	if held := b.held.Swap(0); held > 0 {
		b.Data = nil
		b.budget.Release(b.holder, held)
	}
}
