package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/explain"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// Config describes a run.
type Config struct {
	// Program is the path of jaypitchd, Dir the folder for settings and logs.
	Program, Dir string
	Seed         uint64
	Processes    int
	// Length is the time in which faults are injected.
	Length time.Duration
	// Network is the third byte of the addresses; runs at the same time need different ones.
	Network int
	// Planted are faults of the stand-ins for servers, by host, that the run has to report.
	Planted map[int]standin.Behaviour
	// Slack is added to the bounds on time.
	Slack time.Duration
	// Progress gets a line each second.
	Progress io.Writer
}

// session is one run of the soak test.
type session struct {
	config  Config
	mesh    *scenario.Mesh
	hosts   []*host
	metrics *http.Client
	began   time.Time

	mu      sync.Mutex
	checker *Checker
	faults  map[FaultKind]int
	stalls  int

	// storeMu serialises what operators and servers write to the store.
	storeMu   sync.Mutex
	version   int
	evacuated map[string]bool
}

// host is a host of a run.
type host struct {
	// process is held while the host's sidecar is ended or started.
	process sync.Mutex
	// startedAt is when the sidecar was last started; process protects it.
	startedAt time.Time
	proxies   [links]*proxy
	// entry is the server's entry as it should be in the store; listed is false while it is removed. storeMu protects both.
	entry  standin.ServerEntry
	listed bool
}

const (
	// frontNetwork is the second byte of the addresses of proxies.
	frontNetwork = 19
	slots        = 8
	serviceTime  = 5 * time.Millisecond
	slowService  = 400 * time.Millisecond
	healthPath   = "/health"
	coldTime     = 3 * time.Second
	coldRate     = 12
	coldOverage  = 1.5
	coldSlack    = 8
	memoryMB     = 64
	mebibyte     = 1 << 20
	// DefaultSlack is for a machine that others use too.
	DefaultSlack = 1500 * time.Millisecond
	// retryRatio and retrySlack are below the defaults, so that a small load reaches the bound.
	retryRatio      = 0.05
	retrySlack      = 20
	retryWindow     = 10 * time.Second
	startTimeout    = time.Minute
	recoveryTimeout = 30 * time.Second
	// stopTimeout is beyond the grace time of 6 s in which a sidecar stops.
	stopTimeout = 10 * time.Second
	// stallTolerance is the part of a second that arrivals may be late without being excused: at 14 a second the bound of 26 has room for more.
	stallInterval   = 50 * time.Millisecond
	stallTolerance  = 200 * time.Millisecond
	sampleInterval  = 500 * time.Millisecond
	metricsTimeout  = 2 * time.Second
	clientsPerHost  = 3
	hostileInterval = 100 * time.Millisecond
	hostileClients  = 10
	linkDelay       = 100 * time.Millisecond
	storeDelay      = 400 * time.Millisecond
	// handlerTime is the age from which a process is stopped as planned: SIGTERM ends one that hasn't installed its handler yet.
	handlerTime = time.Second
	// rewriteDelay is how long after a restore from a copy the operators and servers write their entries again.
	rewriteDelay = 500 * time.Millisecond
	// namedLimit is the rate that servers in need name, in requests a second.
	namedLimit = 6
)

var (
	// DataCentres are the data centres of the hosts, in turn.
	DataCentres = []string{"east", "north", "west"}

	versionLine = regexp.MustCompile(`(?m)^jaypitch_sidecar_version (\S+)$`)
	errStart    = errors.New("the sidecars didn't serve within the time for a start")
)

// Run starts the processes, injects the faults of the seed's plan and returns the report. It has ended its processes when it returns, also when the
// context ends before.
func Run(ctx context.Context, c Config) (*Report, error) {
	r := &session{config: c, metrics: &http.Client{Timeout: metricsTimeout}, faults: map[FaultKind]int{}, evacuated: map[string]bool{}}
	var centres []string
	for i := range c.Processes {
		r.hosts = append(r.hosts, &host{})
		centres = append(centres, DataCentres[i%len(DataCentres)])
	}
	r.checker = NewChecker(Bounds{Drain: 2 * time.Second, Evacuation: 5 * time.Second, Version: 2 * time.Second, Slack: c.Slack, ColdPerSecond: coldRate*coldOverage + coldSlack,
		RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow, MemoryBytes: memoryMB * mebibyte}, centres...)
	if err := r.start(); err != nil {
		r.close()
		return nil, err
	}
	defer r.close()
	if err := r.awaitStart(ctx); err != nil {
		return nil, err
	}
	r.began = time.Now()
	r.inject(ctx)
	return r.report(), ctx.Err()
}

