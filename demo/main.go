// Command demo runs two small deployments and a mesh of sidecars as processes on loopback addresses. In each deployment it sends
// requests, removes a customer, verifies that no node serves the customer any more, publishes an invalid document and stops a
// backend server. It ends every process that it started, and exits with 0 only if every step succeeded.
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

// demo is the state of the demonstration of one deployment.
type demo struct {
	name     string
	team     string
	document string
	fleet    *scenario.Fleet
	binaries scenario.Binaries
	kinds    []scenario.RequestKind
	// removedCustomer is the customer that a step removes; route is a route that serves it before.
	removedCustomer string
	route           string
	failures        []string
}

// backgroundLoad runs a load generator in a goroutine; result is set when the load has ended.
type backgroundLoad struct {
	generator *scenario.LoadGenerator
	result    scenario.Result
	wg        *sync.WaitGroup
}

const (
	readyLimit = 30 * time.Second
	stopLimit  = 15 * time.Second
	// convergeLimit is the time within which every node has to apply a new revision of a document.
	convergeLimit     = 4 * time.Second
	loadDuration      = 4 * time.Second
	requestsPerSecond = 60
	statusPause       = 5 * time.Millisecond
)

var (
	//go:embed fairs.ini
	fairs string
	//go:embed vans.ini
	vans string
)

func main() {
	var b scenario.Binaries
	flag.StringVar(&b.Jaypitch, "jaypitch", "bin/jaypitch", "path of the jaypitch program")
	flag.StringVar(&b.Standin, "standin", "bin/standin", "path of the program with the stand-ins for the platform and the backend servers")
	sidecarProgram := flag.String("jaypitchd", "bin/jaypitchd", "path of the sidecar program")
	hold := flag.Bool("hold", false, "start one deployment, print its addresses and run until interrupted")
	flag.Parse()
	scenario.CloseOnSignal()
	if *hold {
		runUntilInterrupted(kesongPerya(b))
		return
	}
	started := time.Now()
	failures := append(runDemo(kesongPerya(b)), runDemo(filoSolidario(b))...)
	failures = append(failures, runMesh(*sidecarProgram)...)
	if len(failures) > 0 {
		fmt.Printf("\nFAILED after %s:\n%s\n", time.Since(started).Round(time.Second), strings.Join(failures, "\n"))
		os.Exit(1)
	}
	fmt.Printf("\nall steps succeeded in %s\n", time.Since(started).Round(time.Second))
}

// runUntilInterrupted starts a deployment and prints its addresses. It blocks until SIGINT or SIGTERM ends the process.
func runUntilInterrupted(d *demo) {
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
	fmt.Printf("PLATFORM=%s\nNODE=%s\nCALLER=%s\n", d.fleet.Platform, first.OperatorAddress(), first.CallerAddress())
	select {}
}

func kesongPerya(b scenario.Binaries) *demo {
	return &demo{name: "Kesong Perya", team: "fairs", document: fairs, binaries: b, removedCustomer: "hill_goats", route: "file_entry", kinds: []scenario.RequestKind{
		{Name: "charge_fee", Path: "/fairs/charge_fee/charge?ms=4", Customer: "meadow", Target: 100 * time.Millisecond, Body: "fee"},
		{Name: "file_entry", Path: "/fairs/file_entry/entry?ms=4", Customer: "dairy_coop", Target: 250 * time.Millisecond, Body: "entry"},
		{Name: "lot_sheet", Path: "/fairs/lot_sheet/lot?ms=4", Customer: "meadow", Target: 500 * time.Millisecond},
	}}
}

func filoSolidario(b scenario.Binaries) *demo {
	return &demo{name: "Filo Solidario", team: "vans", document: vans, binaries: b, removedCustomer: "canelones", route: "book_visit", kinds: []scenario.RequestKind{
		{Name: "charge_shop", Path: "/vans/charge_shop/charge?ms=4", Customer: "centro", Target: 100 * time.Millisecond, Body: "charge"},
		{Name: "book_visit", Path: "/vans/book_visit/visit?ms=4", Customer: "centro", Target: 250 * time.Millisecond, Body: "visit"},
		{Name: "next_van", Path: "/vans/next_van/van?ms=4", Customer: "centro", Target: 500 * time.Millisecond},
	}}
}

