// Command demo runs both deployments of the brief in small, as plain processes on loopback: it sends
// calls, withdraws a customer, proves that the customer is gone, breaks a subtree, stops a backend server, and
// ends everything that it started. It exits with 0 only if all of that held.
package main

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/scenario"
)

// demo is one deployment on its way through the steps.
type demo struct {
	name     string
	team     string
	text     string
	fleet    *scenario.Fleet
	binaries scenario.Binaries
	kinds    []scenario.Kind
	// departing is the customer that is withdrawn, and route one that serves it.
	departing string
	route     string
	failures  []string
}

// flow runs one load and keeps what it saw.
type flow struct {
	load   *scenario.Load
	result scenario.Result
	wg     *sync.WaitGroup
}

const (
	readyLimit = 30 * time.Second
	stopLimit  = 15 * time.Second
	// convergeLimit is the time within which every node has to hold a new version.
	convergeLimit = 4 * time.Second
	loadTime      = 4 * time.Second
	callsPerKind  = 60
	statusPause   = 5 * time.Millisecond
)

var (
	//go:embed fairs.ini
	fairs string
	//go:embed vans.ini
	vans string
)

func main() {
	var b scenario.Binaries
	flag.StringVar(&b.Jaypitch, "jaypitch", "bin/jaypitch", "jaypitch program")
	flag.StringVar(&b.Standin, "standin", "bin/standin", "stand-in program")
	daemon := flag.String("jaypitchd", "bin/jaypitchd", "sidecar program")
	hold := flag.Bool("hold", false, "start one deployment, print its addresses and wait for an interrupt")
	flag.Parse()
	scenario.EndOnSignal()
	if *hold {
		holdOpen(kesongPerya(b))
		return
	}
	started := time.Now()
	failures := append(runDemo(kesongPerya(b)), runDemo(filoSolidario(b))...)
	failures = append(failures, runMesh(*daemon)...)
	if len(failures) > 0 {
		fmt.Printf("\nFAILED after %s:\n%s\n", time.Since(started).Round(time.Second), strings.Join(failures, "\n"))
		os.Exit(1)
	}
	fmt.Printf("\nall steps held, in %s\n", time.Since(started).Round(time.Second))
}

