package route

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// MeshPicker remembers what this sidecar saw of backend servers and picks one for each request: the one that is
// expected to answer first, with a preference for the own data centre. It isn't safe for concurrent use.
type MeshPicker struct {
	dataCentre string
	random     func() float64
	servers    map[string]*seen
	rules      map[string]*ruleSeen
}

// seen is what was seen of one server and the sidecar beside it.
type seen struct {
	server   *schema.MeshServer
	inFlight int
	load     jaypitch.MeshLoadReport
	// toldInFlight is the own part of the told load.
	toldInFlight int
	toldUntil    time.Time
	told         map[string]toldRule
	suspectUntil time.Time
	// dead is true from a sign of death until the next sign of life.
	dead bool
	// oldest is since when a request is under way without any sign of life.
	oldest   time.Time
	coldTill time.Time
	// hop is the time between the sidecars, both ways, in microseconds.
	hop float64
	// fullUntil is until when the server has no room for a rule's requests.
	fullUntil map[string]time.Time
}

// toldRule is what the sidecar beside a server told of one rule's requests there.
type toldRule struct {
	mean    time.Duration
	failing float64
	until   time.Time
}

// ruleSeen is what was seen of one rule's requests.
type ruleSeen struct {
	mean  float64 // microseconds at a server; zero before the first answer
	bytes float64 // of an answer
	// failed is the share of answers that were failures of the server.
	failed float64
}

// PickRequest is a request for which a server is wanted.
type PickRequest struct {
	Rule string
	// LatencyTarget is the time within which the answer is good.
	LatencyTarget time.Duration
	// BodyBytes is the number of bytes of its body.
	BodyBytes int
	// Excluded names servers that don't get it again.
	Excluded []string
}

// MeshPick is a chosen server, or why there is none.
type MeshPick struct {
	// Server is nil if none can be chosen.
	Server *schema.MeshServer
	// AlternativeTime is the time that the request would take if it went to the next best server after all; zero if that isn't known to be
	// better in any case.
	AlternativeTime time.Duration
	// ExpectContinue is true if the body had better be held back until the sidecar beside the server has room: it crosses to another
	// data centre, and all slots were in use.
	ExpectContinue bool
	// RetryAfter is after how long the first of the servers expects room, if all of them are full; else zero.
	RetryAfter time.Duration
}

const (
	// loadFresh is how long a told load is believed in full.
	loadFresh = 2 * time.Second
	// meanMargin is by how much the mean of the latest requests differs by chance from the mean told before.
	meanMargin = 1.1
	// meanFresh is how long a told mean time is believed; then the server is taken for an average one again.
	meanFresh = 5 * time.Second
	// firstMean is taken for the time of a rule's requests before one has ended.
	firstMean = 50 * time.Millisecond
	// maxWeighed bounds the servers that are weighed for a request; the best of so many is about as good as the best of all.
	maxWeighed = 64
	// hopWeight is the weight of a longer time between sidecars in what is taken for it.
	hopWeight = 0.01
	// seenWeight is the weight of the newest request in what is seen of a rule.
	seenWeight = 0.05
	// silentAfter is the time without a sign of life after which a sidecar is asked for one; most requests end sooner.
	silentAfter = 250 * time.Millisecond
	// stoppingSuspicion is how long a sidecar that said that it is stopping gets nothing.
	stoppingSuspicion = 700 * time.Millisecond
	// minFull and maxFull bound the time for which a server that refused a rule's request for want of room gets no more of them.
	minFull = 10 * time.Millisecond
	maxFull = 100 * time.Millisecond
	// coldFactor is how much slower a server that has just started is taken to be.
	coldFactor = 2.0
	// busyFactor is how much of a mean time a server's used slots count for before all of them are used.
	busyFactor = 0.5
	// kilobyteCost is what a kilobyte to another data centre counts for, as a part of the target: the best of three measured values
	// (docs/design/5-serving.md); the operators' prices alone, 25 kB for one answer, would give 0.04.
	kilobyteCost = 0.15
	kilobyte     = 1000
	// askFirstBytes is the length from which a body is held back: what the refusal's new connection costs, a handshake and slow start.
	askFirstBytes = 1000
	// headBytes is the size of both heads of a request that is passed on, in bytes.
	headBytes = 700
	// jitter spreads the choices of sidecars that were told the same.
	jitter = 0.15
	// commonFailure is the share of a rule's answers that are failures from which they have a common cause; one bad server of
	// eight that fails every second request makes half of that.
	commonFailure = 0.12
	// failingLimit is the share of failed requests from which a server is used last.
	failingLimit = 0.15
)

// NewMeshPicker makes a chooser; random returns a number from 0 to 1 without 1.
func NewMeshPicker(dataCentre string, random func() float64) *MeshPicker {
	return &MeshPicker{dataCentre: dataCentre, random: random, servers: map[string]*seen{}, rules: map[string]*ruleSeen{}}
}

