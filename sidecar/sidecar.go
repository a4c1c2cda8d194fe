// Package sidecar assembles and runs a sidecar: one process beside each backend server of a mesh. The configuration of the mesh is one
// value of the platform's store.
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

// Platform holds what depends on the platform that the sidecar runs on.
type Platform struct {
	HeaderNames jaypitch.HeaderNames
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// NewSource returns the source that reads the store at an address. It calls onUndecodable for each entry that can't be decoded.
	NewSource func(address string, now func() time.Time, onUndecodable func(*jaypitch.Error)) jaypitch.MeshSource
	// DecodeCold returns for how long a backend server stays cold, by the header of its response, and whether that tells it; nil if none does.
	DecodeCold func(http.Header) (time.Duration, bool)
	// DecodeNotice returns what a backend server states about itself in the header of its response.
	DecodeNotice func(http.Header) (jaypitch.ServerNotice, *jaypitch.Error)
}

// Sidecar is one process beside a backend server.
type Sidecar struct {
	settings  atomic.Pointer[schema.SidecarSettings]
	reloader  *reloader
	platform  Platform
	log       *zap.Logger
	logBudget *logline.Budget
	now       func() time.Time
	process   uint64

	replica      *mesh.Replica
	watcher      *watcher
	peerPoller   *peerPoller
	confirmation *confirmation
	receiver     *inbound.Receiver
	dispatcher   *outbound.Dispatcher
	hopClient    *hop.Client
	handler      *outbound.Handler
	peerServer   *hop.Server
	backendPool  *http1.Pool
	peerPool     *http1.Pool
	metrics      *metrics
	memory       *memoryState
	tracker      *evidence.Tracker
	burnCounter  burnCounter
	dataCentres  dataCentres
	link         hostLink
	// appliedAt is when the current configuration was applied; nil before the first one.
	appliedAt atomic.Pointer[time.Time]
	// peerPort is the port on which the sidecars of the mesh listen for each other.
	peerPort uint16

	stopping atomic.Bool
	// endsAt is when a stopping sidecar ends at the latest; nil before it stops.
	endsAt atomic.Pointer[time.Time]
	// unconfirmedSince is when the process resumed from a pause; nil once the replica is confirmed.
	unconfirmedSince atomic.Pointer[time.Time]

	// lastTick is the time since the machine's start at the last tick, in nanoseconds; zero before the first one.
	lastTick atomic.Int64

	wg sync.WaitGroup
}

const (
	// fromStore names the store as the origin of an update. An update from a peer has the peer's address.
	fromStore = "store"
	// minDrainTime is how long a stopping sidecar serves at least: the time of two readiness probes, one per second, and a margin.
	minDrainTime = 2200 * time.Millisecond
	// idleBeforeClose is the time without a request after which the listeners are closed.
	idleBeforeClose = 200 * time.Millisecond
	// shutdownMargin is the part of the grace time that is reserved for the end of the process.
	shutdownMargin = 500 * time.Millisecond
)

