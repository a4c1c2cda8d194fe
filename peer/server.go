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

// LocalNode gives access to the state of the node that a Server and a Poller belong to.
type LocalNode interface {
	// Sender returns the identity of this process, the digest of its state, and whether the state is confirmed.
	Sender() *schema.Sender
	// ConfirmationChanged returns a channel that is closed when the Confirmed field of Sender may have changed.
	ConfirmationChanged() <-chan struct{}
	// Find returns this host's finding on a subject.
	Find(s *schema.Subject) evidence.Finding
	// Unlisted returns the hosts that recently sent control requests to this node and are missing from the host list.
	Unlisted() []*schema.Target
	// BurnCounts returns the service-level counts of this host.
	BurnCounts() []burn.Count
	// StopSending stops sending attempts to a stopping process. It returns once none is being sent, or with an error when the context ends.
	StopSending(ctx context.Context, s *schema.Sender) error
	// RecordRequester records that another node sent a control request.
	RecordRequester(s *schema.Sender)
}

// Server handles the control requests of other nodes.
type Server struct {
	local   LocalNode
	replica *settings.Replica
	clients *Clients
	now     func() time.Time
	// fullBodies limits the rate of full bodies, in bytes per second.
	fullBodies *rate.Limiter

	mu        sync.Mutex
	openPolls int
}

const (
	// fullBodyBytesPerSecond limits the rate at which full bodies are sent, so that many nodes that start at once don't delay other traffic.
	fullBodyBytesPerSecond = 8 << 20
	fullBodyBurstBytes     = 16 << 20
	maxPollWait            = time.Minute
	maxFetchItems          = 4096
	// leaveTimeout is the maximum wait for the attempts that are being sent to a stopping process.
	leaveTimeout = 2 * time.Second
)

var _ schemaconnect.PeerHandler = (*Server)(nil)

// NewServer returns the control server of a node. It queries other nodes for evidence and counts through clients.
func NewServer(local LocalNode, replica *settings.Replica, clients *Clients, now func() time.Time) *Server {
	return &Server{local: local, replica: replica, clients: clients, now: now, fullBodies: rate.NewLimiter(fullBodyBytesPerSecond, fullBodyBurstBytes)}
}

// Poll waits until this node's state has changed since the cursor, or until the request's wait or maxPollWait ends, and returns the
// changed versions. A cursor of another process is unknown: Poll then returns all versions at once, or none if the digests of both
// states are equal.
func (s *Server) Poll(ctx context.Context, r *connect.Request[schema.PollRequest]) (*connect.Response[schema.PollResponse], error) {
	s.local.RecordRequester(r.Msg.GetSender())
	known := r.Msg.GetProcess() == s.local.Sender().GetProcess()
	if !known {
		versions, cursor, digest := s.replica.ChangedSince(0)
		full := digest != r.Msg.GetSender().GetStateDigest()
		if !full {
			versions = nil
		}
		return connect.NewResponse(&schema.PollResponse{Sender: s.local.Sender(), Cursor: cursor, Full: full, Versions: versions}), nil
	}
	s.awaitChange(ctx, r.Msg, min(time.Duration(r.Msg.GetWaitUs())*time.Microsecond, maxPollWait))
	versions, cursor, _ := s.replica.ChangedSince(r.Msg.GetCursor())
	return connect.NewResponse(&schema.PollResponse{Sender: s.local.Sender(), Cursor: cursor, Versions: versions}), nil
}