// Pick picks a server of a service, leaving out those tried already and those that told that they have no room.
func (c *MeshPicker) Pick(s *mesh.Service, q PickRequest, now time.Time) MeshPick {
	var p MeshPick
	if s == nil {
		return p
	}
	best, next := math.Inf(1), math.Inf(1)
	for _, v := range c.sample(s.Servers) {
		if contains(q.Excluded, v.GetId()) {
			continue
		}
		if full := c.server(v, now).fullUntil[q.Rule].Sub(now); full > 0 {
			if p.RetryAfter == 0 || full < p.RetryAfter {
				p.RetryAfter = full
			}
			continue
		}
		cost := c.cost(v, q, now)
		if cost < best {
			p.Server, best, next = v, cost, best
		} else if cost < next {
			next = cost
		}
	}
	if p.Server == nil {
		return p
	}
	p.RetryAfter = 0
	p.ExpectContinue = q.BodyBytes >= askFirstBytes && p.Server.GetDataCentre() != c.dataCentre && c.server(p.Server, now).used(now) >= float64(p.Server.GetSlots())
	if !math.IsInf(next, 1) {
		p.AlternativeTime = c.elsewhere(p.Server, q, next-best, now)
	}
	return p
}

// elsewhere is what the chosen server is expected to take, and by how much more the next best one costs, in microseconds.
func (c *MeshPicker) elsewhere(v *schema.MeshServer, q PickRequest, more float64, now time.Time) time.Duration {
	if c.rule(q.Rule).mean == 0 || c.SharedFailure(q.Rule) {
		return 0
	}
	return time.Duration(c.meanAt(c.server(v, now), q.Rule, now)*meanMargin+more)*time.Microsecond + c.resend(v, q)
}

// sample returns the servers to weigh: all of them, or of a large service some that stand together from a random place on.
func (c *MeshPicker) sample(all []*schema.MeshServer) []*schema.MeshServer {
	if len(all) <= maxWeighed {
		return all
	}
	from := int(c.random() * float64(len(all)))
	out := all[from:min(from+maxWeighed, len(all))]
	if rest := maxWeighed - len(out); rest > 0 {
		out = append(slices.Clone(out), all[:rest]...)
	}
	return out
}

// resend is what it costs to send the body in vain.
func (c *MeshPicker) resend(v *schema.MeshServer, q PickRequest) time.Duration {
	if v.GetDataCentre() == c.dataCentre {
		return 0
	}
	return time.Duration(c.crossing(float64(q.BodyBytes), q)) * time.Microsecond
}

// cost is the time in microseconds that a request is expected to take at a server, with what its bytes cost.
func (c *MeshPicker) cost(v *schema.MeshServer, q PickRequest, now time.Time) float64 {
	e := c.server(v, now)
	if e.dead || now.Before(e.suspectUntil) {
		return math.Inf(1)
	}
	mean := c.meanAt(e, q.Rule, now)
	used := (e.used(now) + 1) / float64(max(1, v.GetSlots()))
	cost := mean*(1+busyFactor*used+max(0, used-1)) + e.hop
	if t := e.told[q.Rule]; now.Before(t.until) && t.failing > failingLimit {
		cost *= 1 + 10*t.failing
	}
	if v.GetDataCentre() != c.dataCentre {
		cost += c.crossing(float64(q.BodyBytes)+c.rule(q.Rule).bytes, q)
	}
	return cost * (1 + jitter*c.random())
}

// crossing is what bytes to another data centre cost, as time in microseconds.
func (c *MeshPicker) crossing(bytes float64, q PickRequest) float64 {
	return (bytes + headBytes) / kilobyte * kilobyteCost * float64(q.LatencyTarget.Microseconds())
}

// meanAt is the mean time of a rule's requests at a server, in microseconds.
func (c *MeshPicker) meanAt(e *seen, rule string, now time.Time) float64 {
	if t, ok := e.told[rule]; ok && now.Before(t.until) {
		return max(1, float64(t.mean.Microseconds()))
	}
	mean := c.rule(rule).mean
	if mean == 0 {
		mean = float64(firstMean.Microseconds())
	}
	if now.Before(e.coldTill) {
		mean *= coldFactor
	}
	return mean
}

// used is the number of slots in use and of requests that wait, as far as known.
func (e *seen) used(now time.Time) float64 {
	if !now.Before(e.toldUntil) {
		return float64(e.inFlight)
	}
	return max(float64(e.inFlight), float64(e.load.InProgress+e.load.Queued+e.inFlight-e.toldInFlight))
}

// Unresponsive returns the servers beside which the sidecar has given no sign of life for a while, though a request is under
// way there, or is taken for dead.
func (c *MeshPicker) Unresponsive(now time.Time) []*schema.MeshServer {
	var out []*schema.MeshServer
	for _, e := range c.servers {
		if e.dead || e.inFlight > 0 && now.Sub(e.oldest) > silentAfter {
			out = append(out, e.server)
		}
	}
	return out
}

