package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/standin"
)

// testMesh is a store, some backend servers on loopback addresses, and the sidecars beside them.
type testMesh struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	hosts        []*testHost
	ports        [5]int
}

type testHost struct {
	ip string
	// seeds is the line with the seeds in the settings, or empty.
	seeds string
	// grace is the grace time in the settings; the default if empty.
	grace   string
	server  *standin.MeshServer
	sidecar *Sidecar
	stop    context.CancelFunc
	done    chan error
}

// Offsets of the ports, the same on each host.
const (
	portCallers = iota
	portPeers
	portReady
	portMetrics
	portServer
)

// newMesh starts a mesh and waits until all sidecars are ready and list every server. network is the third byte of the loopback addresses of its hosts.
func newMesh(t *testing.T, network, hosts int) *testMesh {
	t.Helper()
	m := &testMesh{t: t, store: standin.NewStore(1000, 50)}
	h := httptest.NewServer(m.store)
	t.Cleanup(h.Close)
	m.storeAddress = strings.TrimPrefix(h.URL, "http://")
	for i := range m.ports {
		for m.ports[i] == 0 || slices.Contains(m.ports[:i], m.ports[i]) {
			m.ports[i] = freePort(t)
		}
	}
	m.configure(1, "x", "/one/")
	for i := range hosts {
		m.start(fmt.Sprintf("127.9.%d.%d", network, i+1))
	}
	for i := range m.hosts {
		m.registerServer(i, "ready")
	}
	m.eventually("all sidecars are ready and list every server", func() bool {
		for i, h := range m.hosts {
			if len(h.sidecar.replica.Table().Servers) < hosts {
				return false
			}
			if status, _ := m.get(i, portReady, platform.ReadyPath, ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return m
}

// freePort returns a port below those of outgoing connections: sidecars of the test before may still have some, from the addresses of the same hosts.
func freePort(t *testing.T) int {
	t.Helper()
	const lowest, highest = 20000, 32000
	for range 100 {
		port := lowest + rand.N(highest-lowest)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

// configure stores a configuration with one rule for each prefix.
func (m *testMesh) configure(version int, service string, prefixes ...string) {
	m.store.PutConfig(version, "h", service, prefixes...)
}

// registerServer stores the entry of a host's server with a state.
func (m *testMesh) registerServer(i int, state string) {
	m.store.PutServer(fmt.Sprintf("i-%d", i), m.hosts[i].server.Address(), "x", state, 4)
}

func (m *testMesh) start(ip string) {
	server, err := standin.NewMeshServer(fmt.Sprintf("%s:%d", ip, m.ports[portServer]), fmt.Sprintf("i-%d", len(m.hosts)), 4, 0)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(server.Close)
	h := &testHost{ip: ip, server: server}
	m.hosts = append(m.hosts, h)
	m.run(h)
}

func (m *testMesh) run(h *testHost) {
	text := fmt.Sprintf("[sidecar]\nhost = a\ndata_centre = z\nservice = x\nbackend = %s\n%s\n[listen]\ncallers = %s:%d\npeers = %s:%d\nready = %s:%d\nmetrics = %s:%d\n[store]\naddress = %s\n%s",
		h.server.Address(), h.seeds, h.ip, m.ports[portCallers], h.ip, m.ports[portPeers], h.ip, m.ports[portReady], h.ip, m.ports[portMetrics], m.storeAddress, h.bounds())
	s, problems := settings.ParseSidecar("test", []byte(text))
	if len(problems) > 0 {
		m.t.Fatal(problems)
	}
	source := func(address string, now func() time.Time, onUndecodable func(*jaypitch.Error)) jaypitch.MeshSource {
		return platform.NewClient(address, now, onUndecodable)
	}
	c, err := New(s, func() (*schema.SidecarSettings, error) { return nil, nil },
		Platform{HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath, NewSource: source, DecodeNotice: platform.DecodeNotice}, zap.NewNop(), func() int64 { return 0 })
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.sidecar, h.stop, h.done = c, cancel, make(chan error, 1)
	go func() { h.done <- c.Run(ctx) }()
	m.t.Cleanup(func() { cancel() })
}

// bounds returns the section of the settings with the grace time, or nothing.
func (h *testHost) bounds() string {
	if h.grace == "" {
		return ""
	}
	return "[bounds]\ngrace = " + h.grace + "\n"
}

func (m *testMesh) dial(address string) net.Conn {
	m.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = c.Close() })
	return c
}

// get sends a GET request to a listener of a host. It returns the status and the body, or 0 and the text of the error.
func (m *testMesh) get(i, port int, path, id string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.hosts[i].ip, m.ports[port], path), nil)
	if err != nil {
		m.t.Fatal(err)
	}
	r.Host = "h"
	if id != "" {
		r.Header.Set(platform.HeaderNames.RequestID, id)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(body)
}

// eventually polls until a condition holds. The limit of a minute only ends a test that hangs.
func (m *testMesh) eventually(what string, holds func() bool) {
	m.t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	m.t.Fatalf("condition did not hold within a minute: %s", what)
}

func TestRequestsFollowConfigurationChange(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 1, 4)
	for i := range 12 {
		status, body := m.get(i%4, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.Equal(status, http.StatusOK)
		is.Equal(body, "ok")
	}
	status, _ := m.get(0, portCallers, "/two/a", "id")
	is.Equal(status, http.StatusNotFound)
	m.configure(2, "x", "/two/")
	for i := range 4 {
		m.eventually("the new version is in force", func() bool {
			added, _ := m.get(i, portCallers, "/two/a", "new")
			removed, _ := m.get(i, portCallers, "/one/a", "old")
			return added == http.StatusOK && removed == http.StatusNotFound
		})
	}
	status, text := m.get(0, portMetrics, "/", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, "jaypitch_sidecar_version 2"))
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2, 3)
	m.registerServer(0, "draining")
	m.eventually("all sidecars have the server as draining", func() bool {
		for _, h := range m.hosts {
			if v := h.sidecar.replica.Table().Servers["i-0"]; v == nil || !v.GetDraining() {
				return false
			}
		}
		return true
	})
	_, before := m.hosts[0].server.Executions("")
	for i := range 30 {
		status, _ := m.get(i%3, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.Equal(status, http.StatusOK)
	}
	_, after := m.hosts[0].server.Executions("")
	is.Equal(after, before)
}

// TestChangeReachesPeersDuringOutage lets only one sidecar read a change from the store. The others have to get it from that one.
func TestChangeReachesPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3, 4)
	m.store.SetFault(standin.StoreFault{StallWatches: true})
	m.store.Compact()
	reader := m.hosts[3].sidecar
	m.configure(2, "x", "/two/")
	u, err := reader.watcher.source.Read(context.Background(), func(jaypitch.MeshUpdate) bool { return true })
	is.NoErr(err)
	m.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	reader.merge(u, "test")
	for i := range m.hosts {
		m.eventually("the new version is in force", func() bool {
			status, _ := m.get(i, portCallers, "/two/a", "new")
			return status == http.StatusOK
		})
	}
}

