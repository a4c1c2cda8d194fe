// Package fleet starts a small deployment on loopback addresses: a stand-in for the platform's store, stand-ins for application servers, and
// one process of the project for each machine, with settings rendered from the template of the deploy file.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is a machine with an application server and a process of the project.
type Machine struct {
	Name, IP, Zone, Service string
	Server                  *Server

	fleet   *Fleet
	process *exec.Cmd
	file    string
	store   string
	output  *os.File
	ended   chan struct{}
}

// Fleet is a deployment.
type Fleet struct {
	Store    *Store
	Machines []*Machine

	dir    string
	net    string
	ports  map[string]int
	record *os.File
	began  time.Time

	mu   sync.Mutex
	runs []Run
	ran  map[string]bool
	born int
}

const (
	// Host is the host name of all routes.
	Host = "ficu95.example"
	// MemoryMB is the memory of a machine, as on the smaller of the two sites.
	MemoryMB = 134
	graceS   = 6
	program  = "target/jaypitchd"
	template = "deploy/sidecar.ini"
)

var section = regexp.MustCompile(`(?s)\{\{\^bootstrap\}\}.*\{\{/bootstrap\}\}`)

// New starts a store and opens the record, which is written to a file beside the case's script.
func New(recordFile string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, net: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250)), record: record, began: time.Now(), ports: map[string]int{}, Store: newStore(), ran: map[string]bool{}}
	for i, name := range []string{"outbound", "inbound", "ready", "metrics", "app"} {
		f.ports[name] = 20000 + rand.IntN(1000)*10 + i
	}
	return f, nil
}

// Logf writes a line with the time since the start to the record.
func (f *Fleet) Logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// Runs returns the runs so far.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// Ran reports whether a server has begun to work on a request.
func (f *Fleet) Ran(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

func (f *Fleet) recordRun(r Run) {
	f.Logf("server %s of %s runs %s, caller service %q, body of %d bytes", r.Server, r.Service, r.ID, r.Caller, r.BodyBytes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
	f.ran[r.ID] = true
}

// AddMachine adds a machine with the application server of a service. Its process isn't started yet.
func (f *Fleet) AddMachine(zone, service string, slots int, work time.Duration, answerBytes int) (*Machine, error) {
	i := len(f.Machines) + 1
	m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, i), IP: fmt.Sprintf("%s.%d", f.net, i), Zone: zone, fleet: f}
	m.file = filepath.Join(f.dir, m.Name+".ini")
	var err error
	if m.store, err = f.Store.open(m.Name); err != nil {
		return nil, err
	}
	f.Machines = append(f.Machines, m)
	if err := m.StartServer(service, slots, work, answerBytes); err != nil {
		return nil, err
	}
	return m, m.WriteSettings()
}

// StartServer starts an application server at the machine's address and registers it.
func (m *Machine) StartServer(service string, slots int, work time.Duration, answerBytes int) error {
	f := m.fleet
	f.born++
	id := fmt.Sprintf("i-%04d", f.born)
	s, err := newServer(m.Address("app"), id, service, slots, work, answerBytes, f.recordRun)
	if err != nil {
		return err
	}
	m.Server, m.Service = s, service
	m.register("ready", slots)
	f.Logf("server %s of %s starts on %s", id, service, m.Name)
	return nil
}

func (m *Machine) register(state string, slots int) {
	m.fleet.Store.Put("servers/"+m.Server.ID, map[string]any{"address": m.Address("app"), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": m.Service, "version": "v1", "zone": m.Zone, "slots": slots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemainingS": 0.0}})
}

// PutOddEntry writes an entry of another writer, which has the address and the service of the machine's server and lacks fields.
func (m *Machine) PutOddEntry(id string) {
	m.fleet.Store.Put("servers/"+id, map[string]any{"address": m.Address("app"), "info": map[string]any{"service": m.Service, "slots": 12},
		"status": map[string]any{"state": "ready"}})
	m.fleet.Logf("another writer puts entry %s with the address of server %s, without version, zone, seq and coldRemainingS", id, m.Server.ID)
}

// EndServer ends the server and removes its entry.
func (m *Machine) EndServer() {
	m.Server.End()
	m.fleet.Store.Delete("servers/" + m.Server.ID)
	m.fleet.Logf("server %s of %s on %s has ended", m.Server.ID, m.Service, m.Name)
}

// Address returns the machine's address for outbound, inbound, ready, metrics or app.
func (m *Machine) Address(name string) string {
	return fmt.Sprintf("%s:%d", m.IP, m.fleet.ports[name])
}

// WriteSettings renders the settings template for the machine.
func (m *Machine) WriteSettings() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	out := section.ReplaceAllString(string(text), "")
	for name, value := range map[string]string{"node": m.Name, "zone": m.Zone, "service": m.Service, "appAddr": m.Address("app"), "limits.memoryMb": fmt.Sprint(MemoryMB),
		"listen.outbound": m.Address("outbound"), "listen.inbound": m.Address("inbound"), "listen.ready": m.Address("ready"), "ip": m.IP,
		"portRange.0": fmt.Sprint(m.fleet.ports["metrics"]), "provider.address": m.store, "bounds.drainS": "2", "bounds.graceS": fmt.Sprint(graceS),
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "58"} {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	if strings.Contains(out, "{{") {
		return fmt.Errorf("%s has a placeholder that isn't filled in: %s", template, out)
	}
	// The file is replaced as a whole, so that no reader sees a part of it.
	if err := os.WriteFile(m.file+".new", []byte(out), 0o600); err != nil {
		return err
	}
	return os.Rename(m.file+".new", m.file)
}

// Start starts the machine's process.
func (m *Machine) Start() error {
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(program)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "JAYPITCH_SETTINGS=" + m.file}
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.output, m.ended = p, out, ended
	go func() {
		err := p.Wait()
		m.fleet.Logf("the process of %s has ended: %v", m.Name, err)
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.fleet.Logf("%s to %s", s, m.Name)
	_ = m.process.Process.Signal(s) // fails only if the process has ended
}

// Ended returns a channel that is closed once the machine's process has ended.
func (m *Machine) Ended() <-chan struct{} {
	return m.ended
}

// Memory returns the anonymous memory of the machine's process, in bytes; zero if it has ended.
func (m *Machine) Memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	kb := 0
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb << 10
}

// Log returns what the machine's process has written.
func (m *Machine) Log() string {
	text, err := os.ReadFile(filepath.Join(m.fleet.dir, m.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// StartAll starts all processes and waits until all are ready.
func (f *Fleet) StartAll() error {
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return f.AwaitReady(f.Machines...)
}

// AwaitReady waits until machines are ready.
func (f *Fleet) AwaitReady(machines ...*Machine) error {
	until := time.Now().Add(15 * time.Second)
	for _, m := range machines {
		for !m.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after 15 s", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready asks the machine's process whether it is ready.
func (m *Machine) Ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.Address("ready") + "/jaypitch/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.ended
		}
		m.Server.End()
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}