// holdOpen starts a deployment and waits; the interrupt ends it.
func holdOpen(d *demo) {
	dir, err := os.MkdirTemp("", "jaypitch-demo-")
	if err == nil {
		defer os.RemoveAll(dir)
		d.fleet, err = scenario.NewFleet(dir, d.binaries, scenario.NodeOptions{})
	}
	if err == nil {
		defer d.fleet.Close()
		err = d.start()
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	first := d.fleet.Hosts[0]
	fmt.Printf("PLATFORM=%s\nNODE=%s\nCALLER=%s\n", d.fleet.Platform, first.Operator(), first.Caller())
	select {}
}

func kesongPerya(b scenario.Binaries) *demo {
	return &demo{name: "Kesong Perya", team: "fairs", text: fairs, binaries: b, departing: "hill_goats", route: "file_entry", kinds: []scenario.Kind{
		{Name: "charge_fee", Path: "/fairs/charge_fee/charge?ms=4", Customer: "meadow", Target: 100 * time.Millisecond, Body: "fee"},
		{Name: "file_entry", Path: "/fairs/file_entry/entry?ms=4", Customer: "dairy_coop", Target: 250 * time.Millisecond, Body: "entry"},
		{Name: "lot_sheet", Path: "/fairs/lot_sheet/lot?ms=4", Customer: "meadow", Target: 500 * time.Millisecond},
	}}
}

func filoSolidario(b scenario.Binaries) *demo {
	return &demo{name: "Filo Solidario", team: "vans", text: vans, binaries: b, departing: "canelones", route: "book_visit", kinds: []scenario.Kind{
		{Name: "charge_shop", Path: "/vans/charge_shop/charge?ms=4", Customer: "centro", Target: 100 * time.Millisecond, Body: "charge"},
		{Name: "book_visit", Path: "/vans/book_visit/visit?ms=4", Customer: "centro", Target: 250 * time.Millisecond, Body: "visit"},
		{Name: "next_van", Path: "/vans/next_van/van?ms=4", Customer: "centro", Target: 500 * time.Millisecond},
	}}
}

// runDemo takes one deployment through all steps and returns what failed.
func runDemo(d *demo) []string {
	fmt.Printf("\n== %s ==\n", d.name)
	dir, err := os.MkdirTemp("", "jaypitch-demo-")
	if err != nil {
		return []string{err.Error()}
	}
	defer os.RemoveAll(dir)
	d.fleet, err = scenario.NewFleet(dir, d.binaries, scenario.NodeOptions{})
	if err != nil {
		return []string{err.Error()}
	}
	defer d.fleet.Close()
	for _, step := range []func() error{d.start, d.serve, d.withdraw, d.breakSubtree, d.stopBackend, d.control} {
		if err := step(); err != nil {
			d.fail("%s", err)
			break
		}
	}
	return d.failures
}

func (d *demo) start() error {
	if d.team == "fairs" {
		scenario.KesongPerya(d.fleet)
	} else {
		scenario.FiloSolidario(d.fleet)
	}
	if err := d.fleet.PublishHosts(); err != nil {
		return err
	}
	if err := d.fleet.PublishTeam(d.team, []byte(d.text)); err != nil {
		return err
	}
	started := time.Now()
	if err := d.fleet.StartAll(); err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(readyLimit, "teams/"+d.team); err != nil {
		return err
	}
	fmt.Printf("%d nodes with their backend servers ready after %.1f s\n", len(d.fleet.Hosts), time.Since(started).Seconds())
	return nil
}

// serve sends calls of every rank to every node.
func (d *demo) serve() error {
	stop := d.startLoad(loadTime)
	for _, f := range stop() {
		d.report(f)
	}
	return nil
}

// withdraw takes a customer out of the team's subtree while calls go on, and proves that it is gone.
func (d *demo) withdraw() error {
	stop := d.startLoad(loadTime)
	d.text = withoutCustomer(d.text, d.departing)
	published := time.Now()
	if err := d.fleet.PublishTeam(d.team, []byte(d.text)); err != nil {
		return err
	}
	err := d.fleet.AwaitAll(convergeLimit, "the new version", func(s *operator.Status) bool { return revisionOf(s, "teams/"+d.team) >= 2 })
	if err != nil {
		d.fail("%s", err)
	} else {
		fmt.Printf("customer %s withdrawn: every node held the new version after %d ms\n", d.departing, time.Since(published).Milliseconds())
	}
	d.command("evidence", "--customer", d.departing, "--team", d.team)
	for _, f := range stop() {
		d.report(f)
	}
	k := scenario.Kind{Name: "departed", Path: "/" + d.team + "/" + d.route + "/x", Customer: d.departing, Body: "late"}
	d.refusedEverywhere(k)
	return nil
}

// refusedEverywhere asks every node for the departed customer.
func (d *demo) refusedEverywhere(k scenario.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := scenario.NewLoad(k, float64(len(d.fleet.Hosts)), d.callers()).Run(ctx)
	fmt.Printf("calls of the departed customer: %d sent, refused with code 101 %d\n", r.Sent, r.Codes[101])
	if r.Sent == 0 || r.Codes[101] != r.Sent {
		d.fail("calls of the departed customer were not all refused: %v", r.Codes)
	}
}

// breakSubtree publishes a bad version: it is refused with a numbered reason, and the last one stays in force.
func (d *demo) breakSubtree() error {
	bad := strings.Replace(d.text, "floor_percent = 20", "floor_percent = many", 1)
	if err := d.fleet.PublishTeam(d.team, []byte(bad)); err != nil {
		return err
	}
	err := d.fleet.AwaitAll(convergeLimit, "the refusal", func(s *operator.Status) bool {
		for _, i := range s.Documents {
			if i.Key == "teams/"+d.team {
				return i.Revision == 2 && i.RefusedRevision == 3
			}
		}
		return false
	})
	if err != nil {
		return err
	}
	s, err := d.fleet.Hosts[0].Status()
	if err != nil {
		return err
	}
	for _, i := range s.Documents {
		if i.RefusedRevision > 0 {
			fmt.Printf("a bad subtree is refused on every node, revision %d stays: %s\n", i.Revision, i.RefusedReason)
		}
	}
	return nil
}

// stopBackend stops a node and its backend server while calls go on; nothing may be cut.
func (d *demo) stopBackend() error {
	h := d.fleet.Hosts[0]
	others := d.callers()[1:]
	stop := d.startLoadAt(loadTime, others)
	time.Sleep(loadTime / 4)
	h.Node().Signal(syscall.SIGTERM)
	status, err := h.Node().Await(stopLimit)
	if err != nil || status != 0 {
		d.fail("the stopped node ended with status %d: %v", status, err)
	}
	counts, err := h.ServerCounts()
	if err != nil {
		return err
	}
	h.Server().Signal(syscall.SIGTERM)
	cut := int64(0)
	for _, f := range stop() {
		d.report(f)
		cut += f.result.Cut
	}
	fmt.Printf("backend server %s stopped after %d requests: %d answers cut, %d cancelled, %d run twice\n", h.Name, counts.Executed, cut, counts.Cancelled, counts.Duplicates)
	if counts.Cancelled > 0 || counts.Duplicates > 0 {
		d.fail("the stopped backend server lost work: %+v", counts)
	}
	return nil
}

// control prints the control bytes that the nodes spent.
func (d *demo) control() error {
	var sent, received int64
	var seconds float64
	for _, h := range d.fleet.Hosts[1:] {
		s, err := h.Status()
		if err != nil {
			return err
		}
		sent += s.ControlSent
		received += s.ControlReceived
		seconds += time.Since(s.StartedAt).Seconds()
	}
	fmt.Printf("control traffic: %.0f bytes sent and %.0f received a second and node\n", float64(sent)/seconds, float64(received)/seconds)
	counts, err := d.fleet.Counts()
	if err != nil {
		return err
	}
	fmt.Printf("calls to the platform: %d, refused by it %d\n", counts.Requests, counts.Refused)
	return nil
}

func (d *demo) startLoad(span time.Duration) func() []*flow {
	return d.startLoadAt(span, d.callers())
}

// startLoadAt sends every kind of call for a time; the function that it returns waits for the end.
func (d *demo) startLoadAt(span time.Duration, addresses []string) func() []*flow {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	var wg sync.WaitGroup
	var flows []*flow
	for _, k := range d.kinds {
		k.Name = fmt.Sprintf("%s-%d", k.Name, time.Now().UnixNano())
		f := &flow{load: scenario.NewLoad(k, callsPerKind, addresses), wg: &wg}
		flows = append(flows, f)
		wg.Add(1)
		go f.run(ctx)
	}
	return func() []*flow {
		defer cancel()
		wg.Wait()
		return flows
	}
}

func (f *flow) run(ctx context.Context) {
	defer f.wg.Done()
	f.result = f.load.Run(ctx)
}

// report prints what a load saw; every call has to have got its own whole answer.
func (d *demo) report(f *flow) {
	r := f.result
	name, _, _ := strings.Cut(f.load.Kind.Name, "-")
	fmt.Printf("  %-12s %4d sent, %4d whole, p50 %.2f ms, p99 %.2f ms\n", name, r.Sent, r.Whole, r.Percentile(50), r.Percentile(99))
	if r.Sent == 0 || r.Whole != r.Sent {
		d.fail("%s: %d of %d calls had no whole answer, by code %v", name, r.Sent-r.Whole, r.Sent, r.Codes)
	}
}

// command runs the operators' client against the last node and prints what it says.
func (d *demo) command(args ...string) {
	last := d.fleet.Hosts[len(d.fleet.Hosts)-1]
	c := exec.Command(d.binaries.Jaypitch, append(args, "--node", last.Operator())...)
	out, err := c.Output()
	fmt.Printf("$ jaypitch %s\n%s", strings.Join(args, " "), out)
	if err != nil {
		d.fail("jaypitch %s: %v", strings.Join(args, " "), err)
	}
}

func (d *demo) callers() []string {
	var out []string
	for _, h := range d.fleet.Hosts {
		out = append(out, h.Caller())
	}
	return out
}

func (d *demo) fail(format string, args ...any) {
	d.failures = append(d.failures, d.name+": "+fmt.Sprintf(format, args...))
}

func revisionOf(s *operator.Status, key string) int64 {
	for _, d := range s.Documents {
		if d.Key == key {
			return d.Revision
		}
	}
	return 0
}

// withoutCustomer takes a customer's section and its names out of a subtree.
func withoutCustomer(text, customer string) string {
	text = strings.ReplaceAll(text, "[customer "+customer+"]\n", "")
	return strings.ReplaceAll(text, ", "+customer, "")
}
