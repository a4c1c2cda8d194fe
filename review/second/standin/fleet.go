package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/standin"
)

// fleet is a deployment: the store, and machines with a backend server and a sidecar each.
type fleet struct {
	program  string
	dir      string
	store    *standin.Store
	machines []*machine
	ports    map[string]int
	network  int
	// linkMbps and drain are settings of the sidecars that are added from now on.
	linkMbps float64
	memoryMB int
	drain    time.Duration
	// storeListeners are those of the store, one for each machine.
	storeListeners []*silentListener

	mu    sync.Mutex
	out   *os.File
	began time.Time
	calls map[int]int // waiting watches of the store, by machine
}

// machine is one machine of the deployment.
type machine struct {
	index   int
	ip      string
	service string
	server  *server
	process *exec.Cmd
}

// route is one rule of the configuration.
type route struct {
	prefix, kind, service string
	timeoutS, targetS     float64
	priority              int
}

const (
	hostName      = "ficu95.example"
	readsPerS     = 2000
	pageSize      = 50
	slots         = 12
	startTimeout  = 15 * time.Second
	firstPort     = 16000
	portRange     = 14000
	maxFiles      = 4100
	settingsEnv   = "JAYPITCH_SETTINGS"
	storeListener = "store"
)

func newFleet(program, record string) (*fleet, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir, store: standin.NewStore(readsPerS, pageSize), ports: map[string]int{}, network: 1 + rand.IntN(250), out: out, began: time.Now(), calls: map[int]int{}, linkMbps: 1000, memoryMB: 134, drain: 2 * time.Second}
	for _, name := range []string{"callers", "peers", "ready", "metrics", "backend", storeListener} {
		if f.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freePort() (int, error) {
	for range 100 {
		port := firstPort + rand.IntN(portRange)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, errors.New("no free port was found")
}

// record writes a line of the record with the time since the start of the case.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// add starts a machine: its server, which registers itself, and its sidecar.
func (f *fleet) add(service string) (*machine, error) {
	i := len(f.machines)
	m := &machine{index: i, ip: fmt.Sprintf("127.77.%d.%d", f.network, i+1), service: service}
	s, err := newServer(f, m.address(f, "backend"), fmt.Sprintf("i-%08x", rand.Uint32()), service)
	if err != nil {
		return nil, err
	}
	m.server = s
	l, err := net.Listen("tcp", m.address(f, storeListener))
	if err != nil {
		return nil, err
	}
	silent := newSilentListener(l)
	f.storeListeners = append(f.storeListeners, silent)
	go f.serveStore(silent, i)
	f.machines = append(f.machines, m)
	f.register(m, "ready")
	return m, f.start(m)
}

// serveStore serves the store to one machine at an address of its own, so that the platform sees which machine waits for changes.
func (f *fleet) serveStore(l net.Listener, machine int) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waits := r.FormValue("waitMs") != "" && r.FormValue("waitMs") != "0"
		f.count(machine, waits, 1)
		defer f.count(machine, waits, -1)
		f.store.ServeHTTP(&storeWriter{ResponseWriter: w}, r)
	})
	_ = (&http.Server{Handler: h, ReadHeaderTimeout: startTimeout}).Serve(l) // ends with the process
}

func (f *fleet) count(machine int, waits bool, n int) {
	if !waits {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[machine] += n
}

// watching reports whether a machine waits for changes of the store.
func (f *fleet) watching(machine int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[machine] > 0
}

// storeWriter leaves out a header that the pages don't have.
type storeWriter struct{ http.ResponseWriter }

func (w *storeWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *storeWriter) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

func (f *fleet) register(m *machine, state string) {
	f.put("servers/"+m.server.id, map[string]any{"address": m.address(f, "backend"), "born": m.server.born.UnixMilli(),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": "mvd-centro", "slots": slots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemainingS": 0}})
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int, routes []route) {
	var rules, clusters []any
	for i, r := range routes {
		rules = append(rules, map[string]any{"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "targetLatencyS": r.targetS, "priority": r.priority, "match": map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "maxAttempts": 2}})
	}
	named := map[string]bool{}
	for _, m := range f.machines {
		if !named[m.service] {
			clusters = append(clusters, map[string]any{"name": m.service, "protocol": "h1", "tls": false, "healthPath": "/health", "maxConnections": 110})
		}
		named[m.service] = true
	}
	f.put("op/config", map[string]any{"version": fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": hostName, "routeRules": rules}}, "clusters": clusters})
}

func (f *fleet) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers can be encoded
	}
	f.store.Put(key, text)
}

// start starts the sidecar of a machine with settings as the template of the deploy file makes them.
func (f *fleet) start(m *machine) error {
	text := fmt.Sprintf(`[sidecar]
host = sidecar-mvd-centro-%d
data_centre = mvd-centro
service = %s
backend = %s
memory_mb = %d
region = uy-sur
regions = mvd-centro:uy-sur
max_files = %d
link_mbps = %g

[cold]

[listen]
callers = %s
peers = %s
ready = %s
metrics = %s

[store]
address = %s

[bounds]
drain = %s
grace = 6s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 58
`, m.index+1, m.service, m.address(f, "backend"), f.memoryMB, maxFiles, f.linkMbps, m.address(f, "callers"), m.address(f, "peers"), m.address(f, "ready"), m.address(f, "metrics"), m.address(f, storeListener), f.drain)
	path := filepath.Join(f.dir, fmt.Sprintf("%d.ini", m.index))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%d.log", m.index)))
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(f.program)
	m.process.Env = append(os.Environ(), settingsEnv+"="+path)
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.process.Stdout, m.process.Stderr = log, log
	return m.process.Start()
}

// awaitReady waits until all sidecars are ready.
func (f *fleet) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if a, err := http.Get("http://" + m.address(f, "ready") + "/jaypitch/ready"); err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.machines) {
			f.record("all %d sidecars are ready", ready)
			return nil
		}
	}
	return errors.New("not all sidecars became ready")
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill() // fails only if it has ended
			_ = m.process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.out.Close()
}

// address returns the address of a listener on the machine.
func (m *machine) address(f *fleet, listener string) string {
	return fmt.Sprintf("%s:%d", m.ip, f.ports[listener])
}