// RecordProbe notes a sign of life, or its absence, of the sidecar beside a server. It returns true if it was taken for alive and is now dead.
func (c *MeshPicker) RecordProbe(id string, alive bool, now time.Time) bool {
	e := c.servers[id]
	if e == nil {
		return false
	}
	died := !alive && !e.dead
	e.dead = !alive
	if alive {
		e.oldest = now
	}
	return died
}

// Start notes that a request goes to a server.
func (c *MeshPicker) Start(v *schema.MeshServer, now time.Time) {
	e := c.server(v, now)
	e.inFlight++
	if e.inFlight == 1 {
		e.oldest = now
	}
}

// Cancel notes that a request that went to a server ended here, with nothing learnt of the server.
func (c *MeshPicker) Cancel(v *schema.MeshServer, now time.Time) {
	c.server(v, now).inFlight--
}

// Finish notes what became of a request that went to a server.
func (c *MeshPicker) Finish(v *schema.MeshServer, rule string, r *jaypitch.MeshResponse, now time.Time) {
	e := c.server(v, now)
	e.inFlight--
	if r.LoadReport.Slots == 0 {
		if r.Code == jaypitch.CodeUnreachable || r.Code == jaypitch.CodeUnknown {
			e.dead = true
		}
		return
	}
	e.dead, e.suspectUntil, e.oldest = false, time.Time{}, now
	e.load, e.toldInFlight, e.toldUntil = r.LoadReport, e.inFlight, now.Add(loadFresh)
	if r.LoadReport.Mean > 0 {
		e.told[rule] = toldRule{mean: r.LoadReport.Mean, failing: r.LoadReport.Failing, until: now.Add(meanFresh)}
	}
	if r.LoadReport.Stopping || r.Code == jaypitch.CodeMisdirected || r.Code == jaypitch.CodeNotThisHost || r.Code == jaypitch.CodeStopping {
		e.suspectUntil = now.Add(stoppingSuspicion)
	}
	e.learnHop(r.NetworkTime)
	if r.Code == jaypitch.CodeOverloaded {
		span := min(max(r.RetryAfter, minFull), maxFull)
		e.fullUntil[rule] = now.Add(time.Duration((0.5 + c.random()) * float64(span)))
	}
	if r.Execution == jaypitch.Executed {
		c.rule(rule).answered(r.Status)
	}
	if r.Execution == jaypitch.Executed && r.ServiceTime > 0 {
		s := c.rule(rule)
		if s.mean == 0 {
			s.mean = float64(r.ServiceTime.Microseconds())
		}
		s.mean += seenWeight * (float64(r.ServiceTime.Microseconds()) - s.mean)
		s.bytes += seenWeight * (float64(len(r.Body)) - s.bytes)
	}
}

// SharedFailure says whether so many of a rule's answers are failures that it isn't the server that fails but
// something that all of them need; another attempt mends nothing then and loads that further.
func (c *MeshPicker) SharedFailure(rule string) bool {
	return c.rule(rule).failed > commonFailure
}

func (s *ruleSeen) answered(status int) {
	failed := 0.0
	if status >= http.StatusInternalServerError {
		failed = 1
	}
	s.failed += seenWeight * (failed - s.failed)
}

// learnHop follows the shortest times between the sidecars; longer ones hold waits and pauses of other kinds.
func (e *seen) learnHop(took time.Duration) {
	us := float64(took.Microseconds())
	if us <= 0 {
		return
	}
	if e.hop == 0 || us < e.hop {
		e.hop = us
		return
	}
	e.hop += hopWeight * (us - e.hop)
}

// Prune forgets servers that are not listed any more and have no requests.
func (c *MeshPicker) Prune(t *mesh.Table) {
	for id, e := range c.servers {
		if t.Servers[id] == nil && e.inFlight <= 0 {
			delete(c.servers, id)
		}
	}
}

// MeanServiceTime is the mean time of a rule's requests over all servers.
func (c *MeshPicker) MeanServiceTime(rule string) time.Duration {
	return time.Duration(c.rule(rule).mean) * time.Microsecond
}

func (c *MeshPicker) server(v *schema.MeshServer, now time.Time) *seen {
	e := c.servers[v.GetId()]
	if e == nil {
		e = &seen{server: v, told: map[string]toldRule{}, fullUntil: map[string]time.Time{}, coldTill: now.Add(time.Duration(v.GetColdUs()) * time.Microsecond)}
		c.servers[v.GetId()] = e
	}
	return e
}

func (c *MeshPicker) rule(name string) *ruleSeen {
	s := c.rules[name]
	if s == nil {
		s = &ruleSeen{}
		c.rules[name] = s
	}
	return s
}
