// Package node puts the parts of a node together: one process beside each backend server.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/backend"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/caller"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/peer"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/source"
	"github.com/jaypitch/jaypitch/spread"
)

// Node is one process beside a backend server.
type Node struct {
	settings *schema.NodeSettings
	process  uint64
	log      *zap.Logger
	now      func() time.Time
	started  time.Time

	store      *settings.Replica
	topology   atomic.Pointer[spread.Topology]
	lifecycle  *lifecycle
	trust      *trust
	tracker    *evidence.Tracker
	server     *backend.Client
	receiver   *backend.Receiver
	dispatcher *caller.Dispatcher
	handler    *caller.Handler
	traffic    *peer.Traffic
	poller     *peer.Poller
	peers      *peer.Server
	calls      *peer.RequestServer
	readers    [2]*source.Reader
	hostList   jaypitch.HostList
	metrics    *operator.Metrics

	applyMu sync.Mutex
	ownSeen bool

	burnMu sync.Mutex
	burn   *burn.Counter

	heardMu sync.Mutex
	heard   map[string]heard

	sendersMu sync.Mutex
	senders   map[string]time.Time

	wg sync.WaitGroup
}

// heard is another node that asked this one.
type heard struct {
	until time.Time
}

const (
	// heardLasts is how long a node that asked is remembered.
	heardLasts = time.Minute
	// sendersLast is how long a connection for calls may stay open without a call.
	sendersLast = 2 * time.Minute
	// lingerStep and lingerMax bound the time in which a node that ends still refuses callers: until none has called for a step.
	lingerStep = 300 * time.Millisecond
	lingerMax  = 3 * time.Second
	// catchUpWait bounds the wait for settings of a sender that is ahead.
	catchUpWait = 200 * time.Millisecond
	// shutdownWait bounds the closing of listeners after the last call ended.
	shutdownWait = 2 * time.Second
	// askBehindWait bounds the question to a host that is ahead.
	askBehindWait = time.Second
)

// New makes a node from checked settings.
func New(s *schema.NodeSettings, log *zap.Logger) *Node {
	n := &Node{settings: s, process: rand.Uint64(), log: log, now: time.Now, started: time.Now(), tracker: evidence.NewTracker(),
		traffic: &peer.Traffic{}, burn: burn.NewCounter(), heard: map[string]heard{}, senders: map[string]time.Time{}, metrics: operator.NewMetrics()}
	n.store = settings.NewReplica(n.now)
	n.lifecycle = newLifecycle(n.onStopReason)
	n.trust = newTrust(n.now, micros(s.GetPeer().GetConfirmUs()), s.GetPeer().GetServeUnconfirmed())
	n.setTopology(n.store.Table())
	n.makeCallSide()
	n.makeControlSide()
	n.registerMetrics()
	return n
}

// Run serves until the context ends, then stops gracefully: new work is refused as not run, and all that
// is in progress ends before the listeners close.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.startLoops(work)
	servers := n.serve(work, listeners)
	n.log.Info("started", zap.String("host", n.settings.GetNode().GetHost()), zap.Uint64("process", n.process))
	<-ctx.Done()
	n.lifecycle.set(StopSignal, true)
	n.peers.AnnounceLeave(work, n.senderAddresses())
	<-n.lifecycle.quiet
	n.linger()
	n.log.Info("nothing in progress")
	cancel()
	shutdown(servers)
	n.wg.Wait()
	return nil
}

// linger goes on refusing callers until none has called for a while, so that few connections are closed under a call.
func (n *Node) linger() {
	deadline := n.now().Add(lingerMax)
	for seen := n.handler.Received(); n.now().Before(deadline); {
		time.Sleep(lingerStep)
		now := n.handler.Received()
		if now == seen {
			return
		}
		seen = now
	}
}

func (n *Node) makeCallSide() {
	s := n.settings
	b := s.GetBackend()
	n.server = backend.NewClient(b.GetAddress(), b.GetHealthPath(), int(b.GetConnections()), n.now)
	n.receiver = backend.NewReceiver(n, n.store, n.tracker, n.server, n.now, backend.Options{
		Host: s.GetNode().GetHost(), DataCentre: s.GetNode().GetDataCentre(), Service: s.GetNode().GetService(), Process: n.process, Slots: int(b.GetSlots()),
		CacheSize: int(b.GetKeptAnswers()), CacheTTL: micros(b.GetKeptUs())})
	picker := route.NewPicker(s.GetNode().GetDataCentre(), rand.IntN)
	n.dispatcher = caller.NewDispatcher(s.GetNode().GetHost(), n.store, peer.NewRequestClient(n.now), n.receiver, picker, n.now, rand.Uint64, n.askAhead)
	n.handler = caller.NewHandler(n.dispatcher, n.store, n.tracker, &callerGate{n}, n.record, n.now,
		caller.Limits{BodyBytes: s.GetCaller().GetMaxBodyBytes(), Requests: s.GetCaller().GetMaxCalls(), ReadTimeout: micros(s.GetCaller().GetReadTimeoutUs())})
	n.calls = peer.NewRequestServer(n.receiver, s.GetCaller().GetMaxBodyBytes(), n.now)
}

