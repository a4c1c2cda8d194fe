package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Mesh is a stand-in for the platform's store, with hosts that have a backend server in this process and a sidecar as a process of its own.
type Mesh struct {
	Store *standin.Store
	Hosts []*MeshHost
	// SidecarSettings are additional lines for section [sidecar] of the hosts that are added from now on.
	SidecarSettings string
	// Settings follows the other settings of hosts that are added later.
	Settings string
	// DataCentre is the data centre in the settings of the hosts that are added from now on.
	DataCentre string
	// ServerOptions, if set, returns the options of the backend server of a host, also of one that is started again.
	ServerOptions func(i int) []standin.ServerOption
	// Fronts, if set, returns the addresses at which the sidecar of a new host reaches its backend server and the store.
	Fronts func(i int, b FrontBackends) (backend, store string, err error)

	sidecarProgram string
	dir            string
	// network is the third byte of the hosts' IP addresses.
	network      int
	storeAddress string
	ports        map[string]int
}

// FrontBackends are the addresses that proxies of Mesh.Fronts connect to.
type FrontBackends struct {
	Backend, Peers, Store string
}

// MeshHost is a host with its backend server and its sidecar.
type MeshHost struct {
	IP string
	// ServerID is the ID of the backend server in the store.
	ServerID string
	Server   *standin.MeshServer
	process  *exec.Cmd
	output   lockedBuffer
}

// lockedBuffer collects the output of a process and may be read at the same time.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// storeServer serves the stand-in for the store over HTTP.
type storeServer struct {
	server   *http.Server
	listener net.Listener
}

const (
	// MeshDomain is the host name that the rules match.
	MeshDomain = "mesh.example"
	// MeshService is the service of all backend servers.
	MeshService = "entries"
	// settingsEnv is the environment variable with the path of a sidecar's settings.
	settingsEnv = "JAYPITCH_SETTINGS"
	// storeReadsPerSecond is the rate limit of the stand-in for the store, which the platform's store also has.
	// storePageSize is the number of items in one page of a read.
	storeReadsPerSecond = 2000
	storePageSize       = 50
	// headerTimeout limits the time to read a request's header; reading one over loopback takes far less.
	headerTimeout = 10 * time.Second
	// firstMeshPort and meshPorts are the range of the ports of hosts. Linux gives connections the ports from 32768 on.
	firstMeshPort = 16000
	meshPorts     = 16000
	maxPortTries  = 100
)

var errNoPort = errors.New("no port of the range for hosts is free")

// NewMesh starts a stand-in for the store, whose first configuration has one rule per path prefix. It starts no hosts. The sidecars of
// hosts that are added later run sidecarProgram, with settings files in dir.
// Meshes that run at once need different networks (0 to 255).
func NewMesh(sidecarProgram, dir string, network int, prefixes ...string) (*Mesh, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the store: %w", err)
	}
	m := &Mesh{Store: standin.NewStore(storeReadsPerSecond, storePageSize), sidecarProgram: sidecarProgram, dir: dir, network: network, storeAddress: l.Addr().String(), DataCentre: "here", ports: map[string]int{}}
	go (&storeServer{server: &http.Server{Handler: m.Store, ReadHeaderTimeout: headerTimeout}, listener: l}).run()
	for _, name := range []string{"callers", "peers", "ready", "metrics", "backend"} {
		if m.ports[name], err = meshPort(); err != nil {
			return nil, err
		}
	}
	m.Store.PutConfig(1, MeshDomain, MeshService, prefixes...)
	return m, nil
}

func (s *storeServer) run() {
	// Serve returns only when the listener fails, which the sidecars then see as a store that is down.
	_ = s.server.Serve(s.listener)
}

// AddHost starts the backend server and the sidecar of a new host. The slots and the service time are those of the server,
// which gets requests once it is registered.
func (m *Mesh) AddHost(slots int, serviceTime time.Duration) error {
	i := len(m.Hosts)
	h := &MeshHost{IP: fmt.Sprintf("127.18.%d.%d", m.network, i+1), ServerID: fmt.Sprintf("server_%d", i)}
	server, err := standin.NewMeshServer(fmt.Sprintf("%s:%d", h.IP, m.ports["backend"]), h.ServerID, slots, serviceTime, m.serverOptions(i)...)
	if err != nil {
		return fmt.Errorf("starting a backend server: %w", err)
	}
	h.Server = server
	m.Hosts = append(m.Hosts, h)
	backend, store := server.Address(), m.storeAddress
	if m.Fronts != nil {
		if backend, store, err = m.Fronts(i, FrontBackends{Backend: backend, Peers: m.Address(i, "peers"), Store: store}); err != nil {
			return fmt.Errorf("starting proxies: %w", err)
		}
	}
	text := fmt.Sprintf("[sidecar]\nhost = host_%d\ndata_centre = %s\nservice = %s\nbackend = %s\n%s\n[listen]\n", i, m.DataCentre, MeshService, backend, m.SidecarSettings)
	for _, name := range []string{"callers", "peers", "ready", "metrics"} {
		text += fmt.Sprintf("%s = %s:%d\n", name, h.IP, m.ports[name])
	}
	text += fmt.Sprintf("[store]\naddress = %s\n%s", store, m.Settings)
	if err := os.WriteFile(m.settingsFile(i), []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing the settings of a sidecar: %w", err)
	}
	return m.StartSidecar(i)
}

