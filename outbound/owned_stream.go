package outbound

import (
	"github.com/jaypitch/jaypitch"
)

// ownedStream is a stream with the context of its request, which ends when the stream is closed.
type ownedStream struct {
	jaypitch.Stream
	end func()
}

// endWithStream calls end once the response isn't used any more: when its stream is closed, or now if it has none.
func endWithStream(r *jaypitch.MeshResponse, end func()) {
	if r.Stream == nil {
		end()
		return
	}
	r.Stream = &ownedStream{Stream: r.Stream, end: end}
}

// Close closes the stream and ends the context.
func (s *ownedStream) Close() error {
	err := s.Stream.Close()
	s.end()
	return err
}
