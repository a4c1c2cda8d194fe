package bed

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports are the ports of a sidecar, the same on all machines.
type Ports struct {
	Outbound, Inbound, Ready, Metrics, App int
}

// Machine is a loopback address with a sidecar process and the address of a backend server.
type Machine struct {
	IP, Zone, Service string
	Ports             Ports
	// Link is the address at which the sidecar reaches the store.
	Link string
	// MemoryMB is the memory of the machine in megabytes; zero stands for defaultMemoryMB.
	MemoryMB int

	dir     string
	process *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// defaultMemoryMB is the memory of a machine whose memory isn't set.
const defaultMemoryMB = 284

// NewPorts returns ports that are free on an address.
func NewPorts(ip string) (Ports, error) {
	var p Ports
	var open []net.Listener
	for _, to := range []*int{&p.Outbound, &p.Inbound, &p.Ready, &p.Metrics, &p.App} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return p, err
		}
		open = append(open, l)
		*to = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range open {
		_ = l.Close()
	}
	return p, nil
}

// AddressOf returns the address of a port of the machine.
func (m *Machine) AddressOf(port int) string {
	return net.JoinHostPort(m.IP, strconv.Itoa(port))
}

// Start starts the sidecar with the command of the deploy file and settings like those of its template.
func (m *Machine) Start(dir string) error {
	m.dir = filepath.Join(dir, m.IP)
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	text := fmt.Sprintf(`[sidecar]
host = sidecar-%s
data_centre = %s
service = %s
backend = %s
memory_mb = %d
region = here
regions = a:here,b:here,c:here,d:here
max_files = 4100
link_mbps = 1000.0

[cold]

[listen]
callers = %s
peers = %s
ready = %s
metrics = %s

[store]
address = %s

[bounds]
drain = 2s
grace = 6s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 60
`, m.IP, m.Zone, m.Service, m.AddressOf(m.Ports.App), cmp.Or(m.MemoryMB, defaultMemoryMB), m.AddressOf(m.Ports.Outbound), m.AddressOf(m.Ports.Inbound), m.AddressOf(m.Ports.Ready),
		m.AddressOf(m.Ports.Metrics), m.Link)
	settings := filepath.Join(m.dir, "settings.ini")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.dir, "log"))
	if err != nil {
		return err
	}
	m.log = log
	m.process = exec.Command("target/jaypitchd")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYPITCH_SETTINGS=" + settings}
	m.process.Stdout, m.process.Stderr = log, log
	// The sidecar ends with this process, however that ends.
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go m.await()
	return nil
}

func (m *Machine) await() {
	_ = m.process.Wait() // the state tells how it ended
	close(m.ended)
}

// Signal sends a signal to the sidecar.
func (m *Machine) Signal(s syscall.Signal) {
	_ = m.process.Process.Signal(s) // fails only if the process has ended
}

// Ended reports whether the sidecar's process has ended.
func (m *Machine) Ended() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// Kill ends the sidecar and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.ended
	_ = m.log.Close()
}

// AwaitReady waits until the sidecar answers its readiness probe with 200. It returns false if it doesn't in time.
func (m *Machine) AwaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.Ready() {
			return true
		}
	}
	return false
}

// Ready reports whether the sidecar answers its readiness probe with 200.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + m.AddressOf(m.Ports.Ready) + "/jaypitch/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// PeakBytes returns the largest resident memory of the sidecar since its start; zero if its process has ended.
func (m *Machine) PeakBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}
