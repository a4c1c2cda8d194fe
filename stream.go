package jaypitch

import (
	"sync"
	"time"
)

// releasingStream is a stream that releases what it depends on when it is closed or ends.
type releasingStream struct {
	Stream
	release func()
}

// ReleaseAfterStream runs release once the response's stream is closed, ends or fails, and at once if the response has no stream. Contexts, slots
// and counts that a stream depends on outlast the function that returns the response.
func (r *MeshResponse) ReleaseAfterStream(release func()) {
	if r.Stream == nil {
		release()
		return
	}
	r.Stream = &releasingStream{Stream: r.Stream, release: sync.OnceFunc(release)}
}

// LimitStream sets the time at which the response's stream ends at the latest, if the response has one.
func (r *MeshResponse) LimitStream(until time.Time) {
	if r.Stream != nil {
		r.StreamUntil = until
	}
}

// Read reads from the stream. It releases at the end of the stream and after an error.
func (s *releasingStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if err != nil {
		s.release()
	}
	return n, err
}

// Close closes the stream and releases.
func (s *releasingStream) Close() error {
	err := s.Stream.Close()
	s.release()
	return err
}
