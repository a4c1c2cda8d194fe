package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/standin"
)

// Mesh is a stand-in of the users' platform's store, hosts with backend servers, and the sidecars beside them as processes.
type Mesh struct {
	Store *standin.Store
	Hosts []*MeshHost

	daemon  string
	dir     string
	network int
	address string
	ports   map[string]int
}

// MeshHost is one host with its backend server and its sidecar.
type MeshHost struct {
	IP      string
	Server  string
	App     *standin.MeshServer
	process *exec.Cmd
	lines   lockedBuffer
}

// lockedBuffer holds what a process writes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// storeServer serves the stand-in of the store.
type storeServer struct {
	server   *http.Server
	listener net.Listener
}

const (
	// MeshDomain is the host name of the rules.
	MeshDomain = "mesh.example"
	// MeshService is the service of all servers.
	MeshService = "entries"
	// settingsName is the variable with the path of a sidecar's settings.
	settingsName = "JAYPITCH_SETTINGS"
	// storeReads is the rate of reading calls of the stand-in's store a second, as the users' store has; storeHistory how many changes it remembers.
	storeReads   = 2000
	storeHistory = 50
	// headerWait bounds the time for a head; far above any on loopback.
	headerWait = 10 * time.Second
)

// NewMesh starts a store whose first configuration has the given prefixes. The network differs for meshes that run at once.
func NewMesh(daemon, dir string, network int, prefixes ...string) (*Mesh, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the store: %w", err)
	}
	m := &Mesh{Store: standin.NewStore(storeReads, storeHistory), daemon: daemon, dir: dir, network: network, address: l.Addr().String(), ports: map[string]int{}}
	go (&storeServer{server: &http.Server{Handler: m.Store, ReadHeaderTimeout: headerWait}, listener: l}).run()
	for _, name := range []string{"callers", "peers", "ready", "metrics", "backend"} {
		if m.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	m.Store.PutConfig(1, MeshDomain, MeshService, prefixes...)
	return m, nil
}

func (s *storeServer) run() {
	// The error only says that the mesh ends.
	_ = s.server.Serve(s.listener)
}

// AddHost starts a host's backend server and its sidecar; the server takes requests once it is listed.
func (m *Mesh) AddHost(slots int, work time.Duration) error {
	i := len(m.Hosts)
	h := &MeshHost{IP: fmt.Sprintf("127.18.%d.%d", m.network, i+1), Server: fmt.Sprintf("server_%d", i)}
	app, err := standin.NewMeshServer(fmt.Sprintf("%s:%d", h.IP, m.ports["backend"]), h.Server, slots, work)
	if err != nil {
		return fmt.Errorf("starting a backend server: %w", err)
	}
	h.App = app
	m.Hosts = append(m.Hosts, h)
	text := fmt.Sprintf("[sidecar]\nhost = host_%d\ndata_centre = here\nservice = %s\nbackend = %s\n[listen]\n", i, MeshService, app.Address())
	for _, name := range []string{"callers", "peers", "ready", "metrics"} {
		text += fmt.Sprintf("%s = %s:%d\n", name, h.IP, m.ports[name])
	}
	text += fmt.Sprintf("[store]\naddress = %s\n", m.address)
	file := filepath.Join(m.dir, fmt.Sprintf("sidecar_%d.ini", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	h.process = exec.Command(m.daemon)
	h.process.Env = append(os.Environ(), settingsName+"="+file)
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.process.Stdout = &h.lines
	if err := h.process.Start(); err != nil {
		return fmt.Errorf("starting %q: %w", m.daemon, err)
	}
	return nil
}

// List lists a host's server in the store with its slots.
func (m *Mesh) List(i, slots int) {
	m.Store.PutServer(m.Hosts[i].Server, m.Hosts[i].App.Address(), MeshService, "ready", slots)
}

// Stop asks a sidecar to stop and waits for its end.
func (m *Mesh) Stop(i int) error {
	if err := m.Hosts[i].process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return m.Hosts[i].process.Wait()
}

// Kill ends a sidecar at once.
func (m *Mesh) Kill(i int) error {
	if err := m.Hosts[i].process.Process.Kill(); err != nil {
		return err
	}
	_ = m.Hosts[i].process.Wait() // says only that it was killed
	return nil
}

// Get asks a listener of a host with a request id and headers beside; status 0 means no answer.
func (m *Mesh) Get(i int, listener, path, id string, header http.Header) int {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.Hosts[i].IP, m.ports[listener], path), nil)
	if err != nil {
		return 0
	}
	if header != nil {
		r.Header = header.Clone()
	}
	r.Host = MeshDomain
	r.Header.Set(platform.HeaderNames.RequestID, id)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// All says whether every host answers a path with a status.
func (m *Mesh) All(listener, path string, status int) bool {
	for i := range m.Hosts {
		if m.Get(i, listener, path, fmt.Sprintf("all-%d", time.Now().UnixNano()), nil) != status {
			return false
		}
	}
	return true
}

// Close ends all that still runs.
func (m *Mesh) Close() {
	for _, h := range m.Hosts {
		h.App.Close()
		if h.process != nil && h.process.Process != nil && h.process.ProcessState == nil {
			_ = h.process.Process.Kill() // one that has ended by itself can't be killed
			_ = h.process.Wait()
		}
	}
}

// Lines returns what a host's sidecar wrote so far.
func (h *MeshHost) Lines() string {
	h.lines.mu.Lock()
	defer h.lines.mu.Unlock()
	return h.lines.text.String()
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("finding a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}
