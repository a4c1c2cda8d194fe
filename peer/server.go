package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
	"github.com/jaypitch/jaypitch/settings"
)

// LocalNode is what a node knows of itself.
type LocalNode interface {
	// Sender identifies this process and says how far its state may be trusted.
	Sender() *schema.Sender
	// ConfirmationChanged returns a channel that is closed when Sender may say otherwise whether it is confirmed.
	ConfirmationChanged() <-chan struct{}
	// Find answers what this host knows of a subject.
	Find(s *schema.Subject) evidence.Finding
	// Unlisted returns hosts that asked this node and are absent from the host list.
	Unlisted() []*schema.Target
	// BurnCounts returns the service-level counts of this host.
	BurnCounts() []burn.Count
	// StopSending returns once no call is being sent to a process that is about to end, and none will be.
	StopSending(ctx context.Context, s *schema.Sender) error
	// RecordPeer notes that another node asked.
	RecordPeer(s *schema.Sender)
}

// Server answers the control calls of other nodes.
type Server struct {
	local   LocalNode
	store   *settings.Replica
	clients *Clients
	now     func() time.Time
	budget  *rate.Limiter

	mu      sync.Mutex
	waiting int
}

const (
	// wholeBytesPerSecond is the rate at which whole bodies are given out, so that a herd of joiners doesn't hold up others.
	wholeBytesPerSecond = 8 << 20
	wholeBurstBytes     = 16 << 20
	maxWait             = time.Minute
	maxItems            = 4096
	// leaveWait bounds the wait for the calls that are being sent to a process that is about to end.
	leaveWait = 2 * time.Second
)

var _ schemaconnect.PeerHandler = (*Server)(nil)

// NewServer makes the control side of a node.
func NewServer(local LocalNode, store *settings.Replica, clients *Clients, now func() time.Time) *Server {
	return &Server{local: local, store: store, clients: clients, now: now, budget: rate.NewLimiter(wholeBytesPerSecond, wholeBurstBytes)}
}

// Poll waits until this node holds something newer than the cursor. An unknown cursor is answered
// at once with everything held, or with nothing if both hold the same.
func (s *Server) Poll(ctx context.Context, r *connect.Request[schema.PollRequest]) (*connect.Response[schema.PollResponse], error) {
	s.local.RecordPeer(r.Msg.GetSender())
	known := r.Msg.GetProcess() == s.local.Sender().GetProcess()
	if !known {
		versions, cursor, digest := s.store.ChangedSince(0)
		full := digest != r.Msg.GetSender().GetStateDigest()
		if !full {
			versions = nil
		}
		return connect.NewResponse(&schema.PollResponse{Sender: s.local.Sender(), Cursor: cursor, Full: full, Versions: versions}), nil
	}
	s.await(ctx, r.Msg, min(time.Duration(r.Msg.GetWaitUs())*time.Microsecond, maxWait))
	versions, cursor, _ := s.store.ChangedSince(r.Msg.GetCursor())
	return connect.NewResponse(&schema.PollResponse{Sender: s.local.Sender(), Cursor: cursor, Versions: versions}), nil
}

// Fetch gives out bodies: deltas where the asker's base is still held, otherwise whole ones within the budget.
func (s *Server) Fetch(_ context.Context, r *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	out := &schema.FetchResponse{}
	if len(r.Msg.GetItems()) > maxItems {
		return nil, connect.NewError(connect.CodeInvalidArgument, jaypitch.Errorf(jaypitch.CodeTooLarge, "%d items; at most %d are allowed", len(r.Msg.GetItems()), maxItems))
	}
	for _, i := range r.Msg.GetItems() {
		b, wait := s.body(i)
		if b != nil {
			out.Bodies = append(out.Bodies, b)
		}
		if wait > 0 {
			out.RetryAfterUs = max(out.GetRetryAfterUs(), wait.Microseconds())
		}
	}
	return connect.NewResponse(out), nil
}

