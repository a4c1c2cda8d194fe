package main

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/scenario"
)

// variant is a configuration of the distribution of documents between nodes; its figures begin with the prefix.
type variant struct {
	prefix  string
	options scenario.NodeOptions
}

// fleetSample holds counters: the control traffic of all nodes and the requests that the source received.
type fleetSample struct {
	sentBytes, receivedBytes int64
	sourceRequests           int64
}

const (
	spreadLimit = 60 * time.Second
	spreadTeam  = "fairs"
	// changeInterval yields 0.31 changes per second.
	changeInterval    = 3226 * time.Millisecond
	changeCount       = 6
	statusPollers     = 16
	spreadDataCentres = 4
)

var (
	spreadSizes = []int{50, 100, 200}
	variants    = []variant{
		{"", scenario.NodeOptions{SharedBackend: true}},
		{"baseline_every_node_reads_", scenario.NodeOptions{SharedBackend: true, Readers: 65536, SourceRequestsPerSecond: 1000000}},
		{"baseline_static_tree_", scenario.NodeOptions{SharedBackend: true, Parents: 1, ExchangeInterval: "60s", ServeUnconfirmed: "true"}},
	}
)

// benchSpread measures how long a change takes to reach 50, 100 and 200 nodes, and the traffic that it causes.
func benchSpread(b scenario.Binaries) error {
	for _, n := range spreadSizes {
		for _, v := range variants {
			err := withFleet(b, v.options, func(f *scenario.Fleet) error { return measureSpread(f, b, v, n) })
			if err != nil {
				return fmt.Errorf("%s%d nodes: %w", v.prefix, n, err)
			}
		}
	}
	return nil
}

func measureSpread(f *scenario.Fleet, b scenario.Binaries, v variant, n int) error {
	for i := range n {
		f.Add(fmt.Sprintf("host_%d", i), fmt.Sprintf("dc_%d", i%spreadDataCentres), "entry", 13, 120)
	}
	started := time.Now()
	if err := startFleet(f, spreadTeam, spreadTeamText(0)); err != nil {
		return err
	}
	printFigure(fmt.Sprintf("%scold_start_ready_ms_%d", v.prefix, n), float64(time.Since(started).Milliseconds()), "ms")
	before, err := sampleFleet(f)
	if err != nil {
		return err
	}
	from := time.Now()
	var times []time.Duration
	for i := range changeCount {
		next := time.Now().Add(changeInterval)
		took, err := measureConvergence(f, i+2, spreadTeamText(i+1))
		if err != nil {
			return err
		}
		times = append(times, took...)
		time.Sleep(time.Until(next))
	}
	after, err := sampleFleet(f)
	if err != nil {
		return err
	}
	seconds := time.Since(from).Seconds()
	slices.Sort(times)
	printFigure(fmt.Sprintf("%sconverge_all_ms_%d", v.prefix, n), ms(times[len(times)-1]), "ms")
	printFigure(fmt.Sprintf("%sconverge_p99_ms_%d", v.prefix, n), ms(times[len(times)*99/100]), "ms")
	printFigure(fmt.Sprintf("%ssource_calls_per_second_%d", v.prefix, n), float64(after.sourceRequests-before.sourceRequests)/seconds, "1/s")
	printFigure(fmt.Sprintf("%scontrol_sent_bytes_per_node_second_%d", v.prefix, n), float64(after.sentBytes-before.sentBytes)/seconds/float64(n), "B/s")
	printFigure(fmt.Sprintf("%scontrol_received_bytes_per_node_second_%d", v.prefix, n), float64(after.receivedBytes-before.receivedBytes)/seconds/float64(n), "B/s")
	if v.prefix == "" {
		if err := measureEvidence(f, b, n); err != nil {
			return err
		}
		if err := measureMassRestart(f, n); err != nil {
			return err
		}
	}
	return measureKilledNodes(f, v, n)
}

// startFleet publishes the host lists and a team's document, starts every host and waits until all nodes are ready.
func startFleet(f *scenario.Fleet, team string, text []byte) error {
	if err := f.PublishHosts(); err != nil {
		return err
	}
	if err := f.PublishTeam(team, text); err != nil {
		return err
	}
	if err := f.StartAll(); err != nil {
		return err
	}
	return f.AwaitReady(spreadLimit, "teams/"+team)
}

// measureConvergence publishes a version of the team's document and returns, for each node, the time until the node stored it.
func measureConvergence(f *scenario.Fleet, revision int, text []byte) ([]time.Duration, error) {
	published := time.Now()
	if err := f.PublishTeam(spreadTeam, text); err != nil {
		return nil, err
	}
	var took []time.Duration
	err := awaitEachStatus(f, spreadLimit, func(s *operator.Status) bool {
		for _, d := range s.Documents {
			if d.Key == "teams/"+spreadTeam && d.Revision >= int64(revision) {
				took = append(took, d.Since.Sub(published))
				return true
			}
		}
		return false
	})
	return took, err
}