// New returns a sidecar with validated settings. load reads the settings again and returns nil if they are unchanged; dropped returns
// the number of log lines that the writer dropped. New fails if the listen address for peers or the retry ratio can't be parsed.
func New(s *schema.SidecarSettings, load func() (*schema.SidecarSettings, error), p Platform, log *zap.Logger, dropped func() int64, options ...Option) (*Sidecar, error) {
	log = log.With(zap.String("node", s.GetSidecar().GetHost()))
	c := &Sidecar{platform: p, log: log, logBudget: logline.NewBudget(), now: time.Now, process: rand.Uint64(), replica: mesh.NewReplica(), tracker: evidence.NewTracker(),
		burnCounter: burnCounter{counter: burn.NewCounter()}, dataCentres: dataCentres{tracker: evidence.NewTracker()}}
	c.settings.Store(s)
	c.reloader = &reloader{sidecar: c, load: load}
	for _, o := range options {
		o(c)
	}
	c.memory = newMemoryState(s.GetSidecar(), log)
	c.metrics = newMetrics(c, dropped)
	c.metrics.registry.MustRegister(c.memory)
	listen, err := netip.ParseAddrPort(s.GetListen().GetPeers())
	if err != nil {
		return nil, eris.Wrap(err, "parsing the listen address for peers")
	}
	c.peerPort = listen.Port()
	c.confirmation = &confirmation{now: c.now}
	c.peerPoller = &peerPoller{sidecar: c, client: meshpeer.NewClient(listen.Addr()), aheadPeers: make(chan string, 1), storeChanged: make(chan struct{}, 1)}
	ratio, err := strconv.ParseFloat(s.GetBounds().GetRetryRatio(), 64)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the retry ratio")
	}
	if _, _, err := parseColdBounds(s.GetCold()); err != nil {
		return nil, err
	}
	if err := c.setLink(s); err != nil {
		return nil, err
	}
	c.backendPool = http1.NewPool(c.now, http1.WithOnDial(c.metrics.recordConnection), http1.WithOnSkip(c.metrics.recordStray))
	// Receivers identify this sidecar by the local address, to poll it for newer revisions.
	c.peerPool = http1.NewPool(c.now, http1.WithLocalIP(listen.Addr()), http1.WithMaxIdle(c.memory.maxIdle()))
	c.receiver = inbound.NewReceiver(s.GetSidecar().GetBackend(), p.HeaderNames, c.replica, c.confirmation.age, c.backendPool, c.now, c.recordReceived,
		inbound.WithNotices(p.DecodeNotice, c.recordNotice, c.recordRefusedNotice), inbound.WithAnswers(c.recordAnswer), inbound.WithDataCentre(s.GetSidecar().GetDataCentre()),
		inbound.WithUnconfirmed(c.unconfirmed), c.withCold(), inbound.WithLink(c.link.incoming, c.link.outgoing))
	control := http.NewServeMux()
	control.Handle(meshpeer.NewHandler(c.replica, c.confirmation.age, c.find, c.burnCounts, c.recordSender))
	control.HandleFunc("GET "+hop.ProbePath, func(http.ResponseWriter, *http.Request) {})
	c.peerServer = hop.NewServer(c.receiver, p.HeaderNames.RequestID, c.now, c.stopping.Load, c.recordSender, &controlLimit{handler: control, budget: c.memory.budget}, hop.WithBudget(c.memory.budget))
	regions := mesh.NewRegions(s.GetSidecar().GetRegion(), s.GetSidecar().GetDataCentre(), s.GetSidecar().GetRegions())
	picker := route.NewMeshPicker(s.GetSidecar().GetDataCentre(), rand.Float64, route.WithRegions(regions))
	retryBudget := route.NewMeshRetryBudget(ratio, s.GetBounds().GetRetrySlack(), micros(s.GetBounds().GetRetryWindowUs()))
	c.hopClient = hop.NewClient(c.peerPool, c.now)
	c.dispatcher = outbound.NewDispatcher(s.GetSidecar().GetBackend(), c.peerAddress, c.replica, c.hopClient, c.receiver, picker, retryBudget, c.now, c.recordAttempt,
		outbound.WithNotices(p.DecodeNotice), outbound.WithEnd(c.end), outbound.WithAnswers(c.recordAnswer), outbound.WithDataCentreCounts(c.beginAttempt), outbound.WithLink(c.link.incoming, c.link.outgoing))
	c.handler = outbound.NewHandler(c.dispatcher, c.replica, p.HeaderNames, c.localState, c.memory.budget, c.tracker, c.now, c.recordRequest)
	c.watcher = &watcher{source: p.NewSource(s.GetStore().GetAddress(), c.now, c.recordUndecodable), merge: c.merge, position: c.replica.Position, confirmation: c.confirmation, isReader: c.isReader, seeded: c.seeded, starting: c.starting, readsAllPages: c.readsAllPages, triggered: make(chan struct{}, 1), now: c.now,
		maxWait: micros(s.GetStore().GetWaitUs()), log: log}
	return c, nil
}

// Run serves until the context ends, then stops gracefully. It fails if a listener can't be opened.
func (c *Sidecar) Run(ctx context.Context) error {
	listeners, err := c.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, l := range []interface{ run(context.Context) }{c.watcher, c.peerPoller, &ticker{sidecar: c}, c.reloader, &prober{sidecar: c, inProgress: map[string]bool{}}} {
		c.wg.Add(1)
		go (&task{wg: &c.wg, loop: l}).run(runCtx)
	}
	requestCtx, abort := context.WithCancelCause(runCtx)
	defer abort(nil)
	servers := c.serve(requestCtx, listeners)
	s := c.settings.Load()
	c.log.Info("started", zap.String("host", s.GetSidecar().GetHost()), zap.String("service", s.GetSidecar().GetService()),
		zap.Uint64("process", c.process), zap.String("callers", s.GetListen().GetCallers()), zap.String("backend", s.GetSidecar().GetBackend()))
	<-ctx.Done()
	c.stop(servers, listeners, abort)
	cancel()
	c.wg.Wait()
	c.log.Info("stopped", zap.Int64("requests_in_progress", c.handler.InProgress()))
	return nil
}

// stop drains the sidecar and closes the listeners. The receiver refuses new requests; clients are served until minDrainTime is over
// and no request is in progress, or the grace time ends. A request that arrives later, on a connection that was accepted before, is refused.
// Requests that are still in progress then are aborted before the process ends, so that their senders and clients get a response.
func (c *Sidecar) stop(servers []*http.Server, l *listeners, abort context.CancelCauseFunc) {
	began := c.now()
	until := began.Add(micros(c.settings.Load().GetBounds().GetGraceUs()) - shutdownMargin)
	c.endsAt.Store(&until)
	c.stopping.Store(true)
	c.receiver.Stop()
	c.log.Info("stopping", zap.Int64("requests_in_progress", c.handler.InProgress()))
	c.awaitIdle(began.Add(minDrainTime), until)
	drainedAt := c.now()
	c.endsAt.Store(&drainedAt)
	// http.Server.Shutdown drops requests that it has just read, so the listeners are closed first and it follows once no request comes any more.
	_ = l.callers.Close()
	_ = l.peers.Close()
	c.awaitIdle(drainedAt, until)
	abort(jaypitch.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			c.log.Warn("closing a listener", zap.Error(err))
		}
	}
}