// runDemo runs all steps on one deployment and returns the failures.
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
	for _, step := range []func() error{d.start, d.sendRequests, d.removeCustomer, d.publishInvalidDocument, d.stopBackend, d.printControlTraffic} {
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
	if err := d.fleet.PublishTeam(d.team, []byte(d.document)); err != nil {
		return err
	}
	started := time.Now()
	if err := d.fleet.StartAll(); err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(readyLimit, "teams/"+d.team); err != nil {
		return err
	}
	fmt.Printf("%d nodes and their backend servers ready after %.1f s\n", len(d.fleet.Hosts), time.Since(started).Seconds())
	return nil
}

// sendRequests sends requests of every rank to every node.
func (d *demo) sendRequests() error {
	stop := d.startLoad(loadDuration)
	for _, f := range stop() {
		d.report(f)
	}
	return nil
}

// removeCustomer removes a customer from the team's document under load. It then prints the evidence that the customer is unused,
// and checks that every node refuses the customer's requests.
func (d *demo) removeCustomer() error {
	stop := d.startLoad(loadDuration)
	d.document = withoutCustomer(d.document, d.removedCustomer)
	published := time.Now()
	if err := d.fleet.PublishTeam(d.team, []byte(d.document)); err != nil {
		return err
	}
	err := d.fleet.AwaitAll(convergeLimit, "the new revision", func(s *operator.Status) bool { return revisionOf(s, "teams/"+d.team) >= 2 })
	if err != nil {
		d.fail("%s", err)
	} else {
		fmt.Printf("customer %s removed: every node applied the new revision after %d ms\n", d.removedCustomer, time.Since(published).Milliseconds())
	}
	d.runCommand("evidence", "--customer", d.removedCustomer, "--team", d.team)
	for _, f := range stop() {
		d.report(f)
	}
	k := scenario.RequestKind{Name: "departed", Path: "/" + d.team + "/" + d.route + "/x", Customer: d.removedCustomer, Body: "late"}
	d.checkRefused(k)
	return nil
}

// checkRefused checks that every node refuses requests for the removed customer.
func (d *demo) checkRefused(k scenario.RequestKind) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := scenario.NewLoadGenerator(k, float64(len(d.fleet.Hosts)), d.callerAddresses()).Run(ctx)
	fmt.Printf("requests of the removed customer: %d sent, %d refused with code 101\n", r.Sent, r.Codes[101])
	if r.Sent == 0 || r.Codes[101] != r.Sent {
		d.fail("not all requests of the removed customer were refused; result codes: %v", r.Codes)
	}
}

// publishInvalidDocument publishes an invalid revision of the team's document. Every node has to refuse it with a result code and
// keep the previous revision in use.
func (d *demo) publishInvalidDocument() error {
	bad := strings.Replace(d.document, "floor_percent = 20", "floor_percent = many", 1)
	if err := d.fleet.PublishTeam(d.team, []byte(bad)); err != nil {
		return err
	}
	err := d.fleet.AwaitAll(convergeLimit, "the refusal of the invalid document", func(s *operator.Status) bool {
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
			fmt.Printf("every node refused an invalid document and keeps revision %d: %s\n", i.Revision, i.RefusedReason)
		}
	}
	return nil
}

// stopBackend stops a node and its backend server while the other nodes get requests. No response may be truncated,
// and the server may neither cancel a request nor execute one twice.
func (d *demo) stopBackend() error {
	h := d.fleet.Hosts[0]
	others := d.callerAddresses()[1:]
	stop := d.startLoadAt(loadDuration, others)
	time.Sleep(loadDuration / 4)
	h.Node().Signal(syscall.SIGTERM)
	status, err := h.Node().Await(stopLimit)
	if err != nil || status != 0 {
		d.fail("the stopped node exited with status %d: %v", status, err)
	}
	counts, err := h.ServerCounts()
	if err != nil {
		return err
	}
	h.Server().Signal(syscall.SIGTERM)
	invalid := int64(0)
	for _, f := range stop() {
		d.report(f)
		invalid += f.result.Invalid
	}
	fmt.Printf("backend server %s stopped after %d requests: %d invalid responses, %d requests canceled, %d executed twice\n", h.Name, counts.Executed, invalid, counts.Canceled, counts.Duplicates)
	if counts.Canceled > 0 || counts.Duplicates > 0 {
		d.fail("the stopped backend server canceled requests or executed some twice: %+v", counts)
	}
	return nil
}

