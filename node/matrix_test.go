package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/peer"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
	"github.com/jaypitch/jaypitch/settings"
)

// Steps and faults of the distribution of a change through five nodes. Node a reads the source; b and e poll a; c polls b; d, which is
// missing from the host list at first, polls c. The fault "death" restarts node b without state, "herd" restarts three
// nodes at once, and "crossing" delivers the oldest revision after the newest one.
var (
	matrixSteps = []string{"publish", "read", "relay", "apply", "serve", "prove"}
	matrixKinds = []string{"death", "herd", "pause", "source down", "source stale", "crossing", "duplicate", "lost", "one-way cut",
		"cut", "incomplete host list", "data centre lost", "invalid revision", "truncated delta", "corrupt", "invalid then valid revision"}
	matrixLinks = [][2]string{{"b", "a"}, {"e", "a"}, {"c", "b"}, {"d", "c"}}
)

const matrixTeam = `[team]
name = fairs
[rank urgent]
order = 1
[service entry]
deadline = 2s
[customer meadow]
%s[route filing]
service = entry
rank = urgent
idempotent = true
customers = *
deadline = %dms
`

// fleet holds the nodes of a trial, the simulated network between them and the simulated source.
type fleet struct {
	t     *testing.T
	nodes map[string]*Node
	// revisions are the digests of the valid revisions that were published.
	revisions map[int64]jaypitch.Digest
	// source holds the published revisions, oldest first.
	source   []jaypitch.Document
	hostList jaypitch.Document
	// cut contains the pairs (from, to) between which no message arrives. Paused and dead nodes do nothing.
	cut                     map[[2]string]bool
	paused, dead            map[string]bool
	sourceDown, sourceStale bool
	// corruption is the fault to apply to the next fetched body, or "".
	corruption string
	// loseResponse drops the next response of an exchange; mergeTwice fetches and merges every response twice.
	loseResponse, mergeTwice bool
	// lastRevision is the revision of the team's document in each node's table at the last check.
	lastRevision map[string]int64
	// seen is the greatest valid revision that a node read and that a running process still holds. Nodes converge on this one: the source
	// holds no earlier revisions, and a process that ends loses its state.
	seen       int64
	provenGone bool
}

// matrixClient calls the control server of a node directly, without a network.
type matrixClient struct {
	schemaconnect.PeerClient
	fleet *fleet
	to    string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, nodes: map[string]*Node{}, revisions: map[int64]jaypitch.Digest{}, cut: map[[2]string]bool{}, paused: map[string]bool{},
		dead: map[string]bool{}, lastRevision: map[string]int64{}}
	f.listHosts(1, "a", "b", "c", "e")
	f.publish(1, fmt.Sprintf(matrixTeam, "[customer hill]\n", 500))
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		f.start(name)
	}
	f.settle()
	return f
}

func (f *fleet) listHosts(revision int64, names ...string) {
	text := ""
	for i, n := range names {
		text += fmt.Sprintf("[host %s]\nservice = entry\naddress = 127.0.0.%d:1\n", n, i+1)
	}
	f.hostList = jaypitch.NewDocument("hosts/dc", revision, []byte(text))
}

func (f *fleet) publish(revision int64, text string) {
	d := jaypitch.NewDocument("teams/fairs", revision, []byte(text))
	f.source = append(f.source, d)
	if _, problems := settings.ParseTeam("f", "fairs", d.Text); len(problems) == 0 {
		f.revisions[revision] = d.Digest
	}
}

// start replaces a node by a new process without any state.
func (f *fleet) start(name string) {
	s, problems := settings.ParseNode(name, fmt.Appendf(nil, "[node]\nhost = %s\ndata_centre = dc\nservice = entry\n[caller]\naddress = 127.0.0.1:2\n"+
		"[peer]\naddress = 127.0.0.1:3\n[operator]\naddress = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n[backend]\naddress = 127.0.0.1:6\n", name))
	if len(problems) > 0 {
		f.t.Fatal(problems)
	}
	f.nodes[name] = New(s, zap.NewNop())
	delete(f.lastRevision, name)
	f.seen = 0
	for _, n := range f.nodes {
		if e, ok := n.replica.Entry("teams/fairs"); ok {
			f.seen = max(f.seen, e.Document.Revision)
		}
	}
}

