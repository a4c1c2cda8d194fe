// Command case13 plays case 13 of the third review: the store is down for a few seconds, and the first change after that is the removal of a server
// that never reported that it is draining. It exits with 1 if requests reach the server later than drainS after the removal was acknowledged.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/third/standin/bed"
)

const (
	machines = 8
	zones    = 4
	slots    = 13
	rounds   = 5
	// drainTime is the bound drainS.
	drainTime   = 2 * time.Second
	serviceTime = 80 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	// sendInterval is the time between two requests at one machine.
	sendInterval = 25 * time.Millisecond
	// silentTime is how long the store is silent, and calmTime how long it has been without disruption, at least, when a server is removed.
	silentTime = 4500 * time.Millisecond
	calmTime   = 3200 * time.Millisecond
	// watchTime is how long a server is looked for whose sidecar has begun to watch the store again.
	watchTime = 8 * time.Second
	// leaveTime is how long a removed server continues to serve: drainS and a little longer. RestTime is the time between its end and the next round.
	leaveTime = drainTime + 300*time.Millisecond
	restTime  = 4 * time.Second
)

// removal is the removal of a server's entry.
type removal struct {
	server string
	at     time.Time
}

// play is one run of the case.
type play struct {
	store    *bed.Store
	machines []*bed.Machine
	servers  []*bed.Server
	record   *bed.Record
	trouble  bool
	removals []removal

	mu       sync.Mutex
	runs     []bed.Run
	sentAt   map[string]time.Time
	sentFrom map[string]string
	statuses map[int]int
	gone     map[string]bool
	sending  sync.WaitGroup
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
	p := &play{record: record, trouble: os.Getenv("TROUBLE") != "0", sentAt: map[string]time.Time{}, sentFrom: map[string]string{}, statuses: map[int]int{}, gone: map[string]bool{}}
	defer p.end()
	if err := p.start(dir); err != nil {
		fmt.Println(err)
		return 2
	}
	if err := p.play(); err != nil {
		fmt.Println(err)
		return 2
	}
	return p.judge()
}