// printControlTraffic prints how much control traffic the nodes sent and received, and how many requests the platform counted.
func (d *demo) printControlTraffic() error {
	var sent, received int64
	var seconds float64
	for _, h := range d.fleet.Hosts[1:] {
		s, err := h.Status()
		if err != nil {
			return err
		}
		sent += s.ControlSentBytes
		received += s.ControlReceivedBytes
		seconds += time.Since(s.StartedAt).Seconds()
	}
	fmt.Printf("control traffic per node: %.0f bytes/s sent, %.0f bytes/s received\n", float64(sent)/seconds, float64(received)/seconds)
	counts, err := d.fleet.Counts()
	if err != nil {
		return err
	}
	fmt.Printf("requests to the platform: %d, %d of them refused\n", counts.Requests, counts.Refused)
	return nil
}

func (d *demo) startLoad(span time.Duration) func() []*backgroundLoad {
	return d.startLoadAt(span, d.callerAddresses())
}

// startLoadAt sends requests of every kind to the addresses in the background for a time span. The returned function waits for the end
// and returns the results.
func (d *demo) startLoadAt(span time.Duration, addresses []string) func() []*backgroundLoad {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	var wg sync.WaitGroup
	var runs []*backgroundLoad
	for _, k := range d.kinds {
		k.Name = fmt.Sprintf("%s-%d", k.Name, time.Now().UnixNano())
		f := &backgroundLoad{generator: scenario.NewLoadGenerator(k, requestsPerSecond, addresses), wg: &wg}
		runs = append(runs, f)
		wg.Add(1)
		go f.run(ctx)
	}
	return func() []*backgroundLoad {
		defer cancel()
		wg.Wait()
		return runs
	}
}

func (f *backgroundLoad) run(ctx context.Context) {
	defer f.wg.Done()
	f.result = f.generator.Run(ctx)
}

// report prints the result of a load generator and records a failure unless every request succeeded.
func (d *demo) report(f *backgroundLoad) {
	r := f.result
	name, _, _ := strings.Cut(f.generator.Kind.Name, "-")
	fmt.Printf("  %-12s %4d sent, %4d succeeded, p50 %.2f ms, p99 %.2f ms\n", name, r.Sent, r.Succeeded, r.Percentile(50), r.Percentile(99))
	if r.Sent == 0 || r.Succeeded != r.Sent {
		d.fail("%s: %d of %d requests did not succeed; result codes: %v", name, r.Sent-r.Succeeded, r.Sent, r.Codes)
	}
}

// runCommand runs a jaypitch command against the last node and prints its output.
func (d *demo) runCommand(args ...string) {
	last := d.fleet.Hosts[len(d.fleet.Hosts)-1]
	c := exec.Command(d.binaries.Jaypitch, append(args, "--node", last.OperatorAddress())...)
	out, err := c.Output()
	fmt.Printf("$ jaypitch %s\n%s", strings.Join(args, " "), out)
	if err != nil {
		d.fail("jaypitch %s: %v", strings.Join(args, " "), err)
	}
}

func (d *demo) callerAddresses() []string {
	var out []string
	for _, h := range d.fleet.Hosts {
		out = append(out, h.CallerAddress())
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

// withoutCustomer removes a customer's section, and its name from the lists of routes, from a document.
func withoutCustomer(text, customer string) string {
	text = strings.ReplaceAll(text, "[customer "+customer+"]\n", "")
	return strings.ReplaceAll(text, ", "+customer, "")
}
