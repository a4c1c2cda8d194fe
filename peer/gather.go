package peer

import (
	"context"
	"math"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// gatherer queries hosts through a tree. The targets are split into branches. The first target of a branch is its relay, which
// queries the others of the branch and responds for all. If a relay fails, the rest of its branch is queried without it.
type gatherer struct {
	clients *Clients
	now     func() time.Time
	wg      sync.WaitGroup
	// query sends the request for all targets to the first of them, and merges the response.
	query func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error
	// addUnresponsive records that a host didn't respond.
	addUnresponsive func(host, reason string)
}

// branch is a part of the targets, which is queried through the first of them, the relay.
type branch struct {
	gatherer *gatherer
	targets  []*schema.Target
}

const (
	// minBranches is the minimum fan-out. For larger numbers of targets the fan-out is the square root, so that the tree has two levels.
	minBranches = 8
	// relayTimeShare is the share of the remaining time that a relay may use. The rest is left for querying its branch without it.
	relayTimeShare = 0.6
)

// GatherEvidence returns the finding of this host, if it is a target, merged with those of the other targets.
func (s *Server) GatherEvidence(ctx context.Context, r *schema.EvidenceRequest) *schema.EvidenceResponse {
	var mu sync.Mutex
	f := evidence.NewAggregator(r.GetTargets())
	others := s.addLocalFinding(f, r)
	g := &gatherer{clients: s.clients, now: s.now}
	g.query = func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error {
		q := &schema.EvidenceRequest{Subject: r.GetSubject(), Targets: targets, TimeLeftUs: g.timeLeft(ctx).Microseconds()}
		resp, err := p.Evidence(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		f.Merge(targets, resp.Msg)
		return nil
	}
	g.addUnresponsive = func(host, reason string) {
		mu.Lock()
		defer mu.Unlock()
		f.AddUnresponsive(host, reason)
	}
	g.run(ctx, others, time.Duration(r.GetTimeLeftUs())*time.Microsecond)
	return f.Response()
}

// GatherBurn returns the sum of the counts of this host, if it is a target, and of the other targets. It names the unresponsive targets.
func (s *Server) GatherBurn(ctx context.Context, r *schema.BurnRequest) *schema.BurnResponse {
	var mu sync.Mutex
	out := &schema.BurnResponse{}
	self := s.local.Sender().GetHost()
	var others []*schema.Target
	counts := [][]burn.Count{}
	for _, t := range r.GetTargets() {
		if t.GetHost() == self {
			counts = append(counts, s.local.BurnCounts())
		} else {
			others = append(others, t)
		}
	}
	g := &gatherer{clients: s.clients, now: s.now}
	g.query = func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error {
		resp, err := p.Burn(ctx, connect.NewRequest(&schema.BurnRequest{Targets: targets, TimeLeftUs: g.timeLeft(ctx).Microseconds()}))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		counts = append(counts, burn.FromProto(resp.Msg.GetCounts()))
		out.Silent = append(out.Silent, resp.Msg.GetSilent()...)
		return nil
	}
	g.addUnresponsive = func(host, _ string) {
		mu.Lock()
		defer mu.Unlock()
		out.Silent = append(out.Silent, host)
	}
	g.run(ctx, others, time.Duration(r.GetTimeLeftUs())*time.Microsecond)
	out.Counts = burn.ToProto(burn.Sum(counts...))
	return out
}

// addLocalFinding adds this host's finding, if it is a target, and its unlisted hosts. It returns the other targets.
func (s *Server) addLocalFinding(f *evidence.Aggregator, r *schema.EvidenceRequest) []*schema.Target {
	self := s.local.Sender().GetHost()
	var others []*schema.Target
	for _, t := range r.GetTargets() {
		if t.GetHost() == self {
			f.Add(s.local.Find(r.GetSubject()))
		} else {
			others = append(others, t)
		}
	}
	for _, u := range s.local.Unlisted() {
		f.AddUnlisted(u)
	}
	return others
}

// run queries the targets. It returns when each has responded or is recorded as unresponsive, at the end of timeLeft at the latest.
func (g *gatherer) run(ctx context.Context, targets []*schema.Target, timeLeft time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, g.now().Add(timeLeft))
	defer cancel()
	g.split(ctx, targets)
	g.wg.Wait()
}

// split splits the targets into branches and starts each in a goroutine.
func (g *gatherer) split(ctx context.Context, targets []*schema.Target) {
	branches := max(minBranches, int(math.Sqrt(float64(len(targets)))))
	size := (len(targets) + branches - 1) / branches
	for len(targets) > 0 {
		n := min(size, len(targets))
		b := &branch{gatherer: g, targets: targets[:n]}
		g.wg.Add(1)
		go b.run(ctx)
		targets = targets[n:]
	}
}

// run queries the branch through its relay. If that fails, only the relay is recorded as unresponsive, and the other targets are split again.
func (b *branch) run(ctx context.Context) {
	g := b.gatherer
	defer g.wg.Done()
	timeout := time.Duration(float64(g.timeLeft(ctx)) * relayTimeShare)
	relayCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	relay := b.targets[0]
	err := g.query(relayCtx, g.clients.To(relay.GetAddress()), b.targets)
	if err == nil {
		return
	}
	g.addUnresponsive(relay.GetHost(), err.Error())
	if ctx.Err() != nil {
		for _, t := range b.targets[1:] {
			g.addUnresponsive(t.GetHost(), "deadline exceeded before the host was queried")
		}
		return
	}
	g.split(ctx, b.targets[1:])
}

// timeLeft returns the time until the deadline of a context, and 0 if that has passed or there is none.
func (g *gatherer) timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, d.Sub(g.now()))
}
