// Package node assembles the parts of a node, the proxy that runs beside each backend server, and runs them.
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
	"github.com/jaypitch/jaypitch/topology"
)

// Node is the proxy beside one backend server.
type Node struct {
	settings *schema.NodeSettings
	process  uint64
	log      *zap.Logger
	now      func() time.Time
	started  time.Time

	replica       *settings.Replica
	topology      atomic.Pointer[topology.Topology]
	lifecycle     *lifecycle
	confirmation  *confirmation
	tracker       *evidence.Tracker
	backendClient *backend.Client
	receiver      *backend.Receiver
	dispatcher    *caller.Dispatcher
	handler       *caller.Handler
	traffic       *peer.Traffic
	poller        *peer.Poller
	peerServer    *peer.Server
	requestServer *peer.RequestServer
	// readers read the teams' settings and the host lists from the source, in this order.
	readers  [2]*source.Reader
	hostList jaypitch.HostListSource
	metrics  *operator.Metrics

	applyMu sync.Mutex
	// wasListed is true once a table contained this host; only then does its absence from the host list mean that it was removed.
	wasListed bool

	burnMu sync.Mutex
	burn   *burn.Counter

	requestersMu sync.Mutex
	// requesters are the hosts that sent control requests, by name.
	requesters map[string]requester

	sendersMu sync.Mutex
	// senders are the hosts that sent attempts, with the time at which each entry expires.
	senders map[string]time.Time

	wg sync.WaitGroup
}

// requester is a host that sent a control request. Its entry expires at until.
type requester struct {
	until time.Time
}

const (
	// requesterTTL is how long a host stays recorded after its last control request.
	requesterTTL = time.Minute
	// senderTTL is how long a host stays recorded after its last attempt. It equals peerIdleTimeout: until then the sender's connection may be open.
	senderTTL = 2 * time.Minute
	// lingerInterval is how long no request of a client may arrive before a stopping node closes its listeners. lingerTimeout is the longest
	// time for which it refuses requests until then.
	lingerInterval = 300 * time.Millisecond
	lingerTimeout  = 3 * time.Second
	// catchUpTimeout is the longest wait for the settings of a sender that holds a newer revision.
	catchUpTimeout = 200 * time.Millisecond
	// shutdownTimeout is the longest time for closing the listeners after the last request ended.
	shutdownTimeout = 2 * time.Second
	// syncTimeout is the longest time for the synchronization with a host that holds newer settings.
	syncTimeout = time.Second
)

// New returns a node for valid settings.
func New(s *schema.NodeSettings, log *zap.Logger) *Node {
	n := &Node{settings: s, process: rand.Uint64(), log: log, now: time.Now, started: time.Now(), tracker: evidence.NewTracker(),
		traffic: &peer.Traffic{}, burn: burn.NewCounter(), requesters: map[string]requester{}, senders: map[string]time.Time{}, metrics: operator.NewMetrics()}
	n.replica = settings.NewReplica(n.now)
	n.lifecycle = newLifecycle(n.onStopReason)
	n.confirmation = newConfirmation(n.now, fromMicros(s.GetPeer().GetConfirmUs()), s.GetPeer().GetServeUnconfirmed())
	n.setTopology(n.replica.Table())
	n.initDataPlane()
	n.initControlPlane()
	n.registerMetrics()
	return n
}

// Run serves until the context ends, then stops gracefully: it refuses new requests as not executed, and closes the listeners once
// all requests in progress have ended. It returns an error if it can't open a listener.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.startLoops(loopCtx)
	servers := n.serve(loopCtx, listeners)
	n.log.Info("started", zap.String("host", n.settings.GetNode().GetHost()), zap.Uint64("process", n.process))
	<-ctx.Done()
	n.lifecycle.set(StopSignal, true)
	n.peerServer.AnnounceLeave(loopCtx, n.senderAddresses())
	<-n.lifecycle.drained
	n.linger()
	// http.Server.Shutdown drops requests that it has just read, so the listeners are closed first and it follows once no request comes any more.
	_ = listeners.caller.Close()
	_ = listeners.peer.Close()
	n.linger()
	n.log.Info("all requests in progress have ended")
	cancel()
	shutdown(servers)
	n.wg.Wait()
	return nil
}

// linger waits until no request of a client arrives for lingerInterval, at most for lingerTimeout. Such requests are refused meanwhile,
// so that no connection is closed while a client sends a request.
func (n *Node) linger() {
	deadline := n.now().Add(lingerTimeout)
	for received := n.handler.Received(); n.now().Before(deadline); {
		time.Sleep(lingerInterval)
		current := n.handler.Received()
		if current == received {
			return
		}
		received = current
	}
}

