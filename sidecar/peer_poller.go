package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/meshpeer"
)

// peerPoller keeps the replica up to date from other sidecars. It polls a peer that has a newer revision, and random peers if the
// replica was not confirmed for a while.
type peerPoller struct {
	sidecar *Sidecar
	client  *meshpeer.Client
	// aheadPeers holds the address of a peer that has a newer revision.
	aheadPeers chan string
	// storeChanged is signaled when an update from the store changed the replica.
	storeChanged chan struct{}
	// background counts the polls that nobody waits for.
	background sync.WaitGroup
	// round is the latest round of polls of random peers; nil before the first one.
	round *pollRound
}

// pollRound is a number of polls at the same time.
type pollRound struct {
	polls sync.WaitGroup
	// ended is closed when all polls have ended.
	ended chan struct{}
	wg    *sync.WaitGroup
}

// peerPoll polls one sidecar.
type peerPoll struct {
	poller  *peerPoller
	address string
	wg      *sync.WaitGroup
}

const (
	// staleAge is the time since the last confirmation after which a sidecar polls peers, and then the store. A change has to be in force
	// within 2 s, even if all readers are unresponsive. A random time of up to staleAgeJitter is added, so that the sidecars that poll
	// first can update the others.
	staleAge       = 1100 * time.Millisecond
	staleAgeJitter = 500 * time.Millisecond
	// expectedStoreRequesters is the expected number of sidecars of the fleet that send a request to the store per age check. It keeps
	// a fleet that gets no confirmations within the store's request limit; each of these sidecars updates others.
	expectedStoreRequesters = 20
	// outageFailures is the number of consecutive failures after which the store counts as down. Then expectedStoreRequestersInOutage
	// sidecars of the fleet are expected to send a request per age check, which is 7 requests a second in all.
	outageFailures                  = 2
	expectedStoreRequestersInOutage = 1
	// peersPolled is how many sidecars are polled at the same time, since some may be unreachable.
	peersPolled = 3
	// pollPatience is how long a sidecar with a stale replica waits for the peers that it polls before it considers a request to the store. Peers
	// that respond do so within a few round trips.
	pollPatience = 100 * time.Millisecond
	// peersNotified is how many sidecars a reader notifies of a change. The others learn of it from requests and responses.
	peersNotified = 3
	// readerCount is how many sidecars, the readers, watch the store. The others get changes from them.
	readerCount = 3
	// peerBatchDelay delays a poll, so that one poll returns changes that follow each other closely.
	peerBatchDelay = 20 * time.Millisecond
	// ageCheckInterval is the time between two checks whether the replica is stale.
	ageCheckInterval = 150 * time.Millisecond
)

// recordPosition records the position that another sidecar reports, with the time since its last confirmation.
func (p *peerPoller) recordPosition(address string, reported jaypitch.Position, age time.Duration) {
	c := p.sidecar
	order := reported.Compare(c.replica.Position())
	if order < 0 || !c.replica.Comparable(reported) {
		return
	}
	if order == 0 {
		if age < unknownAge {
			c.confirmation.confirm(c.now().Add(-age))
		}
		return
	}
	select {
	case p.aheadPeers <- address:
	default:
	}
}

func (p *peerPoller) run(ctx context.Context) {
	c := p.sidecar
	t := time.NewTicker(ageCheckInterval)
	defer t.Stop()
	defer p.background.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-p.aheadPeers:
			time.Sleep(peerBatchDelay)
			p.poll(ctx, address)
		case <-p.storeChanged:
			p.notifyPeers(ctx)
		case <-t.C:
			if c.confirmation.age() > staleAge+rand.N(staleAgeJitter) {
				p.refresh(ctx)
			}
		}
	}
}

// signalChange makes the poller notify a few peers of a change from the store.
func (p *peerPoller) signalChange() {
	select {
	case p.storeChanged <- struct{}{}:
	default:
	}
}

// notifyPeers polls a few peers, since a poll carries the revision of the sidecar that sends it. It doesn't wait for the responses:
// some peers may be unreachable.
func (p *peerPoller) notifyPeers(ctx context.Context) {
	for _, address := range p.randomPeers(peersNotified) {
		p.background.Add(1)
		go (&peerPoll{poller: p, address: address, wg: &p.background}).run(ctx)
	}
}

