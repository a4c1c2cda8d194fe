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

// gathering asks hosts down a tree: each relay gets a part of the targets, and answers for all of it.
// What a relay leaves unanswered is asked again without it.
type gathering struct {
	clients *Clients
	now     func() time.Time
	wg      sync.WaitGroup
	// ask puts the question to the first of the targets.
	ask func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error
	// silent records that a host gave no answer.
	silent func(host, reason string)
}

// branch is the part of a gathering that one relay answers for.
type branch struct {
	gathering *gathering
	targets   []*schema.Target
}

const (
	// minBranches is the least fan-out of a gathering; at larger sizes it is the square root, for a tree of two levels.
	minBranches = 8
	// relayShare is the part of the time left that a relay may use.
	relayShare = 0.6
)

// GatherEvidence answers for this host and gathers the answers of the other targets.
func (s *Server) GatherEvidence(ctx context.Context, r *schema.EvidenceRequest) *schema.EvidenceResponse {
	var mu sync.Mutex
	f := evidence.NewAggregator(r.GetTargets())
	others := s.ownFinding(f, r)
	g := &gathering{clients: s.clients, now: s.now}
	g.ask = func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error {
		q := &schema.EvidenceRequest{Subject: r.GetSubject(), Targets: targets, TimeLeftUs: g.timeLeft(ctx).Microseconds()}
		a, err := p.Evidence(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		f.Merge(targets, a.Msg)
		return nil
	}
	g.silent = func(host, reason string) {
		mu.Lock()
		defer mu.Unlock()
		f.AddUnresponsive(host, reason)
	}
	g.all(ctx, others, time.Duration(r.GetTimeLeftUs())*time.Microsecond)
	return f.Response()
}

// GatherBurn answers for this host and gathers the counts of the other targets.
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
	g := &gathering{clients: s.clients, now: s.now}
	g.ask = func(ctx context.Context, p schemaconnect.PeerClient, targets []*schema.Target) error {
		a, err := p.Burn(ctx, connect.NewRequest(&schema.BurnRequest{Targets: targets, TimeLeftUs: g.timeLeft(ctx).Microseconds()}))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		counts = append(counts, burn.FromProto(a.Msg.GetCounts()))
		out.Silent = append(out.Silent, a.Msg.GetSilent()...)
		return nil
	}
	g.silent = func(host, _ string) {
		mu.Lock()
		defer mu.Unlock()
		out.Silent = append(out.Silent, host)
	}
	g.all(ctx, others, time.Duration(r.GetTimeLeftUs())*time.Microsecond)
	out.Counts = burn.ToProto(burn.Sum(counts...))
	return out
}

// ownFinding adds what this host knows and returns the targets that are left.
func (s *Server) ownFinding(f *evidence.Aggregator, r *schema.EvidenceRequest) []*schema.Target {
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

// all asks every target within the time and returns when each answered or was given up.
func (g *gathering) all(ctx context.Context, targets []*schema.Target, left time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, g.now().Add(left))
	defer cancel()
	g.start(ctx, targets)
	g.wg.Wait()
}

// start splits the targets among relays.
func (g *gathering) start(ctx context.Context, targets []*schema.Target) {
	branches := max(minBranches, int(math.Sqrt(float64(len(targets)))))
	size := (len(targets) + branches - 1) / branches
	for len(targets) > 0 {
		n := min(size, len(targets))
		b := &branch{gathering: g, targets: targets[:n]}
		g.wg.Add(1)
		go b.run(ctx)
		targets = targets[n:]
	}
}

// run asks the first target for all; if it fails, it alone is silent and the rest is asked without it.
func (b *branch) run(ctx context.Context) {
	g := b.gathering
	defer g.wg.Done()
	limit := time.Duration(float64(g.timeLeft(ctx)) * relayShare)
	relayCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	relay := b.targets[0]
	err := g.ask(relayCtx, g.clients.To(relay.GetAddress()), b.targets)
	if err == nil {
		return
	}
	g.silent(relay.GetHost(), err.Error())
	if ctx.Err() != nil {
		for _, t := range b.targets[1:] {
			g.silent(t.GetHost(), "the time ended before the host was asked")
		}
		return
	}
	g.start(ctx, b.targets[1:])
}

func (g *gathering) timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, d.Sub(g.now()))
}
