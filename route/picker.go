// Package route decides which host a call goes to, and whether a call that failed there is tried
// again. It has no clock and no socket.
package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

// Picker remembers what this node saw of other hosts and picks one for each call. It isn't safe for concurrent use.
type Picker struct {
	dataCentre string
	random     func(n int) int
	peers      map[string]*peer
}

// peer is what this node saw of one host.
type peer struct {
	process      uint64
	epoch        int64
	inFlight     int
	load         float64
	loadUntil    time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	stopping     uint64 // process that said that it is stopping
	stoppingTo   time.Time
	holdOff      map[string]time.Time
	warmAt       time.Time
}

// Pick is a picked host with what is known of its process.
type Pick struct {
	Host *settings.Host
	// Process and Epoch are zero if no answer of the host was seen.
	Process uint64
	Epoch   int64
}

const (
	// failuresToEject is how many failures in a row eject a host.
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	// ejectedShare is the largest share of a service's hosts in a data centre that may be ejected.
	ejectedShare = 0.3
	// stoppingLasts is how long a host that said that it is stopping gets no calls.
	stoppingLasts = 3 * time.Second
	// slowStart is the time over which a new process gets its full share.
	slowStart = 10 * time.Second
	// minWarmth is the share that a new process gets first.
	minWarmth = 0.1
	// loadLasts is how long a told load is believed.
	loadLasts = 2 * time.Second
	// spareLoad is the told load below which another data centre has room.
	spareLoad = 0.8
	// pickTries is how many draws are made before all hosts are looked at.
	pickTries = 4
)

// NewPicker makes a picker for a node; random returns a number from 0 to n-1.
func NewPicker(dataCentre string, random func(n int) int) *Picker {
	return &Picker{dataCentre: dataCentre, random: random, peers: map[string]*peer{}}
}

// Pick chooses a host of the service for a call of a rank, leaving out hosts tried already: in the own
// data centre by the power of two choices; elsewhere only where there is room; an ejected host last.
func (p *Picker) Pick(v *settings.Service, rank string, tried []string, now time.Time) (Pick, *jaypitch.Error) {
	var local, remote, ejected []*settings.Host
	held := 0
	ejectable := p.mayEject(v, now)
	for _, h := range v.Hosts {
		e := p.peers[h.Name]
		switch {
		case contains(tried, h.Name) || e.isStopping(now):
		case e.heldOff(rank, now):
			held++
		case ejectable && e.isEjected(now):
			ejected = append(ejected, h)
		case h.DataCentre == p.dataCentre:
			local = append(local, h)
		case e.hasRoom(now):
			remote = append(remote, h)
		}
	}
	for _, pool := range [][]*settings.Host{local, remote, ejected} {
		if len(pool) > 0 {
			return p.choice(p.better(pool, now)), nil
		}
	}
	if held > 0 {
		return Pick{}, jaypitch.Errorf(jaypitch.CodeOverloaded, "%d hosts of service %q take no calls of rank %q now", held, v.Name, rank)
	}
	return Pick{}, jaypitch.Errorf(jaypitch.CodeNoBackend, "no host of service %q takes calls", v.Name)
}

// Start notes that a call goes to a host.
func (p *Picker) Start(host string, now time.Time) {
	p.peer(host, now).inFlight++
}

// Finish notes how a call to a host ended. Without an answer, told is nil.
func (p *Picker) Finish(host, rank string, c jaypitch.Code, told *jaypitch.LoadReport, now time.Time) {
	e := p.peer(host, now)
	e.inFlight--
	if told == nil {
		e.fail(now)
		return
	}
	e.failures, e.ejections = 0, 0
	e.ejectedUntil = time.Time{}
	if e.process != told.Process {
		e.warmAt = now.Add(slowStart)
		if e.process == 0 || told.Epoch > int64(slowStart/time.Second) {
			e.warmAt = now
		}
	}
	e.process, e.epoch = told.Process, told.Epoch
	e.load, e.loadUntil = told.Load, now.Add(loadLasts)
	if told.Stopping {
		e.stopping, e.stoppingTo = told.Process, now.Add(stoppingLasts)
	}
	if told.RetryAfterUS > 0 {
		e.holdOff[rank] = now.Add(time.Duration(told.RetryAfterUS) * time.Microsecond)
	} else if c != jaypitch.CodeOverloaded {
		delete(e.holdOff, rank)
	}
}

