package hop

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// downloadChunk is the number of bytes of a download that are read and written at a time.
	downloadChunk = 16 << 10
	// stallTimeout is how long the reader of a download may take for a chunk. Backend servers cut off a response that stays unread for some seconds.
	stallTimeout = 2 * time.Second
)

var downloadBuffers = sync.Pool{New: func() any { return new([downloadChunk]byte) }}

// copyDownload passes on a download as it arrives. It fails if the reader takes nothing for stallTimeout, or hasn't taken all at a time, unless that
// is zero.
func copyDownload(w http.ResponseWriter, body io.Reader, until time.Time) error {
	control := http.NewResponseController(w)
	buffer := downloadBuffers.Get().(*[downloadChunk]byte)
	defer downloadBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if writeErr := writeChunk(w, control, buffer[:n], until); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return ignoreUnsupported(control.SetWriteDeadline(time.Time{}))
		}
		if err != nil {
			return err
		}
	}
}

// writeChunk writes a chunk within stallTimeout, and before a time unless that is zero.
func writeChunk(w io.Writer, control *http.ResponseController, chunk []byte, until time.Time) error {
	deadline := time.Now().Add(stallTimeout)
	if !until.IsZero() && until.Before(deadline) {
		deadline = until
	}
	if err := ignoreUnsupported(control.SetWriteDeadline(deadline)); err != nil {
		return err
	}
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return ignoreUnsupported(control.Flush())
}

// ignoreUnsupported returns nil for the error of a response writer that has no connection, as in tests.
func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
