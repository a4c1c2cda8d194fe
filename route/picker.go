// Package route chooses the server of each attempt and decides whether a failed attempt is retried. It has no clock and no socket.
package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

// Picker tracks load and failures of hosts and chooses a host for each attempt of a node. It isn't safe for concurrent use.
type Picker struct {
	dataCentre string
	random     func(n int) int
	hosts      map[string]*hostState
}

// hostState is what this node knows of one host from its load reports and failures.
type hostState struct {
	process         uint64
	epoch           int64
	inFlight        int
	load            float64
	loadUntil       time.Time
	failures        int
	ejections       int
	ejectedUntil    time.Time
	stoppingProcess uint64 // process that reported that it is stopping
	stoppingUntil   time.Time
	retryAt         map[string]time.Time
	slowStartUntil  time.Time
}

// Pick is a chosen host and its process.
type Pick struct {
	Host *settings.Host
	// Process and Epoch are the latest that the host reported; zero before its first response.
	Process uint64
	Epoch   int64
}

const (
	// failuresToEject is how many consecutive failures eject a host.
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	// maxEjectedShare is the largest share of a service's hosts in a data centre that may be ejected.
	maxEjectedShare = 0.3
	// stoppingTimeout is how long a host that reported that it is stopping gets no requests, unless another process responds there.
	stoppingTimeout = 3 * time.Second
	// slowStartDuration is the time in which a new process ramps up to its full share of the requests.
	slowStartDuration = 10 * time.Second
	// minSlowStartShare is the part of its full share that a new process starts with.
	minSlowStartShare = 0.1
	// loadMaxAge is the age from which a reported load is ignored.
	loadMaxAge = 2 * time.Second
	// maxRemoteLoad is the reported load from which a host of another data centre gets no requests.
	maxRemoteLoad = 0.8
	// maxDraws bounds the draws of a second host while it equals the first.
	maxDraws = 4
)

// NewPicker returns a picker for a node of a data centre. Random returns an integer from 0 to n-1.
func NewPicker(dataCentre string, random func(n int) int) *Picker {
	return &Picker{dataCentre: dataCentre, random: random, hosts: map[string]*hostState{}}
}

// Pick chooses a host of a service for a request of a rank, by the power of two choices. It prefers hosts of the node's data
// centre to hosts elsewhere that aren't loaded, and those to ejected hosts. Tried are the hosts of earlier attempts, which it
// skips. The error has CodeOverloaded if hosts are left out because of their retry-after, else CodeNoBackend.
func (p *Picker) Pick(v *settings.Service, rank string, tried []string, now time.Time) (Pick, *jaypitch.Error) {
	var local, remote, ejected []*settings.Host
	overloaded := 0
	ejectable := p.ejectionApplies(v, now)
	for _, h := range v.Hosts {
		e := p.hosts[h.Name]
		switch {
		case contains(tried, h.Name) || e.isStopping(now):
		case e.isOverloaded(rank, now):
			overloaded++
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
			return p.newPick(p.lessLoaded(pool, now)), nil
		}
	}
	if overloaded > 0 {
		return Pick{}, jaypitch.Errorf(jaypitch.CodeOverloaded, "%d hosts of service %q accept no requests of rank %q before their retry-after", overloaded, v.Name, rank)
	}
	return Pick{}, jaypitch.Errorf(jaypitch.CodeNoBackend, "no host of service %q accepts requests", v.Name)
}

// Start records the start of an attempt at a host.
func (p *Picker) Start(host string, now time.Time) {
	p.hostState(host, now).inFlight++
}

// Finish records the end of an attempt at a host. Report is nil if there was no response, which counts as a failure.
func (p *Picker) Finish(host, rank string, c jaypitch.Code, report *jaypitch.LoadReport, now time.Time) {
	e := p.hostState(host, now)
	e.inFlight--
	if report == nil {
		e.recordFailure(now)
		return
	}
	e.failures, e.ejections = 0, 0
	e.ejectedUntil = time.Time{}
	if e.process != report.Process {
		e.slowStartUntil = now.Add(slowStartDuration)
		if e.process == 0 || report.Epoch > int64(slowStartDuration/time.Second) {
			e.slowStartUntil = now
		}
	}
	e.process, e.epoch = report.Process, report.Epoch
	e.load, e.loadUntil = report.Load, now.Add(loadMaxAge)
	if report.Stopping {
		e.stoppingProcess, e.stoppingUntil = report.Process, now.Add(stoppingTimeout)
	}
	if report.RetryAfterUS > 0 {
		e.retryAt[rank] = now.Add(time.Duration(report.RetryAfterUS) * time.Microsecond)
	} else if c != jaypitch.CodeOverloaded {
		delete(e.retryAt, rank)
	}
}

