package hop

import (
	"io"
	"time"

	"github.com/jaypitch/jaypitch"
)

// observedBody reports now and then that bytes of a response arrive.
type observedBody struct {
	io.ReadCloser
	now        func() time.Time
	onBytes    func()
	reportedAt time.Time
}

// bytesInterval is the shortest time between two reports. Most responses take less time, and aren't reported at all.
const bytesInterval = 50 * time.Millisecond

// observeBody returns a body that reports to the request's OnBytes.
func (c *Client) observeBody(body io.ReadCloser, f *jaypitch.MeshRequest) io.ReadCloser {
	if f.OnBytes == nil {
		return body
	}
	return &observedBody{ReadCloser: body, now: c.now, onBytes: f.OnBytes, reportedAt: c.now()}
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if now := b.now(); n > 0 && now.Sub(b.reportedAt) >= bytesInterval {
		b.reportedAt = now
		b.onBytes()
	}
	return n, err
}