func (f *fleet) alive(name string) bool {
	return !f.dead[name] && !f.paused[name]
}

// canReach reports whether a message from one node arrives at another.
func (f *fleet) canReach(from, to string) bool {
	return f.alive(from) && f.alive(to) && !f.cut[[2]string{from, to}]
}

func (c *matrixClient) Fetch(ctx context.Context, r *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	response, err := c.fleet.nodes[c.to].peerServer.Fetch(ctx, r)
	if err != nil {
		return nil, err
	}
	for _, b := range response.Msg.GetBodies() {
		c.fleet.corrupt(b)
	}
	return response, nil
}

// corrupt applies the corruption to a body, once.
func (f *fleet) corrupt(b *schema.Body) {
	switch f.corruption {
	case "truncated delta":
		b.Pieces = b.GetPieces()[:len(b.GetPieces())/2]
		b.Text = slices.Clone(b.GetText()[:len(b.GetText())/2])
	case "corrupt":
		b.Text = append(slices.Clone(b.GetText()), '\n')
		if n := len(b.GetPieces()); n > 0 {
			b.Pieces[n-1].Text = append(slices.Clone(b.GetPieces()[n-1].GetText()), 'x')
		}
	}
	f.corruption = ""
}

// read makes a node read the source.
func (f *fleet) read(name string) {
	if !f.alive(name) || f.sourceDown {
		return
	}
	n := f.nodes[name]
	newest := f.source[len(f.source)-1]
	if f.sourceStale {
		newest = f.source[0]
	}
	n.replica.Merge(f.hostList, newest)
	if _, valid := f.revisions[newest.Revision]; valid {
		f.seen = max(f.seen, newest.Revision)
	}
	n.apply()
	n.confirmation.recordSource(n.topology.Load().OtherHostCount(), time.Now())
}

// relay makes one node exchange states with another and fetch what it lacks.
func (f *fleet) relay(from, to string) {
	if !f.canReach(from, to) || !f.canReach(to, from) {
		return
	}
	n := f.nodes[from]
	requestedAt := time.Now()
	e, err := f.nodes[to].peerServer.Exchange(context.Background(), connect.NewRequest(&schema.ExchangeRequest{Sender: n.Sender()}))
	if err != nil {
		f.t.Fatal(err)
	}
	if f.loseResponse {
		f.loseResponse = false
		return
	}
	fetcher := peer.NewFetcher(n.replica)
	times := 1
	if f.mergeTwice {
		times = 2
	}
	for range times {
		if fetcher.Fetch(context.Background(), &matrixClient{fleet: f, to: to}, e.Msg.GetVersions()) != nil {
			return
		}
	}
	n.onPeerMerge(e.Msg.GetSender(), requestedAt)
}

// settle runs all reads and exchanges often enough that every reachable node converges.
func (f *fleet) settle() {
	for range 4 {
		f.tick()
		f.read("a")
		for _, l := range matrixLinks {
			f.relay(l[0], l[1])
		}
		f.relay("a", "b")
		f.relay("b", "e")
		f.relay("e", "b")
		f.relay("d", "a")
		f.relay("b", "c")
		f.check("settling")
		time.Sleep(time.Second)
	}
}

func (f *fleet) tick() {
	for _, name := range f.names() {
		if f.alive(name) {
			f.nodes[name].confirmation.tick()
		}
	}
}

func (f *fleet) names() []string {
	return []string{"a", "b", "c", "d", "e"}
}

