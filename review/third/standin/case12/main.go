// Command case12 plays case 12 of the third review: versions of a long configuration follow each other while clients upload bodies. As the platform
// does, it kills a sidecar that uses more than its memory. It exits with 1 if more than three requests that ran at sound servers were never answered
// for that.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/third/standin/bed"
)

const (
	machines = 10
	slots    = 12
	// memoryMB is the memory of a machine, and mebibyte its unit.
	memoryMB = 134
	mebibyte = 1 << 20
	// firstRoutes are the idle routes of the deployment, addedRoutes those that the configuration grows by at a time, growths how often it does.
	firstRoutes = 300
	addedRoutes = 350
	growths     = 17
	// stormTime and stormGap are the length of a storm of versions and the time between two of them, calmTime is that between two storms.
	stormTime = 5 * time.Second
	stormGap  = 180 * time.Millisecond
	calmTime  = 2 * time.Second
	playTime  = 95 * time.Second
	// uploadBytes is the size of an uploaded body. Ten of them fit into the memory budget of a sidecar.
	uploadBytes   = 8150000
	uploadTime    = 2900 * time.Millisecond
	uploadClients = 14
	uploadGap     = 20 * time.Millisecond
	lookupClients = 10
	lookupTime    = 1200 * time.Millisecond
	sampleTime    = 10 * time.Millisecond
	restartTime   = time.Second
)

// play is one run of the case.
type play struct {
	store    *bed.Store
	machines []*bed.Machine
	ports    bed.Ports
	record   *bed.Record
	trouble  bool
	dir      string
	end      time.Time
	version  int
	routes   int

	peak, uploads, uploaded, kills atomic.Int64

	mu       sync.Mutex
	runs     map[string]bool
	closed   map[string]string
	answered int
	working  sync.WaitGroup
}

func main() {
	runtime.LockOSThread() // the sidecars end with the thread that starts them
	os.Exit(run())
}

func run() int {
	record, err := bed.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{record: record, trouble: os.Getenv("TROUBLE") != "0", dir: dir, version: 10, routes: firstRoutes, runs: map[string]bool{}, closed: map[string]string{}}
	defer p.stop()
	if err := p.start(); err != nil {
		fmt.Println(err)
		return 2
	}
	p.play()
	return p.judge()
}

// configure writes the next version. It changes the timeout of the idle routes.
func (p *play) configure() {
	p.version++
	routes := []bed.Route{
		{Name: "charge", Kind: "non_idempotent", Prefix: "/charge/", Service: "agenda", TimeoutS: 3, TargetS: 1.5, Priority: 0, Attempts: 2},
		{Name: "lookup", Kind: "idempotent", Prefix: "/lookup/", Service: "agenda", TimeoutS: 1.2, TargetS: 0.6, Priority: 1, Attempts: 2},
	}
	for i := range p.routes {
		r := bed.Route{Name: fmt.Sprintf("r-%07d", i), Kind: "idempotent", Prefix: fmt.Sprintf("/%07d/", i), Service: "agenda", TimeoutS: 1, TargetS: 0.6, Priority: 1, Attempts: 2}
		if p.version%2 == 0 {
			r.TimeoutS = 1.2
		}
		routes = append(routes, r)
	}
	at := p.store.Put("op/config", bed.Config(p.version, []string{"agenda"}, routes))
	p.record.Line(at, "version r%d with %d routes", p.version, len(routes))
}

func (p *play) start() error {
	prefix := fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250))
	var err error
	if p.ports, err = bed.NewPorts(prefix + "1"); err != nil {
		return err
	}
	p.store = bed.NewStore()
	p.configure()
	for i := range machines {
		m := &bed.Machine{IP: fmt.Sprintf("%s%d", prefix, i+1), Zone: "a", Service: "agenda", Ports: p.ports, MemoryMB: memoryMB}
		if m.Link, err = p.store.Listen(prefix + "200:0"); err != nil {
			return err
		}
		s, err := bed.NewServer(m.AddressOf(p.ports.App), fmt.Sprintf("i-%d", i+1), m.Service, m.Zone, slots, work, p.observe)
		if err != nil {
			return err
		}
		p.store.Put("servers/"+s.ID, s.Entry("ready"))
		p.machines = append(p.machines, m)
		if err := m.Start(p.dir); err != nil {
			return err
		}
	}
	for _, m := range p.machines {
		if !m.AwaitReady(10 * time.Second) {
			return fmt.Errorf("the sidecar on %s isn't ready", m.IP)
		}
	}
	return nil
}

// work returns how long a request takes.
func work(r *http.Request) time.Duration {
	if r.Method == http.MethodPost {
		return 600*time.Millisecond + rand.N(400*time.Millisecond)
	}
	return 100*time.Millisecond + rand.N(200*time.Millisecond)
}

func (p *play) observe(r bed.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[r.ID] = true
}

func (p *play) play() {
	p.end = time.Now().Add(playTime)
	for i, m := range p.machines {
		p.working.Add(lookupClients + uploadClients + 1)
		go p.watch(m)
		for c := range uploadClients {
			go p.upload(m, fmt.Sprintf("u%d-%d", i+1, c))
		}
		for c := range lookupClients {
			go p.lookUp(m, fmt.Sprintf("l%d-%d", i+1, c))
		}
	}
	if p.trouble {
		p.storms()
	}
	p.working.Wait()
}

