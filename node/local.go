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

// callerGate is the gate of callers.
type callerGate struct{ node *Node }

// AwaitReady waits a bounded time until the node may take work.
func (n *Node) AwaitReady(ctx context.Context) bool {
	return n.trust.await(ctx)
}

// BeginRequest counts work for the backend server; it returns false if no new work is taken.
func (n *Node) BeginRequest() bool {
	return n.lifecycle.enterBackend()
}

// EndRequest ends what BeginRequest counted.
func (n *Node) EndRequest() {
	n.lifecycle.leaveBackend()
}

// Stopping says whether the backend server takes no new work.
func (n *Node) Stopping() bool {
	return n.lifecycle.backendStopping()
}

// BackendDraining notes that the backend server says that it is leaving.
func (n *Node) BackendDraining() {
	n.lifecycle.set(StopBackend, true)
}

// CatchUp brings this node up to a team's revision from the sender, within a bounded time.
func (n *Node) CatchUp(ctx context.Context, sender, team string, revision int64) {
	h := n.store.Table().Host(sender)
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpWait)
	defer cancel()
	if err := n.poller.Sync(ctx, h.Address); err != nil {
		n.log.Debug("catch up", zap.String("sender", sender), zap.String("team", team), zap.Int64("revision", revision), zap.Error(err))
	}
	n.apply()
}

// asker asks a host that is ahead.
type asker struct {
	node    *Node
	address string
}

// askAhead asks a host that turned out to hold newer settings.
func (n *Node) askAhead(host string) {
	if h := n.store.Table().Host(host); h != nil {
		a := &asker{n, h.Address}
		go a.run()
	}
}

func (a *asker) run() {
	ctx, cancel := context.WithTimeout(context.Background(), askBehindWait)
	defer cancel()
	_ = a.node.poller.Sync(ctx, a.address)
}

// AwaitReady waits a bounded time until the node may take work.
func (g *callerGate) AwaitReady(ctx context.Context) bool {
	return g.node.trust.await(ctx)
}

// BeginRequest counts a call; it returns false if the node is ending.
func (g *callerGate) BeginRequest() bool {
	return g.node.lifecycle.enterCaller()
}

// EndRequest ends what BeginRequest counted.
func (g *callerGate) EndRequest() {
	g.node.lifecycle.leaveCaller()
}

// Sender identifies this process and says how far its state may be trusted.
func (n *Node) Sender() *schema.Sender {
	return &schema.Sender{Host: n.settings.GetNode().GetHost(), Process: n.process, Confirmed: n.trust.confirmed(),
		StateDigest: n.store.Digest(), SourceAgeUs: micro(n.trust.sourceAge()), Draining: n.lifecycle.backendStopping()}
}

// ConfirmationChanged returns a channel that is closed when the trust in this node's state may have changed.
func (n *Node) ConfirmationChanged() <-chan struct{} {
	return n.trust.onChange()
}

// RecordPeer notes that another node asked.
func (n *Node) RecordPeer(s *schema.Sender) {
	n.hear(s.GetHost())
}

func (n *Node) hear(host string) {
	n.heardMu.Lock()
	defer n.heardMu.Unlock()
	n.heard[host] = heard{until: n.now().Add(heardLasts)}
}

// RecordSender notes that another node sent a call.
func (n *Node) RecordSender(sender string) {
	n.sendersMu.Lock()
	defer n.sendersMu.Unlock()
	n.senders[sender] = n.now().Add(sendersLast)
}

// senderAddresses returns the addresses of the hosts that sent calls lately; their connections may still be open.
func (n *Node) senderAddresses() []string {
	t := n.store.Table()
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

// StopSending returns once no call is being sent to a process that is about to end, and none will be.
func (n *Node) StopSending(ctx context.Context, s *schema.Sender) error {
	return n.dispatcher.StopSending(ctx, s.GetHost(), s.GetProcess())
}

// Unlisted returns hosts that asked this node lately and are absent from the host list.
func (n *Node) Unlisted() []*schema.Target {
	t := n.store.Table()
	n.heardMu.Lock()
	defer n.heardMu.Unlock()
	var out []*schema.Target
	for host, h := range n.heard {
		if n.now().After(h.until) {
			delete(n.heard, host)
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

// Find answers what this host knows of a subject. The table is looked at before the calls in progress
// are counted, so that a call that isn't counted can only have seen this table or a newer one.
func (n *Node) Find(s *schema.Subject) evidence.Finding {
	t := n.store.Table()
	f := evidence.Finding{Host: n.settings.GetNode().GetHost(), Confirmed: n.trust.confirmed(), LastRequestUS: -1}
	since := n.started
	if s.GetTeam() != "" {
		if tt := t.Teams[s.GetTeam()]; tt != nil {
			f.Revision, f.Digest = tt.Revision, tt.Digest[:]
			since = n.store.AppliedAt(s.GetTeam())
		}
	} else {
		f.Digest = digestOfTeams(t)
		for name := range t.Teams {
			if at := n.store.AppliedAt(name); at.After(since) {
				since = at
			}
		}
	}
	f.SinceAppliedUS = micro(n.now().Sub(since))
	f.Enforced = enforced(t, s)
	if s.GetBackend() == "" && s.GetRevision() == 0 {
		inFlight, lastAt := n.tracker.Count(s)
		if !f.Enforced {
			f.InProgress = inFlight
		}
		if !lastAt.IsZero() {
			f.LastRequestUS = micro(n.now().Sub(lastAt))
		}
	}
	if s.GetBackend() == f.Host && !f.Enforced {
		backend, _ := n.lifecycle.inProgress()
		f.InProgress = int64(backend)
	}
	return f
}

// enforced says whether a table serves the subject.
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

// digestOfTeams identifies the versions of all teams in a table.
func digestOfTeams(t *settings.Table) []byte {
	var sum uint64
	for name, tt := range t.Teams {
		sum ^= xxhash.Sum64String(name + "/" + tt.Digest.String() + "/" + strconv.FormatInt(tt.Revision, 10))
	}
	return binary.BigEndian.AppendUint64(nil, sum)
}

// onPeer notes that all that a peer holds was merged.
func (n *Node) onPeer(s *schema.Sender, askedAt time.Time) {
	n.apply()
	n.trust.peer(s.GetHost(), s.GetConfirmed(), micros(s.GetSourceAgeUs()), n.topology.Load().OtherHostCount(), askedAt)
}

// onSource notes that all that a collection of the source holds was merged.
func (n *Node) onSource(collection int, askedAt time.Time) {
	n.apply()
	other := n.readers[1-collection].Status().RequestedAt
	if other.IsZero() {
		return
	}
	if other.Before(askedAt) {
		askedAt = other
	}
	n.trust.source(n.topology.Load().OtherHostCount(), askedAt)
}

func micro(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Microseconds()
}
