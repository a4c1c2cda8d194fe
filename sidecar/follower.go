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

// follower keeps the state up to date from other sidecars: it asks one that turned out to hold more, and any one when
// nothing confirmed for a while that what is held is all there is.
type follower struct {
	sidecar *Sidecar
	client  *meshpeer.Client
	ahead   chan string
	// news is signalled when the store told of a change.
	news    chan struct{}
	telling sync.WaitGroup
}

// inquiry asks one sidecar what it holds.
type inquiry struct {
	follower *follower
	address  string
	wg       *sync.WaitGroup
}

const (
	// staleFrom is the least age of the last word of the store at which a sidecar asks others, and then the store itself: a
	// change has 2 s to be in force, also if all readers have gone silent. Up to staleSpread is added by chance, so that the first
	// to ask can tell the others.
	staleFrom   = 1100 * time.Millisecond
	staleSpread = 500 * time.Millisecond
	// kicksAtOnce is how many sidecars of the fleet ask the store at one look, so that a herd that hears nothing doesn't take its rate;
	// each of them tells the others.
	kicksAtOnce = 20
	// downFrom is how many times the store has to fail in a row to count as down; kicksWhileDown of the fleet ask it then at one look,
	// seven calls a second in all.
	downFrom       = 2
	kicksWhileDown = 1
	// askedAtOnce is how many sidecars are asked at once, since some of them may be cut off.
	askedAtOnce = 3
	// toldAtOnce is how many sidecars one that reads the store lets know of a change; the rest hear of it with requests and replies.
	toldAtOnce = 3
	// readers is how many sidecars wait at the store for changes; the others hear of them from these.
	readers = 3
	// gatherPause lets changes that follow each other be asked for at once.
	gatherPause  = 20 * time.Millisecond
	followerTick = 150 * time.Millisecond
)

// heard notes what another sidecar said that it holds, with the age of its last word of the store.
func (f *follower) heard(address string, revision int64, age time.Duration) {
	c := f.sidecar
	held := c.state.Revision()
	if revision <= held {
		if age < unknownAge && revision == held {
			c.fresh.confirm(c.now().Add(-age))
		}
		return
	}
	select {
	case f.ahead <- address:
	default:
	}
}

func (f *follower) run(ctx context.Context) {
	c := f.sidecar
	t := time.NewTicker(followerTick)
	defer t.Stop()
	defer f.telling.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-f.ahead:
			time.Sleep(gatherPause)
			f.ask(ctx, address)
		case <-f.news:
			f.tell(ctx)
		case <-t.C:
			if c.fresh.age() > staleFrom+rand.N(staleSpread) {
				f.refresh(ctx)
			}
		}
	}
}

// announce lets a few others know that the store told of a change: a question bears the revision that the asker holds.
func (f *follower) announce() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// tell asks a few others and doesn't wait for them, since some may be cut off.
func (f *follower) tell(ctx context.Context) {
	for _, address := range f.others(toldAtOnce) {
		f.telling.Add(1)
		go (&inquiry{follower: f, address: address, wg: &f.telling}).run(ctx)
	}
}

// refresh asks a few other sidecars at once, and the store itself if none of them knows more.
func (f *follower) refresh(ctx context.Context) {
	c := f.sidecar
	var wg sync.WaitGroup
	for _, address := range f.others(askedAtOnce) {
		wg.Add(1)
		go (&inquiry{follower: f, address: address, wg: &wg}).run(ctx)
	}
	wg.Wait()
	if c.fresh.age() > staleFrom && rand.Float64()*float64(c.state.Table().HostCount()) < kicks(c.watcher.failed()) {
		c.watcher.kick()
	}
}

// kicks is how many sidecars of the fleet ask the store at one look. Once it has failed here twice it is most likely down for all, and
// one that sees its return tells the others.
func kicks(failures int) float64 {
	if failures >= downFrom {
		return kicksWhileDown
	}
	return kicksAtOnce
}

func (i *inquiry) run(ctx context.Context) {
	defer i.wg.Done()
	i.follower.ask(ctx, i.address)
}

// ask merges what a sidecar holds.
func (f *follower) ask(ctx context.Context, address string) {
	c := f.sidecar
	asked := c.now()
	m, err := f.client.ChangesSince(ctx, address, c.state.Revision(), c.state.Table().Version)
	if err != nil {
		if c.budget.Allow("peer", asked) {
			c.log.Info("sidecar gives no answer", zap.String("peer", address), zap.Error(err))
		}
		return
	}
	u, e := c.state.UpdateFrom(m)
	if e != nil {
		c.log.Warn("difference refused", zap.String("peer", address), zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
		return
	}
	if u.Revision == 0 || u.Revision < c.state.Revision() {
		return
	}
	c.merge(u, address)
	if m.GetSourceAgeUs() < unknownAge.Microseconds() {
		c.fresh.confirm(asked.Add(-micros(m.GetSourceAgeUs())))
	}
}

// others returns the addresses of some sidecars beside random servers, or of those that the settings name while no server is known.
func (f *follower) others(n int) []string {
	var all []string
	own := f.sidecar.settings.Load().GetSidecar().GetBackend()
	for _, v := range f.sidecar.state.Table().Servers {
		if v.GetAddress() != own {
			all = append(all, f.sidecar.peerAddress(v.GetAddress()))
		}
	}
	if len(f.sidecar.state.Table().Servers) == 0 {
		for _, s := range f.sidecar.settings.Load().GetSidecar().GetSeeds() {
			all = append(all, f.sidecar.peerAddress(s))
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// reads says whether this sidecar is one of those that wait at the store: the first by a hash of their servers' addresses.
func reads(t *mesh.Table, own string) bool {
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
	for i := range min(readers, len(hosts)) {
		if hosts[i].address == own {
			return true
		}
	}
	return len(hosts) < readers
}

// peerAddress is where the sidecar beside the server at an address listens for others.
func (c *Sidecar) peerAddress(server string) string {
	a, err := netip.ParseAddrPort(server)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), c.peerPort).String()
}