// initDataPlane creates the parts that receive requests, forward them to other nodes and send them to the backend server.
func (n *Node) initDataPlane() {
	s := n.settings
	b := s.GetBackend()
	n.backendClient = backend.NewClient(b.GetAddress(), b.GetHealthPath(), int(b.GetConnections()), n.now)
	n.receiver = backend.NewReceiver(n, n.replica, n.tracker, n.backendClient, n.now, backend.Options{
		Host: s.GetNode().GetHost(), DataCentre: s.GetNode().GetDataCentre(), Service: s.GetNode().GetService(), Process: n.process, Slots: int(b.GetSlots()),
		CacheSize: int(b.GetKeptAnswers()), CacheTTL: fromMicros(b.GetKeptUs())})
	picker := route.NewPicker(s.GetNode().GetDataCentre(), rand.IntN)
	n.dispatcher = caller.NewDispatcher(s.GetNode().GetHost(), n.replica, peer.NewRequestClient(n.now), n.receiver, picker, n.now, rand.Uint64, n.syncInBackground)
	n.handler = caller.NewHandler(n.dispatcher, n.replica, n.tracker, &clientGate{n}, n.recordRequest, n.now,
		caller.Limits{BodyBytes: s.GetCaller().GetMaxBodyBytes(), Requests: s.GetCaller().GetMaxCalls(), ReadTimeout: fromMicros(s.GetCaller().GetReadTimeoutUs())})
	n.requestServer = peer.NewRequestServer(n.receiver, s.GetCaller().GetMaxBodyBytes(), n.now)
}

// initControlPlane creates the parts that distribute configuration between peers and read it from the source.
func (n *Node) initControlPlane() {
	s := n.settings
	clients := peer.NewClients(n.traffic)
	n.peerServer = peer.NewServer(n, n.replica, clients, n.now)
	n.poller = peer.NewPoller(n, n.replica, clients, n.topology.Load, n.now, n.log,
		peer.WithPollWait(fromMicros(s.GetPeer().GetPollUs())), peer.WithExchangeInterval(fromMicros(s.GetPeer().GetRepairUs())), peer.WithParents(int(s.GetPeer().GetParents())),
		peer.WithOnMerge(n.onPeerMerge))
	address := s.GetPlatform().GetAddress()
	n.hostList = source.NewClient(address, source.HostLists, n.now)
	wait := source.WithWait(fromMicros(s.GetPlatform().GetWaitUs()))
	n.readers[0] = source.NewReader(source.NewClient(address, source.Teams, n.now), jaypitch.TeamPrefix, n.replica, n.sourceAssignment, n.now, n.log, wait,
		source.WithOnRead(func(requestedAt time.Time) { n.onSourceRead(0, requestedAt) }))
	n.readers[1] = source.NewReader(n.hostList, jaypitch.HostListPrefix, n.replica, n.sourceAssignment, n.now, n.log, wait,
		source.WithOnRead(func(requestedAt time.Time) { n.onSourceRead(1, requestedAt) }))
}

// listeners are the sockets on which a node listens.
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
		listener, err := net.Listen("tcp", i.address)
		if err != nil {
			return nil, eris.Wrapf(err, "could not listen for section %q at %s", i.section, i.address)
		}
		*i.to = listener
	}
	return l, nil
}

// listenerServer runs an HTTP server on a listener.
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
	control.Handle(schemaconnect.NewPeerHandler(n.peerServer, peer.HandlerOptions()...))
	control.Handle(peer.RequestPath+"/", n.requestServer)
	s := n.settings.GetCaller()
	servers := []*http.Server{
		newServer(n.handler, fromMicros(s.GetIdleTimeoutUs())),
		newServer(control, peerIdleTimeout),
		newServer(operator.NewHandler(n, n.metrics), peerIdleTimeout),
	}
	limited := []net.Listener{limitConnections(l.caller, s.GetMaxCalls()), peer.NewCountingListener(l.peer, n.traffic), limitConnections(l.operator, maxOperatorConns)}
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
		&applier{n}, &ticker{n}, &prober{n}, &joiner{n}, &pollLoop{n}, &readLoop{n, n.readers[0]}, &readLoop{n, n.readers[1]},
	}
	for _, l := range loops {
		n.wg.Add(1)
		go l.run(ctx)
	}
}

// setTopology computes the node's position among the hosts of a table.
func (n *Node) setTopology(t *settings.Table) {
	s := n.settings
	self := topology.Member{Host: s.GetNode().GetHost(), DataCentre: s.GetNode().GetDataCentre(), Address: s.GetPeer().GetAddress()}
	n.topology.Store(topology.NewTopology(self, t.DataCentres, int(s.GetPeer().GetFanout()), int(s.GetPeer().GetReaders()), n.topology.Load()))
}

// sourceAssignment returns whether this node reads the source, and at what rate it may send requests.
func (n *Node) sourceAssignment() source.Assignment {
	t := n.topology.Load()
	return source.Assignment{Reads: t.Listed && t.IsReader(n.poller.IsSuspect), RequestsPerSecond: t.SourceRateLimit(float64(n.settings.GetPlatform().GetCallsPerSecond()))}
}

// recordRequest adds a completed request to the metrics and the service-level counts. A request is good if its result code is ok, its status is
// below 500 and it met the target of its rank.
func (n *Node) recordRequest(r caller.Record) {
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
	n.log.Info("a reason to refuse requests to the backend server changed", zap.String("reason", string(r)), zap.Bool("stopping", stopping))
}

func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

func fromMicros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
