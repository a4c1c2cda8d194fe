package sidecar

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/meshpeer"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/standin"
)

// outage is a sidecar with a store that can be silent. The store lists servers 1, beside the sidecar, and 2.
type outage struct {
	store   *standin.SilentSource
	sidecar *Sidecar
	// heard is true if another sidecar tells that the store has confirmed the replica.
	heard bool
}

const (
	silentTime = 4500 * time.Millisecond
	// silentTimeout is how long a request to a silent store takes, in addition to its wait. It is that of platform.Client.
	silentTimeout = time.Second
	// drainTime is how long after its removal a server may get requests.
	drainTime = 2 * time.Second
	pollTime  = time.Millisecond
)

// newOutageSidecar returns a sidecar that has a store and doesn't run.
func newOutageSidecar(t *testing.T, store jaypitch.MeshSource) *Sidecar {
	t.Helper()
	is := is.New(t)
	text := "[sidecar]\nhost = a\ndata_centre = z\nservice = x\nbackend = 10.0.0.1:80\n[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nready = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n"
	s, problems := settings.ParseSidecar("test", []byte(text))
	is.Equal(len(problems), 0)
	source := func(string, func() time.Time, func(*jaypitch.Error)) jaypitch.MeshSource { return store }
	c, err := New(s, func() (*schema.SidecarSettings, error) { return nil, nil }, Platform{HeaderNames: platform.HeaderNames, NewSource: source, DecodeNotice: platform.DecodeNotice},
		zap.NewNop(), func() int64 { return 0 })
	is.NoErr(err)
	return c
}

// run plays a test in virtual time, with a sidecar that watches the store.
func (o *outage) run(t *testing.T, play func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		o.store = standin.NewSilentSource(silentTimeout)
		o.store.List("1")
		o.store.List("2")
		c := newOutageSidecar(t, o.store)
		o.sidecar = c
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.watcher.run(ctx)
		go (&ticker{sidecar: c}).run(ctx)
		time.Sleep(4 * time.Second)
		o.assertInUse(t, "1", "2")
		play(t)
		cancel()
		synctest.Wait()
	})
}

// silence makes the store silent for a time, which begins while a watch waits.
func (o *outage) silence(d time.Duration) {
	o.awaitWatch()
	o.store.SetSilent(true)
	time.Sleep(d)
	o.store.SetSilent(false)
}

// awaitWatch waits until the store has a watch of the sidecar that it will respond to.
func (o *outage) awaitWatch() {
	for o.store.Waiting() == 0 {
		o.hear()
		time.Sleep(pollTime)
	}
	time.Sleep(10 * time.Millisecond)
}

// hear passes on what another sidecar tells, if one does.
func (o *outage) hear() {
	if o.heard {
		o.sidecar.peerPoller.recordPosition("peer", o.sidecar.replica.Position(), 0)
	}
}

func (o *outage) assertInUse(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	is.New(t).Equal(slices.Sorted(maps.Keys(o.sidecar.replica.Table().Servers)), want)
}

// TestRemovalAfterOutage guards against requests to a removed server later than drainTime, since an outage of the store counts as lasting until this
// sidecar notices its end.
func TestRemovalAfterOutage(t *testing.T) {
	for name, heard := range map[string]bool{"no other sidecar has heard the store": false, "another sidecar has heard the store": true} {
		t.Run(name, func(t *testing.T) {
			o := &outage{}
			o.run(t, func(t *testing.T) {
				o.silence(silentTime)
				o.heard = heard
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					o.hear()
				}
				o.awaitWatch()
				o.store.Remove("2")
				if heard {
					time.Sleep(10 * time.Millisecond)
					o.assertInUse(t, "1")
				}
				time.Sleep(drainTime)
				o.assertInUse(t, "1")
			})
		})
	}
}

// TestRemovalAfterAnyOutage is TestRemovalAfterOutage for a sidecar that hears of the store from no other: it has to notice the end of an outage before
// the store counts as stable again, whatever request was lost.
func TestRemovalAfterAnyOutage(t *testing.T) {
	const stableTime = 3 * time.Second
	for d := 2 * time.Second; d < 12*time.Second; d += 270 * time.Millisecond {
		t.Run(d.String(), func(t *testing.T) {
			o := &outage{}
			o.run(t, func(t *testing.T) {
				o.silence(d)
				time.Sleep(stableTime)
				o.store.Remove("2")
				time.Sleep(drainTime)
				o.assertInUse(t, "1")
			})
		})
	}
}