// Exchange compares what two nodes hold.
func (s *Server) Exchange(_ context.Context, r *connect.Request[schema.ExchangeRequest]) (*connect.Response[schema.ExchangeResponse], error) {
	s.local.RecordPeer(r.Msg.GetSender())
	versions, _, digest := s.store.ChangedSince(0)
	out := &schema.ExchangeResponse{Sender: s.local.Sender(), Same: digest == r.Msg.GetSender().GetStateDigest()}
	if !out.GetSame() {
		out.Versions = versions
	}
	return connect.NewResponse(out), nil
}

// Evidence answers for this host and gathers the answers of the other targets.
func (s *Server) Evidence(ctx context.Context, r *connect.Request[schema.EvidenceRequest]) (*connect.Response[schema.EvidenceResponse], error) {
	return connect.NewResponse(s.GatherEvidence(ctx, r.Msg)), nil
}

// Burn answers for this host and gathers the counts of the other targets.
func (s *Server) Burn(ctx context.Context, r *connect.Request[schema.BurnRequest]) (*connect.Response[schema.BurnResponse], error) {
	return connect.NewResponse(s.GatherBurn(ctx, r.Msg)), nil
}

// Leave promises that no further call is sent to a process that is about to end.
func (s *Server) Leave(ctx context.Context, r *connect.Request[schema.LeaveRequest]) (*connect.Response[schema.LeaveResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if err := s.local.StopSending(ctx, r.Msg.GetSender()); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&schema.LeaveResponse{}), nil
}

// AnnounceLeave tells the nodes at the addresses that this process is about to end, and waits for their promises.
func (s *Server) AnnounceLeave(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		l := &leaver{client: s.clients.To(a), sender: s.local.Sender(), wg: &wg}
		wg.Add(1)
		go l.run(ctx)
	}
	wg.Wait()
}

// leaver tells one node that this process is about to end.
type leaver struct {
	client schemaconnect.PeerClient
	sender *schema.Sender
	wg     *sync.WaitGroup
}

func (l *leaver) run(ctx context.Context) {
	defer l.wg.Done()
	_, _ = l.client.Leave(ctx, connect.NewRequest(&schema.LeaveRequest{Sender: l.sender}))
}

// await blocks until the store changes after the cursor, the wait ends or the asker leaves. An asker that isn't
// confirmed is answered as soon as this node is, so that confirmation runs down the tree without a wait.
func (s *Server) await(ctx context.Context, r *schema.PollRequest, wait time.Duration) {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	var trust <-chan struct{}
	for {
		changed, sequence := s.store.Changed()
		if sequence != r.GetCursor() {
			return
		}
		if !r.GetSender().GetConfirmed() && !r.GetParentConfirmed() {
			trust = s.local.ConfirmationChanged()
			if s.local.Sender().GetConfirmed() {
				return
			}
		}
		select {
		case <-changed:
		case <-trust:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) body(i *schema.FetchItem) (*schema.Body, time.Duration) {
	e, ok := s.store.Entry(i.GetKey())
	if !ok || e.Document.Revision < i.GetRevision() {
		return nil, 0
	}
	v := e.Version()
	v.RefusedRevision, v.RefusedCode, v.RefusedReason = 0, 0, ""
	if e.Document.Deleted {
		return &schema.Body{Version: v}, 0
	}
	if d, ok := digestOf(i.GetBaseDigest()); ok {
		if base, ok := s.store.Base(i.GetKey(), d); ok {
			return &schema.Body{Version: v, BaseDigest: i.GetBaseDigest(), Pieces: settings.Diff(base, e.Document.Text)}, 0
		}
	}
	take := s.budget.ReserveN(s.now(), len(e.Document.Text))
	if wait := take.DelayFrom(s.now()); wait > 0 {
		take.CancelAt(s.now())
		return nil, wait
	}
	return &schema.Body{Version: v, Text: e.Document.Text}, 0
}

// OpenPolls returns how many peers wait in long polls.
func (s *Server) OpenPolls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

func digestOf(b []byte) (jaypitch.Digest, bool) {
	var d jaypitch.Digest
	if len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
