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

	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/meshpeer"
)

// peerPoller keeps the state up to date from other sidecars: it asks one that turned out to hold more, and any one when
// nothing confirmed for a while that what is held is all there is.
type peerPoller struct {
	sidecar    *Sidecar
	client     *meshpeer.Client
	aheadPeers chan string
	// storeChanged is signalled when the store told of a change.
	storeChanged  chan struct{}
	notifications sync.WaitGroup
}

// peerPoll asks one sidecar what it holds.
type peerPoll struct {
	poller  *peerPoller
	address string
	wg      *sync.WaitGroup
}

const (
	// staleAge is the least age of the last word of the store at which a sidecar asks others, and then the store itself: a
	// change has 2 s to be in force, also if all readers have gone silent. Up to staleSpread is added by chance, so that the first
	// to ask can tell the others.
	staleAge       = 1100 * time.Millisecond
	staleAgeJitter = 500 * time.Millisecond
	// expectedStoreRequesters is how many sidecars of the fleet ask the store at one look, so that a herd that hears nothing doesn't take its rate;
	// each of them tells the others.
	expectedStoreRequesters = 20
	// outageFailures is how many times the store has to fail in a row to count as down; kicksWhileDown of the fleet ask it then at one look,
	// seven calls a second in all.
	outageFailures                  = 2
	expectedStoreRequestersInOutage = 1
	// peersPolled is how many sidecars are asked at once, since some of them may be cut off.
	peersPolled = 3
	// peersNotified is how many sidecars one that reads the store lets know of a change; the rest hear of it with requests and replies.
	peersNotified = 3
	// readerCount is how many sidecars wait at the store for changes; the others hear of them from these.
	readerCount = 3
	// peerBatchDelay lets changes that follow each other be asked for at once.
	peerBatchDelay   = 20 * time.Millisecond
	ageCheckInterval = 150 * time.Millisecond
)

// recordRevision notes what another sidecar said that it holds, with the age of its last word of the store.
func (f *peerPoller) recordRevision(address string, revision int64, age time.Duration) {
	c := f.sidecar
	held := c.replica.Revision()
	if revision <= held {
		if age < unknownAge && revision == held {
			c.confirmation.confirm(c.now().Add(-age))
		}
		return
	}
	select {
	case f.aheadPeers <- address:
	default:
	}
}

func (f *peerPoller) run(ctx context.Context) {
	c := f.sidecar
	t := time.NewTicker(ageCheckInterval)
	defer t.Stop()
	defer f.notifications.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-f.aheadPeers:
			time.Sleep(peerBatchDelay)
			f.poll(ctx, address)
		case <-f.storeChanged:
			f.notifyPeers(ctx)
		case <-t.C:
			if c.confirmation.age() > staleAge+rand.N(staleAgeJitter) {
				f.refresh(ctx)
			}
		}
	}
}

// signalChange lets a few others know that the store told of a change: a question bears the revision that the asker holds.
func (f *peerPoller) signalChange() {
	select {
	case f.storeChanged <- struct{}{}:
	default:
	}
}

// notifyPeers asks a few others and doesn't wait for them, since some may be cut off.
func (f *peerPoller) notifyPeers(ctx context.Context) {
	for _, address := range f.randomPeers(peersNotified) {
		f.notifications.Add(1)
		go (&peerPoll{poller: f, address: address, wg: &f.notifications}).run(ctx)
	}
}

// refresh asks a few other sidecars at once, and the store itself if none of them knows more.
func (f *peerPoller) refresh(ctx context.Context) {
	c := f.sidecar
	var wg sync.WaitGroup
	for _, address := range f.randomPeers(peersPolled) {
		wg.Add(1)
		go (&peerPoll{poller: f, address: address, wg: &wg}).run(ctx)
	}
	wg.Wait()
	if c.confirmation.age() > staleAge && rand.Float64()*float64(c.replica.Table().HostCount()) < storeRequesters(c.watcher.failureCount()) {
		c.watcher.trigger()
	}
}

// storeRequesters is how many sidecars of the fleet ask the store at one look. Once it has failed here twice it is most likely down for all, and
// one that sees its return tells the others.
func storeRequesters(failures int) float64 {
	if failures >= outageFailures {
		return expectedStoreRequestersInOutage
	}
	return expectedStoreRequesters
}

func (i *peerPoll) run(ctx context.Context) {
	defer i.wg.Done()
	i.poller.poll(ctx, i.address)
}

// poll merges what a sidecar holds.
func (f *peerPoller) poll(ctx context.Context, address string) {
	c := f.sidecar
	asked := c.now()
	m, err := f.client.Held(ctx, address, c.replica.Revision(), c.replica.Table().Version)
	if err != nil {
		if c.logBudget.Allow("peer", asked) {
			c.log.Info("sidecar gives no answer", zap.String("peer", address), zap.Error(err))
		}
		return
	}
	u, e := c.replica.UpdateFrom(m)
	if e != nil {
		c.log.Warn("difference refused", zap.String("peer", address), zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
		return
	}
	if u.Revision == 0 || u.Revision < c.replica.Revision() {
		return
	}
	c.merge(u, address)
	if m.GetSourceAgeUs() < unknownAge.Microseconds() {
		c.confirmation.confirm(asked.Add(-micros(m.GetSourceAgeUs())))
	}
}

// randomPeers returns the addresses of some sidecars beside random servers, or of those that the settings name while no server is known.
func (f *peerPoller) randomPeers(n int) []string {
	var all []string
	own := f.sidecar.settings.Load().GetSidecar().GetBackend()
	for _, v := range f.sidecar.replica.Table().Servers {
		if v.GetAddress() != own {
			all = append(all, f.sidecar.peerAddress(v.GetAddress()))
		}
	}
	if len(f.sidecar.replica.Table().Servers) == 0 {
		for _, s := range f.sidecar.settings.Load().GetSidecar().GetSeeds() {
			all = append(all, f.sidecar.peerAddress(s))
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// isReader says whether this sidecar is one of those that wait at the store: the first by a hash of their servers' addresses.
func isReader(t *mesh.Table, own string) bool {
	type host struct {
		address string
		hash    uint64
	}
	var hosts []host
	for _, v := range t.Servers {
		if !v.GetGone() {
			hosts = append(hosts, host{v.GetAddress(), xxhash.Sum64String(v.GetAddress())})
		}
	}
	slices.SortFunc(hosts, func(a, b host) int { return cmp.Compare(a.hash, b.hash) })
	hosts = slices.CompactFunc(hosts, func(a, b host) bool { return a.address == b.address })
	for i := range min(readerCount, len(hosts)) {
		if hosts[i].address == own {
			return true
		}
	}
	return len(hosts) < readerCount
}

// peerAddress is where the sidecar beside the server at an address listens for others.
func (c *Sidecar) peerAddress(server string) string {
	a, err := netip.ParseAddrPort(server)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), c.peerPort).String()
}
