// Package sidecar puts the parts of a sidecar together: one process beside each backend server of a mesh whose
// configuration is one value of the platform's store.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/hop"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/inbound"
	"github.com/jaypitch/jaypitch/logline"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/meshpeer"
	"github.com/jaypitch/jaypitch/outbound"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// Platform is what a sidecar has to know of the platform that it runs on.
type Platform struct {
	HeaderNames jaypitch.HeaderNames
	ReadyPath   string
	// NewSource reads the store at an address; refuse is told of each entry that can't be decoded.
	NewSource func(address string, now func() time.Time, refuse func(*jaypitch.Error)) jaypitch.MeshSource
}

// Sidecar is one process beside a backend server.
type Sidecar struct {
	settings atomic.Pointer[schema.SidecarSettings]
	load     func() (*schema.SidecarSettings, error)
	platform Platform
	log      *zap.Logger
	budget   *logline.Budget
	now      func() time.Time
	process  uint64

	state      *mesh.Replica
	watcher    *watcher
	follower   *follower
	fresh      *freshness
	receiver   *inbound.Receiver
	dispatcher *outbound.Dispatcher
	hop        *hop.Client
	handler    *outbound.Handler
	peers      *hop.Server
	backend    *http1.Pool
	others     *http1.Pool
	metrics    *metrics
	tracker    *evidence.Tracker
	burning    burning
	inForce    atomic.Pointer[time.Time]
	peerPort   uint16

	stopping atomic.Bool
	// endsAt is when a sidecar that stops ends at the latest; nil before.
	endsAt atomic.Pointer[time.Time]
	// unsure is when the process woke from a pause; nil once what it holds is confirmed.
	unsure atomic.Pointer[time.Time]

	wg sync.WaitGroup
}

const (
	// fromStore names the store as the source of an update; others are named by their address.
	fromStore = "store"
	// stopAnnounce is how long a sidecar that stops goes on serving: two readiness questions, one a second, and some.
	stopAnnounce = 2200 * time.Millisecond
	// stopQuiet is the time without a request after which listeners are closed.
	stopQuiet = 200 * time.Millisecond
	// stopMargin is the part of the grace time that is left for the end of the process.
	stopMargin = 500 * time.Millisecond
	// bodyShare is the part of the memory that bodies of requests may take.
	bodyShare = 8
	megabyte  = 1 << 20
)

// New makes a sidecar from checked settings; load reads them again.
func New(s *schema.SidecarSettings, load func() (*schema.SidecarSettings, error), p Platform, log *zap.Logger, dropped func() int64) (*Sidecar, error) {
	log = log.With(zap.String("node", s.GetSidecar().GetHost()))
	c := &Sidecar{load: load, platform: p, log: log, budget: logline.NewBudget(), now: time.Now, process: rand.Uint64(), state: mesh.NewReplica(), tracker: evidence.NewTracker(),
		burning: burning{counter: burn.NewCounter()}}
	c.settings.Store(s)
	c.metrics = newMetrics(c, dropped)
	listen, err := netip.ParseAddrPort(s.GetListen().GetPeers())
	if err != nil {
		return nil, eris.Wrap(err, "reading the listener for peers")
	}
	c.peerPort = listen.Port()
	c.fresh = &freshness{now: c.now}
	c.follower = &follower{sidecar: c, client: meshpeer.NewClient(listen.Addr()), ahead: make(chan string, 1), news: make(chan struct{}, 1)}
	ratio, err := strconv.ParseFloat(s.GetBounds().GetRetryRatio(), 64)
	if err != nil {
		return nil, eris.Wrap(err, "reading the retry ratio")
	}
	c.backend = http1.NewPool(c.now, http1.WithOnDial(c.metrics.dialled))
	// Others learn from the sender's address whom to ask.
	c.others = http1.NewPool(c.now, http1.WithLocalIP(listen.Addr()))
	c.receiver = inbound.NewReceiver(s.GetSidecar().GetBackend(), p.HeaderNames, c.state, c.fresh.age, c.backend, c.now, c.received)
	control := http.NewServeMux()
	control.Handle(meshpeer.NewHandler(c.state, c.fresh.age, c.find, c.burnCounts, c.heardSender))
	control.HandleFunc("GET "+hop.LifePath, func(http.ResponseWriter, *http.Request) {})
	c.peers = hop.NewServer(c.receiver, p.HeaderNames.RequestID, c.now, c.stopping.Load, c.heardSender, control)
	chooser := route.NewMeshPicker(s.GetSidecar().GetDataCentre(), rand.Float64)
	quota := route.NewMeshRetryBudget(ratio, s.GetBounds().GetRetrySlack(), micros(s.GetBounds().GetRetryWindowUs()))
	c.hop = hop.NewClient(c.others, c.now)
	c.dispatcher = outbound.NewDispatcher(s.GetSidecar().GetBackend(), c.peerAddress, c.state, c.hop, c.receiver, chooser, quota, c.now, c.passed)
	c.handler = outbound.NewHandler(c.dispatcher, c.state, p.HeaderNames, c.own, s.GetSidecar().GetMemoryMb()*megabyte/bodyShare, c.tracker, c.now, c.answered)
	c.watcher = &watcher{source: p.NewSource(s.GetStore().GetAddress(), c.now, c.refused), merge: c.merge, held: c.state.Revision, fresh: c.fresh, duty: c.reads, kicked: make(chan struct{}, 1), now: c.now,
		wait: micros(s.GetStore().GetWaitUs()), log: log}
	return c, nil
}

