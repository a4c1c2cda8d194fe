package node

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
)

// clientGate implements caller.Gate for the requests of clients.
type clientGate struct{ node *Node }

// AwaitReady waits until the node may accept requests. It returns false if that takes longer than readyTimeout, or if the context ends.
func (n *Node) AwaitReady(ctx context.Context) bool {
	return n.confirmation.awaitReady(ctx)
}

// BeginRequest counts a request to the backend server. It returns false if the backend server takes no new requests.
func (n *Node) BeginRequest() bool {
	return n.lifecycle.enterBackend()
}

// EndRequest ends a request that BeginRequest counted.
func (n *Node) EndRequest() {
	n.lifecycle.leaveBackend()
}

// Stopping reports whether the backend server takes no new requests.
func (n *Node) Stopping() bool {
	return n.lifecycle.backendStopping()
}

// BackendDraining records that the backend server reports that it is draining.
func (n *Node) BackendDraining() {
	n.lifecycle.set(StopBackend, true)
}

// CatchUp synchronizes this node with a sender that holds a newer revision of a team's document. It takes at most catchUpTimeout.
func (n *Node) CatchUp(ctx context.Context, sender, team string, revision int64) {
	h := n.replica.Table().Host(sender)
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := n.poller.Sync(ctx, h.Address); err != nil {
		n.log.Debug("synchronization with a sender that holds a newer revision failed", zap.String("sender", sender), zap.String("team", team), zap.Int64("revision", revision), zap.Error(err))
	}
	n.apply()
}

// peerSync synchronizes the node with one peer.
type peerSync struct {
	node    *Node
	address string
}

// syncInBackground starts a synchronization with a host that holds newer settings than this node.
func (n *Node) syncInBackground(host string) {
	if h := n.replica.Table().Host(host); h != nil {
		s := &peerSync{n, h.Address}
		go s.run()
	}
}

func (s *peerSync) run() {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	_ = s.node.poller.Sync(ctx, s.address)
}

// AwaitReady does the same as Node.AwaitReady.
func (g *clientGate) AwaitReady(ctx context.Context) bool {
	return g.node.confirmation.awaitReady(ctx)
}

// BeginRequest counts a request of a client. It returns false if the node is stopping.
func (g *clientGate) BeginRequest() bool {
	return g.node.lifecycle.enterClient()
}

// EndRequest ends a request that BeginRequest counted.
func (g *clientGate) EndRequest() {
	g.node.lifecycle.leaveClient()
}

// Sender returns the identity of this process, the digest of its state, and whether the state is confirmed.
func (n *Node) Sender() *schema.Sender {
	return &schema.Sender{Host: n.settings.GetNode().GetHost(), Process: n.process, Confirmed: n.confirmation.confirmed(),
		StateDigest: n.replica.Digest(), SourceAgeUs: toMicros(n.confirmation.sourceAge()), Draining: n.lifecycle.backendStopping()}
}

// ConfirmationChanged returns a channel that is closed when the Confirmed field of Sender may have changed.
func (n *Node) ConfirmationChanged() <-chan struct{} {
	return n.confirmation.onChange()
}

// RecordRequester records that another node sent a control request.
func (n *Node) RecordRequester(s *schema.Sender) {
	n.addRequester(s.GetHost())
}

func (n *Node) addRequester(host string) {
	n.requestersMu.Lock()
	defer n.requestersMu.Unlock()
	n.requesters[host] = requester{until: n.now().Add(requesterTTL)}
}

// RecordSender records that another node sent an attempt.
func (n *Node) RecordSender(sender string) {
	n.sendersMu.Lock()
	defer n.sendersMu.Unlock()
	n.senders[sender] = n.now().Add(senderTTL)
}

// senderAddresses returns the addresses of the other hosts that sent attempts within senderTTL. Their connections may still be open.
func (n *Node) senderAddresses() []string {
	t := n.replica.Table()
	n.sendersMu.Lock()
	defer n.sendersMu.Unlock()
	var out []string
	for host, until := range n.senders {
		if h := t.Host(host); h != nil && n.now().Before(until) && host != n.settings.GetNode().GetHost() {
			out = append(out, h.Address)
		}
	}
	return out
}

// StopSending stops sending attempts to a process that is about to stop. It returns once none is being sent, or with an error when the context ends.
func (n *Node) StopSending(ctx context.Context, s *schema.Sender) error {
	return n.dispatcher.StopSending(ctx, s.GetHost(), s.GetProcess())
}