// TestRestartDuringOutage restarts a sidecar during an outage of the store. It has to serve with the configuration of its peers.
func TestRestartDuringOutage(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 4, 3)
	m.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	h := m.hosts[0]
	h.stop()
	is.NoErr(<-h.done)
	m.run(h)
	m.eventually("the sidecar is ready again", func() bool {
		for i := range 3 {
			m.get(1, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		}
		status, _ := m.get(0, portReady, platform.ReadyPath, "")
		return status == http.StatusOK
	})
	status, _ := m.get(0, portCallers, "/one/a", "id")
	is.Equal(status, http.StatusOK)
}

// TestEvidenceAsksHostOfRemovedServer guards against evidence that a server is gone which the sidecar on its own host wasn't asked for: its clients
// may still reach the server if it hears of the removal later than others. A host that is gone with its server doesn't prevent the proof.
func TestEvidenceAsksHostOfRemovedServer(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 19, 3)
	getReport := func() *evidence.Report {
		status, text := m.get(0, portMetrics, "/evidence?backend=i-2", "")
		is.Equal(status, http.StatusOK)
		r := &evidence.Report{}
		is.NoErr(json.Unmarshal([]byte(text), r))
		return r
	}
	is.Equal(getReport().Verdict, evidence.VerdictPresent)
	m.store.Delete("servers/i-2")
	m.eventually("the server is proven gone", func() bool { return getReport().Verdict == evidence.VerdictGone })
	is.Equal(getReport().HostsQueried, 3)
	m.hosts[2].stop()
	is.NoErr(<-m.hosts[2].done)
	r := getReport()
	is.Equal(r.HostsQueried, 2)
	is.Equal(r.Verdict, evidence.VerdictGone)
}

