package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// startStore is a store with a server for each host. It counts requests and has pages of startPage entries. It refuses the hosts for which refuses
// returns true.
type startStore struct {
	servers []*schema.MeshServer
	refuses func(host int) bool
	// registersAt is when the first server registers, registersEvery the time until the next one does. Both are zero if all have registered.
	registersAt    time.Time
	registersEvery time.Duration

	mu       sync.Mutex
	requests int
}

// startSource is the store as one host reads it.
type startSource struct {
	store *startStore
	host  int
}

// startHost is a host whose sidecar has just started. Its watcher is the real one; its polls of others go from replica to replica.
type startHost struct {
	fleet        *startFleet
	address      string
	replica      *mesh.Replica
	confirmation *confirmation
	watcher      *watcher
	readyAt      time.Time
}

// startFleet is a number of hosts that start at the same time.
type startFleet struct {
	store *startStore
	hosts map[string]*startHost
}

const (
	startPage     = 50
	startResponse = 4 * time.Millisecond
	// startTime is the time within which all hosts are to be ready.
	startTime = 2 * time.Second
)

var errStartRefused = errors.New("the store refuses this host")

func (s *startSource) request(ctx context.Context) error {
	s.store.mu.Lock()
	s.store.requests++
	s.store.mu.Unlock()
	_ = jaypitch.Sleep(ctx, startResponse)
	if s.store.refuses(s.host) {
		return errStartRefused
	}
	return ctx.Err()
}

// registered returns the servers that have registered.
func (s *startStore) registered() []*schema.MeshServer {
	if s.registersEvery == 0 {
		return s.servers
	}
	n := 1 + int(time.Since(s.registersAt)/s.registersEvery)
	return s.servers[:max(0, min(n, len(s.servers)))]
}

// Read returns the servers in pages.
func (s *startSource) Read(ctx context.Context, proceed func(jaypitch.MeshUpdate) bool) (jaypitch.MeshUpdate, error) {
	all := s.store.registered()
	for n := startPage; ; n += startPage {
		if err := s.request(ctx); err != nil {
			return jaypitch.MeshUpdate{}, err
		}
		u := jaypitch.MeshUpdate{Config: &schema.MeshConfig{Version: 1}, Servers: all[:min(n, len(all))]}
		switch {
		case n >= len(all):
			u.Full, u.Revision = true, 1+int64(len(all))
			return u, nil
		case n == startPage && !proceed(u):
			return u, nil
		}
	}
}

// Watch waits until another server has registered.
func (s *startSource) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.MeshUpdate, error) {
	if err := s.request(ctx); err != nil {
		return jaypitch.MeshUpdate{}, err
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if all := s.store.registered(); 1+int64(len(all)) > after {
			return jaypitch.MeshUpdate{Revision: 1 + int64(len(all)), Servers: all[after-1:]}, nil
		}
		_ = jaypitch.Sleep(ctx, startResponse)
	}
	return jaypitch.MeshUpdate{Revision: after}, ctx.Err()
}

func newStartFleet(hosts int, refuses func(host int) bool) *startFleet {
	f := &startFleet{store: &startStore{refuses: refuses}, hosts: map[string]*startHost{}}
	for i := range hosts {
		address := fmt.Sprintf("10.0.%d.%d:80", i/100, i%100)
		f.store.servers = append(f.store.servers, &schema.MeshServer{Id: fmt.Sprintf("i-%04d", i), Service: "x", Address: address, Slots: 1, Revision: int64(i + 2)})
	}
	for i, v := range f.store.servers {
		h := &startHost{fleet: f, address: v.GetAddress(), replica: mesh.NewReplica(), confirmation: &confirmation{now: time.Now}}
		f.hosts[h.address] = h
		c := &Sidecar{now: time.Now, replica: h.replica}
		c.settings.Store(&schema.SidecarSettings{Sidecar: &schema.SidecarSection{Backend: h.address}})
		h.watcher = &watcher{source: &startSource{store: f.store, host: i}, merge: h.merge, position: h.replica.Position, confirmation: h.confirmation,
			isReader: c.isReader, seeded: func() bool { return true }, starting: c.starting, readsAllPages: c.readsAllPages, triggered: make(chan struct{}, 1), now: time.Now, maxWait: 10 * time.Second, log: zap.NewNop()}
	}
	return f
}

