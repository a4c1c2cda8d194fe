package soak

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch/standin"
)

// Promise names what a sidecar promises its clients, servers and operators.
type Promise string

// Kind is the kind of the rule of a request.
type Kind string

// Bounds are the limits that a Checker holds the sidecars to.
type Bounds struct {
	Drain, Evacuation, Version time.Duration
	// Slack is added to every bound on time, because a busy machine runs no process for that long.
	Slack time.Duration
	// ColdPerSecond is the largest number of requests to a cold server in one second.
	ColdPerSecond float64
	// RetryRatio, RetrySlack and RetryWindow bound the arrivals beyond the first of each request.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	MemoryBytes int64
}

// Result is what a client saw of a response.
type Result struct {
	// Status is 0 if the client got no head of a response.
	Status int
	// Complete is true if the body ended as its framing says.
	Complete bool
	// Foreign is true if the ID or a part of the body belongs to no response to this request.
	Foreign bool
	// GaveUp is true if the client ended the request itself, NotSent if it got no connection to send it on.
	GaveUp, NotSent bool
	// Spoiled is true if the body is that of a server whose bodies don't end, which nobody can complete.
	Spoiled bool
	// Detail describes the end of the response, for failures.
	Detail string
}

// Failure is a promise that wasn't kept.
type Failure struct {
	Promise Promise
	// ID is the ID of the request; empty if the failure is about none.
	ID     string
	At     time.Time
	Detail string
	// Explanation describes the course of the request by the log lines.
	Explanation string
}

// Checker compares events with the promises. Times are those at which the events were seen. It isn't safe for concurrent use.
type Checker struct {
	bounds       Bounds
	requests     map[string]*request
	servers      []*server
	centres      map[string]*centre
	disturbances []*disturbance
	versions     []version
	// inForce holds the newest version seen of each process.
	inForce map[int]int64
	// stops holds the last planned stop of each host.
	stops map[int]*stop
	// begun and repeated are the times within the retry window of requests, and of arrivals beyond the first.
	begun, repeated []time.Time
	// unsettled are failures of rates that a stall of the observing process may explain.
	unsettled []Failure
	stalls    []disturbance
	checks    map[Promise]int
	// broken counts all failures, failures holds the first of each promise.
	broken     map[Promise]int
	failures   []Failure
	peakMemory int64
	statuses   map[int]int
}

type request struct {
	kind                       Kind
	host                       int
	begun                      time.Time
	arrived, executed, refused int
	lost                       bool
}

// stop is a planned stop of a sidecar.
type stop struct {
	from, until time.Time // until is zero while it lasts
}

type server struct {
	centre              string
	closedAt            time.Time // zero if it takes requests
	goneAt              time.Time // zero if no evidence said gone since
	coldFrom, coldUntil time.Time
	limit               float64 // negative if it names none
	limitAt             time.Time
	// recent holds the arrivals of the last second.
	recent []time.Time
}

type centre struct {
	evacuatedAt time.Time // zero if it is in use
	goneAt      time.Time // zero if no evidence said gone since
}

// disturbance is a time in which some bounds don't hold.
type disturbance struct {
	name string
	host int
	// process is true if a process was paused or ended, which is no excuse for a request to a closed server.
	process     bool
	from, until time.Time // until is zero while it lasts
}

type version struct {
	number int64
	at     time.Time
}

