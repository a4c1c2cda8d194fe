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

// The steps of a change on its way through a fleet of five nodes: a reads the source, b and e poll a, c polls b and
// d, which the host list doesn't name at first, polls c.
var (
	matrixSteps = []string{"publish", "read", "relay", "apply", "serve", "prove"}
	matrixKinds = []string{"death", "herd", "pause", "source down", "source stale", "crossing", "duplicate", "lost", "one-way cut",
		"cut", "lagging list", "centre lost", "bad version", "half delta", "corrupt", "bad then good"}
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

// fleet is the nodes of a trial with the network and the source between them.
type fleet struct {
	t         *testing.T
	nodes     map[string]*Node
	revisions map[int64]jaypitch.Digest
	source    []jaypitch.Document
	list      jaypitch.Document
	// cut holds the directed pairs that can't reach each other, paused and dead the nodes that don't act.
	cut          map[[2]string]bool
	paused, dead map[string]bool
	down, stale  bool
	garble       string
	lose, twice  bool
	held         map[string]int64
	// seen is the greatest valid revision that a node read and that any process still remembers: the source holds
	// no earlier ones, and a process that ends keeps nothing.
	seen   int64
	proven bool
}

// matrixClient is a peer's control side without a network between.
type matrixClient struct {
	schemaconnect.PeerClient
	fleet *fleet
	to    string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, nodes: map[string]*Node{}, revisions: map[int64]jaypitch.Digest{}, cut: map[[2]string]bool{}, paused: map[string]bool{},
		dead: map[string]bool{}, held: map[string]int64{}}
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
	f.list = jaypitch.NewDocument("hosts/dc", revision, []byte(text))
}

func (f *fleet) publish(revision int64, text string) {
	d := jaypitch.NewDocument("teams/fairs", revision, []byte(text))
	f.source = append(f.source, d)
	if _, problems := settings.ParseTeam("f", "fairs", d.Text); len(problems) == 0 {
		f.revisions[revision] = d.Digest
	}
}

// start begins a new process of a node: it knows nothing.
func (f *fleet) start(name string) {
	s, problems := settings.ParseNode(name, fmt.Appendf(nil, "[node]\nhost = %s\ndata_centre = dc\nservice = entry\n[caller]\naddress = 127.0.0.1:2\n"+
		"[peer]\naddress = 127.0.0.1:3\n[operator]\naddress = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n[backend]\naddress = 127.0.0.1:6\n", name))
	if len(problems) > 0 {
		f.t.Fatal(problems)
	}
	f.nodes[name] = New(s, zap.NewNop())
	delete(f.held, name)
	f.seen = 0
	for _, n := range f.nodes {
		if e, ok := n.store.Entry("teams/fairs"); ok {
			f.seen = max(f.seen, e.Document.Revision)
		}
	}
}

func (f *fleet) alive(name string) bool {
	return !f.dead[name] && !f.paused[name]
}

// reach says whether a message from one node gets to another.
func (f *fleet) reach(from, to string) bool {
	return f.alive(from) && f.alive(to) && !f.cut[[2]string{from, to}]
}

func (c *matrixClient) Fetch(ctx context.Context, r *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	a, err := c.fleet.nodes[c.to].peers.Fetch(ctx, r)
	if err != nil {
		return nil, err
	}
	for _, b := range a.Msg.GetBodies() {
		c.fleet.damage(b)
	}
	return a, nil
}

// damage corrupts a body on its way, once.
func (f *fleet) damage(b *schema.Body) {
	switch f.garble {
	case "half delta":
		b.Pieces = b.GetPieces()[:len(b.GetPieces())/2]
		b.Text = slices.Clone(b.GetText()[:len(b.GetText())/2])
	case "corrupt":
		b.Text = append(slices.Clone(b.GetText()), '\n')
		if n := len(b.GetPieces()); n > 0 {
			b.Pieces[n-1].Text = append(slices.Clone(b.GetPieces()[n-1].GetText()), 'x')
		}
	}
	f.garble = ""
}

// read lets a node read the source.
func (f *fleet) read(name string) {
	if !f.alive(name) || f.down {
		return
	}
	n := f.nodes[name]
	newest := f.source[len(f.source)-1]
	if f.stale {
		newest = f.source[0]
	}
	n.store.Merge(f.list, newest)
	if _, valid := f.revisions[newest.Revision]; valid {
		f.seen = max(f.seen, newest.Revision)
	}
	n.apply()
	n.trust.source(n.topology.Load().OtherHostCount(), time.Now())
}

// relay lets one node ask another for all that it holds.
func (f *fleet) relay(from, to string) {
	if !f.reach(from, to) || !f.reach(to, from) {
		return
	}
	n := f.nodes[from]
	askedAt := time.Now()
	e, err := f.nodes[to].peers.Exchange(context.Background(), connect.NewRequest(&schema.ExchangeRequest{Sender: n.Sender()}))
	if err != nil {
		f.t.Fatal(err)
	}
	if f.lose {
		f.lose = false
		return
	}
	fetcher := peer.NewFetcher(n.store)
	times := 1
	if f.twice {
		times = 2
	}
	for range times {
		if fetcher.Fetch(context.Background(), &matrixClient{fleet: f, to: to}, e.Msg.GetVersions()) != nil {
			return
		}
	}
	n.onPeer(e.Msg.GetSender(), askedAt)
}