// Run serves until the context ends, then stops gracefully.
func (c *Sidecar) Run(ctx context.Context) error {
	listeners, err := c.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, l := range []interface{ run(context.Context) }{c.watcher, c.follower, &ticker{sidecar: c}, &reloader{sidecar: c}, &detector{sidecar: c}} {
		c.wg.Add(1)
		go (&task{wg: &c.wg, loop: l}).run(work)
	}
	servers := c.serve(work, listeners)
	s := c.settings.Load()
	c.log.Info("started", zap.String("host", s.GetSidecar().GetHost()), zap.String("service", s.GetSidecar().GetService()),
		zap.Uint64("process", c.process), zap.String("callers", s.GetListen().GetCallers()), zap.String("backend", s.GetSidecar().GetBackend()))
	<-ctx.Done()
	c.stop(servers)
	cancel()
	c.wg.Wait()
	c.log.Info("stopped", zap.Int64("requests_in_progress", c.handler.InProgress()))
	return nil
}

// stop refuses new work, ends what is in progress, and closes the listeners.
func (c *Sidecar) stop(servers []*http.Server) {
	began := c.now()
	until := began.Add(micros(c.settings.Load().GetBounds().GetGraceUs()) - stopMargin)
	c.endsAt.Store(&until)
	c.stopping.Store(true)
	c.receiver.Stop()
	c.log.Info("stopping", zap.Int64("requests_in_progress", c.handler.InProgress()))
	quietSince := began
	for c.now().Before(until) {
		time.Sleep(stopQuiet / 4)
		now := c.now()
		running, waiting, _ := c.receiver.Counts()
		if c.handler.InProgress() > 0 || running+waiting > 0 {
			quietSince = now
		}
		if now.Sub(began) > stopAnnounce && now.Sub(quietSince) > stopQuiet {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			c.log.Warn("closing a listener", zap.Error(err))
		}
	}
}

// merge takes an update in and tells what changed.
func (c *Sidecar) merge(u jaypitch.MeshUpdate, from string) mesh.Change {
	change := c.state.Merge(u, c.now())
	if change.Config {
		now := c.now()
		c.inForce.Store(&now)
		c.log.Info("version in force", zap.Int64("version", u.Config.GetVersion()), zap.Int64("revision", u.Config.GetRevision()),
			zap.Int("rules", len(u.Config.GetRules())), zap.String("from", from))
	}
	for _, v := range change.Servers {
		if !c.budget.Allow("server", c.now()) {
			continue
		}
		c.log.Info("server", zap.String("server", v.GetId()), zap.String("service", v.GetService()), zap.String("address", v.GetAddress()),
			zap.Bool("draining", v.GetDraining()), zap.Bool("gone", v.GetGone()), zap.Int64("revision", v.GetRevision()), zap.String("from", from))
	}
	if len(change.Servers) > 0 {
		c.dispatcher.Prune(c.state.Table())
	}
	if from == fromStore && (change.Config || len(change.Servers) > 0) {
		c.follower.announce()
	}
	return change
}

// reads says whether this sidecar waits at the store for changes.
func (c *Sidecar) reads() bool {
	return reads(c.state.Table(), c.settings.Load().GetSidecar().GetBackend())
}

// heardSender notes what the sender of a request holds.
func (c *Sidecar) heardSender(remote string, revision int64) {
	if revision > c.state.Revision() {
		c.follower.heard(c.peerAddress(remote), revision, unknownAge)
	}
}

// own is what the handler has to know at each request.
func (c *Sidecar) own() outbound.LocalState {
	o := outbound.LocalState{Service: c.settings.Load().GetSidecar().GetService(), Stopping: c.stopping.Load(), Unconfirmed: c.unsure.Load() != nil}
	if at := c.endsAt.Load(); at != nil {
		o.EndsAt = *at
	}
	return o
}

// ready says whether callers may be sent here.
func (c *Sidecar) ready() bool {
	t := c.state.Table()
	return !c.stopping.Load() && t.Version > 0 && len(t.Services) > 0 && c.unsure.Load() == nil
}

// task runs one loop of the sidecar.
type task struct {
	wg   *sync.WaitGroup
	loop interface{ run(context.Context) }
}

func (t *task) run(ctx context.Context) {
	defer t.wg.Done()
	t.loop.run(ctx)
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func listenAt(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "listening at %s", address)
}