// MarkStopping records that a process of a host announced that it is stopping.
func (p *Picker) MarkStopping(host string, process uint64, now time.Time) {
	e := p.hostState(host, now)
	e.process = process
	e.stoppingProcess, e.stoppingUntil = process, now.Add(stoppingTimeout)
}

// InProgress returns the number of this node's attempts in progress at a host.
func (p *Picker) InProgress(host string) int {
	if e := p.hosts[host]; e != nil {
		return e.inFlight
	}
	return 0
}

// Cancel records the end of an attempt whose result says nothing about the host.
func (p *Picker) Cancel(host string, now time.Time) {
	p.hostState(host, now).inFlight--
}

// Process returns the process of a host and its epoch in seconds; zero if they aren't known.
func (p *Picker) Process(host string) (process uint64, epoch int64) {
	if e := p.hosts[host]; e != nil {
		return e.process, e.epoch
	}
	return 0, 0
}

// Prune removes the state of hosts that are not in the table and have no attempts in progress.
func (p *Picker) Prune(t *settings.Table) {
	for name, e := range p.hosts {
		if t.Host(name) == nil && e.inFlight == 0 {
			delete(p.hosts, name)
		}
	}
}

// Ejected returns the names of the ejected hosts, in no order.
func (p *Picker) Ejected(now time.Time) []string {
	var names []string
	for name, e := range p.hosts {
		if e.isEjected(now) {
			names = append(names, name)
		}
	}
	return names
}

// lessLoaded draws two hosts at random and returns the one with the lower score.
func (p *Picker) lessLoaded(pool []*settings.Host, now time.Time) *settings.Host {
	a := pool[p.random(len(pool))]
	if len(pool) == 1 {
		return a
	}
	b := a
	for range maxDraws {
		if b = pool[p.random(len(pool))]; b != a {
			break
		}
	}
	if p.hosts[b.Name].score(now) < p.hosts[a.Name].score(now) {
		return b
	}
	return a
}

// ejectionApplies reports whether no more local hosts of the service are ejected than allowed; otherwise ejections are ignored.
func (p *Picker) ejectionApplies(v *settings.Service, now time.Time) bool {
	all, ejected := 0, 0
	for _, h := range v.Hosts {
		if h.DataCentre != p.dataCentre {
			continue
		}
		all++
		if p.hosts[h.Name].isEjected(now) {
			ejected++
		}
	}
	return ejected <= max(1, int(float64(all)*maxEjectedShare))
}

func (p *Picker) newPick(h *settings.Host) Pick {
	process, epoch := p.Process(h.Name)
	return Pick{Host: h, Process: process, Epoch: epoch}
}

func (p *Picker) hostState(host string, now time.Time) *hostState {
	e := p.hosts[host]
	if e == nil {
		e = &hostState{retryAt: map[string]time.Time{}, slowStartUntil: now}
		p.hosts[host] = e
	}
	return e
}

func (e *hostState) recordFailure(now time.Time) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	span := min(minEjection<<min(e.ejections, 5), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(span)
}

// isStopping reports whether the host is stopping. That ends when another process of the host responds or stoppingTimeout has passed.
func (e *hostState) isStopping(now time.Time) bool {
	return e != nil && e.stoppingProcess != 0 && e.stoppingProcess == e.process && now.Before(e.stoppingUntil)
}

func (e *hostState) isEjected(now time.Time) bool {
	return e != nil && now.Before(e.ejectedUntil)
}

func (e *hostState) isOverloaded(rank string, now time.Time) bool {
	return e != nil && now.Before(e.retryAt[rank])
}

// hasRoom reports whether a host of another data centre may get requests; true if its load isn't known.
func (e *hostState) hasRoom(now time.Time) bool {
	return e == nil || now.After(e.loadUntil) || e.load < maxRemoteLoad
}

// score is the host's attempts in progress weighted by its reported load. It is higher in slow start, so that a new process gets less.
func (e *hostState) score(now time.Time) float64 {
	if e == nil {
		return 1
	}
	load := 0.0
	if now.Before(e.loadUntil) {
		load = e.load
	}
	return float64(e.inFlight+1) * (1 + load) / e.slowStartShare(now)
}

func (e *hostState) slowStartShare(now time.Time) float64 {
	left := e.slowStartUntil.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minSlowStartShare, 1-float64(left)/float64(slowStartDuration))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