// MarkStopping notes that a process of a host is about to end.
func (p *Picker) MarkStopping(host string, process uint64, now time.Time) {
	e := p.peer(host, now)
	e.process = process
	e.stopping, e.stoppingTo = process, now.Add(stoppingLasts)
}

// InProgress returns the number of calls to a host.
func (p *Picker) InProgress(host string) int {
	if e := p.peers[host]; e != nil {
		return e.inFlight
	}
	return 0
}

// Cancel notes that a call ended without telling anything of the host.
func (p *Picker) Cancel(host string, now time.Time) {
	p.peer(host, now).inFlight--
}

// Process returns what is known of a host's process.
func (p *Picker) Process(host string) (process uint64, epoch int64) {
	if e := p.peers[host]; e != nil {
		return e.process, e.epoch
	}
	return 0, 0
}

// Prune forgets hosts that are not listed any more and have no calls.
func (p *Picker) Prune(t *settings.Table) {
	for name, e := range p.peers {
		if t.Host(name) == nil && e.inFlight == 0 {
			delete(p.peers, name)
		}
	}
}

// Ejected returns the hosts that are ejected now.
func (p *Picker) Ejected(now time.Time) []string {
	var names []string
	for name, e := range p.peers {
		if e.isEjected(now) {
			names = append(names, name)
		}
	}
	return names
}

// better draws two hosts and returns the one with less to do.
func (p *Picker) better(pool []*settings.Host, now time.Time) *settings.Host {
	a := pool[p.random(len(pool))]
	if len(pool) == 1 {
		return a
	}
	b := a
	for range pickTries {
		if b = pool[p.random(len(pool))]; b != a {
			break
		}
	}
	if p.peers[b.Name].score(now) < p.peers[a.Name].score(now) {
		return b
	}
	return a
}

// mayEject says whether no more hosts are ejected than allowed; beyond that ejection is not applied.
func (p *Picker) mayEject(v *settings.Service, now time.Time) bool {
	all, ejected := 0, 0
	for _, h := range v.Hosts {
		if h.DataCentre != p.dataCentre {
			continue
		}
		all++
		if p.peers[h.Name].isEjected(now) {
			ejected++
		}
	}
	return ejected <= max(1, int(float64(all)*ejectedShare))
}

func (p *Picker) choice(h *settings.Host) Pick {
	process, epoch := p.Process(h.Name)
	return Pick{Host: h, Process: process, Epoch: epoch}
}

func (p *Picker) peer(host string, now time.Time) *peer {
	e := p.peers[host]
	if e == nil {
		e = &peer{holdOff: map[string]time.Time{}, warmAt: now}
		p.peers[host] = e
	}
	return e
}

func (e *peer) fail(now time.Time) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	span := min(minEjection<<min(e.ejections, 5), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(span)
}

// isStopping holds until another process of the host answers, or for a time after which the host is tried again.
func (e *peer) isStopping(now time.Time) bool {
	return e != nil && e.stopping != 0 && e.stopping == e.process && now.Before(e.stoppingTo)
}

func (e *peer) isEjected(now time.Time) bool {
	return e != nil && now.Before(e.ejectedUntil)
}

func (e *peer) heldOff(rank string, now time.Time) bool {
	return e != nil && now.Before(e.holdOff[rank])
}

// hasRoom says whether a host of another data centre may get calls.
func (e *peer) hasRoom(now time.Time) bool {
	return e == nil || now.After(e.loadUntil) || e.load < spareLoad
}

// score is how much a host has to do; a new process counts for more than it has.
func (e *peer) score(now time.Time) float64 {
	if e == nil {
		return 1
	}
	load := 0.0
	if now.Before(e.loadUntil) {
		load = e.load
	}
	return float64(e.inFlight+1) * (1 + load) / e.warmth(now)
}

func (e *peer) warmth(now time.Time) float64 {
	left := e.warmAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minWarmth, 1-float64(left)/float64(slowStart))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
