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
	"github.com/jaypitch/jaypitch/spread"
)

// Poller keeps long polls to the parents of a node and exchanges digests with random peers.
type Poller struct {
	local    LocalNode
	store    *settings.Replica
	clients  *Clients
	fetcher  *Fetcher
	topology func() *spread.Topology
	onPeer   func(s *schema.Sender, askedAt time.Time)
	now      func() time.Time
	log      *zap.Logger
	wait     time.Duration
	repair   time.Duration
	parents  int

	mu       sync.Mutex
	suspects *spread.Suspects
	links    map[string]*link
	wg       sync.WaitGroup
}

// PollerOption changes a Poller that is being made.
type PollerOption func(*Poller)

// link is the long poll of one parent.
type link struct {
	poller *Poller
	parent spread.Member
	cancel context.CancelFunc

	process uint64
	cursor  uint64
	// confirmed is what the last answer of this process said.
	confirmed bool
}

// repairer exchanges digests with random peers.
type repairer struct {
	poller *Poller
}

const (
	// reviewPause is how often the choice of parents is looked at again.
	reviewPause = 200 * time.Millisecond
	// pollGrace is how long a poll may take beyond its wait.
	pollGrace       = 3 * time.Second
	exchangeTimeout = 2 * time.Second
)

// WithPollWait sets the longest wait of one long poll.
func WithPollWait(d time.Duration) PollerOption {
	return func(p *Poller) { p.wait = d }
}

// WithExchangeInterval sets the mean time between digest exchanges.
func WithExchangeInterval(d time.Duration) PollerOption {
	return func(p *Poller) { p.repair = d }
}

// WithParents sets how many parents announce to the node at once.
func WithParents(n int) PollerOption {
	return func(p *Poller) { p.parents = n }
}

// WithOnMerge sets what is called after all that a peer holds was merged.
func WithOnMerge(f func(s *schema.Sender, askedAt time.Time)) PollerOption {
	return func(p *Poller) { p.onPeer = f }
}

// NewPoller makes a poller into a store.
func NewPoller(local LocalNode, store *settings.Replica, clients *Clients, topology func() *spread.Topology, now func() time.Time, log *zap.Logger, options ...PollerOption) *Poller {
	p := &Poller{local: local, store: store, clients: clients, fetcher: NewFetcher(store), topology: topology, now: now, log: log,
		wait: 15 * time.Second, repair: 5 * time.Second, parents: 2, onPeer: func(*schema.Sender, time.Time) {}, suspects: spread.NewSuspects(), links: map[string]*link{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	r := &repairer{poller: p}
	p.wg.Add(1)
	go r.run(ctx)
	p.run(ctx)
	p.wg.Wait()
}

// IsSuspect says whether a host is suspected now.
func (p *Poller) IsSuspect(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.IsSuspect(host, p.now())
}

// Suspects returns the suspected hosts.
func (p *Poller) Suspects() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.Hosts(p.now())
}

// Parents returns the hosts that are polled.
func (p *Poller) Parents() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, l := range p.links {
		names = append(names, l.parent.Host)
	}
	return names
}

// CorruptBodies returns how many bodies didn't have their announced digest.
func (p *Poller) CorruptBodies() int64 {
	return p.fetcher.CorruptBodies()
}

// Resync asks the parents for everything again, after a pause of this process.
func (p *Poller) Resync() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		l.cancel()
		delete(p.links, address)
	}
}

// Sync compares and merges what one peer holds, by address.
func (p *Poller) Sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := p.clients.To(address)
	askedAt := p.now()
	r, err := client.Exchange(ctx, connect.NewRequest(&schema.ExchangeRequest{Sender: p.local.Sender()}))
	if err != nil {
		return err
	}
	if err := p.fetcher.Fetch(ctx, client, r.Msg.GetVersions()); err != nil {
		return err
	}
	p.onPeer(r.Msg.GetSender(), askedAt)
	return nil
}

// run keeps links to the first unsuspected parents.
func (p *Poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.review(ctx)
		_ = jaypitch.Sleep(ctx, reviewPause)
	}
}

func (p *Poller) review(ctx context.Context) {
	wanted := map[string]spread.Member{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.topology().Parents() {
		if len(wanted) < p.parents && !p.suspects.IsSuspect(m.Host, p.now()) {
			wanted[m.Address] = m
		}
	}
	for address, l := range p.links {
		if _, ok := wanted[address]; !ok {
			l.cancel()
			delete(p.links, address)
		}
	}
	for address, m := range wanted {
		if p.links[address] == nil {
			p.links[address] = p.startLink(ctx, m)
		}
	}
}

func (p *Poller) startLink(ctx context.Context, m spread.Member) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{poller: p, parent: m, cancel: cancel}
	p.wg.Add(1)
	go l.loop(ctx)
	return l
}

// loop polls one parent until it fails or is no longer wanted.
func (l *link) loop(ctx context.Context) {
	defer l.poller.wg.Done()
	for ctx.Err() == nil {
		err := l.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		l.poller.noteAnswer(l.parent.Host, err)
		if err != nil {
			l.poller.drop(l)
			return
		}
	}
}

// poll waits for news once and merges them.
func (l *link) poll(ctx context.Context) error {
	p := l.poller
	wait := p.wait/2 + rand.N(p.wait/2)
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	client := p.clients.To(l.parent.Address)
	askedAt := p.now()
	q := &schema.PollRequest{Sender: p.local.Sender(), Process: l.process, Cursor: l.cursor, WaitUs: wait.Microseconds(),
		ParentConfirmed: l.confirmed}
	r, err := client.Poll(ctx, connect.NewRequest(q))
	if err != nil {
		return err
	}
	if got := r.Msg.GetSender().GetHost(); got != l.parent.Host {
		return jaypitch.Errorf(jaypitch.CodeNotThisHost, "host %q answers at the address of %q", got, l.parent.Host)
	}
	if err := p.fetcher.Fetch(ctx, client, r.Msg.GetVersions()); err != nil {
		return err
	}
	l.confirmed = r.Msg.GetSender().GetConfirmed()
	l.process, l.cursor = r.Msg.GetSender().GetProcess(), r.Msg.GetCursor()
	p.onPeer(r.Msg.GetSender(), askedAt)
	return nil
}

func (p *Poller) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.cancel()
	if p.links[l.parent.Address] == l {
		delete(p.links, l.parent.Address)
	}
}

// noteAnswer records an answer or a failure and logs a change.
func (p *Poller) noteAnswer(host string, err error) {
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

// run exchanges digests at times spread around the mean.
func (r *repairer) run(ctx context.Context) {
	p := r.poller
	defer p.wg.Done()
	for ctx.Err() == nil {
		if jaypitch.Sleep(ctx, p.repair/2+rand.N(p.repair)) != nil {
			return
		}
		m, ok := p.topology().RandomPeer(rand.Uint64())
		if !ok {
			continue
		}
		err := p.Sync(ctx, m.Address)
		if ctx.Err() == nil {
			p.noteAnswer(m.Host, err)
		}
	}
}