func (p *play) start(dir string) error {
	net := fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250))
	ports, err := bed.NewPorts(net + "1")
	if err != nil {
		return err
	}
	p.store = bed.NewStore()
	p.store.Put("op/config", bed.Config(7, []string{"entries"}, []bed.Route{
		{Name: "lookup", Kind: "idempotent", Prefix: "/lookup/", Service: "entries", TimeoutS: 0.8, TargetS: 0.25, Priority: 1, Attempts: 2},
		{Name: "filing", Kind: "non_idempotent", Prefix: "/filing/", Service: "entries", TimeoutS: 1, TargetS: 0.6, Priority: 2, Attempts: 2},
	}))
	for i := range machines {
		m := &bed.Machine{IP: fmt.Sprintf("%s%d", net, i+1), Zone: string(rune('a' + i%zones)), Service: "entries", Ports: ports}
		if m.Link, err = p.store.Listen(net + "200:0"); err != nil {
			return err
		}
		s, err := bed.NewServer(m.AddressOf(ports.App), fmt.Sprintf("i-%d", i+1), m.Service, m.Zone, slots, work, p.observe)
		if err != nil {
			return err
		}
		p.store.Put("servers/"+s.ID, s.Entry("ready"))
		p.servers, p.machines = append(p.servers, s), append(p.machines, m)
		if err := m.Start(dir); err != nil {
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
func work(*http.Request) time.Duration {
	return serviceTime/2 + rand.N(serviceTime)
}

func (p *play) observe(r bed.Run) {
	p.record.Line(r.Arrived, "%s reached %s", r.ID, r.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, r)
}

// play removes the servers of machines whose sidecars watch the store, each as the first change after an outage.
func (p *play) play() error {
	stop := make(chan struct{})
	for i := range p.machines {
		p.sending.Add(1)
		go p.sendAll(i, stop)
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		silentAt := time.Now()
		if p.trouble {
			p.record.Line(silentAt, "the store is silent")
			p.store.SetSilent(true)
			time.Sleep(silentTime)
			p.store.SetSilent(false)
			p.record.Line(time.Now(), "the store answers again")
		}
		time.Sleep(calmTime)
		if i := p.watching(silentAt); i >= 0 {
			p.remove(i)
		} else {
			p.record.Line(time.Now(), "no server was removed")
		}
		time.Sleep(restTime)
	}
	close(stop)
	p.sending.Wait()
	return nil
}

// watching waits for a sidecar that watches the store and hasn't had an answer since a time, and returns the index of its machine. Without the
// disruption any sidecar that watches the store will do. It returns -1 if there is none within watchTime.
func (p *play) watching(since time.Time) int {
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, link := range p.store.Watching() {
			if p.trouble && p.store.AnsweredSince(link, since) {
				continue
			}
			for i, m := range p.machines {
				if m.Link == link && !p.isGone(m.IP) {
					return i
				}
			}
		}
	}
	return -1
}

func (p *play) isGone(ip string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone[ip]
}

// remove removes a server that never reports that it is draining: its entry goes, and it continues to serve for a while.
func (p *play) remove(i int) {
	s, m := p.servers[i], p.machines[i]
	at := p.store.Delete("servers/" + s.ID)
	p.record.Line(at, "the removal of %s is acknowledged", s.ID)
	p.removals = append(p.removals, removal{s.ID, at})
	time.Sleep(leaveTime)
	s.Close()
	p.mu.Lock()
	p.gone[m.IP] = true
	p.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	m.Signal(syscall.SIGTERM)
}

// sendAll sends the requests of one machine, until its server has ended.
func (p *play) sendAll(machine int, stop <-chan struct{}) {
	defer p.sending.Done()
	m := p.machines[machine]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval/2 + rand.N(sendInterval)):
		}
		if p.isGone(m.IP) {
			return
		}
		method, target := http.MethodGet, "/lookup/"
		if i%3 == 0 {
			method, target = http.MethodPost, "/filing/"
		}
		p.sending.Add(1)
		go p.send(m, method, target, fmt.Sprintf("q%d-%d", machine+1, i))
	}
}

func (p *play) send(m *bed.Machine, method, target, id string) {
	defer p.sending.Done()
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 400)
	}
	p.mu.Lock()
	p.sentAt[id], p.sentFrom[id] = time.Now(), m.IP
	p.mu.Unlock()
	a := bed.Send(m, method, target+id, id, body, deadline)
	p.record.Line(a.SentAt, "sent %s to the sidecar on %s", id, m.IP)
	p.record.Line(a.EndedAt, "answer to %s: %d, stamp %q, error %v", id, a.Status, a.Stamp, a.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[a.Status]++
}

// judge checks rule DRAIN.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	broken, total := 0, 0
	for _, n := range p.statuses {
		total += n
	}
	for _, x := range p.removals {
		late, latest := 0, time.Duration(0)
		for _, r := range p.runs {
			if after := r.Arrived.Sub(x.at); r.Server == x.server && after > drainTime {
				late++
				latest = max(latest, after)
				p.record.Line(r.Arrived, "BROKEN %s, sent to the sidecar on %s %.3f s after the removal of %s, reached it %.3f s after the removal", r.ID, p.sentFrom[r.ID],
					p.sentAt[r.ID].Sub(x.at).Seconds(), x.server, after.Seconds())
			}
		}
		broken += late
		fmt.Printf("%s: %d requests reached it later than %s after its removal was acknowledged, the last %.3f s\n", x.server, late, drainTime, latest.Seconds())
	}
	summary := fmt.Sprintf("%d requests, answers by status %v, %d broke rule DRAIN", total, p.statuses, broken)
	fmt.Println(summary)
	p.record.Line(time.Now(), "%s", summary)
	switch {
	case p.statuses[http.StatusOK] < total/2:
		fmt.Println("the deployment served less than half of the requests")
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

func (p *play) end() {
	for _, m := range p.machines {
		m.Signal(syscall.SIGKILL)
	}
}