// TestEvidence checks that a removed rule is proven gone, and that an unresponsive host prevents the proof.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 8, 3)
	getReport := func(rule string) *evidence.Report {
		status, text := m.get(0, portMetrics, "/evidence?team=h&route="+rule, "")
		is.Equal(status, http.StatusOK)
		r := &evidence.Report{}
		is.NoErr(json.Unmarshal([]byte(text), r))
		return r
	}
	m.get(1, portCallers, "/one/a", "id")
	is.Equal(getReport("one/").Verdict, evidence.VerdictPresent)
	m.configure(2, "x", "/two/")
	m.eventually("the rule is proven gone", func() bool { return getReport("one/").Verdict == evidence.VerdictGone })
	is.Equal(getReport("two/").Verdict, evidence.VerdictPresent)
	stopped := m.hosts[2]
	stopped.stop()
	is.NoErr(<-stopped.done)
	r := getReport("one/")
	is.Equal(r.Verdict, evidence.VerdictNotProven)
	is.Equal(len(r.Exceptions), 1)
	is.Equal(r.Exceptions[0].Host, stopped.ip)
	is.Equal(r.Exceptions[0].Code, jaypitch.CodeHostSilent)
}

// TestStopServesClients checks that a stopping sidecar serves the clients that still send requests to it, and that its server gets no
// requests from other sidecars once it has stopped.
func TestStopServesClients(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 5, 3)
	h := m.hosts[0]
	h.stop()
	m.eventually("the sidecar reports that it isn't ready", func() bool {
		status, _ := m.get(0, portReady, platform.ReadyPath, "")
		return status == http.StatusServiceUnavailable
	})
	for i := range 20 {
		status, _ := m.get(0, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.Equal(status, http.StatusOK)
	}
	is.NoErr(<-h.done)
	_, before := h.server.Executions("")
	for i := range 10 {
		status, _ := m.get(1, portCallers, "/one/a", fmt.Sprintf("late-%d", i))
		is.Equal(status, http.StatusOK)
	}
	_, after := h.server.Executions("")
	is.Equal(after, before)
}

// TestStopCutsAcceptedRequest guards against a request that is cut off without a response: its connection was accepted before the sidecar closed
// its listeners, and it arrives afterwards.
func TestStopCutsAcceptedRequest(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 12, 2)
	h := m.hosts[0]
	h.server.SetServiceTime(time.Second)
	address := net.JoinHostPort(h.ip, strconv.Itoa(m.ports[portCallers]))
	open := m.dial(address)
	h.stop()
	m.eventually("the listeners are closed", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			_ = open.Close()
			open = m.dial(address)
		}
		return err != nil
	})
	_, err := fmt.Fprintf(open, "GET /one/a HTTP/1.1\r\nHost: h\r\n%s: last\r\n%s: 1500\r\n\r\n", platform.HeaderNames.RequestID, platform.HeaderNames.TimeLeftMS)
	is.NoErr(err)
	a, err := http.ReadResponse(bufio.NewReader(open), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, a.Body)
	is.NoErr(err)
	is.Equal(a.StatusCode, http.StatusServiceUnavailable)
	is.NoErr(<-h.done)
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 6, 1)
	url := fmt.Sprintf("http://%s:%d/one/a", m.hosts[0].ip, m.ports[portCallers])
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("x", 1001)))
	is.NoErr(err)
	r.Host = "h"
	a, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer a.Body.Close()
	is.Equal(a.StatusCode, http.StatusRequestEntityTooLarge)
	_, all := m.hosts[0].server.Executions("")
	is.Equal(all, 0)
}

func TestUndecodableConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 7, 1)
	m.store.Put(standin.ConfigKey, []byte(`{"version":"r9"`))
	revision := m.store.PutServer("odd", "no address", "x", "ready", 4)
	m.eventually("the sidecar has read the later entry", func() bool { return m.hosts[0].sidecar.replica.Revision() >= revision })
	is.Equal(m.hosts[0].sidecar.replica.Table().Version, int64(1))
	status, _ := m.get(0, portCallers, "/one/a", "id")
	is.Equal(status, http.StatusOK)
}

// TestStartPollsSeeds restarts a sidecar during an outage of the store, without any request from its peers. It has to poll its seeds.
func TestStartPollsSeeds(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 8, 3)
	m.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	h := m.hosts[0]
	h.stop()
	is.NoErr(<-h.done)
	h.seeds = fmt.Sprintf("seeds = %s:%d, 127.9.9.9:1", m.hosts[1].ip, m.ports[portPeers])
	m.run(h)
	m.eventually("the sidecar is ready again", func() bool {
		status, _ := m.get(0, portReady, platform.ReadyPath, "")
		return status == http.StatusOK
	})
}

