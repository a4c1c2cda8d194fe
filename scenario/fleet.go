// Package scenario runs nodes, sidecars, backend servers and stand-ins for the platform as processes on loopback addresses,
// for the demo, the benchmarks and the scenario tests. It ends only processes that it started.
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

// Binaries are the paths of the programs that a fleet runs.
type Binaries struct {
	Jaypitch string
	Standin  string
}

// Host is one host of a fleet: a node and a backend server, unless the fleet shares one backend server.
type Host struct {
	Name       string
	DataCentre string
	Service    string
	IP         string
	// Draining makes the host list report the host as draining.
	Draining bool
	Slots    int
	// Connections is how many connections the node may open to the backend server, which accepts two more.
	Connections int
	// Backend is the IP address and port of the backend server.
	Backend string

	node   *Process
	server *Process
	fleet  *Fleet
}

// Fleet is a stand-in for the platform with hosts.
type Fleet struct {
	// Platform is the IP address and port of the stand-in.
	Platform string
	Hosts    []*Host

	dir           string
	binaries      Binaries
	addressPrefix string
	options       NodeOptions
	processes     []*Process
	mu            sync.Mutex
}

// NodeOptions are settings that all nodes of a fleet share. Empty and zero fields leave the default of the setting.
type NodeOptions struct {
	PollWait         string
	ExchangeInterval string
	Fanout           int
	Readers          int
	Parents          int
	// ServeUnconfirmed is "true" for fleets whose nodes poll too few peers to become confirmed.
	ServeUnconfirmed string
	// SourceRequestsPerSecond is how many requests the whole fleet may send to the source per second.
	SourceRequestsPerSecond int
	// NodeArgs are additional command-line arguments of each node.
	NodeArgs []string
	// SharedBackend makes all nodes use one backend server.
	SharedBackend bool
}

var (
	fleetCount atomic.Int64
	// openFleets holds the fleets that aren't closed yet, as keys.
	openFleets sync.Map
)

const (
	callerPort   = 7001
	peerPort     = 7002
	operatorPort = 7003
	backendPort  = 7100
	platformPort = 7000
	// firstNetwork is the lowest second byte of the fleets' loopback addresses. The byte varies by process and fleet, so that fleets can run at once.
	firstNetwork    = 16
	networkCount    = 200
	hostsPerNetwork = 250
	pollInterval    = 20 * time.Millisecond
)

// CloseOnSignal makes SIGINT and SIGTERM close all fleets of this process and exit with status 1.
func CloseOnSignal() {
	e := &signalHandler{signals: make(chan os.Signal, 1)}
	signal.Notify(e.signals, os.Interrupt, syscall.SIGTERM)
	go e.run()
}

// signalHandler closes all fleets at the first signal.
type signalHandler struct {
	signals chan os.Signal
}

func (e *signalHandler) run() {
	<-e.signals
	openFleets.Range(func(f, _ any) bool {
		f.(*Fleet).Close()
		return true
	})
	os.Exit(1)
}

// NewFleet starts a stand-in for the platform for a fleet without hosts. Settings and logs are written to dir.
func NewFleet(dir string, b Binaries, o NodeOptions) (*Fleet, error) {
	network := firstNetwork + (int64(os.Getpid())+fleetCount.Add(1)*37)%networkCount
	f := &Fleet{dir: dir, binaries: b, options: o, addressPrefix: fmt.Sprintf("127.%d", network)}
	f.Platform = fmt.Sprintf("%s.255.1:%d", f.addressPrefix, platformPort)
	openFleets.Store(f, true)
	if _, err := f.startProcess("platform", b.Standin, "platform", "--address", f.Platform); err != nil {
		return nil, err
	}
	if o.SharedBackend {
		if _, err := f.startProcess("server", b.Standin, "server", "--address", f.sharedBackendAddress(), "--connections", "60000", "--slots", "4096"); err != nil {
			return nil, err
		}
	}
	return f, f.await(10*time.Second, "the platform", func() bool {
		_, err := f.Counts()
		return err == nil
	})
}

// Add adds a host to the fleet without starting its processes.
func (f *Fleet) Add(name, dataCentre, service string, slots, connections int) *Host {
	n := len(f.Hosts)
	h := &Host{Name: name, DataCentre: dataCentre, Service: service, Slots: slots, Connections: connections, fleet: f,
		IP: fmt.Sprintf("%s.%d.%d", f.addressPrefix, 1+n/hostsPerNetwork, 1+n%hostsPerNetwork)}
	h.Backend = fmt.Sprintf("%s:%d", h.IP, backendPort)
	if f.options.SharedBackend {
		h.Backend = f.sharedBackendAddress()
	}
	f.Hosts = append(f.Hosts, h)
	return h
}

// PublishHosts writes the host list of every data centre to the platform.
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

// PublishTeam writes a team's document to the platform.
func (f *Fleet) PublishTeam(team string, text []byte) error {
	return f.put("teams", team, text)
}

