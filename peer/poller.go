package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/topology"
)

// Poller merges the changes of other nodes into a replica. It keeps long polls open at the node's parents and exchanges digests
// with random peers, which repairs what the polls missed.
type Poller struct {
	local            LocalNode
	replica          *settings.Replica
	clients          *Clients
	fetcher          *Fetcher
	topology         func() *topology.Topology
	onMerge          func(s *schema.Sender, requestedAt time.Time)
	now              func() time.Time
	log              *zap.Logger
	wait             time.Duration
	exchangeInterval time.Duration
	parents          int

	mu       sync.Mutex
	suspects *topology.Suspects
	polls    map[string]*parentPoll
	wg       sync.WaitGroup
}

// PollerOption configures a Poller.
type PollerOption func(*Poller)

// parentPoll polls one parent.
type parentPoll struct {
	poller *Poller
	parent topology.Member
	cancel context.CancelFunc

	// process and cursor are those of the last response. The cursor is valid only in that process of the parent.
	process uint64
	cursor  uint64
	// confirmed is true if the parent's state was confirmed at the last response.
	confirmed bool
}

// exchanger exchanges digests with random peers.
type exchanger struct {
	poller *Poller
}

const (
	// parentUpdateInterval is the time between two updates of the parents that are polled.
	parentUpdateInterval = 200 * time.Millisecond
	// pollGrace is how long a poll and the fetch of its versions may take beyond the wait.
	pollGrace       = 3 * time.Second
	exchangeTimeout = 2 * time.Second
)

// WithPollWait sets the maximum wait of a long poll. The wait of each poll is random, between half of d and d.
func WithPollWait(d time.Duration) PollerOption {
	return func(p *Poller) { p.wait = d }
}

// WithExchangeInterval sets the mean time between two digest exchanges.
func WithExchangeInterval(d time.Duration) PollerOption {
	return func(p *Poller) { p.exchangeInterval = d }
}

// WithParents sets how many parents are polled at the same time.
func WithParents(n int) PollerOption {
	return func(p *Poller) { p.parents = n }
}

// WithOnMerge sets a function that is called after a poll or an exchange, once the replica has merged every change of the peer. It gets the
// time of the request to the peer.
func WithOnMerge(f func(s *schema.Sender, requestedAt time.Time)) PollerOption {
	return func(p *Poller) { p.onMerge = f }
}

// NewPoller returns a Poller that merges into a replica. It polls nothing until Run.
func NewPoller(local LocalNode, replica *settings.Replica, clients *Clients, currentTopology func() *topology.Topology, now func() time.Time, log *zap.Logger, options ...PollerOption) *Poller {
	p := &Poller{local: local, replica: replica, clients: clients, fetcher: NewFetcher(replica), topology: currentTopology, now: now, log: log,
		wait: 15 * time.Second, exchangeInterval: 5 * time.Second, parents: 2, onMerge: func(*schema.Sender, time.Time) {}, suspects: topology.NewSuspects(), polls: map[string]*parentPoll{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Run polls parents and exchanges digests until the context ends.
func (p *Poller) Run(ctx context.Context) {
	e := &exchanger{poller: p}
	p.wg.Add(1)
	go e.run(ctx)
	p.run(ctx)
	p.wg.Wait()
}

// IsSuspect reports whether a host is suspected to be unresponsive.
func (p *Poller) IsSuspect(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.IsSuspect(host, p.now())
}

// Suspects returns the hosts that are suspected to be unresponsive.
func (p *Poller) Suspects() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.Hosts(p.now())
}

// Parents returns the hosts that are being polled, in no order.
func (p *Poller) Parents() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, pp := range p.polls {
		names = append(names, pp.parent.Host)
	}
	return names
}

// CorruptBodies returns the number of bodies that didn't match their announced digest or couldn't be rebuilt from a delta.
func (p *Poller) CorruptBodies() int64 {
	return p.fetcher.CorruptBodies()
}

// Resync drops the cursors of all polls, so that the parents compare their full states again. It is called after a pause of this process.
func (p *Poller) Resync() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pp := range p.polls {
		pp.cancel()
		delete(p.polls, address)
	}
}

