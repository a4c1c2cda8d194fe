package hop

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// requestBody is the body of a request from another sidecar. Its memory is reserved before it is read.
type requestBody struct {
	request *http.Request
	control *http.ResponseController
	now     func() time.Time
	budget  *memory.Budget
	forward *jaypitch.MeshRequest
	body    *memory.Body
	// until is when the whole body has to be read.
	until time.Time
}

const (
	// bodyTimeout bounds the time without any byte of a body, since the request may hold a slot meanwhile. It leaves time for a round trip within a
	// region and for one lost packet, which is retransmitted after 200 ms.
	bodyTimeout = 400 * time.Millisecond
	// maxBodyTime bounds the time for a whole body, whatever deadline the sender names. The largest one takes 77 s over the slowest link, 7 Mbit/s.
	maxBodyTime = 2 * time.Minute
	// offerBytes is the size from which a body is sent only after the receiver has admitted the request and reserved its memory. The round trip
	// costs less than sending such a body in vain.
	offerBytes = 64 << 10
	// memoryRetryAfter is the retry-after of a refusal for memory: about the time in which bodies that are in progress end.
	memoryRetryAfter = 250 * time.Millisecond
)

// read reads the body. If the sender waits for a 100 Continue, the HTTP server sends it at the first read.
func (b *requestBody) read() ([]byte, error) {
	if b.request.ContentLength == 0 {
		return nil, nil
	}
	b.until = b.now().Add(min(b.forward.Deadline.Sub(b.now()), maxBodyTime))
	claim := memory.Claim{Rank: b.forward.Rank, TimeLeft: b.forward.Deadline.Sub(b.now())}
	body, err := b.budget.ReadBody(b, b.request.ContentLength, 0, memory.ReceiverBodies, claim)
	switch {
	case errors.Is(err, memory.ErrShort):
		return nil, jaypitch.Errorf(jaypitch.CodeOverloaded, "%s", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The sender is still there, and its client as well: CodeBodyCut would close the client's connection.
		return nil, jaypitch.Errorf(jaypitch.CodeDeadline, "the body did not arrive in time")
	case err != nil:
		return nil, err
	}
	b.body = body
	return body.Data, b.control.SetReadDeadline(time.Time{})
}

// Read reads a part of the body, for which the sender has bodyTimeout.
func (b *requestBody) Read(p []byte) (int, error) {
	// The deadline is one of the connection, so it is a time of the real clock.
	if err := b.control.SetReadDeadline(time.Now().Add(min(bodyTimeout, b.until.Sub(b.now())))); err != nil {
		return 0, err
	}
	return b.request.Body.Read(p)
}

// release returns the memory of the body.
func (b *requestBody) release() {
	b.body.Release()
}

// refusalOf returns the refusal of a request whose body wasn't read.
func refusalOf(err error) *jaypitch.MeshResponse {
	var e *jaypitch.Error
	if !errors.As(err, &e) {
		return jaypitch.NotExecutedResponse(jaypitch.CodeBodyCut, "the request body ended early: %s", err)
	}
	r := jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	r.RetryAfter = memoryRetryAfter
	return r
}
