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

// variant is a way of spreading settings.
type variant struct {
	prefix  string
	options scenario.NodeOptions
}

// spreadSample is one look at all nodes.
type spreadSample struct {
	sent, received int64
	calls          int64
}

const (
	spreadLimit = 60 * time.Second
	spreadTeam  = "fairs"
	// changeGap makes 0.31 changes a second.
	changeGap     = 3226 * time.Millisecond
	changeCount   = 6
	statusWorkers = 16
	spreadCentres = 4
)

var (
	spreadSizes = []int{50, 100, 200}
	variants    = []variant{
		{"", scenario.NodeOptions{SharedBackend: true}},
		{"baseline_every_node_reads_", scenario.NodeOptions{SharedBackend: true, Readers: 65536, SourceRequestsPerSecond: 1000000}},
		{"baseline_static_tree_", scenario.NodeOptions{SharedBackend: true, Parents: 1, ExchangeInterval: "60s", ServeUnconfirmed: "true"}},
	}
)

// benchSpread measures how a change reaches 50, 100 and 200 nodes, and what it costs.
func benchSpread(b scenario.Binaries) error {
	for _, n := range spreadSizes {
		for _, v := range variants {
			err := inFleet(b, v.options, func(f *scenario.Fleet) error { return spreadOver(f, b, v, n) })
			if err != nil {
				return fmt.Errorf("%s%d nodes: %w", v.prefix, n, err)
			}
		}
	}
	return nil
}

func spreadOver(f *scenario.Fleet, b scenario.Binaries, v variant, n int) error {
	for i := range n {
		f.Add(fmt.Sprintf("host_%d", i), fmt.Sprintf("dc_%d", i%spreadCentres), "entry", 13, 120)
	}
	started := time.Now()
	if err := startFleet(f, spreadTeam, subtree(0)); err != nil {
		return err
	}
	line(fmt.Sprintf("%scold_start_ready_ms_%d", v.prefix, n), float64(time.Since(started).Milliseconds()), "ms")
	before, err := sample(f)
	if err != nil {
		return err
	}
	from := time.Now()
	var times []time.Duration
	for i := range changeCount {
		next := time.Now().Add(changeGap)
		took, err := converge(f, i+2, subtree(i+1))
		if err != nil {
			return err
		}
		times = append(times, took...)
		time.Sleep(time.Until(next))
	}
	after, err := sample(f)
	if err != nil {
		return err
	}
	seconds := time.Since(from).Seconds()
	slices.Sort(times)
	line(fmt.Sprintf("%sconverge_all_ms_%d", v.prefix, n), ms(times[len(times)-1]), "ms")
	line(fmt.Sprintf("%sconverge_p99_ms_%d", v.prefix, n), ms(times[len(times)*99/100]), "ms")
	line(fmt.Sprintf("%ssource_calls_per_second_%d", v.prefix, n), float64(after.calls-before.calls)/seconds, "1/s")
	line(fmt.Sprintf("%scontrol_sent_bytes_per_node_second_%d", v.prefix, n), float64(after.sent-before.sent)/seconds/float64(n), "B/s")
	line(fmt.Sprintf("%scontrol_received_bytes_per_node_second_%d", v.prefix, n), float64(after.received-before.received)/seconds/float64(n), "B/s")
	if v.prefix == "" {
		if err := measureEvidence(f, b, n); err != nil {
			return err
		}
		if err := measureHerd(f, n); err != nil {
			return err
		}
	}
	return measureDead(f, v, n)
}

// startFleet publishes, starts every host and waits until all are ready.
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

// converge publishes a version and returns, for each node, how long it took to hold it.
func converge(f *scenario.Fleet, revision int, text []byte) ([]time.Duration, error) {
	published := time.Now()
	if err := f.PublishTeam(spreadTeam, text); err != nil {
		return nil, err
	}
	var took []time.Duration
	err := eachStatus(f, spreadLimit, func(s *operator.Status) bool {
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

// statusLoop asks a share of the hosts until each passes the check.
type statusLoop struct {
	hosts    []*scenario.Host
	deadline time.Time
	mu       *sync.Mutex
	check    func(s *operator.Status) bool
	err      error
	wg       *sync.WaitGroup
}

func (l *statusLoop) run() {
	defer l.wg.Done()
	for _, h := range l.hosts {
		for !l.passes(h) {
			if time.Now().After(l.deadline) {
				l.err = fmt.Errorf("host %q didn't pass in time", h.Name)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (l *statusLoop) passes(h *scenario.Host) bool {
	s, err := h.Status()
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(s)
}

// eachStatus asks all hosts, several at once, until each passes a check; checks never run at once.
func eachStatus(f *scenario.Fleet, limit time.Duration, check func(s *operator.Status) bool) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	loops := make([]*statusLoop, statusWorkers)
	for i := range loops {
		l := &statusLoop{deadline: time.Now().Add(limit), mu: &mu, check: check, wg: &wg}
		for j := i; j < len(f.Hosts); j += statusWorkers {
			l.hosts = append(l.hosts, f.Hosts[j])
		}
		loops[i] = l
		wg.Add(1)
		go l.run()
	}
	wg.Wait()
	for _, l := range loops {
		if l.err != nil {
			return l.err
		}
	}
	return nil
}

func sample(f *scenario.Fleet) (spreadSample, error) {
	var out spreadSample
	counts, err := f.Counts()
	if err != nil {
		return out, err
	}
	out.calls = counts.Requests
	err = eachStatus(f, spreadLimit, func(s *operator.Status) bool {
		out.sent += s.ControlSentBytes
		out.received += s.ControlReceivedBytes
		return true
	})
	return out, err
}

// measureEvidence times the operators' command from its start to its end.
func measureEvidence(f *scenario.Fleet, b scenario.Binaries, n int) error {
	var best time.Duration
	for range 5 {
		started := time.Now()
		c := exec.Command(b.Jaypitch, "evidence", "--team", spreadTeam, "--customer", "nobody", "--node", f.Hosts[0].OperatorAddress())
		out, err := c.Output()
		if err != nil {
			return fmt.Errorf("evidence: %w: %s", err, out)
		}
		if took := time.Since(started); best == 0 || took < best {
			best = took
		}
	}
	line(fmt.Sprintf("evidence_command_ms_%d", n), ms(best), "ms")
	return nil
}

// measureHerd kills half of the nodes and times their return.
func measureHerd(f *scenario.Fleet, n int) error {
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
	line(fmt.Sprintf("restart_herd_ready_ms_%d", n), float64(time.Since(started).Milliseconds()), "ms")
	after, err := f.Counts()
	if err != nil {
		return err
	}
	line(fmt.Sprintf("restart_herd_source_calls_%d", n), float64(after.Requests-before.Requests), "calls")
	return nil
}

// measureDead kills a tenth of the nodes at once, the first in the list among them, and times a change over the rest.
func measureDead(f *scenario.Fleet, v variant, n int) error {
	var live []*scenario.Host
	for i, h := range f.Hosts {
		if i%10 == 0 {
			h.Node().Signal(syscall.SIGKILL)
		} else {
			live = append(live, h)
		}
	}
	f.Hosts = live
	took, err := converge(f, changeCount+2, subtree(changeCount+1))
	if err != nil {
		return err
	}
	line(fmt.Sprintf("%sconverge_all_ms_%d_tenth_killed", v.prefix, n), ms(slices.Max(took)), "ms")
	return nil
}

// subtree is a team's subtree of a usual size; each version differs in one route.
func subtree(version int) []byte {
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
