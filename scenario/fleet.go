// Package scenario runs fleets of real processes on loopback addresses for the demo, the benchmarks
// and the scenario tests. It ends only what it started.
package scenario

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/standin"
)

// Binaries are the programs that a fleet runs.
type Binaries struct {
	Jaypitch string
	Standin  string
}

// Host is one host of a fleet: a node and, unless it is shared, a backend server.
type Host struct {
	Name       string
	DataCentre string
	Service    string
	IP         string
	Draining   bool
	Slots      int
	// Connections is what the backend server allows.
	Connections int
	// Backend is the address of the backend server.
	Backend string

	node   *Process
	server *Process
	fleet  *Fleet
}

// Fleet is a platform with hosts.
type Fleet struct {
	Platform string
	Hosts    []*Host

	dir      string
	binaries Binaries
	prefix   string
	options  NodeOptions
	started  []*Process
	mu       sync.Mutex
}

// NodeOptions are settings that all nodes of a fleet share.
type NodeOptions struct {
	PollWait         string
	ExchangeInterval string
	Fanout           int
	Readers          int
	Parents          int
	// ServeUnconfirmed is "true" for fleets whose nodes poll too few peers to be confirmed.
	ServeUnconfirmed string
	// SourceCallsPerSecond is the fleet's share of the source's call rate; zero is the default.
	SourceCallsPerSecond int
	// NodeArgs are further arguments of each node.
	NodeArgs []string
	// SharedBackend runs one backend server for the whole fleet.
	SharedBackend bool
}

var (
	fleets atomic.Int64
	// open holds the fleets that were not closed.
	open sync.Map
)

const (
	callerPort   = 7001
	peerPort     = 7002
	operatorPort = 7003
	backendPort  = 7100
	platformPort = 7000
	// firstNet is the second number of the first fleet's loopback addresses.
	firstNet    = 16
	netCount    = 200
	hostsPerNet = 250
	pollPause   = 20 * time.Millisecond
)

// CloseOnSignal ends all fleets of this process when it is interrupted or terminated.
func CloseOnSignal() {
	e := &ender{signals: make(chan os.Signal, 1)}
	signal.Notify(e.signals, os.Interrupt, syscall.SIGTERM)
	go e.run()
}

// ender waits for a signal.
type ender struct {
	signals chan os.Signal
}

func (e *ender) run() {
	<-e.signals
	open.Range(func(f, _ any) bool {
		f.(*Fleet).Close()
		return true
	})
	os.Exit(1)
}

// NewFleet starts a platform for a fleet whose files are kept in dir.
func NewFleet(dir string, b Binaries, o NodeOptions) (*Fleet, error) {
	net := firstNet + (int64(os.Getpid())+fleets.Add(1)*37)%netCount
	f := &Fleet{dir: dir, binaries: b, options: o, prefix: fmt.Sprintf("127.%d", net)}
	f.Platform = fmt.Sprintf("%s.255.1:%d", f.prefix, platformPort)
	open.Store(f, true)
	if _, err := f.start("platform", b.Standin, "platform", "--address", f.Platform); err != nil {
		return nil, err
	}
	if o.SharedBackend {
		if _, err := f.start("server", b.Standin, "server", "--address", f.sharedBackend(), "--connections", "60000", "--slots", "4096"); err != nil {
			return nil, err
		}
	}
	return f, f.await(10*time.Second, "the platform", func() bool {
		_, err := f.Counts()
		return err == nil
	})
}

// Add places a host in the fleet without starting anything.
func (f *Fleet) Add(name, dataCentre, service string, slots, connections int) *Host {
	n := len(f.Hosts)
	h := &Host{Name: name, DataCentre: dataCentre, Service: service, Slots: slots, Connections: connections, fleet: f,
		IP: fmt.Sprintf("%s.%d.%d", f.prefix, 1+n/hostsPerNet, 1+n%hostsPerNet)}
	h.Backend = fmt.Sprintf("%s:%d", h.IP, backendPort)
	if f.options.SharedBackend {
		h.Backend = f.sharedBackend()
	}
	f.Hosts = append(f.Hosts, h)
	return h
}

