package outbound

import (
	"context"
	"io"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/transfer"
)

// links are the gates of the host's link; nil if its capacity is unknown.
type links struct {
	incoming, outgoing *transfer.Gate
}

// firstBytes is how many bytes of a download are read before its client gets the head.
const firstBytes = 4 << 10

// WithLink makes the dispatcher schedule the responses from other hosts on the host's link. The gates may be nil.
func WithLink(incoming, outgoing *transfer.Gate) Option {
	return func(d *Dispatcher) { d.links = links{incoming: incoming, outgoing: outgoing} }
}

// forward forwards a request to the sidecar on another host. A download is refused, before anything is sent, if this host's link has no room
// for its response.
func (d *Dispatcher) forward(ctx context.Context, f *jaypitch.MeshRequest, v *schema.MeshServer) *jaypitch.MeshResponse {
	var t *transfer.Transfer
	if f.Download {
		admitted, retryAfter, ok := d.links.incoming.Admit(f.Rule, f.Deadline, f.TargetDeadline)
		if !ok {
			r := jaypitch.NotExecutedResponse(jaypitch.CodeLinkFull, "the link of the sender's host has no room for the response within its target")
			r.RetryAfter = retryAfter
			return r
		}
		t = admitted
	}
	d.links.outgoing.Charge(len(f.Body) + transfer.HeadBytes)
	r := d.forwarder.Forward(ctx, d.peerAddress(v.GetAddress()), f)
	d.links.incoming.Charge(len(r.Body) + transfer.HeadBytes)
	if r.Stream == nil {
		t.EndShort(r)
		return r
	}
	if !r.Download {
		t.End(false)
		return r
	}
	length := int64(-1)
	if r.Length > 0 {
		length = r.Length
	}
	t.SetLength(length)
	r.Stream = transfer.NewStream(ctx, r.Stream, t)
	return awaitFirstBytes(ctx, r)
}

// awaitFirstBytes returns a response with a stream once its first bytes have arrived. Until then the request may be tried again and have a hedge,
// and its client can get a status.
func awaitFirstBytes(ctx context.Context, r *jaypitch.MeshResponse) *jaypitch.MeshResponse {
	first := make([]byte, firstBytes)
	n, err := r.Stream.Read(first)
	for n == 0 && err == nil {
		n, err = r.Stream.Read(first)
	}
	if n > 0 || err == io.EOF {
		r.Stream = transfer.WithPrefix(first[:n], r.Stream)
		return r
	}
	r.Discard()
	code := jaypitch.CodeAnswerCut
	if ctx.Err() != nil {
		code = jaypitch.CodeAnswerTooLate
	}
	failed := jaypitch.ExecutionUnknownResponse(code, "the response broke off before its first byte: %s", err)
	failed.LoadReport = r.LoadReport
	return failed
}