// refresh polls a few peers at the same time, unless earlier polls are still in progress, and triggers a request to the store if none of them
// confirms the replica soon.
func (p *peerPoller) refresh(ctx context.Context) {
	c := p.sidecar
	if p.round == nil || p.round.hasEnded() {
		p.round = &pollRound{ended: make(chan struct{}), wg: &p.background}
		for _, address := range p.randomPeers(peersPolled) {
			p.round.polls.Add(1)
			go (&peerPoll{poller: p, address: address, wg: &p.round.polls}).run(ctx)
		}
		p.background.Add(1)
		go p.round.run()
	}
	p.round.await()
	if c.confirmation.age() > staleAge && rand.Float64()*float64(c.replica.Table().HostCount()) < storeRequesters(c.watcher.outageFailureCount()) {
		c.watcher.trigger()
	}
}

// run waits for the polls.
func (r *pollRound) run() {
	defer r.wg.Done()
	r.polls.Wait()
	close(r.ended)
}

func (r *pollRound) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// await waits until all polls have ended, but no longer than pollPatience, since some peers may be unresponsive.
func (r *pollRound) await() {
	t := time.NewTimer(pollPatience)
	defer t.Stop()
	select {
	case <-r.ended:
	case <-t.C:
	}
}

// storeRequesters returns the expected number of sidecars of the fleet that send a request to the store per age check. After
// outageFailures failures the store is most likely down for all, and a sidecar that sees its return updates the others.
func storeRequesters(failures int) float64 {
	if failures >= outageFailures {
		return expectedStoreRequestersInOutage
	}
	return expectedStoreRequesters
}

func (p *peerPoll) run(ctx context.Context) {
	defer p.wg.Done()
	p.poller.poll(ctx, p.address)
}

// poll requests the changes that a sidecar has and merges them.
func (p *peerPoller) poll(ctx context.Context, address string) {
	c := p.sidecar
	requestedAt := c.now()
	m, err := p.client.ChangesSince(ctx, address, c.replica.Position(), c.replica.Table().Version)
	if err != nil {
		if c.logBudget.Allow("peer", requestedAt) {
			c.log.Info("sidecar gives no answer", zap.String("peer", address), zap.Error(err))
		}
		return
	}
	u, e := c.replica.UpdateFrom(m)
	if e != nil {
		c.log.Warn("difference refused", zap.String("peer", address), zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
		return
	}
	if u.Revision == 0 && m.GetRevision() > 0 {
		// The sidecar is of a build that doesn't tell of evacuations, so only the store's own response takes the replica to its revision.
		c.watcher.trigger()
		return
	}
	if u.Revision == 0 || !c.replica.Comparable(u.Position()) || u.Position().Compare(c.replica.Position()) < 0 {
		return
	}
	confirmedAt := requestedAt.Add(-micros(m.GetSourceAgeUs()))
	confirmed := m.GetSourceAgeUs() < unknownAge.Microseconds()
	// An earlier time is that of a confirmation before the changes: the peer hasn't yet recorded the response of the store that brought them.
	if confirmed && c.confirmation.recordPeerResponse(confirmedAt) {
		u.EraSeenAt = confirmedAt
	}
	c.merge(u, address)
	if confirmed {
		c.confirmation.confirm(confirmedAt)
	}
}

// randomPeers returns the addresses of up to n sidecars beside random servers, or of the seeds in the settings if no server is known.
func (p *peerPoller) randomPeers(n int) []string {
	var all []string
	localAddress := p.sidecar.settings.Load().GetSidecar().GetBackend()
	for _, v := range p.sidecar.replica.Table().Servers {
		if v.GetAddress() != localAddress {
			all = append(all, p.sidecar.peerAddress(v.GetAddress()))
		}
	}
	if len(p.sidecar.replica.Table().Servers) == 0 {
		for _, s := range p.sidecar.settings.Load().GetSidecar().GetSeeds() {
			all = append(all, p.sidecar.peerAddress(s))
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// isReader reports whether the sidecar beside a server address is a reader. Readers are the first hosts in order of a hash of
// their server's address. Servers of services that the configuration doesn't name don't count: there may be no host at their address.
func isReader(t *mesh.Table, localAddress string) bool {
	type host struct {
		address string
		hash    uint64
	}
	var hosts []host
	for _, v := range t.Servers {
		if !v.GetGone() && t.Names(v.GetService()) {
			hosts = append(hosts, host{v.GetAddress(), xxhash.Sum64String(v.GetAddress())})
		}
	}
	slices.SortFunc(hosts, func(a, b host) int { return cmp.Compare(a.hash, b.hash) })
	hosts = slices.CompactFunc(hosts, func(a, b host) bool { return a.address == b.address })
	for i := range min(readerCount, len(hosts)) {
		if hosts[i].address == localAddress {
			return true
		}
	}
	return len(hosts) < readerCount
}

// peerAddress returns the peers' listen address of the sidecar beside a server, or an empty string if the address is invalid.
func (c *Sidecar) peerAddress(server string) string {
	a, err := netip.ParseAddrPort(server)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), c.peerPort).String()
}