// statusPoller polls the status of some of the hosts until each passes the check.
type statusPoller struct {
	hosts    []*scenario.Host
	deadline time.Time
	mu       *sync.Mutex
	check    func(s *operator.Status) bool
	err      error
	wg       *sync.WaitGroup
}

func (l *statusPoller) run() {
	defer l.wg.Done()
	for _, h := range l.hosts {
		for !l.passes(h) {
			if time.Now().After(l.deadline) {
				l.err = fmt.Errorf("host %q did not reach the expected status before the deadline", h.Name)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (l *statusPoller) passes(h *scenario.Host) bool {
	s, err := h.Status()
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(s)
}

// awaitEachStatus polls all hosts, several concurrently, until each passes the check. Calls of check are serialized.
func awaitEachStatus(f *scenario.Fleet, limit time.Duration, check func(s *operator.Status) bool) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	pollers := make([]*statusPoller, statusPollers)
	for i := range pollers {
		l := &statusPoller{deadline: time.Now().Add(limit), mu: &mu, check: check, wg: &wg}
		for j := i; j < len(f.Hosts); j += statusPollers {
			l.hosts = append(l.hosts, f.Hosts[j])
		}
		pollers[i] = l
		wg.Add(1)
		go l.run()
	}
	wg.Wait()
	for _, l := range pollers {
		if l.err != nil {
			return l.err
		}
	}
	return nil
}

func sampleFleet(f *scenario.Fleet) (fleetSample, error) {
	var out fleetSample
	counts, err := f.Counts()
	if err != nil {
		return out, err
	}
	out.sourceRequests = counts.Requests
	err = awaitEachStatus(f, spreadLimit, func(s *operator.Status) bool {
		out.sentBytes += s.ControlSentBytes
		out.receivedBytes += s.ControlReceivedBytes
		return true
	})
	return out, err
}

// measureEvidence measures the run time of the command jaypitch evidence: the shortest of 5 runs.
func measureEvidence(f *scenario.Fleet, b scenario.Binaries, n int) error {
	var best time.Duration
	for range 5 {
		started := time.Now()
		c := exec.Command(b.Jaypitch, "evidence", "--team", spreadTeam, "--customer", "nobody", "--node", f.Hosts[0].OperatorAddress())
		out, err := c.Output()
		if err != nil {
			return fmt.Errorf("running jaypitch evidence: %w: %s", err, out)
		}
		if took := time.Since(started); best == 0 || took < best {
			best = took
		}
	}
	printFigure(fmt.Sprintf("evidence_command_ms_%d", n), ms(best), "ms")
	return nil
}

// measureMassRestart kills half of the nodes, restarts them together, and measures the time until all are ready and the
// number of requests to the source.
func measureMassRestart(f *scenario.Fleet, n int) error {
	before, err := f.Counts()
	if err != nil {
		return err
	}
	half := f.Hosts[:n/2]
	for _, h := range half {
		h.Node().Signal(syscall.SIGKILL)
	}
	for _, h := range half {
		if _, err := h.Node().Await(spreadLimit); err != nil {
			return err
		}
	}
	started := time.Now()
	for _, h := range half {
		if err := h.StartNode(); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(spreadLimit, "teams/"+spreadTeam); err != nil {
		return err
	}
	printFigure(fmt.Sprintf("restart_herd_ready_ms_%d", n), float64(time.Since(started).Milliseconds()), "ms")
	after, err := f.Counts()
	if err != nil {
		return err
	}
	printFigure(fmt.Sprintf("restart_herd_source_calls_%d", n), float64(after.Requests-before.Requests), "calls")
	return nil
}

// measureKilledNodes kills a tenth of the nodes at once, including the first in the list, and measures how long a change takes to
// reach the rest.
func measureKilledNodes(f *scenario.Fleet, v variant, n int) error {
	var live []*scenario.Host
	for i, h := range f.Hosts {
		if i%10 == 0 {
			h.Node().Signal(syscall.SIGKILL)
		} else {
			live = append(live, h)
		}
	}
	f.Hosts = live
	took, err := measureConvergence(f, changeCount+2, spreadTeamText(changeCount+1))
	if err != nil {
		return err
	}
	printFigure(fmt.Sprintf("%sconverge_all_ms_%d_tenth_killed", v.prefix, n), ms(slices.Max(took)), "ms")
	return nil
}

// spreadTeamText is a team's document with 60 routes, a typical size; versions differ in the deadline of one route.
func spreadTeamText(version int) []byte {
	var b strings.Builder
	b.WriteString("[team]\nname = fairs\n\n[rank urgent]\norder = 1\n\n[service entry]\ndeadline = 2s\n\n[customer meadow]\n")
	for i := range 60 {
		deadline := 500
		if i == version%60 {
			deadline += version
		}
		fmt.Fprintf(&b, "\n[route route_%d]\nservice = entry\nrank = urgent\nidempotent = true\ncustomers = *\ndeadline = %dms\n", i, deadline)
	}
	return []byte(b.String())
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