// Fetch returns bodies: a delta if this node still holds the base that the child has, otherwise the full text. For
// full texts beyond the rate limit it returns a retry-after instead.
func (s *Server) Fetch(_ context.Context, r *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	out := &schema.FetchResponse{}
	if len(r.Msg.GetItems()) > maxFetchItems {
		return nil, connect.NewError(connect.CodeInvalidArgument, jaypitch.Errorf(jaypitch.CodeTooLarge, "fetch request has %d items; at most %d are allowed", len(r.Msg.GetItems()), maxFetchItems))
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

// Exchange compares the digests of two nodes' states, and returns all versions if they differ.
func (s *Server) Exchange(_ context.Context, r *connect.Request[schema.ExchangeRequest]) (*connect.Response[schema.ExchangeResponse], error) {
	s.local.RecordRequester(r.Msg.GetSender())
	versions, _, digest := s.replica.ChangedSince(0)
	out := &schema.ExchangeResponse{Sender: s.local.Sender(), Same: digest == r.Msg.GetSender().GetStateDigest()}
	if !out.GetSame() {
		out.Versions = versions
	}
	return connect.NewResponse(out), nil
}

// Evidence responds with the result of GatherEvidence.
func (s *Server) Evidence(ctx context.Context, r *connect.Request[schema.EvidenceRequest]) (*connect.Response[schema.EvidenceResponse], error) {
	return connect.NewResponse(s.GatherEvidence(ctx, r.Msg)), nil
}

// Burn responds with the result of GatherBurn.
func (s *Server) Burn(ctx context.Context, r *connect.Request[schema.BurnRequest]) (*connect.Response[schema.BurnResponse], error) {
	return connect.NewResponse(s.GatherBurn(ctx, r.Msg)), nil
}

// Leave stops sending attempts to a stopping process. A response without error guarantees that none follow.
func (s *Server) Leave(ctx context.Context, r *connect.Request[schema.LeaveRequest]) (*connect.Response[schema.LeaveResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.local.StopSending(ctx, r.Msg.GetSender()); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&schema.LeaveResponse{}), nil
}

// AnnounceLeave sends Leave to the nodes at the addresses and waits for their responses, for leaveTimeout at most. It ignores failures.
func (s *Server) AnnounceLeave(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		l := &leaver{client: s.clients.To(a), sender: s.local.Sender(), wg: &wg}
		wg.Add(1)
		go l.run(ctx)
	}
	wg.Wait()
}

// leaver sends Leave to one node.
type leaver struct {
	client schemaconnect.PeerClient
	sender *schema.Sender
	wg     *sync.WaitGroup
}

func (l *leaver) run(ctx context.Context) {
	defer l.wg.Done()
	_, _ = l.client.Leave(ctx, connect.NewRequest(&schema.LeaveRequest{Sender: l.sender}))
}

// awaitChange blocks until the replica has changed since the cursor, the wait ends or the context is canceled. If the child isn't
// confirmed and doesn't know this node as confirmed, awaitChange also returns once this node is confirmed. So confirmation spreads down
// the tree without a wait.
func (s *Server) awaitChange(ctx context.Context, r *schema.PollRequest, wait time.Duration) {
	s.addOpenPolls(1)
	defer s.addOpenPolls(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	var confirmationChanged <-chan struct{}
	for {
		changed, sequence := s.replica.Changed()
		if sequence != r.GetCursor() {
			return
		}
		if !r.GetSender().GetConfirmed() && !r.GetParentConfirmed() {
			confirmationChanged = s.local.ConfirmationChanged()
			if s.local.Sender().GetConfirmed() {
				return
			}
		}
		select {
		case <-changed:
		case <-confirmationChanged:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// body returns the body of an item, nil if this node doesn't hold its revision. If the rate limit is exceeded, it returns nil and the time
// after which the full text can be sent.
func (s *Server) body(i *schema.FetchItem) (*schema.Body, time.Duration) {
	e, ok := s.replica.Entry(i.GetKey())
	if !ok || e.Document.Revision < i.GetRevision() {
		return nil, 0
	}
	v := e.Version()
	v.RefusedRevision, v.RefusedCode, v.RefusedReason = 0, 0, ""
	if e.Document.Deleted {
		return &schema.Body{Version: v}, 0
	}
	if d, ok := digestOf(i.GetBaseDigest()); ok {
		if base, ok := s.replica.Base(i.GetKey(), d); ok {
			return &schema.Body{Version: v, BaseDigest: i.GetBaseDigest(), Pieces: settings.Diff(base, e.Document.Text)}, 0
		}
	}
	reservation := s.fullBodies.ReserveN(s.now(), len(e.Document.Text))
	if wait := reservation.DelayFrom(s.now()); wait > 0 {
		reservation.CancelAt(s.now())
		return nil, wait
	}
	return &schema.Body{Version: v, Text: e.Document.Text}, 0
}

// OpenPolls returns the number of long polls in progress.
func (s *Server) OpenPolls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openPolls
}

func (s *Server) addOpenPolls(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openPolls += n
}

// digestOf converts a digest. It returns false if the length is wrong.
func digestOf(b []byte) (jaypitch.Digest, bool) {
	var d jaypitch.Digest
	if len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