// Sync exchanges digests with the peer at an address, and merges the peer's state if they differ.
func (p *Poller) Sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := p.clients.To(address)
	requestedAt := p.now()
	r, err := client.Exchange(ctx, connect.NewRequest(&schema.ExchangeRequest{Sender: p.local.Sender()}))
	if err != nil {
		return err
	}
	if err := p.fetcher.Fetch(ctx, client, r.Msg.GetVersions()); err != nil {
		return err
	}
	p.onMerge(r.Msg.GetSender(), requestedAt)
	return nil
}

// run updates the polled parents until the context ends.
func (p *Poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.updateParents(ctx)
		_ = jaypitch.Sleep(ctx, parentUpdateInterval)
	}
}

// updateParents starts polls of the first parents that aren't suspected, and cancels the other polls.
func (p *Poller) updateParents(ctx context.Context) {
	wanted := map[string]topology.Member{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.topology().Parents() {
		if len(wanted) < p.parents && !p.suspects.IsSuspect(m.Host, p.now()) {
			wanted[m.Address] = m
		}
	}
	for address, pp := range p.polls {
		if _, ok := wanted[address]; !ok {
			pp.cancel()
			delete(p.polls, address)
		}
	}
	for address, m := range wanted {
		if p.polls[address] == nil {
			p.polls[address] = p.startPoll(ctx, m)
		}
	}
}

func (p *Poller) startPoll(ctx context.Context, m topology.Member) *parentPoll {
	ctx, cancel := context.WithCancel(ctx)
	pp := &parentPoll{poller: p, parent: m, cancel: cancel}
	p.wg.Add(1)
	go pp.run(ctx)
	return pp
}

// run polls the parent until a poll fails or the context is canceled.
func (pp *parentPoll) run(ctx context.Context) {
	defer pp.poller.wg.Done()
	for ctx.Err() == nil {
		err := pp.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		pp.poller.recordResult(pp.parent.Host, err)
		if err != nil {
			pp.poller.removePoll(pp)
			return
		}
	}
}

// poll sends one long poll and merges the announced versions.
func (pp *parentPoll) poll(ctx context.Context) error {
	p := pp.poller
	wait := p.wait/2 + rand.N(p.wait/2)
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	client := p.clients.To(pp.parent.Address)
	requestedAt := p.now()
	q := &schema.PollRequest{Sender: p.local.Sender(), Process: pp.process, Cursor: pp.cursor, WaitUs: wait.Microseconds(),
		ParentConfirmed: pp.confirmed}
	r, err := client.Poll(ctx, connect.NewRequest(q))
	if err != nil {
		return err
	}
	if got := r.Msg.GetSender().GetHost(); got != pp.parent.Host {
		return jaypitch.Errorf(jaypitch.CodeNotThisHost, "host %q responded at the address of %q", got, pp.parent.Host)
	}
	if err := p.fetcher.Fetch(ctx, client, r.Msg.GetVersions()); err != nil {
		return err
	}
	pp.confirmed = r.Msg.GetSender().GetConfirmed()
	pp.process, pp.cursor = r.Msg.GetSender().GetProcess(), r.Msg.GetCursor()
	p.onMerge(r.Msg.GetSender(), requestedAt)
	return nil
}

func (p *Poller) removePoll(pp *parentPoll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pp.cancel()
	if p.polls[pp.parent.Address] == pp {
		delete(p.polls, pp.parent.Address)
	}
}

// recordResult records that a host responded or failed. It logs when a failure makes the host suspected and when a response ends
// the suspicion.
func (p *Poller) recordResult(host string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.suspects.IsSuspect(host, p.now())
	if err == nil {
		p.suspects.RecordResponse(host)
	} else {
		p.suspects.RecordFailure(host, p.now())
	}
	if after := err != nil; before != after {
		p.log.Info("peer", zap.String("host", host), zap.Bool("suspect", after), zap.Error(err))
	}
}

// run exchanges digests until the context ends. Each interval is random, from half to one and a half times the mean, so that the
// nodes don't exchange at the same time.
func (e *exchanger) run(ctx context.Context) {
	p := e.poller
	defer p.wg.Done()
	for ctx.Err() == nil {
		if jaypitch.Sleep(ctx, p.exchangeInterval/2+rand.N(p.exchangeInterval)) != nil {
			return
		}
		m, ok := p.topology().RandomPeer(rand.Uint64())
		if !ok {
			continue
		}
		err := p.Sync(ctx, m.Address)
		if ctx.Err() == nil {
			p.recordResult(m.Host, err)
		}
	}
}