// TestEntryExpiredInOutage guards against a live server that is out of use after an outage of the store, though it writes its entry again in time: the
// outage is as long as it was, also if this sidecar noticed only its end.
func TestEntryExpiredInOutage(t *testing.T) {
	for name, d := range map[string]time.Duration{"noticed near its end": 2300 * time.Millisecond, "noticed before its end": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			o := &outage{}
			o.run(t, func(t *testing.T) {
				o.awaitWatch()
				o.store.SetSilent(true)
				time.Sleep(d - time.Second)
				o.store.Remove("2")
				time.Sleep(time.Second)
				o.store.SetSilent(false)
				for o.sidecar.replica.Revision() < o.store.Changes(0).Revision {
					o.assertInUse(t, "1", "2")
					time.Sleep(pollTime)
				}
				time.Sleep(time.Second)
				o.assertInUse(t, "1", "2")
				o.store.List("2")
				time.Sleep(3 * time.Second)
				o.assertInUse(t, "1", "2")
			})
		})
	}
}

// TestPeersDifferOnMissingServers guards against sidecars that take a server out of use which expired in an outage, since they learn of that from another
// sidecar, while the other one keeps it.
func TestPeersDifferOnMissingServers(t *testing.T) {
	for name, c := range map[string]struct {
		failed bool
		want   int
	}{"after an outage": {true, 2}, "without an outage": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			store := standin.NewSilentSource(silentTimeout)
			store.List("1")
			store.List("2")
			s, peer := newOutageSidecar(t, store), mesh.NewReplica()
			s.merge(store.Changes(0), fromStore)
			s.confirmation.confirm(now.Add(-time.Minute))
			if c.failed {
				s.confirmation.recordFailure(now.Add(-30*time.Second), now.Add(-20*time.Second))
			}
			store.Remove("2")
			peer.Merge(store.Changes(0), now)
			mux := http.NewServeMux()
			mux.Handle(meshpeer.NewHandler(peer, func() time.Duration { return 0 }, nil, nil, func(string, jaypitch.Position) {}))
			h := httptest.NewServer(mux)
			defer h.Close()
			s.peerPoller.client = meshpeer.NewClient(netip.MustParseAddr("127.0.0.1"))
			s.peerPoller.poll(context.Background(), strings.TrimPrefix(h.URL, "http://"))
			is.Equal(s.replica.Revision(), peer.Revision())
			is.Equal(len(s.replica.Table().Servers), c.want)
			is.Equal(s.replica.NextExpiry().IsZero(), !c.failed)
		})
	}
}

// TestOutage guards against removed servers that stay in use after a time without a response of the store that was no outage.
func TestOutage(t *testing.T) {
	const longer = longOutage + time.Millisecond
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		play func(c *confirmation)
		want time.Time
	}{
		"a request failed meanwhile": {func(c *confirmation) {
			c.recordFailure(start.Add(time.Second), start.Add(2*time.Second))
			c.confirm(start.Add(longer))
		}, start.Add(longer + relistTime)},
		"a request that was lost meanwhile failed later": {func(c *confirmation) {
			c.confirm(start.Add(longer))
			c.recordFailure(start.Add(-time.Second), start.Add(longer+time.Second))
		}, start.Add(longer + relistTime)},
		"no request failed": {func(c *confirmation) {
			c.recordFailure(start.Add(-2*time.Second), start.Add(-time.Second))
			c.confirm(start.Add(longer))
			c.recordFailure(start.Add(longer+time.Second), start.Add(longer+2*time.Second))
		}, time.Time{}},
		"another sidecar got responses": {func(c *confirmation) {
			c.recordFailure(start, start.Add(time.Second))
			c.confirm(start.Add(longOutage))
			c.confirm(start.Add(2 * longOutage))
		}, time.Time{}},
		"the process was paused": {func(c *confirmation) {
			c.skipPause(start.Add(time.Minute))
			c.recordFailure(start, start.Add(time.Minute))
			c.confirm(start.Add(time.Minute + time.Second))
		}, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			state := &confirmation{now: func() time.Time { return start }}
			state.confirm(start)
			c.play(state)
			is.New(t).Equal(state.relistedBy(), c.want)
		})
	}
}