const (
	// OwnResponse is that a client gets the response to its own request, whole or visibly cut.
	OwnResponse Promise = "own response"
	// AtMostOnce is that a request that isn't idempotent is executed once at most.
	AtMostOnce Promise = "at most once"
	// TruthfulRefusal is that a refused request wasn't executed and never will be.
	TruthfulRefusal Promise = "truthful refusal"
	// ClosedServer is that a drained or removed server gets nothing after the bound.
	ClosedServer Promise = "closed server"
	// Evacuation is the same for a data centre.
	Evacuation Promise = "evacuation"
	// ColdServer is that a cold server gets what it bears.
	ColdServer Promise = "cold server"
	// VersionInForce is that a version is in force within the bound and never followed by an older one.
	VersionInForce Promise = "version in force"
	// RetryBudget bounds the arrivals beyond the first of each request.
	RetryBudget Promise = "retry budget"
	// NamedLimit is that a server gets no more than the rate that it names.
	NamedLimit Promise = "named limit"
	// PlannedStop is that a sidecar that stops answers what it has read, and exits with 0.
	PlannedStop Promise = "planned stop"
	// ServedAgain is that all clients are served after the last fault.
	ServedAgain Promise = "served again"
	// Answered is that a sidecar which runs neither closes the connection of a client instead of a response nor lets it wait for one beyond all deadlines.
	Answered Promise = "answered"
	// Memory is that a process stays within its memory.
	Memory Promise = "memory"
	// Alive is that no process ends on its own.
	Alive Promise = "alive"
	// Evidence is that nothing gets through once the evidence says gone.
	Evidence Promise = "evidence"

	// Read is the kind of an idempotent request.
	Read Kind = "read"
	// Write is the kind of a request that isn't idempotent.
	Write Kind = "write"
	// Download is the kind of an idempotent request with a large response.
	Download Kind = "download"

	// AllHosts stands for every host in a disturbance.
	AllHosts = -1
	noHost   = -2

	// limitOverage is the factor by which requests in a second may exceed a named limit: the pace has a burst of half a second. limitSlack is for
	// the request that starts the second, and for the one that was on its way.
	limitOverage, limitSlack = 1.5, 2
	// stallReach is the second of a rate, and as much again for arrivals that were late.
	stallReach = 2 * time.Second
	// maxFailures is the number of failures of one promise that are kept; a broken promise often fails many checks.
	maxFailures = 10
)

// Promises are all promises, in the order of the report.
var Promises = []Promise{OwnResponse, AtMostOnce, TruthfulRefusal, ClosedServer, Evacuation, ColdServer, VersionInForce, RetryBudget, NamedLimit, PlannedStop,
	Answered, ServedAgain, Memory, Alive, Evidence}

// NewChecker returns a checker for the servers of hosts in data centres. Every server takes requests.
func NewChecker(b Bounds, dataCentres ...string) *Checker {
	c := &Checker{bounds: b, requests: map[string]*request{}, centres: map[string]*centre{}, inForce: map[int]int64{}, stops: map[int]*stop{},
		checks: map[Promise]int{}, broken: map[Promise]int{}, statuses: map[int]int{}}
	for _, d := range dataCentres {
		c.servers = append(c.servers, &server{centre: d, limit: -1})
		c.centres[d] = &centre{}
	}
	return c
}

// Begin records that a client of a host sends a request.
func (c *Checker) Begin(id string, k Kind, host int, at time.Time) {
	c.requests[id] = &request{kind: k, host: host, begun: at}
	c.begun = append(c.begun, at)
}

// End records how a request ended for its client.
func (c *Checker) End(id string, r Result, at time.Time) {
	q := c.requests[id]
	c.statuses[r.Status]++
	c.check(OwnResponse, !r.Foreign, id, at, "the response belongs to another request: "+r.Detail)
	if r.Status == http.StatusOK && r.Complete {
		c.check(OwnResponse, q.executed > 0, id, at, "a response without an execution")
	}
	if isRefusal(r.Status) {
		q.refused = r.Status
		c.check(TruthfulRefusal, q.executed == 0, id, at, fmt.Sprintf("refused with %d after %d executions", r.Status, q.executed))
	}
	// A download whose server spoils its first chunk ends before its head is written, which is a visible cut.
	unanswered := !r.GaveUp && !r.NotSent && r.Status == 0 && q.kind != Download
	stopped := c.stops[q.host]
	switch {
	// A client sees the end of its connection after the end of the process.
	case stopped != nil && !at.Before(stopped.from) && (stopped.until.IsZero() || q.begun.Before(stopped.until)):
		q.lost = unanswered || r.Status != 0 && q.kind != Download && !r.Complete && !r.Spoiled && !r.GaveUp
		c.check(PlannedStop, !q.lost || q.arrived == 0, id, at, fmt.Sprintf("the sidecar of host %d stopped without a response to a request that it had read: %s", q.host, r.Detail))
	case !c.processDisturbed(q.host, q.begun, at):
		c.check(Answered, !unanswered && !(r.GaveUp && r.Status == 0), id, at, fmt.Sprintf("the sidecar of host %d, which ran all the time, sent no response: %s", q.host, r.Detail))
	}
}

