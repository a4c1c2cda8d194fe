package hop

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jaypitch/jaypitch"
)

// ErrStream is part of the error of a response whose stream broke off, unlike one whose client can't be written to.
var ErrStream = errors.New("the stream of the response broke off")

// streamReader marks the errors of a stream with ErrStream.
type streamReader struct{ jaypitch.Stream }

// writeStream writes a response with a stream. Without a limit of time, a client that doesn't read would hold the server's slot and the bytes in
// flight for as long as it likes, so writes fail from StreamUntil on. An error means that the response is truncated.
func writeStream(w http.ResponseWriter, status int, r *jaypitch.MeshResponse) error {
	c := http.NewResponseController(w)
	if r.Length > 0 {
		w.Header()[headerLength] = []string{strconv.FormatInt(r.Length, 10)}
	}
	if r.Download {
		w.WriteHeader(status)
		return copyDownload(w, streamReader{r.Stream}, r.StreamUntil)
	}
	limited := !r.StreamUntil.IsZero() && c.SetWriteDeadline(r.StreamUntil) == nil
	w.WriteHeader(status)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if _, err := io.Copy(w, streamReader{r.Stream}); err != nil || !limited {
		return err
	}
	// The connection is used again, so the rest of this response is sent before the limit ends.
	if err := c.Flush(); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// Read reads from the stream.
func (s streamReader) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Join(ErrStream, err)
	}
	return n, err
}