// PublishHosts writes the host list of every data centre.
func (f *Fleet) PublishHosts() error {
	lists := map[string]*bytes.Buffer{}
	for _, h := range f.Hosts {
		b := lists[h.DataCentre]
		if b == nil {
			b = &bytes.Buffer{}
			lists[h.DataCentre] = b
		}
		state := "live"
		if h.Draining {
			state = "leaving"
		}
		fmt.Fprintf(b, "[host %s]\nservice = %s\naddress = %s:%d\nstate = %s\n\n", h.Name, h.Service, h.IP, peerPort, state)
	}
	for dc, b := range lists {
		if err := f.put("hosts", dc, b.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// PublishTeam writes a team's subtree.
func (f *Fleet) PublishTeam(team string, text []byte) error {
	return f.put("teams", team, text)
}

// Publish writes a value by its key.
func (f *Fleet) Publish(key string, text []byte) error {
	collection, name, _ := strings.Cut(key, "/")
	return f.put(collection, name, text)
}

// StartAll starts every host.
func (f *Fleet) StartAll() error {
	for _, h := range f.Hosts {
		if err := h.StartServer(); err != nil {
			return err
		}
		if err := h.StartNode(); err != nil {
			return err
		}
	}
	return nil
}

// AwaitAll waits until every node's status passes a check.
func (f *Fleet) AwaitAll(limit time.Duration, what string, check func(s *operator.Status) bool) error {
	for _, h := range f.Hosts {
		err := f.await(limit, what+" at "+h.Name, func() bool {
			s, err := h.Status()
			return err == nil && check(s)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until every node is ready and holds the keys, and is confirmed if it polls more than one parent.
func (f *Fleet) AwaitReady(limit time.Duration, keys ...string) error {
	return f.AwaitAll(limit, "readiness", func(s *operator.Status) bool {
		held := map[string]bool{}
		for _, d := range s.Documents {
			held[d.Key] = d.Revision > 0
		}
		for _, k := range keys {
			if !held[k] {
				return false
			}
		}
		return s.Ready && s.Listed && (s.Confirmed || f.options.Parents == 1)
	})
}

// Counts returns what the platform counted.
func (f *Fleet) Counts() (standin.Counts, error) {
	var c standin.Counts
	return c, getJSON("http://"+f.Platform+"/admin/counts", &c)
}

// SetFault makes the platform fail.
func (f *Fleet) SetFault(fault standin.Fault) error {
	return postJSON("http://"+f.Platform+"/admin/fault", fault)
}

// Close ends everything that the fleet started.
func (f *Fleet) Close() {
	open.Delete(f)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.started {
		p.Kill()
	}
}

// StartServer starts the backend server of a host, unless one is shared.
func (h *Host) StartServer() error {
	if h.fleet.options.SharedBackend {
		return nil
	}
	p, err := h.fleet.start("server-"+h.Name, h.fleet.binaries.Standin, "server", "--address", h.Backend, "--name", h.Name,
		"--slots", fmt.Sprint(h.Slots), "--connections", fmt.Sprint(h.Connections+2))
	h.server = p
	return err
}

// StartNode starts the node of a host.
func (h *Host) StartNode() error {
	file := filepath.Join(h.fleet.dir, h.Name+".ini")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		return fmt.Errorf("writing the settings of %q: %w", h.Name, err)
	}
	p, err := h.fleet.start("node-"+h.Name, h.fleet.binaries.Jaypitch, append([]string{"node", "--settings", file}, h.fleet.options.NodeArgs...)...)
	h.node = p
	return err
}

// Node returns the process of the host's node.
func (h *Host) Node() *Process {
	return h.node
}

// Server returns the process of the host's backend server.
func (h *Host) Server() *Process {
	return h.server
}

// CallerAddress returns the address for callers.
func (h *Host) CallerAddress() string {
	return fmt.Sprintf("%s:%d", h.IP, callerPort)
}

// OperatorAddress returns the address for operators.
func (h *Host) OperatorAddress() string {
	return fmt.Sprintf("%s:%d", h.IP, operatorPort)
}

// Status asks the node for its status.
func (h *Host) Status() (*operator.Status, error) {
	s := &operator.Status{}
	return s, getJSON("http://"+h.OperatorAddress()+"/status", s)
}

// ServerCounts asks the backend server for what it counted.
func (h *Host) ServerCounts() (standin.ServerCounts, error) {
	var c standin.ServerCounts
	return c, getJSON("http://"+h.Backend+"/admin/counts", &c)
}

// SetServer changes how the backend server behaves.
func (h *Host) SetServer(s standin.ServerSettings) error {
	return postJSON("http://"+h.Backend+"/admin/settings", s)
}

func (h *Host) settings() string {
	o := h.fleet.options
	peer, platform := "", ""
	for _, kv := range [][2]string{{"poll", o.PollWait}, {"repair", o.ExchangeInterval}, {"fanout", number(o.Fanout)}, {"readers", number(o.Readers)}, {"parents", number(o.Parents)}, {"serve_unconfirmed", o.ServeUnconfirmed}} {
		if kv[1] != "" {
			peer += fmt.Sprintf("%s = %s\n", kv[0], kv[1])
		}
	}
	if o.SourceCallsPerSecond > 0 {
		platform = fmt.Sprintf("calls_per_second = %d\n", o.SourceCallsPerSecond)
	}
	return fmt.Sprintf(`[node]
host = %s
data_centre = %s
service = %s

[caller]
address = %s

[peer]
address = %s:%d
%s
[operator]
address = %s

[platform]
address = %s
fleet_size = %d
%s
[backend]
address = %s
slots = %d
connections = %d
`, h.Name, h.DataCentre, h.Service, h.CallerAddress(), h.IP, peerPort, peer, h.OperatorAddress(), h.fleet.Platform, max(1, len(h.fleet.Hosts)), platform, h.Backend, h.Slots, h.Connections)
}

func number(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func (f *Fleet) sharedBackend() string {
	return fmt.Sprintf("%s.255.2:%d", f.prefix, backendPort)
}

func (f *Fleet) start(name, program string, args ...string) (*Process, error) {
	file := filepath.Join(f.dir, name+".log")
	log, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of %q: %w", name, err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %q: %w", name, err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{}), log: file}
	go p.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, p)
	return p, nil
}

func (f *Fleet) await(limit time.Duration, what string, check func() bool) error {
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %s for %s", limit, what)
		}
		time.Sleep(pollPause)
	}
	return nil
}

func (f *Fleet) put(collection, name string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.Platform+"/admin/"+collection+"/"+name, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("publishing %q: %w", name, err)
	}
	return send(r, nil)
}