// Arrive records a request at the server of a host.
func (c *Checker) Arrive(host int, a standin.Arrival) {
	s := c.servers[host]
	if a.Outcome == standin.Misdirected {
		return
	}
	c.checkRates(host, s, a)
	if a.Outcome != standin.HealthCheck {
		c.checkRequest(a)
		if !s.closedAt.IsZero() {
			due := c.due(s.closedAt, c.bounds.Drain, host, false)
			if a.At.After(due) {
				c.fail(ClosedServer, a.ID, a.At, fmt.Sprintf("a request reached the server of host %d, %s after it closed", host, a.At.Sub(s.closedAt)))
			}
		}
		if !s.goneAt.IsZero() && a.At.After(s.goneAt) {
			c.fail(Evidence, a.ID, a.At, fmt.Sprintf("a request reached the server of host %d, %s after the evidence said gone", host, a.At.Sub(s.goneAt)))
		}
	}
	d := c.centres[s.centre]
	if !d.evacuatedAt.IsZero() && a.At.After(c.due(d.evacuatedAt, c.bounds.Evacuation, host, false)) {
		c.fail(Evacuation, a.ID, a.At, fmt.Sprintf("%s reached the server of host %d in data centre %s, %s after its evacuation", a.Outcome, host, s.centre, a.At.Sub(d.evacuatedAt)))
	}
	if !d.goneAt.IsZero() && a.At.After(d.goneAt) {
		c.fail(Evidence, a.ID, a.At, fmt.Sprintf("%s reached the server of host %d in data centre %s, %s after the evidence said gone", a.Outcome, host, s.centre, a.At.Sub(d.goneAt)))
	}
}

// checkRequest checks what is promised for the request of an arrival.
func (c *Checker) checkRequest(a standin.Arrival) {
	q := c.requests[a.ID]
	if q == nil {
		c.fail(OwnResponse, a.ID, a.At, "no client sent this request")
		return
	}
	q.arrived++
	if q.arrived > 1 {
		c.repeated = append(c.repeated, a.At)
		c.begun, c.repeated = after(c.begun, a.At.Add(-c.bounds.RetryWindow)), after(c.repeated, a.At.Add(-c.bounds.RetryWindow))
		allowed := c.bounds.RetryRatio*float64(len(c.begun)) + float64(c.bounds.RetrySlack)
		c.check(RetryBudget, float64(len(c.repeated)) <= allowed, a.ID, a.At, fmt.Sprintf("%d repeated arrivals in a window, allowed are %.1f", len(c.repeated), allowed))
	}
	if q.lost {
		c.fail(PlannedStop, a.ID, a.At, fmt.Sprintf("the sidecar of host %d stopped without a response to a request that it sends on", q.host))
	}
	if a.Outcome != standin.Executed {
		return
	}
	q.executed++
	if q.kind == Write {
		c.check(AtMostOnce, q.executed <= 1, a.ID, a.At, "executed more than once")
	}
	if q.refused != 0 {
		c.fail(TruthfulRefusal, a.ID, a.At, fmt.Sprintf("executed after it was refused with %d", q.refused))
	}
}

// checkRates checks the rates that a server bears.
func (c *Checker) checkRates(host int, s *server, a standin.Arrival) {
	s.recent = append(after(s.recent, a.At.Add(-time.Second)), a.At)
	if !a.At.Before(s.coldFrom) && a.At.Before(s.coldUntil) {
		n := len(after(slices.Clone(s.recent), s.coldFrom.Add(-1)))
		c.checkRate(ColdServer, float64(n) <= c.bounds.ColdPerSecond, a.ID, a.At, fmt.Sprintf("%d requests in a second at the cold server of host %d, allowed are %g", n, host, c.bounds.ColdPerSecond))
	}
	if s.limit >= 0 && a.At.After(c.due(s.limitAt, time.Second, host, true)) {
		allowed := math.Ceil(limitOverage*s.limit) + limitSlack
		c.checkRate(NamedLimit, float64(len(s.recent)) <= allowed, a.ID, a.At, fmt.Sprintf("%d requests in a second at the server of host %d, which names %g", len(s.recent), host, s.limit))
	}
}