// awaitIdle waits until no request has been in progress for idleBeforeClose, at least until a time, and at most until another.
func (c *Sidecar) awaitIdle(atLeast, atMost time.Time) {
	idleSince := c.now()
	for c.now().Before(atMost) {
		time.Sleep(idleBeforeClose / 4)
		now := c.now()
		inProgress, queued, _ := c.receiver.Counts()
		if c.handler.InProgress() > 0 || inProgress+queued+c.receiver.Streams() > 0 {
			idleSince = now
		}
		if now.After(atLeast) && now.Sub(idleSince) > idleBeforeClose {
			break
		}
	}
}

// merge merges an update into the replica, logs what changed and returns it.
func (c *Sidecar) merge(u jaypitch.MeshUpdate, from string) mesh.Change {
	before := c.replica.Position()
	if !c.unconfirmed() {
		u.KeepMissingUntil = c.confirmation.relistedBy()
	}
	change := c.replica.Merge(u, c.now())
	if change.Restored {
		c.metrics.restores.Inc()
		c.log.Warn("store restored", zap.Int64("era", u.Era.Number), zap.Int64("era_before", before.Era.Number), zap.Int64("revision", u.Revision),
			zap.Int64("revision_before", before.Revision), zap.String("from", from))
	}
	if change.Config {
		now := c.now()
		c.appliedAt.Store(&now)
		c.log.Info("version in force", zap.Int64("version", u.Config.GetVersion()), zap.Int64("revision", u.Config.GetRevision()),
			zap.Int("rules", len(u.Config.GetRules())), zap.String("from", from))
	}
	for _, v := range change.Servers {
		if !c.logBudget.Allow("server", c.now()) {
			continue
		}
		c.log.Info("server", zap.String("server", v.GetId()), zap.String("service", v.GetService()), zap.String("address", v.GetAddress()),
			zap.Bool("draining", v.GetDraining()), zap.Bool("gone", v.GetGone()), zap.Int64("revision", v.GetRevision()), zap.String("from", from))
	}
	if len(change.Evacuations) > 0 {
		c.applyEvacuations()
	}
	if change.Config || len(change.Servers)+len(change.Evacuations) > 0 {
		c.receiver.ObserveTable()
	}
	if len(change.Servers) > 0 {
		c.dispatcher.Prune(c.replica.Table())
	}
	if from == fromStore && (change.Restored || change.Config || len(change.Servers)+len(change.Evacuations) > 0) {
		c.peerPoller.signalChange()
	}
	return change
}

// isReader reports whether this sidecar watches the store.
func (c *Sidecar) isReader() bool {
	return isReader(c.replica.Table(), c.settings.Load().GetSidecar().GetBackend())
}

// seeded reports whether the settings name other hosts to get the state from.
func (c *Sidecar) seeded() bool {
	return len(c.settings.Load().GetSidecar().GetSeeds()) > 0
}

// starting reports whether fewer hosts are known than there are readers.
func (c *Sidecar) starting() bool {
	return c.replica.Table().HostCount() < readerCount
}

// readsAllPages reports whether this sidecar is one of the few that read all of the store when many start at the same time: the readers among the
// hosts of the first page, which all of them get. The others get the state from them and from each other.
func (c *Sidecar) readsAllPages(first jaypitch.MeshUpdate) bool {
	r := mesh.NewReplica()
	r.Merge(first, c.now())
	return isReader(r.Table(), c.settings.Load().GetSidecar().GetBackend())
}

// recordSender records the position that the sender of a request reports. remote is the sender's address.
func (c *Sidecar) recordSender(remote string, p jaypitch.Position) {
	if p.Compare(c.replica.Position()) > 0 {
		c.peerPoller.recordPosition(c.peerAddress(remote), p, unknownAge)
	}
}

// localState returns the state of this process that the handler needs for each request.
func (c *Sidecar) localState() outbound.LocalState {
	c.reloader.refresh()
	return outbound.LocalState{Service: c.settings.Load().GetSidecar().GetService(), Stopping: c.stopping.Load(), Unconfirmed: c.unconfirmed() || c.replica.Revision() == 0}
}

// end returns when a stopping sidecar ends at the latest; zero before it stops.
func (c *Sidecar) end() time.Time {
	if at := c.endsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ready reports whether the platform may send clients to this sidecar.
func (c *Sidecar) ready() bool {
	t := c.replica.Table()
	return !c.stopping.Load() && t.Version > 0 && t.HasServers() && c.replica.Revision() > 0 && !c.unconfirmed()
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
	return l, eris.Wrapf(err, "listening on %s", address)
}