// storms makes the configuration grow, and versions follow each other.
func (p *play) storms() {
	for n := range growths {
		time.Sleep(stormGap)
		p.routes = firstRoutes + (n+1)*addedRoutes
		p.configure()
	}
	for time.Now().Before(p.end) {
		time.Sleep(calmTime)
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
			p.configure()
		}
	}
}

// watch kills the sidecar of a machine once it uses more than its memory, and starts it again.
func (p *play) watch(m *bed.Machine) {
	defer p.working.Done()
	for ; time.Now().Before(p.end); time.Sleep(sampleTime) {
		used := m.PeakBytes()
		if used > p.peak.Load() {
			p.peak.Store(used)
		}
		if used <= memoryMB*mebibyte {
			continue
		}
		p.kills.Add(1)
		p.record.Line(time.Now(), "the sidecar on %s uses %.1f MiB of memory; it is killed", m.IP, float64(used)/mebibyte)
		m.Kill()
		time.Sleep(restartTime)
		if err := m.Start(p.dir); err != nil {
			p.record.Line(time.Now(), "starting the sidecar on %s: %v", m.IP, err)
			return
		}
	}
}

// upload uploads bodies to a machine, one after the other. After a refusal it waits as it is told.
func (p *play) upload(m *bed.Machine, name string) {
	defer p.working.Done()
	for i := 0; time.Now().Before(p.end); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		p.uploads.Add(1)
		status, wait := p.uploadOne(m, id, i%2 == 0)
		if status == http.StatusOK {
			p.uploaded.Add(1)
		}
		time.Sleep(max(uploadGap, wait))
	}
}

// uploadOne returns the status of the answer, zero if there is none, and the time after which the client may come back.
func (p *play) uploadOne(m *bed.Machine, id string, chunked bool) (status int, wait time.Duration) {
	c, err := net.DialTimeout("tcp", m.AddressOf(p.ports.Outbound), time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(uploadTime))
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(c, "POST /charge/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n", id, bed.Host, id, uploadTime.Milliseconds(), framing)
	go writeBody(c, chunked)
	a, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return a.StatusCode, time.Duration(seconds * float64(time.Second))
}

// writeBody writes a body. An error means that the sidecar has answered or closed the connection.
func writeBody(c io.Writer, chunked bool) {
	buffer := make([]byte, 256<<10)
	for left := uploadBytes; left > 0; {
		n := min(left, len(buffer))
		left -= n
		if chunked {
			_, _ = fmt.Fprintf(c, "%x\r\n", n)
		}
		if _, err := c.Write(buffer[:n]); err != nil {
			return
		}
		if chunked {
			_, _ = io.WriteString(c, "\r\n")
		}
	}
	if chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// lookUp sends lookups on a kept connection, one after the other.
func (p *play) lookUp(m *bed.Machine, name string) {
	defer p.working.Done()
	for i := 0; time.Now().Before(p.end); {
		c, err := net.DialTimeout("tcp", m.AddressOf(p.ports.Outbound), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for in := bufio.NewReader(c); time.Now().Before(p.end); i++ {
			if !p.lookUpOne(m, c, in, fmt.Sprintf("%s-%d", name, i)) {
				i++
				break
			}
		}
		_ = c.Close()
	}
}

// lookUpOne reports whether the connection can be used again.
func (p *play) lookUpOne(m *bed.Machine, c net.Conn, in *bufio.Reader, id string) bool {
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(lookupTime + time.Second))
	_, _ = fmt.Fprintf(c, "GET /lookup/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, bed.Host, id, lookupTime.Milliseconds())
	a, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if t, ok := err.(net.Error); !ok || !t.Timeout() {
			p.closed[id] = m.IP
			p.record.Line(time.Now(), "%s, sent at %.3f s before, ended without an answer: %v", id, time.Since(sent).Seconds(), err)
		}
		return false
	}
	p.answered++
	return !a.Close
}

// judge checks rule LOST.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := map[string]int{}
	for id, ip := range p.closed {
		if p.runs[id] {
			lost[ip]++
			p.record.Line(time.Now(), "LOST %s ran, and the sidecar on %s closed the connection without an answer", id, ip)
		}
	}
	broken := false
	for ip, n := range lost {
		broken = broken || n > 3
		fmt.Printf("LOST: %d requests of kept connections ran at sound servers and were never answered by the sidecar on %s\n", n, ip)
	}
	summary := fmt.Sprintf("%d lookups answered, %d of %d uploads, peak %.1f of %d MiB, %d processes killed for their memory", p.answered, p.uploaded.Load(), p.uploads.Load(),
		float64(p.peak.Load())/mebibyte, memoryMB, p.kills.Load())
	fmt.Println(summary)
	p.record.Line(time.Now(), "%s", summary)
	switch {
	case p.answered == 0:
		return 2
	case broken:
		return 1
	}
	return 0
}

func (p *play) stop() {
	for _, m := range p.machines {
		m.Signal(syscall.SIGKILL)
	}
}