// Close records that the store has acknowledged an entry that says draining, or a removal.
func (c *Checker) Close(host int, at time.Time) {
	c.servers[host].closedAt = at
}

// Open records that a server is about to be listed as ready again.
func (c *Checker) Open(host int, at time.Time) {
	s := c.servers[host]
	if !s.closedAt.IsZero() && at.After(c.due(s.closedAt, c.bounds.Drain, host, false)) {
		c.checks[ClosedServer]++
	}
	s.closedAt, s.goneAt = time.Time{}, time.Time{}
}

// Evacuate records that the store has acknowledged an evacuation.
func (c *Checker) Evacuate(dataCentre string, at time.Time) {
	c.centres[dataCentre].evacuatedAt = at
}

// Return records that an evacuation is about to be taken back.
func (c *Checker) Return(dataCentre string, at time.Time) {
	d := c.centres[dataCentre]
	if at.After(c.due(d.evacuatedAt, c.bounds.Evacuation, noHost, false)) {
		c.checks[Evacuation]++
	}
	*d = centre{}
}

// Gone records evidence that nothing gets through to a data centre, which was asked for after its evacuation.
func (c *Checker) Gone(dataCentre string, at time.Time) {
	if d := c.centres[dataCentre]; !d.evacuatedAt.IsZero() && d.goneAt.IsZero() {
		c.checks[Evidence]++
		d.goneAt = at
	}
}

// GoneServer records evidence that nothing gets through to a server, which was asked for after it closed.
func (c *Checker) GoneServer(host int, at time.Time) {
	if s := c.servers[host]; !s.closedAt.IsZero() && s.goneAt.IsZero() {
		c.checks[Evidence]++
		s.goneAt = at
	}
}

// Cold records that a server is cold for a time span.
func (c *Checker) Cold(host int, from, until time.Time) {
	c.servers[host].coldFrom, c.servers[host].coldUntil = from, until
}

// Limit records that a server names a rate limit from now on; a negative one ends that.
func (c *Checker) Limit(host int, perSecond float64, at time.Time) {
	c.servers[host].limit, c.servers[host].limitAt = perSecond, at
}

// Configure records that the store has acknowledged a version.
func (c *Checker) Configure(number int64, at time.Time) {
	c.versions = append(c.versions, version{number, at})
}

// SeeVersion records the version that a process reports in response to a question sent at a time. A process without a configuration reports 0.
func (c *Checker) SeeVersion(host, pid int, number int64, at time.Time) {
	c.check(VersionInForce, number >= c.inForce[pid], "", at, fmt.Sprintf("host %d: version %d in force after version %d", host, number, c.inForce[pid]))
	c.inForce[pid] = number
	for _, v := range c.versions {
		if number > 0 && v.number > number && at.After(c.due(v.at, c.bounds.Version, host, true)) {
			c.fail(VersionInForce, "", at, fmt.Sprintf("host %d: version %d in force, %s after version %d was written", host, number, at.Sub(v.at), v.number))
			return
		}
	}
}

// Disturb records that bounds that need a healthy store and contact with a host don't hold until Calm is called with the same name.
func (c *Checker) Disturb(name string, host int, at time.Time) {
	c.disturbances = append(c.disturbances, &disturbance{name: name, host: host, from: at})
}

// DisturbProcess records that the process of a host is paused or ended, so that it learns nothing until Calm is called with the same name.
func (c *Checker) DisturbProcess(name string, host int, at time.Time) {
	c.disturbances = append(c.disturbances, &disturbance{name: name, host: host, process: true, from: at})
}

// Calm ends a disturbance.
func (c *Checker) Calm(name string, at time.Time) {
	for _, d := range c.disturbances {
		if d.name == name && d.until.IsZero() {
			d.until = at
		}
	}
}

// Stop records that a planned stop of a host's sidecar is about to begin.
func (c *Checker) Stop(host int, at time.Time) {
	c.stops[host] = &stop{from: at}
}