// Publish writes a document to the platform by its key, such as teams/NAME or hosts/NAME.
func (f *Fleet) Publish(key string, text []byte) error {
	collection, name, _ := strings.Cut(key, "/")
	return f.put(collection, name, text)
}

// StartAll starts the backend server and the node of every host.
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

// AwaitAll waits until the status of every node passes a check, for at most the limit per node.
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

// AwaitReady waits until every node is ready, finds itself in the host list, and has a document for each key.
// Nodes that poll more than one parent have to be confirmed too.
func (f *Fleet) AwaitReady(limit time.Duration, keys ...string) error {
	return f.AwaitAll(limit, "readiness", func(s *operator.Status) bool {
		present := map[string]bool{}
		for _, d := range s.Documents {
			present[d.Key] = d.Revision > 0
		}
		for _, k := range keys {
			if !present[k] {
				return false
			}
		}
		return s.Ready && s.Listed && (s.Confirmed || f.options.Parents == 1)
	})
}

// Counts returns the platform's counters.
func (f *Fleet) Counts() (standin.Counts, error) {
	var c standin.Counts
	return c, getJSON("http://"+f.Platform+"/admin/counts", &c)
}

// SetFault sets the fault that the platform simulates.
func (f *Fleet) SetFault(fault standin.Fault) error {
	return postJSON("http://"+f.Platform+"/admin/fault", fault)
}

// Close kills every process that the fleet started and waits for its end.
func (f *Fleet) Close() {
	openFleets.Delete(f)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// StartServer starts the backend server of a host, unless the fleet shares one.
func (h *Host) StartServer() error {
	if h.fleet.options.SharedBackend {
		return nil
	}
	p, err := h.fleet.startProcess("server-"+h.Name, h.fleet.binaries.Standin, "server", "--address", h.Backend, "--name", h.Name,
		"--slots", fmt.Sprint(h.Slots), "--connections", fmt.Sprint(h.Connections+2))
	h.server = p
	return err
}

// StartNode writes the settings of a host's node and starts the node.
func (h *Host) StartNode() error {
	file := filepath.Join(h.fleet.dir, h.Name+".ini")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		return fmt.Errorf("writing the settings of host %q: %w", h.Name, err)
	}
	p, err := h.fleet.startProcess("node-"+h.Name, h.fleet.binaries.Jaypitch, append([]string{"node", "--settings", file}, h.fleet.options.NodeArgs...)...)
	h.node = p
	return err
}

// Node returns the process of the host's node, or nil before StartNode.
func (h *Host) Node() *Process {
	return h.node
}

// Server returns the process of the host's backend server, or nil if StartServer has started none.
func (h *Host) Server() *Process {
	return h.server
}

// CallerAddress returns the IP address and port to which clients send requests.
func (h *Host) CallerAddress() string {
	return fmt.Sprintf("%s:%d", h.IP, callerPort)
}

// OperatorAddress returns the IP address and port of the node's operator interface.
func (h *Host) OperatorAddress() string {
	return fmt.Sprintf("%s:%d", h.IP, operatorPort)
}

// Status requests the node's status.
func (h *Host) Status() (*operator.Status, error) {
	s := &operator.Status{}
	return s, getJSON("http://"+h.OperatorAddress()+"/status", s)
}

// ServerCounts requests the backend server's counters.
func (h *Host) ServerCounts() (standin.ServerCounts, error) {
	var c standin.ServerCounts
	return c, getJSON("http://"+h.Backend+"/admin/counts", &c)
}

// SetServer changes the behaviour of the backend server.
func (h *Host) SetServer(s standin.ServerSettings) error {
	return postJSON("http://"+h.Backend+"/admin/settings", s)
}

func (h *Host) settings() string {
	o := h.fleet.options
	peer, platform := "", ""
	for _, kv := range [][2]string{{"poll", o.PollWait}, {"repair", o.ExchangeInterval}, {"fanout", formatNonZero(o.Fanout)}, {"readers", formatNonZero(o.Readers)}, {"parents", formatNonZero(o.Parents)}, {"serve_unconfirmed", o.ServeUnconfirmed}} {
		if kv[1] != "" {
			peer += fmt.Sprintf("%s = %s\n", kv[0], kv[1])
		}
	}
	if o.SourceRequestsPerSecond > 0 {
		platform = fmt.Sprintf("calls_per_second = %d\n", o.SourceRequestsPerSecond)
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

func formatNonZero(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func (f *Fleet) sharedBackendAddress() string {
	return fmt.Sprintf("%s.255.2:%d", f.addressPrefix, backendPort)
}

func (f *Fleet) startProcess(name, program string, args ...string) (*Process, error) {
	file := filepath.Join(f.dir, name+".log")
	log, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of process %q: %w", name, err)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting process %q: %w", name, err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{}), log: file}
	go p.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

func (f *Fleet) await(limit time.Duration, what string, check func() bool) error {
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %s waiting for %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) put(collection, name string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.Platform+"/admin/"+collection+"/"+name, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("creating a request to publish %q: %w", name, err)
	}
	return send(r, nil)
}