func (h *startHost) merge(u jaypitch.MeshUpdate, _ string) mesh.Change {
	return h.replica.Merge(u, time.Now())
}

// run polls random hosts until the replica is complete, as peerPoller does.
func (h *startHost) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, ageCheckInterval)
		if h.readyAt.IsZero() && h.replica.Revision() > 0 {
			h.readyAt = time.Now()
		}
		if h.confirmation.age() <= staleAge {
			continue
		}
		for _, address := range h.peers() {
			h.poll(h.fleet.hosts[address])
		}
	}
}

// peers returns the addresses of a few hosts: random ones, or those of the first servers of the store, as seeds, if none is known.
func (h *startHost) peers() []string {
	var all []string
	for _, v := range h.replica.Table().Servers {
		all = append(all, v.GetAddress())
	}
	if len(all) == 0 {
		for _, v := range h.fleet.store.servers[:peersPolled] {
			all = append(all, v.GetAddress())
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(peersPolled, len(all))]
}

func (h *startHost) poll(peer *startHost) {
	age := peer.confirmation.age()
	u, e := h.replica.UpdateFrom(peer.replica.ChangesSince(h.replica.Position(), h.replica.Table().Version))
	if e == nil && u.Revision > 0 {
		h.merge(u, "")
		h.confirmation.confirm(time.Now().Add(-age))
	}
}

// start runs all hosts for a time. It returns the number of requests to the store and the time at which the last host held the whole state.
func (f *startFleet) start(d time.Duration) (requests int, last time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	began := time.Now()
	for _, h := range f.hosts {
		_ = jaypitch.Sleep(ctx, rand.N(time.Millisecond)) // 0.3 s from the first to the last
		go h.watcher.run(ctx)
		go h.run(ctx)
	}
	<-ctx.Done()
	synctest.Wait()
	for _, h := range f.hosts {
		if h.readyAt.IsZero() {
			return f.store.requests, d
		}
		last = max(last, h.readyAt.Sub(began))
	}
	return f.store.requests, last
}

// TestStartReadsStoreForEachHost guards against a start of the whole fleet whose requests to the store grow with hosts times entries, and against
// one that takes longer when the store refuses some of the hosts.
func TestStartReadsStoreForEachHost(t *testing.T) {
	for name, c := range map[string]struct {
		hosts       int
		refuses     func(host int) bool
		maxRequests int
	}{
		"295 hosts":                 {295, func(int) bool { return false }, 295 * 5 / 4},
		"150 hosts":                 {150, func(int) bool { return false }, 150 * 5 / 4},
		"a few hosts":               {10, func(int) bool { return false }, 40},
		"the store refuses a third": {295, func(host int) bool { return host%3 == 0 }, 600},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStartFleet(c.hosts, c.refuses)
				requests, last := f.start(startTime + time.Second)
				t.Logf("%d requests, last host after %s", requests, last)
				is.True(requests <= c.maxRequests)
				is.True(last <= startTime)
			})
		})
	}
}

// TestFirstStartWatchesForEachServer guards against sidecars that all start before any server has registered, and request the store again for each
// server that does.
func TestFirstStartWatchesForEachServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 100
		f := newStartFleet(hosts, func(int) bool { return false })
		f.store.registersAt = time.Now().Add(900 * time.Millisecond)
		f.store.registersEvery = 12 * time.Millisecond
		for _, h := range f.hosts {
			h.watcher.seeded = func() bool { return false }
		}
		requests, last := f.start(startTime + 2*time.Second)
		t.Logf("%d requests, last host after %s", requests, last)
		is.True(requests <= 2*hosts)
	})
}