// inject causes a fault.
func (f *fleet) inject(kind string) {
	switch kind {
	case "death":
		f.start("b")
	case "herd":
		for _, n := range []string{"a", "b", "e"} {
			f.start(n)
		}
	case "pause":
		f.paused["c"] = true
	case "source down":
		f.sourceDown = true
	case "source stale":
		f.sourceStale = true
	case "crossing":
		newest := f.source[len(f.source)-1]
		f.nodes["e"].replica.Merge(newest, f.source[0])
		if _, valid := f.revisions[newest.Revision]; valid {
			f.seen = max(f.seen, newest.Revision)
		}
	case "duplicate":
		f.mergeTwice = true
	case "lost":
		f.loseResponse = true
	case "one-way cut":
		f.cut[[2]string{"a", "b"}] = true
	case "cut":
		f.cut[[2]string{"c", "b"}], f.cut[[2]string{"b", "c"}] = true, true
	case "incomplete host list":
		f.listHosts(f.hostList.Revision+1, "a", "b", "e")
	case "data centre lost":
		f.dead["c"], f.dead["d"] = true, true
	case "invalid revision":
		f.publish(int64(len(f.source)+1), "[team]\nname = fairs\n[rank urgent]\norder = soon\n")
	case "invalid then valid revision":
		f.publish(int64(len(f.source)+1), "[route")
		f.publish(int64(len(f.source)+1), fmt.Sprintf(matrixTeam, "", 400+len(f.source)))
	case "truncated delta", "corrupt":
		f.corruption = kind
	}
}

// heal ends all faults after a minute. Paused nodes resume, dead ones start as new processes, and all hosts are listed.
func (f *fleet) heal() {
	time.Sleep(time.Minute)
	for _, n := range f.names() {
		if f.dead[n] {
			f.start(n)
		}
	}
	f.cut, f.paused, f.dead = map[[2]string]bool{}, map[string]bool{}, map[string]bool{}
	f.sourceDown, f.sourceStale, f.loseResponse, f.mergeTwice, f.corruption = false, false, false, false, ""
	f.listHosts(f.hostList.Revision+1, f.names()...)
}

func (f *fleet) step(name string) {
	switch name {
	case "publish":
		f.publish(int64(len(f.source)+1), fmt.Sprintf(matrixTeam, "", 500))
	case "read":
		f.read("a")
	case "relay":
		for _, l := range matrixLinks {
			f.relay(l[0], l[1])
		}
	case "apply":
		for _, n := range f.names() {
			f.nodes[n].apply()
		}
	case "serve":
		f.serve()
	case "prove":
		f.gatherEvidence("a")
		f.gatherEvidence("e")
	}
}

// serves reports whether a node would accept a request of the removed customer now.
func (f *fleet) serves(name string) bool {
	n := f.nodes[name]
	if !f.alive(name) || !n.confirmation.ready() {
		return false
	}
	_, e := n.replica.Table().Route("fairs", "filing", "hill")
	return e == nil
}

func (f *fleet) serve() {
	for _, n := range f.names() {
		if f.provenGone && f.serves(n) {
			f.t.Fatalf("node %s serves the removed customer after evidence said that it is gone", n)
		}
	}
}

// gatherEvidence gathers findings on the removed customer at a node. Hosts that it can't reach are unresponsive. If the report says that
// the customer is gone, no node may serve it.
func (f *fleet) gatherEvidence(root string) {
	if !f.alive(root) {
		return
	}
	s := &schema.Subject{Team: "fairs", Customer: "hill"}
	targets := targetsOf(f.nodes[root].replica.Table())
	aggregator := evidence.NewAggregator(targets)
	for _, target := range targets {
		name := target.GetHost()
		if name != root && (!f.canReach(root, name) || !f.canReach(name, root)) {
			aggregator.AddUnresponsive(name, "no response")
			continue
		}
		aggregator.Add(f.nodes[name].Find(s))
		for _, u := range f.nodes[name].Unlisted() {
			aggregator.AddUnlisted(u)
		}
	}
	if r := evidence.NewReport(s, targets, aggregator.Response()); r.Verdict != evidence.VerdictGone {
		return
	}
	f.provenGone = true
	for _, n := range f.names() {
		if f.serves(n) {
			f.t.Fatalf("evidence at node %s says that the removed customer is gone while node %s serves it", root, n)
		}
	}
}