// start starts the store, the hosts and the proxies.
func (r *session) start() error {
	m, err := scenario.NewMesh(r.config.Program, r.config.Dir, r.config.Network, readPrefix)
	if err != nil {
		return err
	}
	r.mesh = m
	m.Store.SetClientLimits(standin.ClientLimits{HeadBytes: 16384, BodyBytes: 1 << 20, HeadS: 3, IdleS: 15})
	r.version = 1
	r.configure()
	m.SidecarSettings = fmt.Sprintf("memory_mb = %d", memoryMB)
	m.Settings = fmt.Sprintf("[cold]\noverage = %g\nslack = %d\n[bounds]\nretry_ratio = %g\nretry_slack = %d\n", coldOverage, coldSlack, retryRatio, retrySlack)
	m.Fronts = r.front
	m.ServerOptions = r.serverOptions
	for i, h := range r.hosts {
		m.DataCentre = DataCentres[i%len(DataCentres)]
		if err := m.AddHost(slots, serviceTime); err != nil {
			return err
		}
		h.entry = standin.ServerEntry{ID: m.Hosts[i].ServerID, Address: h.proxies[linkBackend].listener.Addr().String(), Service: scenario.MeshService,
			DataCentre: m.DataCentre, Slots: slots, BornMS: time.Now().UnixMilli()}
		r.list(i, func(*standin.ServerEntry) {})
		m.Hosts[i].Server.SetBehaviour(r.config.Planted[i])
	}
	return nil
}

// startSidecar starts the sidecar of a host. The caller holds its lock.
func (r *session) startSidecar(i int) {
	r.hosts[i].startedAt = time.Now()
	_ = r.mesh.StartSidecar(i) // the sampler reports a process that doesn't run
}

// front returns the addresses of a host's proxies. Other hosts know the host by their IP address. The proxies of all hosts are started before the
// first sidecar, so that no connection has taken one of their ports.
func (r *session) front(i int, b scenario.FrontBackends) (backend, store string, err error) {
	_, port, _ := strings.Cut(b.Backend, ":")
	_, peersPort, _ := strings.Cut(b.Peers, ":")
	for n, h := range r.hosts {
		if i > 0 {
			break
		}
		ip := fmt.Sprintf("127.%d.%d.%d:", frontNetwork, r.config.Network, n+1)
		if h.proxies[linkBackend], err = newProxy(ip+port, r.hostIP(n)+":"+port, nil); err != nil {
			return "", "", err
		}
		if h.proxies[linkPeers], err = newProxy(ip+peersPort, r.hostIP(n)+":"+peersPort, frontIP); err != nil {
			return "", "", err
		}
		// The store tells hosts apart by their addresses.
		if h.proxies[linkStore], err = newProxy(ip+"0", b.Store, func(net.IP) net.IP { return net.ParseIP(r.hostIP(n)) }); err != nil {
			return "", "", err
		}
	}
	p := r.hosts[i].proxies
	return p[linkBackend].listener.Addr().String(), p[linkStore].listener.Addr().String(), nil
}

// frontIP returns the IP address of the proxies of a sidecar, by which the other sidecars know it.
func frontIP(sidecar net.IP) net.IP {
	out := slices.Clone(sidecar.To4())
	out[1] = frontNetwork
	return out
}

func (r *session) hostIP(i int) string {
	return fmt.Sprintf("127.18.%d.%d", r.config.Network, i+1)
}

func (r *session) serverOptions(i int) []standin.ServerOption {
	cold := time.Now()
	if !r.began.IsZero() {
		cold = cold.Add(coldTime)
	}
	return []standin.ServerOption{standin.WithHealth(healthPath, cold), standin.WithDownloads(downloadPrefix, downloadBytes), standin.WithObserver(func(a standin.Arrival) {
		r.record(func(c *Checker, _ time.Time) { c.Arrive(i, a) })
	})}
}

// record passes an event to the checker.
func (r *session) record(event func(c *Checker, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event(r.checker, time.Now())
}

// configure writes the next version of the configuration.
func (r *session) configure() {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	r.version++
	r.putConfig()
	r.record(func(c *Checker, now time.Time) { c.Configure(int64(r.version), now) })
}

// putConfig writes the configuration. The caller holds storeMu.
func (r *session) putConfig() {
	service := standin.ServiceLimits{Name: scenario.MeshService, HealthPath: healthPath, Cold: coldTime, ColdRate: coldRate}
	r.mesh.Store.PutMeshConfig(r.version, scenario.MeshDomain, service,
		standin.MeshRule{Prefix: readPrefix, Kind: standin.Idempotent, TargetS: 0.5, TimeoutS: 2, Attempts: 3},
		standin.MeshRule{Prefix: writePrefix, Kind: standin.NonIdempotent, TargetS: 0.5, TimeoutS: 2, Attempts: 3},
		standin.MeshRule{Prefix: downloadPrefix, Kind: standin.Download, TargetS: 1, TimeoutS: 3, Attempts: 2})
}

// list changes the entry of a host's server and writes it with the next number.
func (r *session) list(i int, change func(e *standin.ServerEntry)) {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	h := r.hosts[i]
	change(&h.entry)
	h.entry.Seq++
	h.listed = true
	r.mesh.Store.PutServerEntry(h.entry)
}

// awaitStart waits until every sidecar serves.
func (r *session) awaitStart(ctx context.Context) error {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); {
		if r.mesh.AllRespond("ready", platform.ReadyPath, http.StatusOK) {
			return nil
		}
		if !pause(ctx, hostileInterval) {
			return ctx.Err()
		}
	}
	return errStart
}