// settle lets everything that can act do so until nothing changes any more.
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
			f.nodes[name].trust.tick()
		}
	}
}

func (f *fleet) names() []string {
	return []string{"a", "b", "c", "d", "e"}
}

// inject brings a fault about.
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
		f.down = true
	case "source stale":
		f.stale = true
	case "crossing":
		newest := f.source[len(f.source)-1]
		f.nodes["e"].store.Merge(newest, f.source[0])
		if _, valid := f.revisions[newest.Revision]; valid {
			f.seen = max(f.seen, newest.Revision)
		}
	case "duplicate":
		f.twice = true
	case "lost":
		f.lose = true
	case "one-way cut":
		f.cut[[2]string{"a", "b"}] = true
	case "cut":
		f.cut[[2]string{"c", "b"}], f.cut[[2]string{"b", "c"}] = true, true
	case "lagging list":
		f.listHosts(f.list.Revision+1, "a", "b", "e")
	case "centre lost":
		f.dead["c"], f.dead["d"] = true, true
	case "bad version":
		f.publish(int64(len(f.source)+1), "[team]\nname = fairs\n[rank urgent]\norder = soon\n")
	case "bad then good":
		f.publish(int64(len(f.source)+1), "[route")
		f.publish(int64(len(f.source)+1), fmt.Sprintf(matrixTeam, "", 400+len(f.source)))
	case "half delta", "corrupt":
		f.garble = kind
	}
}

// heal ends all faults: paused nodes wake late, dead ones come back as new processes.
func (f *fleet) heal() {
	time.Sleep(time.Minute)
	for _, n := range f.names() {
		if f.dead[n] {
			f.start(n)
		}
	}
	f.cut, f.paused, f.dead = map[[2]string]bool{}, map[string]bool{}, map[string]bool{}
	f.down, f.stale, f.lose, f.twice, f.garble = false, false, false, false, ""
	f.listHosts(f.list.Revision+1, f.names()...)
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
		f.prove("a")
		f.prove("e")
	}
}

// serves says whether a node would take a call of the departed customer now.
func (f *fleet) serves(name string) bool {
	n := f.nodes[name]
	if !f.alive(name) || !n.trust.ready() {
		return false
	}
	_, e := n.store.Table().Route("fairs", "filing", "hill")
	return e == nil
}

func (f *fleet) serve() {
	for _, n := range f.names() {
		if f.proven && f.serves(n) {
			f.t.Fatalf("node %s serves the departed customer after the proof", n)
		}
	}
}

// prove gathers evidence at a node as its tree does: what doesn't answer is silent.
func (f *fleet) prove(root string) {
	if !f.alive(root) {
		return
	}
	s := &schema.Subject{Team: "fairs", Customer: "hill"}
	targets := targetsOf(f.nodes[root].store.Table())
	fold := evidence.NewAggregator(targets)
	for _, target := range targets {
		name := target.GetHost()
		if name != root && (!f.reach(root, name) || !f.reach(name, root)) {
			fold.AddUnresponsive(name, "no answer")
			continue
		}
		fold.Add(f.nodes[name].Find(s))
		for _, u := range f.nodes[name].Unlisted() {
			fold.AddUnlisted(u)
		}
	}
	if r := evidence.NewReport(s, targets, fold.Response()); r.Verdict != evidence.VerdictGone {
		return
	}
	f.proven = true
	for _, n := range f.names() {
		if f.serves(n) {
			f.t.Fatalf("gone was proven at %s while node %s serves the departed customer", root, n)
		}
	}
}

// check states what holds after every event.
func (f *fleet) check(after string) {
	f.t.Helper()
	for _, name := range f.names() {
		table := f.nodes[name].store.Table()
		for _, r := range routesOf(table) {
			if table.Services[r.Service.Name] != r.Service || len(r.Service.Hosts) == 0 {
				f.t.Fatalf("after %s node %s has a dangling route", after, name)
			}
			for _, h := range r.Service.Hosts {
				if !table.Contains(h) {
					f.t.Fatalf("after %s node %s has a route to host %s, which it doesn't hold", after, name, h.Name)
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
		if tt.Revision < f.held[name] {
			f.t.Fatalf("after %s node %s moved back from revision %d to %d", after, name, f.held[name], tt.Revision)
		}
		f.held[name] = tt.Revision
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

// converged states what holds once all faults have ended.
func (f *fleet) converged() error {
	digest := f.nodes["a"].store.Digest()
	for _, name := range f.names() {
		n := f.nodes[name]
		tt := n.store.Table().Teams["fairs"]
		if tt == nil || tt.Revision != f.seen || n.store.Digest() != digest || !n.trust.confirmed() {
			return fmt.Errorf("node %s holds %+v, confirmed %t; want revision %d", name, tt, n.trust.confirmed(), f.seen)
		}
	}
	f.proven = false
	f.prove("a")
	if f.proven != (f.seen > 1) {
		return fmt.Errorf("proven gone: %t, with revision %d everywhere", f.proven, f.seen)
	}
	return nil
}

// matrixTrial runs all steps with faults injected before the steps that they name.
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
	f.prove("a")
	f.heal()
	f.tick()
	f.serve()
	f.settle()
	f.settle()
	if err := f.converged(); err != nil {
		t.Fatalf("faults %v: %v", faults, err)
	}
}

// TestFaultMatrix brings about every fault at every step, alone and in pairs.
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
