// Command case11 plays case 11 of the third review: a server sends a second copy of a few answers late, while the store holds an entry of another
// writer with the IP address of the server's machine. It exits with 1 if a request that isn't idempotent was answered with a promise that it did not run, and ran.
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/review/third/standin/bed"
)

const (
	machines = 8
	// entriesServers is how many machines have a server of the service that is sent to. The first of them is the faulty one.
	entriesServers = 2
	slots          = 13
	// serviceTime is the mean time of a filing at a server, deadline that of its client.
	serviceTime = 100 * time.Millisecond
	deadline    = 2 * time.Second
	// sendInterval is the time between two filings at one machine.
	sendInterval = 80 * time.Millisecond
	playTime     = 95 * time.Second
	// garbleTime and calmTime are how long the server sends second copies, and how long it doesn't; garbleShare is the share of its answers.
	garbleTime  = 5 * time.Second
	calmTime    = 3 * time.Second
	garbleShare = 0.03
	// foreignPort is the port that the entry of another writer names.
	foreignPort = 9100
)

// play is one run of the case.
type play struct {
	store    *bed.Store
	machines []*bed.Machine
	server   *bed.Server
	record   *bed.Record
	trouble  bool
	copies   atomic.Int64

	mu       sync.Mutex
	runs     map[string][]bed.Run
	attempts []bed.Attempt
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
	p := &play{record: record, trouble: os.Getenv("TROUBLE") != "0", runs: map[string][]bed.Run{}}
	defer p.end()
	if err := p.start(dir); err != nil {
		fmt.Println(err)
		return 2
	}
	p.play()
	return p.judge()
}

func (p *play) start(dir string) error {
	net := fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250))
	ports, err := bed.NewPorts(net + "1")
	if err != nil {
		return err
	}
	p.store = bed.NewStore()
	p.store.Put("op/config", bed.Config(7, []string{"entries", "ledger"}, []bed.Route{
		{Name: "filing", Kind: "non_idempotent", Prefix: "/filing/", Service: "entries", TimeoutS: 1, TargetS: 0.6, Priority: 2, Attempts: 2},
	}))
	// An entry of another writer: its field names aren't spelled as on the platform's pages, so all of its fields are missing.
	p.store.Put("servers/inventory-1", map[string]any{"Address": fmt.Sprintf("%s1:%d", net, foreignPort), "Born": time.Now().UnixMilli(),
		"Info":   map[string]any{"Service": "entries", "Version": "v1", "Zone": "a", "Slots": slots},
		"Status": map[string]any{"State": "ready", "Seq": 1, "ColdRemainingS": 0}})
	for i := range machines {
		m := &bed.Machine{IP: fmt.Sprintf("%s%d", net, i+1), Zone: "a", Service: "ledger", Ports: ports}
		if m.Link, err = p.store.Listen(net + "200:0"); err != nil {
			return err
		}
		if i < entriesServers {
			m.Service = "entries"
		}
		s, err := bed.NewServer(m.AddressOf(ports.App), fmt.Sprintf("i-%d", i+1), m.Service, m.Zone, slots, work, p.observe)
		if err != nil {
			return err
		}
		if i == 0 {
			p.server = s
		}
		p.store.Put("servers/"+s.ID, s.Entry("ready"))
		p.machines = append(p.machines, m)
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

// work returns how long a filing takes.
func work(*http.Request) time.Duration {
	return serviceTime/2 + rand.N(serviceTime)
}

func (p *play) observe(r bed.Run) {
	p.record.Line(r.At, "run %s at %s", r.ID, r.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[r.ID] = append(p.runs[r.ID], r)
}

func (p *play) play() {
	end := time.Now().Add(playTime)
	if p.trouble {
		p.sending.Add(1)
		go p.garble(end)
	}
	for i := range p.machines {
		p.sending.Add(1)
		go p.sendAll(i, end)
	}
	p.sending.Wait()
	time.Sleep(deadline)
}

// garble makes the server send second copies of a share of its answers, for garbleTime at a time.
func (p *play) garble(end time.Time) {
	defer p.sending.Done()
	for time.Now().Before(end) {
		p.record.Line(time.Now(), "the server begins to send second copies of %g of its answers late", garbleShare)
		p.server.SetExtra(func(int) bool {
			if rand.Float64() >= garbleShare {
				return false
			}
			p.copies.Add(1)
			return true
		})
		time.Sleep(garbleTime)
		p.server.SetExtra(func(int) bool { return false })
		time.Sleep(calmTime)
	}
}

// sendAll sends the filings of one machine.
func (p *play) sendAll(machine int, end time.Time) {
	defer p.sending.Done()
	for i := 0; time.Now().Before(end); i++ {
		p.sending.Add(1)
		go p.send(p.machines[machine], fmt.Sprintf("f%d-%d", machine+1, i))
		time.Sleep(sendInterval/2 + rand.N(sendInterval))
	}
}

func (p *play) send(m *bed.Machine, id string) {
	defer p.sending.Done()
	a := bed.Send(m, http.MethodPost, "/filing/"+id, id, strings.Repeat("x", 400), deadline)
	p.record.Line(a.SentAt, "sent %s to the sidecar on %s", id, m.IP)
	p.record.Line(a.EndedAt, "answer to %s: %d, stamp %q, error %v", id, a.Status, a.Stamp, a.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, a)
}

// judge checks rules REFUSED and TWICE.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses, broken := map[int]int{}, 0
	for _, a := range p.attempts {
		statuses[a.Status]++
		if n := len(p.runs[a.ID]); bed.Promises(a.Status) && n > 0 || n > 1 {
			broken++
			fmt.Printf("REFUSED: %s was answered %d and ran %d times\n", a.ID, a.Status, n)
			p.record.Line(time.Now(), "BROKEN %s was answered %d and ran %d times", a.ID, a.Status, n)
		}
	}
	summary := fmt.Sprintf("%d filings, answers by status %v, %d answers 421, %d second copies, %d filings broke the rule", len(p.attempts), statuses, p.server.Misdirected(), p.copies.Load(), broken)
	fmt.Println(summary)
	p.record.Line(time.Now(), "%s", summary)
	switch {
	case statuses[http.StatusOK] < len(p.attempts)/2:
		fmt.Println("the deployment served less than half of the filings")
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