func (m *Mesh) serverOptions(i int) []standin.ServerOption {
	if m.ServerOptions == nil {
		return nil
	}
	return m.ServerOptions(i)
}

func (m *Mesh) settingsFile(i int) string {
	return filepath.Join(m.dir, fmt.Sprintf("sidecar_%d.ini", i))
}

// StartSidecar starts the sidecar of a host, again after it has ended.
func (m *Mesh) StartSidecar(i int) error {
	h := m.Hosts[i]
	h.process = exec.Command(m.sidecarProgram)
	h.process.Env = append(os.Environ(), settingsEnv+"="+m.settingsFile(i))
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.process.Stdout = &h.output
	// A panic is written to standard error.
	h.process.Stderr = &h.output
	if err := h.process.Start(); err != nil {
		return fmt.Errorf("starting %q: %w", m.sidecarProgram, err)
	}
	return nil
}

// RegisterServer writes the entry of a host's backend server to the store, with its number of slots.
func (m *Mesh) RegisterServer(i, slots int) {
	m.Store.PutServer(m.Hosts[i].ServerID, m.Hosts[i].Server.Address(), MeshService, "ready", slots)
}

// Stop sends SIGTERM to a host's sidecar and waits for its end. It returns an error if the exit status isn't 0.
func (m *Mesh) Stop(i int) error {
	if err := m.Hosts[i].process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return m.Hosts[i].process.Wait()
}

// Kill sends SIGKILL to a host's sidecar and waits for its end.
func (m *Mesh) Kill(i int) error {
	if err := m.Hosts[i].process.Process.Kill(); err != nil {
		return err
	}
	_ = m.Hosts[i].process.Wait() // the error reports only that the process was killed
	return nil
}

// Get sends a GET request to a listener of a host's sidecar (callers, peers, ready or metrics) and returns the response's status.
// The request has the ID and the additional header. The status is 0 if there was no complete response.
func (m *Mesh) Get(i int, listener, path, id string, header http.Header) int {
	r, err := http.NewRequest(http.MethodGet, m.URL(i, listener)+path, nil)
	if err != nil {
		return 0
	}
	if header != nil {
		r.Header = header.Clone()
	}
	r.Host = MeshDomain
	r.Header.Set(platform.HeaderNames.RequestID, id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Address returns the address of a listener of a host's sidecar. The listener is one of those of Get.
func (m *Mesh) Address(i int, listener string) string {
	return fmt.Sprintf("%s:%d", m.Hosts[i].IP, m.ports[listener])
}

// URL returns the URL of a listener of a host's sidecar, without a path.
func (m *Mesh) URL(i int, listener string) string {
	return "http://" + m.Address(i, listener)
}

// AllRespond reports whether the sidecars of all hosts respond to a GET request with a status. The listener is one of those of Get.
func (m *Mesh) AllRespond(listener, path string, status int) bool {
	for i := range m.Hosts {
		if m.Get(i, listener, path, fmt.Sprintf("all-%d", time.Now().UnixNano()), nil) != status {
			return false
		}
	}
	return true
}

// Close stops the backend servers and kills the sidecars that still run.
func (m *Mesh) Close() {
	for _, h := range m.Hosts {
		h.Server.Close()
		if h.process != nil && h.process.Process != nil && h.process.ProcessState == nil {
			_ = h.process.Process.Kill() // fails if the process has ended already
			_ = h.process.Wait()
		}
	}
}

// PID returns the process ID of the host's sidecar.
func (h *MeshHost) PID() int {
	return h.process.Process.Pid
}

// Output returns what the host's sidecar has written to its standard output.
func (h *MeshHost) Output() string {
	h.output.mu.Lock()
	defer h.output.mu.Unlock()
	return h.output.text.String()
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// meshPort returns a port below those that connections get, since a sidecar that is started again needs its ports on its host's address.
func meshPort() (int, error) {
	for range maxPortTries {
		port := firstMeshPort + rand.IntN(meshPorts)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, errNoPort
}