// TestBurnOverAllSidecars checks the counts of good and bad requests over all hosts.
func TestBurnOverAllSidecars(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 9, 3)
	for i := range 6 {
		status, _ := m.get(i%3, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.Equal(status, http.StatusOK)
	}
	for _, h := range m.hosts {
		h.server.SetBehaviour(standin.Failing)
	}
	m.get(0, portCallers, "/one/a", "failed")
	getReport := func() *burn.Report {
		status, text := m.get(1, portMetrics, "/burn?timeout=5s", "")
		is.Equal(status, http.StatusOK)
		r := &burn.Report{}
		is.NoErr(json.Unmarshal([]byte(text), r))
		return r
	}
	r := getReport()
	is.Equal(r.HostsQueried, 3)
	is.Equal(len(r.Unresponsive), 0)
	is.Equal(len(r.Counts), 2)
	for _, c := range r.Counts {
		is.Equal(c.Service, "x")
		is.Equal(c.Good+c.Bad, int64(7))
		is.True(c.Bad >= 1)
		is.True(c.Rate > 1)
	}
	stopped := m.hosts[2]
	stopped.stop()
	is.NoErr(<-stopped.done)
	is.Equal(getReport().Unresponsive, []string{stopped.ip})
}

// TestReaderNotifiesPeers keeps the sidecar that isn't a reader from polling. It has to be notified of a change by a reader.
func TestReaderNotifiesPeers(t *testing.T) {
	m := newMesh(t, 12, 4)
	var other *Sidecar
	m.eventually("three of four sidecars are readers", func() bool {
		n := 0
		for _, h := range m.hosts {
			if !h.sidecar.isReader() {
				other = h.sidecar
				n++
			}
		}
		return n == 1
	})
	m.configure(2, "x", "/two/")
	m.eventually("the new version is in force", func() bool {
		other.confirmation.confirm(time.Now())
		return other.replica.Table().Version == 2
	})
}

// TestLeavingServerGetsRequestsFromOtherHosts guards against senders that use a server which stated that it is leaving: its entry says ready,
// and the sidecar beside it has been restarted since.
func TestLeavingServerGetsRequestsFromOtherHosts(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 13, 3)
	h := m.hosts[0]
	m.registerServer(1, "draining")
	m.registerServer(2, "draining")
	m.eventually("only the server of the first host is in use", func() bool {
		return !slices.ContainsFunc(m.hosts, func(h *testHost) bool {
			v := h.sidecar.replica.Table().Services["x"]
			return v == nil || len(v.Servers) != 1 || v.Servers[0].GetId() != "i-0"
		})
	})
	h.server.Leave()
	for i := 1; i < 3; i++ {
		m.get(i, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.True(m.hosts[i].sidecar.replica.Table().Leaving("i-0"))
	}
	h.stop()
	is.NoErr(<-h.done)
	m.run(h)
	m.eventually("the sidecar is ready again", func() bool {
		status, _ := m.get(0, portReady, platform.ReadyPath, "")
		return status == http.StatusOK
	})
	_, before := h.server.Executions("")
	for i := range 30 {
		status, _ := m.get(1+i%2, portCallers, "/one/a", fmt.Sprintf("late-%d", i))
		is.Equal(status, http.StatusServiceUnavailable)
	}
	_, after := h.server.Executions("")
	is.Equal(after, before)
}

// TestChangeAfterRestoreIsLate guards against sidecars that take a revision of before a restore for a newer one: they keep what they hold.
func TestChangeAfterRestoreIsLate(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 14, 5)
	lost := m.store.Copy()
	m.configure(2, "x", "/two/")
	latest := m.store.PutServer("i-9", "127.9.14.200:1", "y", "ready", 4)
	m.eventually("all sidecars hold everything", func() bool {
		return !slices.ContainsFunc(m.hosts, func(h *testHost) bool { return h.sidecar.replica.Revision() < latest })
	})
	m.store.Restore(lost)
	m.configure(2, "x", "/two/")
	m.configure(3, "x", "/three/")
	m.eventually("version 3 is in force everywhere", func() bool {
		return !slices.ContainsFunc(m.hosts, func(h *testHost) bool { return h.sidecar.replica.Table().Version != 3 })
	})
	reader := m.hosts[slices.IndexFunc(m.hosts, func(h *testHost) bool { return h.sidecar.isReader() })].sidecar.watcher
	requests := reader.requestCount()
	m.eventually("a reader watches again", func() bool { return reader.requestCount() > requests })
	reads := reader.fullReadCount()
	requests = reader.requestCount()
	m.eventually("four requests have ended", func() bool { return reader.requestCount() > requests+4 })
	is.True(reader.fullReadCount() <= reads+1) // a pause of this process may cause one
}
