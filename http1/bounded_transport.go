package http1

import "net/http"

// boundedTransport bounds the responses of a transport.
type boundedTransport struct {
	transport    *http.Transport
	maxBodyBytes int64
}

// NewBoundedTransport bounds the responses that a transport of net/http reads: their heads by 64 KiB, and their bodies by a number of bytes, after
// which reads fail with *http.MaxBytesError. Without bounds a response without end is kept until its request times out.
func NewBoundedTransport(t *http.Transport, maxBodyBytes int64) http.RoundTripper {
	t.MaxResponseHeaderBytes = maxHeadBytes
	return &boundedTransport{transport: t, maxBodyBytes: maxBodyBytes}
}

// RoundTrip sends a request and returns its response with a bounded body.
func (b *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := b.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	a.Body = http.MaxBytesReader(nil, a.Body, b.maxBodyBytes)
	return a, nil
}