func (n *Node) makeControlSide() {
	s := n.settings
	clients := peer.NewClients(n.traffic)
	n.peers = peer.NewServer(n, n.store, clients, n.now)
	n.poller = peer.NewPoller(n, n.store, clients, n.topology.Load, n.now, n.log,
		peer.WithPollWait(micros(s.GetPeer().GetPollUs())), peer.WithExchangeInterval(micros(s.GetPeer().GetRepairUs())), peer.WithParents(int(s.GetPeer().GetParents())),
		peer.WithOnMerge(n.onPeer))
	address := s.GetPlatform().GetAddress()
	n.hostList = source.NewClient(address, source.HostLists, n.now)
	wait := source.WithWait(micros(s.GetPlatform().GetWaitUs()))
	n.readers[0] = source.NewReader(source.NewClient(address, source.Teams, n.now), jaypitch.TeamPrefix, n.store, n.duty, n.now, n.log, wait,
		source.WithOnRead(func(askedAt time.Time) { n.onSource(0, askedAt) }))
	n.readers[1] = source.NewReader(n.hostList, jaypitch.HostListPrefix, n.store, n.duty, n.now, n.log, wait,
		source.WithOnRead(func(askedAt time.Time) { n.onSource(1, askedAt) }))
}

// listeners are the three sockets of a node.
type listeners struct {
	caller, peer, operator net.Listener
}

func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, i := range []struct {
		to      *net.Listener
		section string
		address string
	}{
		{&l.caller, "caller", n.settings.GetCaller().GetAddress()},
		{&l.peer, "peer", n.settings.GetPeer().GetAddress()},
		{&l.operator, "operator", n.settings.GetOperator().GetAddress()},
	} {
		got, err := net.Listen("tcp", i.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listening for section %q at %s", i.section, i.address)
		}
		*i.to = got
	}
	return l, nil
}

// listenerServer serves one listener.
type listenerServer struct {
	server   *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

func (l *listenerServer) run() {
	defer l.wg.Done()
	_ = l.server.Serve(l.listener)
}

func (n *Node) serve(ctx context.Context, l *listeners) []*http.Server {
	control := http.NewServeMux()
	control.Handle(schemaconnect.NewPeerHandler(n.peers, peer.HandlerOptions()...))
	control.Handle(peer.RequestPath+"/", n.calls)
	s := n.settings.GetCaller()
	servers := []*http.Server{
		newServer(n.handler, micros(s.GetIdleTimeoutUs())),
		newServer(control, peerIdleTimeout),
		newServer(operator.NewHandler(n, n.metrics), peerIdleTimeout),
	}
	limited := []net.Listener{limit(l.caller, s.GetMaxCalls()), peer.NewCountingListener(l.peer, n.traffic), limit(l.operator, maxOperatorConns)}
	servers[1].BaseContext = func(net.Listener) context.Context { return ctx }
	for i, server := range servers {
		r := &listenerServer{server: server, listener: limited[i], wg: &n.wg}
		n.wg.Add(1)
		go r.run()
	}
	return servers
}

func (n *Node) startLoops(ctx context.Context) {
	loops := []interface{ run(context.Context) }{
		&applier{n}, &ticker{n}, &prober{n}, &joiner{n}, &polling{n}, &reading{n, n.readers[0]}, &reading{n, n.readers[1]},
	}
	for _, l := range loops {
		n.wg.Add(1)
		go l.run(ctx)
	}
}

// setTopology works out this node's place among the hosts of a table.
func (n *Node) setTopology(t *settings.Table) {
	s := n.settings
	self := spread.Member{Host: s.GetNode().GetHost(), DataCentre: s.GetNode().GetDataCentre(), Address: s.GetPeer().GetAddress()}
	n.topology.Store(spread.NewTopology(self, t.DataCentres, int(s.GetPeer().GetFanout()), int(s.GetPeer().GetReaders()), n.topology.Load()))
}

// duty says whether this node reads the source, and how often it may.
func (n *Node) duty() source.Assignment {
	t := n.topology.Load()
	return source.Assignment{Reads: t.Listed && t.IsReader(n.poller.IsSuspect), RequestsPerSecond: t.SourceRateLimit(float64(n.settings.GetPlatform().GetCallsPerSecond()))}
}

// record counts a call.
func (n *Node) record(r caller.Record) {
	rank := ""
	if r.Rank != nil {
		rank = r.Rank.Name
		good := r.Code == jaypitch.CodeOK && r.Status < http.StatusInternalServerError && r.Took.Microseconds() <= r.Rank.TargetUS
		n.burnMu.Lock()
		n.burn.Add(r.Service, rank, r.Rank.ObjectivePermille, good, n.now())
		n.burnMu.Unlock()
	}
	n.metrics.RecordRequest(r.Service, rank, r.Code, r.Took)
}

func (n *Node) onStopReason(r StopReason, stopping bool) {
	n.log.Info("backend server", zap.String("reason", string(r)), zap.Bool("stopping", stopping))
}

func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