// inject runs the clients and the faults of the plan, and then waits until all clients are served.
func (r *session) inject(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var clients, faults sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for i := range r.hosts {
		for n := range clientsPerHost {
			clients.Go(func() { newClient(r, i, i*clientsPerHost+n).loop(ctx) })
		}
		clients.Go(func() { (&sampler{session: r, host: i}).loop(ctx) })
	}
	clients.Go(func() { r.loopProgress(ctx) })
	clients.Go(func() { r.loopStalls(ctx) })
	for _, f := range Plan(r.config.Seed, len(r.hosts), r.config.Length) {
		if !pause(ctx, time.Until(r.began.Add(f.At))) {
			break
		}
		fmt.Fprintf(r.config.Progress, "%6.2f s %s\n", time.Since(r.began).Seconds(), f)
		r.mu.Lock()
		r.faults[f.Kind]++
		r.mu.Unlock()
		faults.Go(func() { (&injection{session: r, fault: f, host: r.hosts[f.Host]}).run(ctx) })
	}
	faults.Wait()
	pause(ctx, time.Until(r.began.Add(r.config.Length)))
	if ctx.Err() == nil {
		r.awaitRecovery(ctx)
	}
}

// awaitRecovery waits until the clients of each host are served by each rule.
func (r *session) awaitRecovery(ctx context.Context) {
	limit := time.Now().Add(recoveryTimeout)
	for i := range r.hosts {
		served := false
		for n := 0; !served && time.Now().Before(limit) && ctx.Err() == nil; n++ {
			served = true
			for _, path := range []string{readPrefix, writePrefix, downloadPrefix} {
				id := fmt.Sprintf("s%d-after-%d-%d%s", r.config.Seed, i, n, path)
				r.record(func(c *Checker, now time.Time) { c.Begin(id, Read, i, now) })
				served = served && r.mesh.Get(i, "callers", path+"a", id, nil) == http.StatusOK
			}
			if !served {
				pause(ctx, hostileInterval)
			}
		}
		r.record(func(c *Checker, now time.Time) { c.SeeServed(i, served, now) })
	}
}

// loopStalls records when this process didn't run, and settles what needs to know that.
func (r *session) loopStalls(ctx context.Context) {
	last := time.Now()
	for pause(ctx, stallInterval) {
		now := time.Now()
		r.record(func(c *Checker, _ time.Time) {
			if now.Sub(last) > stallInterval+stallTolerance {
				c.Stall(last, now)
				r.stalls++
			}
			c.Settle(now.Add(-time.Second))
		})
		last = now
	}
}

// loopProgress prints a line each second.
func (r *session) loopProgress(ctx context.Context) {
	for pause(ctx, time.Second) {
		r.mu.Lock()
		checks, faults := 0, 0
		for _, n := range r.checker.checks {
			checks += n
		}
		for _, n := range r.faults {
			faults += n
		}
		fmt.Fprintf(r.config.Progress, "%6.2f s %d requests, %d checks, %d faults, largest memory %.1f MiB, %d failures\n", time.Since(r.began).Seconds(),
			len(r.checker.requests), checks, faults, float64(r.checker.peakMemory)/mebibyte, len(r.checker.failures))
		r.mu.Unlock()
	}
}

// close ends everything that the run started, and writes the logs.
func (r *session) close() {
	if r.mesh == nil {
		return
	}
	for _, h := range r.hosts {
		for _, p := range h.proxies {
			if p != nil {
				p.close()
			}
		}
	}
	r.mesh.Close()
	for i, h := range r.mesh.Hosts {
		_ = os.WriteFile(r.logFile(i), []byte(h.Output()), 0o600)
	}
}

func (r *session) logFile(i int) string {
	return filepath.Join(r.config.Dir, fmt.Sprintf("sidecar_%d.log", i))
}