// Stopped records the end of a planned stop.
func (c *Checker) Stopped(host int, err error, at time.Time) {
	c.stops[host].until = at
	c.check(PlannedStop, err == nil, "", at, fmt.Sprintf("host %d: %v", host, err))
}

// SeeMemory records the peak memory of a process.
func (c *Checker) SeeMemory(host int, bytes int64, at time.Time) {
	c.peakMemory = max(c.peakMemory, bytes)
	c.check(Memory, bytes <= c.bounds.MemoryBytes, "", at, fmt.Sprintf("host %d: %d bytes of %d", host, bytes, c.bounds.MemoryBytes))
}

// SeeProcess records whether the process of a host, which nobody ended, is alive.
func (c *Checker) SeeProcess(host int, alive bool, at time.Time) {
	c.check(Alive, alive, "", at, fmt.Sprintf("host %d: the process ended on its own", host))
}

// SeeServed records whether the clients of a host are served after the last fault.
func (c *Checker) SeeServed(host int, served bool, at time.Time) {
	c.check(ServedAgain, served, "", at, fmt.Sprintf("host %d: its clients aren't served after the last fault", host))
}

// due returns when a bound that began at a time has passed for a host; with noHost, if no host is disturbed by itself. A disturbance that overlaps the
// time makes the bound begin anew. Those of processes count only if a process has to learn something.
func (c *Checker) due(at time.Time, bound time.Duration, host int, learns bool) time.Time {
	due := at.Add(bound + c.bounds.Slack)
	for moved := true; moved; {
		moved = false
		for _, d := range c.disturbances {
			applies := d.host == AllHosts || d.host == host
			if !applies || d.process && !learns || d.from.After(due) || !d.until.IsZero() && d.until.Before(at) {
				continue
			}
			if d.until.IsZero() {
				return time.Unix(math.MaxInt32, 0)
			}
			if later := d.until.Add(bound + c.bounds.Slack); later.After(due) {
				due, moved = later, true
			}
		}
	}
	return due
}

// processDisturbed reports whether the process of a host was paused or ended within a time span.
func (c *Checker) processDisturbed(host int, from, until time.Time) bool {
	return slices.ContainsFunc(c.disturbances, func(d *disturbance) bool {
		return d.process && d.host == host && !d.from.After(until) && (d.until.IsZero() || !d.until.Before(from))
	})
}

func (c *Checker) check(p Promise, kept bool, id string, at time.Time, detail string) {
	c.checks[p]++
	if !kept {
		c.fail(p, id, at, detail)
	}
}

// checkRate is check for a rate, which is settled later.
func (c *Checker) checkRate(p Promise, kept bool, id string, at time.Time, detail string) {
	c.checks[p]++
	if !kept {
		c.unsettled = append(c.unsettled, Failure{Promise: p, ID: id, At: at, Detail: detail})
	}
}

// Stall records that the observing process was held up in a time span, so that the arrivals of that span were seen together at its end.
func (c *Checker) Stall(from, until time.Time) {
	c.stalls = append(c.stalls, disturbance{from: from, until: until})
}

// Settle reports the failures of rates up to a time, until which all stalls have been recorded. A failure doesn't count if a stall overlaps its second.
func (c *Checker) Settle(until time.Time) {
	c.unsettled = slices.DeleteFunc(c.unsettled, func(f Failure) bool {
		if !f.At.Before(until) {
			return false
		}
		stalled := slices.ContainsFunc(c.stalls, func(s disturbance) bool {
			return s.from.Before(f.At) && s.until.After(f.At.Add(-stallReach))
		})
		if !stalled {
			c.fail(f.Promise, f.ID, f.At, f.Detail)
		}
		return true
	})
}

func (c *Checker) fail(p Promise, id string, at time.Time, detail string) {
	c.broken[p]++
	if c.broken[p] <= maxFailures {
		c.failures = append(c.failures, Failure{Promise: p, ID: id, At: at, Detail: detail})
	}
}

// after removes the times up to a limit from the start of a list in order.
func after(times []time.Time, limit time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(limit) {
		times = times[1:]
	}
	return times
}

// isRefusal reports whether a status guarantees that the request wasn't executed.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
