package transfer

import (
	"bytes"
	"context"
	"io"

	"github.com/jaypitch/jaypitch"
)

// Stream reads a response whose bytes wait for their turn on the link.
type Stream struct {
	ctx      context.Context
	source   jaypitch.Stream
	transfer *Transfer
	complete bool
}

// prefixedStream is a stream after the bytes that were read from it before.
type prefixedStream struct {
	io.Reader
	io.Closer
}

var _ jaypitch.Stream = (*Stream)(nil)

// NewStream returns a stream of a source whose bytes are those of a transfer, which may be nil. Reads fail after ctx has ended.
func NewStream(ctx context.Context, source jaypitch.Stream, t *Transfer) *Stream {
	return &Stream{ctx: ctx, source: source, transfer: t}
}

// WithPrefix returns a stream that begins with bytes which were read from it before.
func WithPrefix(prefix []byte, rest jaypitch.Stream) jaypitch.Stream {
	return prefixedStream{io.MultiReader(bytes.NewReader(prefix), rest), rest}
}

// Read reads at most ChunkBytes and returns once they may be passed on.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.source.Read(p[:min(len(p), ChunkBytes)])
	if err == io.EOF {
		s.complete = true
	}
	if n == 0 {
		return n, err
	}
	if waitErr := s.transfer.Wait(s.ctx, n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Close closes the source and ends the transfer.
func (s *Stream) Close() error {
	s.transfer.End(s.complete)
	return s.source.Close()
}