// Unlisted returns the hosts that sent control requests to this node within requesterTTL and are missing from the host lists.
func (n *Node) Unlisted() []*schema.Target {
	t := n.replica.Table()
	n.requestersMu.Lock()
	defer n.requestersMu.Unlock()
	var out []*schema.Target
	for host, h := range n.requesters {
		if n.now().After(h.until) {
			delete(n.requesters, host)
		} else if t.Host(host) == nil && host != "" {
			out = append(out, &schema.Target{Host: host})
		}
	}
	return out
}

// BurnCounts returns the service-level counts of this host.
func (n *Node) BurnCounts() []burn.Count {
	n.burnMu.Lock()
	defer n.burnMu.Unlock()
	return n.burn.Counts(n.now())
}

// Find returns this host's finding on a subject. It reads the table before it counts the requests in progress: a request that
// it doesn't count was routed with this table or a newer one.
func (n *Node) Find(s *schema.Subject) evidence.Finding {
	t := n.replica.Table()
	f := evidence.Finding{Host: n.settings.GetNode().GetHost(), Confirmed: n.confirmation.confirmed(), LastRequestUS: -1}
	since := n.started
	if s.GetTeam() != "" {
		if tt := t.Teams[s.GetTeam()]; tt != nil {
			f.Revision, f.Digest = tt.Revision, tt.Digest[:]
			since = n.replica.AppliedAt(s.GetTeam())
		}
	} else {
		f.Digest = digestOfTeams(t)
		for name := range t.Teams {
			if at := n.replica.AppliedAt(name); at.After(since) {
				since = at
			}
		}
	}
	f.SinceAppliedUS = toMicros(n.now().Sub(since))
	f.Enforced = enforced(t, s)
	if s.GetBackend() == "" && s.GetRevision() == 0 {
		inProgress, lastAt := n.tracker.Count(s)
		if !f.Enforced {
			f.InProgress = inProgress
		}
		if !lastAt.IsZero() {
			f.LastRequestUS = toMicros(n.now().Sub(lastAt))
		}
	}
	if s.GetBackend() == f.Host && !f.Enforced {
		backend, _ := n.lifecycle.inProgress()
		f.InProgress = int64(backend)
	}
	return f
}

// enforced reports whether a table still contains the subject. For a backend server that is a live host of its name, for a version an
// older revision of the team's document, else a matching route or customer.
func enforced(t *settings.Table, s *schema.Subject) bool {
	if s.GetBackend() != "" {
		h := t.Host(s.GetBackend())
		return h != nil && !h.Draining
	}
	if s.GetRevision() != 0 {
		tt := t.Teams[s.GetTeam()]
		return tt != nil && tt.Revision < s.GetRevision()
	}
	for name, tt := range t.Teams {
		if (s.GetTeam() == "" || s.GetTeam() == name) && teamServes(tt, s) {
			return true
		}
	}
	return false
}

// teamServes reports whether the team has a route that matches the subject's route and customer.
func teamServes(tt *settings.TeamTable, s *schema.Subject) bool {
	for name, r := range tt.Routes {
		if s.GetRoute() != "" && s.GetRoute() != name {
			continue
		}
		if s.GetCustomer() == "" || r.Customers[s.GetCustomer()] {
			return true
		}
	}
	return false
}

// digestOfTeams returns a digest of the revisions and texts of all teams in a table. It doesn't depend on their order.
func digestOfTeams(t *settings.Table) []byte {
	var sum uint64
	for name, tt := range t.Teams {
		sum ^= xxhash.Sum64String(name + "/" + tt.Digest.String() + "/" + strconv.FormatInt(tt.Revision, 10))
	}
	return binary.BigEndian.AppendUint64(nil, sum)
}

// onPeerMerge applies and records the full state of a peer after its merge. requestedAt is the time of the request to the peer.
func (n *Node) onPeerMerge(s *schema.Sender, requestedAt time.Time) {
	n.apply()
	n.confirmation.recordPeer(s.GetHost(), s.GetConfirmed(), fromMicros(s.GetSourceAgeUs()), n.topology.Load().OtherHostCount(), requestedAt)
}

// onSourceRead applies the full state of a collection after its merge. Once both collections were read, it records that the source was read
// at the earlier of the two requests. collection is an index into readers.
func (n *Node) onSourceRead(collection int, requestedAt time.Time) {
	n.apply()
	otherRequestedAt := n.readers[1-collection].Status().RequestedAt
	if otherRequestedAt.IsZero() {
		return
	}
	if otherRequestedAt.Before(requestedAt) {
		requestedAt = otherRequestedAt
	}
	n.confirmation.recordSource(n.topology.Load().OtherHostCount(), requestedAt)
}

// toMicros returns a duration in microseconds, or -1 if it is negative, which means unknown.
func toMicros(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Microseconds()
}