// explainAll adds the course of the request to each failure.
func (r *session) explainAll(failures []Failure) {
	var lines []explain.Line
	for _, h := range r.mesh.Hosts {
		read, err := explain.Read(strings.NewReader(h.Output()))
		if err == nil {
			lines = append(lines, read...)
		}
	}
	for i := range failures {
		f := &failures[i]
		if f.ID == "" {
			continue
		}
		e, err := explain.Explain(lines, f.ID)
		if err != nil {
			f.Explanation = err.Error()
			continue
		}
		f.Explanation = e.Cause
		for _, l := range e.Lines {
			f.Explanation += fmt.Sprintf("\n%s  %s  %s  %s", l.At.Format("15:04:05.000"), l.Node, l.Message, l.Summary())
		}
	}
}

// sampler asks one host's sidecar for what operators see.
type sampler struct {
	session *session
	host    int
}

func (s *sampler) loop(ctx context.Context) {
	for n := 0; pause(ctx, sampleInterval); n++ {
		s.sampleProcess()
		s.sampleVersion()
		if n%len(s.session.hosts) == s.host {
			s.sampleEvidence()
		}
	}
}

// sampleProcess checks the memory of the process and that it is alive. A process that ended is started again.
func (s *sampler) sampleProcess() {
	h := s.session.hosts[s.host]
	if !h.process.TryLock() {
		return
	}
	defer h.process.Unlock()
	peak, state := readStatus(s.session.mesh.Hosts[s.host].PID())
	alive := state != "Z" && state != ""
	s.session.record(func(c *Checker, now time.Time) {
		c.SeeProcess(s.host, alive, now)
		if alive {
			c.SeeMemory(s.host, peak, now)
		}
	})
	if !alive {
		_ = s.session.mesh.Kill(s.host)
		s.session.startSidecar(s.host)
	}
}

func (s *sampler) sampleVersion() {
	h := s.session.hosts[s.host]
	if !h.process.TryLock() {
		return
	}
	pid := s.session.mesh.Hosts[s.host].PID()
	h.process.Unlock()
	asked := time.Now()
	m := versionLine.FindSubmatch(s.get("/metrics"))
	if m == nil {
		return
	}
	v, err := strconv.ParseFloat(string(m[1]), 64)
	if err == nil && h.process.TryLock() {
		// The response is dropped if another process may have sent it.
		if pid == s.session.mesh.Hosts[s.host].PID() {
			s.session.record(func(c *Checker, _ time.Time) { c.SeeVersion(s.host, pid, int64(v), asked) })
		}
		h.process.Unlock()
	}
}

// sampleEvidence asks whether evacuated data centres, and servers that are draining or removed, get nothing any more.
func (s *sampler) sampleEvidence() {
	r := s.session
	for _, d := range DataCentres {
		r.storeMu.Lock()
		evacuated := r.evacuated[d]
		r.storeMu.Unlock()
		if evacuated && s.gone("data_centre="+d) {
			r.record(func(c *Checker, now time.Time) { c.Gone(d, now) })
		}
	}
	for i, h := range r.hosts {
		r.storeMu.Lock()
		closed, seq, id := !h.listed || h.entry.Draining, h.entry.Seq, h.entry.ID
		r.storeMu.Unlock()
		if !closed || !s.gone("backend="+id) {
			continue
		}
		r.storeMu.Lock()
		// A number that has changed may mean that the server opened meanwhile. After a restore it changes too.
		if seq == h.entry.Seq && id == h.entry.ID {
			r.record(func(c *Checker, now time.Time) { c.GoneServer(i, now) })
		}
		r.storeMu.Unlock()
	}
}

// gone reports whether the evidence says that a subject gets nothing any more.
func (s *sampler) gone(subject string) bool {
	var report evidence.Report
	return json.Unmarshal(s.get("/evidence?timeout=1s&"+subject), &report) == nil && report.Verdict == evidence.VerdictGone
}

func (s *sampler) get(path string) []byte {
	resp, err := s.session.metrics.Get(s.session.mesh.URL(s.host, "metrics") + path)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil
	}
	return body
}

// readStatus returns the peak memory in bytes and the state of a process, which is empty if it has ended.
func readStatus(pid int) (peak int64, state string) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, ""
	}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		switch fields := strings.Fields(rest); {
		case name == "State":
			state = fields[0]
		case name == "VmHWM":
			kib, _ := strconv.ParseInt(fields[0], 10, 64)
			peak = kib << 10
		}
	}
	return peak, state
}

// stopSidecar stops a host's sidecar as planned. One that doesn't end is killed, which its exit status shows.
func (r *session) stopSidecar(i int) {
	pid := r.mesh.Hosts[i].PID()
	r.record(func(c *Checker, now time.Time) { c.Stop(i, now) })
	t := time.AfterFunc(stopTimeout, func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	err := r.mesh.Stop(i)
	t.Stop()
	r.record(func(c *Checker, now time.Time) { c.Stopped(i, err, now) })
}
