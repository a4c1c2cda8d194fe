package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/transfer"
)

// links are the gates of the host's link; nil if its capacity is unknown.
type links struct {
	incoming, outgoing *transfer.Gate
}

// download is a response that is passed on while the server sends it. Up to heldBytes are held, so that the slot is free again as soon as the
// server has sent the response, which may be before the link has carried it.
type download struct {
	receiver *Receiver
	request  *admit.SlotRequest
	started  time.Time
	status   int
	source   io.ReadCloser
	// ctx is that of the request at the server, cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond
	// buffer is a ring with held bytes from an offset on; nil once the stream is closed and the server's response isn't read any more.
	buffer       *[heldBytes]byte
	offset, held int
	closed       bool
	// err is the error that ended the server's response, io.EOF if it is complete; nil before.
	err error
}

const (
	// heldBytes is how many bytes are held for a download.
	heldBytes = 64 << 10
	// minReadBytes is how many bytes have to be free for a further read from the server, so that reads aren't short while the reader is slow.
	minReadBytes = 4 << 10
	// minReportedWait is the queue time of the link from which it is reported with every response, so that senders know why a probe takes longer.
	minReportedWait = 50 * time.Millisecond
)

var (
	errClosed       = errors.New("the stream was closed before its end")
	downloadBuffers = sync.Pool{New: func() any { return new([heldBytes]byte) }}
)

// WithLink makes the receiver schedule responses on the host's link. The gates may be nil.
func WithLink(incoming, outgoing *transfer.Gate) Option {
	return func(r *Receiver) { r.links = links{incoming: incoming, outgoing: outgoing} }
}

// Streams returns the number of downloads that are being read from the server.
func (r *Receiver) Streams() int {
	return int(r.streams.Load())
}

// admitTransfer accepts a download's use of the link, or returns the refusal. The transfer is nil if the response needs none.
func (l *links) admitTransfer(f *jaypitch.MeshRequest) (*transfer.Transfer, *jaypitch.MeshResponse) {
	if !f.Download || f.Local {
		return nil, nil
	}
	t, retryAfter, accepted := l.outgoing.Admit(f.Rule, f.Deadline, f.TargetDeadline)
	if accepted {
		return t, nil
	}
	response := refusal(jaypitch.Errorf(jaypitch.CodeLinkFull, "the link of the server's host has no room for the response within its target"))
	response.RetryAfter = retryAfter
	return nil, response
}

// finish charges the link with a request and its response, and makes a large response wait for its turn. It ends a transfer that isn't needed.
func (l *links) finish(ctx context.Context, f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, t *transfer.Transfer) {
	l.incoming.Charge(len(f.Body) + transfer.HeadBytes)
	l.outgoing.Charge(transfer.HeadBytes)
	if r.Stream == nil && len(r.Body) < transfer.ChunkBytes || l.outgoing == nil {
		l.outgoing.Charge(len(r.Body))
		t.EndShort(r)
		return
	}
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = -1
		if r.Length > 0 {
			length = r.Length
		}
		r.Stream = transfer.WithPrefix(r.Body, r.Stream)
	} else {
		r.Stream, r.Length = io.NopCloser(bytes.NewReader(r.Body)), length
	}
	r.Body = nil
	if t == nil {
		t = l.outgoing.Begin(f.Rule, f.TargetDeadline, length)
	} else {
		t.SetLength(length)
	}
	r.Stream = transfer.NewStream(ctx, r.Stream, t)
}

// report adds the state of the link to a load report, if it matters to the sender.
func (l *links) report(f *jaypitch.MeshRequest, report *jaypitch.MeshLoadReport) {
	if rate, wait := l.outgoing.Report(); f.Download || wait >= minReportedWait {
		report.LinkRate, report.LinkWait = rate, wait
	}
}

// stream makes the server's response the stream of a response. The slot is released once the server has sent all of it.
func (r *Receiver) stream(ctx context.Context, w *admit.SlotRequest, a *http.Response, response *jaypitch.MeshResponse, started time.Time, cancel context.CancelFunc) {
	response.ServiceTime = r.now().Sub(started)
	response.Length, response.Download = max(0, a.ContentLength), true
	r.streams.Add(1)
	d := &download{receiver: r, request: w, started: started, status: a.StatusCode, source: a.Body, ctx: ctx, cancel: cancel, buffer: downloadBuffers.Get().(*[heldBytes]byte)}
	d.changed.L = &d.mu
	response.Stream = d
	go d.run()
}

// run reads the server's response until its end, or until the stream is closed, and releases the slot.
func (d *download) run() {
	r := d.receiver
	err := d.readAll()
	if err != io.EOF && err != errClosed {
		r.observeFailure(d.ctx, err)
	}
	_ = d.source.Close()
	d.cancel()
	r.streams.Add(-1)
	switch err {
	case io.EOF:
		r.recordResult(d.request, &jaypitch.MeshResponse{Execution: jaypitch.Executed, Code: jaypitch.CodeOK, Status: d.status}, r.now().Sub(d.started))
	case errClosed:
		r.releaseSlot(d.request, 0)
	default:
		r.recordResult(d.request, jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the response was truncated: %s", err), 0)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
	d.changed.Broadcast()
	d.recycle()
}

// readAll returns io.EOF if it has read the whole response, and errClosed if the stream was closed before.
func (d *download) readAll() error {
	for {
		free := d.awaitFree()
		if free == nil {
			return errClosed
		}
		// Read doesn't touch the free part of the ring.
		n, err := d.source.Read(free)
		d.mu.Lock()
		d.held += n
		closed := d.closed
		d.changed.Broadcast()
		d.mu.Unlock()
		switch {
		case closed && err != io.EOF:
			return errClosed
		case err != nil:
			return err
		}
	}
}

// awaitFree returns a free part of the ring, once enough is free; nil once the stream is closed.
func (d *download) awaitFree() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.closed && heldBytes-d.held < minReadBytes {
		d.changed.Wait()
	}
	if d.closed {
		return nil
	}
	start := (d.offset + d.held) % heldBytes
	return d.buffer[start:min(heldBytes, start+heldBytes-d.held)]
}

// Read fails with the server's error once all that came before it has been read.
func (d *download) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.held == 0 && d.err == nil && !d.closed {
		d.changed.Wait()
	}
	switch {
	case d.closed:
		return 0, errClosed
	case d.held == 0:
		return 0, d.err
	}
	n := copy(p, d.buffer[d.offset:min(heldBytes, d.offset+d.held)])
	d.offset, d.held = (d.offset+n)%heldBytes, d.held-n
	d.changed.Broadcast()
	return n, nil
}

// Close ends the read of the server's response.
func (d *download) Close() error {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.changed.Broadcast()
	d.recycle()
	return nil
}

// recycle returns the ring to the pool once neither side uses it any more. The caller holds the lock.
func (d *download) recycle() {
	if d.closed && d.err != nil && d.buffer != nil {
		downloadBuffers.Put(d.buffer)
		d.buffer = nil
	}
}