// check fails the test if a table has a route without hosts or to an unknown host, an unpublished revision, or an older one than before.
func (f *fleet) check(after string) {
	f.t.Helper()
	for _, name := range f.names() {
		table := f.nodes[name].replica.Table()
		for _, r := range routesOf(table) {
			if table.Services[r.Service.Name] != r.Service || len(r.Service.Hosts) == 0 {
				f.t.Fatalf("after %s node %s has a route without a service or hosts", after, name)
			}
			for _, h := range r.Service.Hosts {
				if !table.Contains(h) {
					f.t.Fatalf("after %s node %s has a route to host %s, which its table doesn't contain", after, name, h.Name)
				}
			}
		}
		tt := table.Teams["fairs"]
		if tt == nil {
			continue
		}
		if f.revisions[tt.Revision] != tt.Digest {
			f.t.Fatalf("after %s node %s enforces revision %d with digest %s, which was never published", after, name, tt.Revision, tt.Digest)
		}
		if tt.Revision < f.lastRevision[name] {
			f.t.Fatalf("after %s node %s moved back from revision %d to %d", after, name, f.lastRevision[name], tt.Revision)
		}
		f.lastRevision[name] = tt.Revision
	}
}

func routesOf(t *settings.Table) []*settings.Route {
	var out []*settings.Route
	for _, tt := range t.Teams {
		for _, r := range tt.Routes {
			out = append(out, r)
		}
	}
	return out
}

// converged returns an error unless all nodes hold the newest revision and are confirmed, and the evidence agrees, after all faults have ended.
func (f *fleet) converged() error {
	digest := f.nodes["a"].replica.Digest()
	for _, name := range f.names() {
		n := f.nodes[name]
		tt := n.replica.Table().Teams["fairs"]
		if tt == nil || tt.Revision != f.seen || n.replica.Digest() != digest || !n.confirmation.confirmed() {
			return fmt.Errorf("node %s holds %+v, confirmed %t; want revision %d", name, tt, n.confirmation.confirmed(), f.seen)
		}
	}
	f.provenGone = false
	f.gatherEvidence("a")
	if f.provenGone != (f.seen > 1) {
		return fmt.Errorf("evidence says that the customer is gone: %t, with revision %d on all nodes", f.provenGone, f.seen)
	}
	return nil
}

// matrixTrial runs all steps. Each fault is a pair of a step and a kind, and is injected before that step.
func matrixTrial(t *testing.T, faults ...[2]string) {
	f := newFleet(t)
	for _, s := range matrixSteps {
		for _, k := range faults {
			if k[0] == s {
				f.inject(k[1])
				f.check("fault " + k[1])
			}
		}
		f.tick()
		f.step(s)
		f.check("step " + s)
		time.Sleep(500 * time.Millisecond)
	}
	f.settle()
	f.serve()
	f.gatherEvidence("a")
	f.heal()
	f.tick()
	f.serve()
	f.settle()
	f.settle()
	if err := f.converged(); err != nil {
		t.Fatalf("faults %v: %v", faults, err)
	}
}

// TestFaultMatrix injects every fault at every step, alone and in pairs. It guards against tables with dangling routes or lost revisions,
// and against evidence that a customer is gone while a node still serves it.
func TestFaultMatrix(t *testing.T) {
	var all [][2]string
	for _, s := range matrixSteps {
		for _, k := range matrixKinds {
			all = append(all, [2]string{s, k})
		}
	}
	for i, a := range all {
		t.Run(a[0]+" "+a[1], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { matrixTrial(t, a) })
			for _, b := range all[i+1:] {
				synctest.Test(t, func(t *testing.T) { matrixTrial(t, a, b) })
			}
		})
	}
}
