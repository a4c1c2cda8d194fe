package route

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// MeshPicker tracks the load and failures of backend servers and chooses a server for each attempt of a sidecar: the one that
// is expected to respond first, with a preference for the sidecar's data centre. It isn't safe for concurrent use.
type MeshPicker struct {
	dataCentre string
	regions    mesh.Regions
	random     func() float64
	servers    map[string]*serverState
	rules      map[string]*ruleStats
	// eligible, here and elsewhere are the memory of Pick for the servers that may get a request.
	eligible        []*schema.MeshServer
	here, elsewhere []candidate
}

// serverState is what this sidecar knows of one server and the sidecar beside it.
type serverState struct {
	server     *schema.MeshServer
	inFlight   int
	loadReport jaypitch.MeshLoadReport
	// inFlightAtReport is inFlight when loadReport came, to add the attempts made since then.
	inFlightAtReport int
	loadUntil        time.Time
	ruleReports      map[string]ruleReport
	avoidUntil       time.Time
	// unreachable is true from an attempt without a response, or a failed probe, until the next response or successful probe.
	unreachable bool
	// noReplySince is the latest time of a response, a successful probe, or the start of an attempt while no other was in progress.
	noReplySince time.Time
	life         liveness
	link         linkEstimate
	// coldUntil is the time from which a server that has just started counts as warm; see coldFactor.
	coldUntil time.Time
	// networkTimeUS is the estimated network time of an attempt, in microseconds; zero if unknown.
	networkTimeUS float64
	// limit is what the last load report tells of the server's rate limit.
	limit serverLimit
	// retryAt is when the server expects to have room for a rule's requests again, by the rule's name.
	retryAt map[string]time.Time
	// refusing holds the rules whose requests the server refuses without executing them.
	refusing map[string]refusingState
	// rankRetryAt is when the server's rate limit has room for requests of a rank again. Less urgent ones wait for it too.
	rankRetryAt map[int64]time.Time
}

// serverLimit is a rate limit that a server names. heardAt is zero if it names none.
type serverLimit struct {
	heardAt   time.Time
	perSecond float64
	// roomAt is when the limit has room for a further request, by the last load report and the attempts started since then.
	roomAt time.Time
}

// ruleReport is the part of a load report about one rule's requests at a server.
type ruleReport struct {
	mean    time.Duration
	failing float64
	until   time.Time
}

// ruleStats holds moving averages of one rule's requests at all servers.
type ruleStats struct {
	meanServiceUS float64 // zero before the first response
	responseBytes float64 // size of a response's body
	// failureShare is the share of responses with status 500 or higher.
	failureShare float64
}

// PickRequest describes the request for which a server is chosen.
type PickRequest struct {
	Rule string
	// Rank is the priority class of the request; 0 is the most urgent.
	Rank int64
	// LatencyTarget is the rule's latency target. The cost of bytes sent to another data centre is proportional to it.
	LatencyTarget time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Deadline is when the request times out. A server whose rate limit has no room before is skipped.
	Deadline time.Time
	// Regions are the regions whose servers may be chosen; empty if all may.
	Regions []string
	// Download is true if the response is probably large. A server on whose link it can't leave before TargetDeadline is skipped.
	Download       bool
	TargetDeadline time.Time
	// Excluded are the IDs of servers that must not be chosen, since an earlier attempt failed there.
	Excluded []string
	// NoTrial is true if a server has refused the request already. It skips the servers that refused all of the rule's latest requests.
	NoTrial bool
}

// MeshPick is the result of a choice: a server, or the time after which one expects room.
type MeshPick struct {
	// Server is nil if no server can be chosen.
	Server *schema.MeshServer
	// AlternativeTime is the expected time until the response if this server refuses the request and it is retried at the next
	// best server. It is zero if there is no other server, if no request of the rule has ended yet, or if the rule's requests
	// fail at all servers.
	AlternativeTime time.Duration
	// ExpectContinue is true if the body should be sent only after the receiver has admitted the request: the server is in
	// another data centre and all its slots are in use, so that a refusal is likely and would waste the transfer.
	ExpectContinue bool
	// RetryAfter is the shortest time after which a skipped server expects room, if Server is nil; zero if no server was skipped
	// for its retry-after or its rate limit.
	RetryAfter time.Duration
	// Limited is true if a server was skipped for its rate limit.
	Limited bool
	// LinkFull is true if a server was skipped for the link of its host.
	LinkFull bool
	// LimitHeardAt and RateLimit are what is known of the chosen server's rate limit; LimitHeardAt is zero if it names none.
	LimitHeardAt time.Time
	RateLimit    float64
}

const (
	// meshLoadMaxAge is the age from which a reported load is ignored.
	meshLoadMaxAge = 2 * time.Second
	// meanMargin is the factor by which the mean of the latest requests may differ by chance from the mean reported before.
	meanMargin = 1.1
	// meanMaxAge is the age from which a server's reported mean service time is ignored and the mean of all servers is used.
	meanMaxAge = 5 * time.Second
	// initialMean is the assumed mean service time of a rule before one of its requests has ended.
	initialMean = 50 * time.Millisecond
	// maxCandidates bounds the servers that are compared for a request; the best of so many is about as good as the best of all.
	maxCandidates = 64
	// networkTimeWeight is the weight of a sample above the estimated network time in the moving average.
	networkTimeWeight = 0.01
	// ruleWeight is the weight of the latest request in the moving averages of a rule.
	ruleWeight = 0.05
	// unresponsiveAfter is the time without a reply after which a sidecar with requests in progress is probed; most requests end sooner.
	unresponsiveAfter = 250 * time.Millisecond
	// avoidDuration is how long a server gets no requests after its sidecar reported that it is stopping, isn't beside that server, or is in an
	// evacuated data centre.
	avoidDuration = 700 * time.Millisecond
	// avoidUnconfirmed is how long a server gets no requests after its sidecar reported that it has no confirmed state. It gets that from the store or
	// another sidecar within some round trips.
	avoidUnconfirmed = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time for which a server that refused a rule's request as overloaded gets no more of
	// the rule's requests. Finish multiplies the bounded time by a random factor from 0.5 to 1.5.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 100 * time.Millisecond
	// maxLimitRetryAfter takes the place of maxRetryAfter if the server's rate limit refused the request.
	maxLimitRetryAfter = time.Second
	// coldFactor is the assumed ratio of the service times of a server that has just started and of a warm one.
	coldFactor = 2.0
	// busyFactor is the share of the mean service time by which a server's cost grows from no slot in use to all slots in use.
	busyFactor = 0.5
	// kilobyteCost is the cost of a kilobyte sent to another data centre, as a share of the latency target. The operators' prices
	// alone, at which 25 kB cost as much as one response, would give 0.04. See docs/design/5-serving.md.
	kilobyteCost = 0.15
	kilobyte     = 1000
	// minExpectContinueBytes is the body size from which ExpectContinue is used. A refusal after ExpectContinue costs a new connection,
	// with a handshake and TCP slow start, which costs about as much as sending this many bytes.
	minExpectContinueBytes = 1000
	// headBytes is the assumed size of the request head and the response head together, in bytes.
	headBytes = 700
	// jitter is the largest share by which a cost is randomly increased, so that sidecars with the same load reports choose
	// different servers.
	jitter = 0.15
	// sharedFailureThreshold is the share of failed responses of a rule above which the failures are attributed to a common
	// cause. One bad server of eight that fails every second request causes about half of that share.
	sharedFailureThreshold = 0.12
	// failingThreshold is the share of failed requests above which a server's cost is raised so much that it is used last.
	failingThreshold = 0.15
)

// NewMeshPicker returns a picker for a sidecar of a data centre. Random returns a number in [0, 1).
func NewMeshPicker(dataCentre string, random func() float64, options ...MeshPickerOption) *MeshPicker {
	c := &MeshPicker{dataCentre: dataCentre, random: random, servers: map[string]*serverState{}, rules: map[string]*ruleStats{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Pick chooses the server of a service with the lowest cost of those that choose compares. It skips excluded servers and those whose retry-after for the rule
// hasn't passed. The service may be nil.
func (c *MeshPicker) Pick(s *mesh.Service, q PickRequest, now time.Time) MeshPick {
	var p MeshPick
	if s == nil {
		return p
	}
	eligible := c.eligible[:0]
	for _, v := range c.sample(c.allowed(s.Servers, q)) {
		if contains(q.Excluded, v.GetId()) {
			continue
		}
		e := c.server(v, now)
		if _, refusing := e.refusing[q.Rule]; refusing && q.NoTrial {
			p.skip(minRefusingHoldOff, false)
			continue
		}
		wait, limited := e.retryWait(q, now), false
		if w := e.limit.wait(now); w > 0 && now.Add(w+c.meanTimeAt(e, q.Rule, now)).After(q.Deadline) {
			wait, limited = max(w, wait), true
		}
		if w := c.linkRetryWait(e, q, now); w > 0 {
			wait, p.LinkFull = max(w, wait), true
		}
		if wait > 0 {
			p.skip(wait, limited)
			continue
		}
		eligible = append(eligible, v)
	}
	c.eligible = eligible
	best, next := c.choose(s, eligible, q, now)
	if p.Server = best.server; p.Server == nil {
		return p
	}
	p.RetryAfter, p.Limited, p.LinkFull = 0, false, false
	limit := c.server(p.Server, now).limit
	p.LimitHeardAt, p.RateLimit = limit.heardAt, limit.perSecond
	p.ExpectContinue = q.BodyBytes >= minExpectContinueBytes && p.Server.GetDataCentre() != c.dataCentre && c.server(p.Server, now).requests(now) >= float64(p.Server.GetSlots())
	if next.server != nil {
		p.AlternativeTime = c.alternativeTime(p.Server, q, next.cost-best.cost, now)
	}
	return p
}

// retryWait returns the time until the server expects to have room for a request, by its refusals of requests of the same rule, and
// by those that its rate limit caused of more urgent ranks.
func (e *serverState) retryWait(q PickRequest, now time.Time) time.Duration {
	wait := e.retryAt[q.Rule].Sub(now)
	for rank, at := range e.rankRetryAt {
		if rank < q.Rank {
			wait = max(wait, at.Sub(now))
		}
	}
	return wait
}

// skip records a server that has no room for a time.
func (p *MeshPick) skip(wait time.Duration, limited bool) {
	if p.RetryAfter == 0 || wait < p.RetryAfter {
		p.RetryAfter = wait
	}
	p.Limited = p.Limited || limited
}

// wait returns the time until the limit has room for a further request; zero if it has now, or if the server names no limit.
func (l *serverLimit) wait(now time.Time) time.Duration {
	return max(0, l.roomAt.Sub(now))
}

// start records the start of an attempt.
func (l *serverLimit) start(now time.Time) {
	if l.heardAt.IsZero() {
		return
	}
	if l.roomAt.Before(now) {
		l.roomAt = now
	}
	l.roomAt = l.roomAt.Add(admit.PaceInterval(l.perSecond))
}

// newServerLimit returns the limit in a load report that was received at a time.
func newServerLimit(r jaypitch.MeshLoadReport, now time.Time) serverLimit {
	if !r.Limited {
		return serverLimit{}
	}
	return serverLimit{heardAt: now, perSecond: r.RateLimit, roomAt: now.Add(r.LimitWait)}
}

// alternativeTime returns MeshPick.AlternativeTime for a chosen server. ExtraCost is the difference between the costs of the next
// best server and of the chosen one, in microseconds.
func (c *MeshPicker) alternativeTime(v *schema.MeshServer, q PickRequest, extraCost float64, now time.Time) time.Duration {
	if c.rule(q.Rule).meanServiceUS == 0 || c.SharedFailure(q.Rule) {
		return 0
	}
	e := c.server(v, now)
	return time.Duration(c.meanAt(e, q.Rule, now)*meanMargin+extraCost)*time.Microsecond + e.limit.wait(now) + c.bodyCost(v, q)
}

// sample returns the servers to compare: all of them, or maxCandidates consecutive ones of a large service from a random index on.
func (c *MeshPicker) sample(all []*schema.MeshServer) []*schema.MeshServer {
	if len(all) <= maxCandidates {
		return all
	}
	from := int(c.random() * float64(len(all)))
	out := all[from:min(from+maxCandidates, len(all))]
	if rest := maxCandidates - len(out); rest > 0 {
		out = append(slices.Clone(out), all[:rest]...)
	}
	return out
}

// bodyCost is the cost of sending the body to a server that refuses the request; zero within a data centre.
func (c *MeshPicker) bodyCost(v *schema.MeshServer, q PickRequest) time.Duration {
	if v.GetDataCentre() == c.dataCentre {
		return 0
	}
	return time.Duration(c.transferCost(float64(q.BodyBytes), q)) * time.Microsecond
}

// cost is the expected time of a request at a server plus the cost of its bytes, in microseconds. It is infinite for a server
// that can't get requests. MeanLoad is the mean load of the service's servers.
func (c *MeshPicker) cost(v *schema.MeshServer, meanLoad float64, q PickRequest, now time.Time) float64 {
	e := c.server(v, now)
	if e.unreachable || now.Before(e.avoidUntil) {
		return math.Inf(1)
	}
	mean := c.meanAt(e, q.Rule, now)
	utilisation := e.load(meanLoad, now) + 1/float64(max(1, v.GetSlots()))
	cost := mean*(1+busyFactor*utilisation+max(0, utilisation-1)) + e.networkTimeUS + float64((e.limit.wait(now) + c.linkTime(e, q, now)).Microseconds())
	if t := e.ruleReports[q.Rule]; now.Before(t.until) && t.failing > failingThreshold {
		cost *= 1 + 10*t.failing
	}
	if e.untried() {
		cost *= 1 + untriedFactor*float64(e.inFlight)
	}
	if v.GetDataCentre() != c.dataCentre {
		cost += c.transferCost(float64(q.BodyBytes)+c.rule(q.Rule).responseBytes, q)
	}
	return cost * (1 + jitter*c.random())
}

// transferCost is the cost of bytes sent to another data centre, expressed as a time in microseconds.
func (c *MeshPicker) transferCost(bytes float64, q PickRequest) float64 {
	return (bytes + headBytes) / kilobyte * kilobyteCost * float64(q.LatencyTarget.Microseconds())
}

// meanTimeAt is meanAt as a duration.
func (c *MeshPicker) meanTimeAt(e *serverState, rule string, now time.Time) time.Duration {
	return time.Duration(c.meanAt(e, rule, now)) * time.Microsecond
}

// meanAt is the expected service time of a rule's requests at a server, in microseconds.
func (c *MeshPicker) meanAt(e *serverState, rule string, now time.Time) float64 {
	if t, ok := e.ruleReports[rule]; ok && now.Before(t.until) {
		return max(1, float64(t.mean.Microseconds()))
	}
	mean := c.rule(rule).meanServiceUS
	if mean == 0 {
		mean = float64(initialMean.Microseconds())
	}
	if now.Before(e.coldUntil) {
		mean *= coldFactor
	}
	return mean
}

// requests is the estimated number of requests in progress and queued at the server: those of the last load report, if it is recent,
// corrected by the attempts that this sidecar started or ended since then.
func (e *serverState) requests(now time.Time) float64 {
	if !now.Before(e.loadUntil) {
		return float64(e.inFlight)
	}
	return max(float64(e.inFlight), float64(e.loadReport.InProgress+e.loadReport.Queued+e.inFlight-e.inFlightAtReport))
}

// Unresponsive returns the servers whose sidecar needs a probe: it is unreachable, or hasn't replied for unresponsiveAfter
// though a request is in progress there.
func (c *MeshPicker) Unresponsive(now time.Time) []*schema.MeshServer {
	var out []*schema.MeshServer
	for _, e := range c.servers {
		if e.unreachable || e.inFlight > 0 && now.Sub(e.noReplySince) > unresponsiveAfter {
			out = append(out, e.server)
		}
	}
	return out
}

// RecordProbe records the result of a probe of the sidecar beside a server. A failed probe doesn't count if bytes arrived from the sidecar
// meanwhile. It reports whether the sidecar has become unreachable by this probe.
func (c *MeshPicker) RecordProbe(id string, alive bool, now time.Time) bool {
	e := c.servers[id]
	if e == nil {
		return false
	}
	alive = alive || e.life.heard(now)
	lost := !alive && !e.unreachable
	e.unreachable = !alive
	if alive {
		e.noReplySince = now
	}
	return lost
}

// Start records the start of an attempt at a server.
func (c *MeshPicker) Start(v *schema.MeshServer, now time.Time) {
	e := c.server(v, now)
	e.limit.start(now)
	e.inFlight++
	if e.inFlight == 1 {
		e.noReplySince = now
	}
}

// Cancel records the end of an attempt that the sender abandoned, so that its result says nothing about the server.
func (c *MeshPicker) Cancel(v *schema.MeshServer, now time.Time) {
	c.server(v, now).inFlight--
}

// Finish records the end of an attempt at a server and updates the estimates from its response.
func (c *MeshPicker) Finish(v *schema.MeshServer, rule string, rank int64, r *jaypitch.MeshResponse, now time.Time) {
	e := c.server(v, now)
	e.inFlight--
	if r.LoadReport.Slots == 0 {
		if r.Code == jaypitch.CodeUnreachable || r.Code == jaypitch.CodeUnknown {
			// Connections time out on a full link too. There only a probe tells whether the sidecar is alive.
			e.unreachable = e.unreachable || !e.life.linkFull(now)
		}
		return
	}
	e.unreachable, e.avoidUntil, e.noReplySince = false, time.Time{}, now
	e.life.recordReport(r.LoadReport, now)
	e.limit = newServerLimit(r.LoadReport, now)
	e.link.update(r.LoadReport, now)
	e.loadReport, e.inFlightAtReport, e.loadUntil = r.LoadReport, e.inFlight, now.Add(meshLoadMaxAge)
	if r.LoadReport.Mean > 0 {
		e.ruleReports[rule] = ruleReport{mean: r.LoadReport.Mean, failing: r.LoadReport.Failing, until: now.Add(meanMaxAge)}
	}
	c.recordRefusing(e, rule, r, now)
	if r.LoadReport.Stopping || r.Code == jaypitch.CodeMisdirected || r.Code == jaypitch.CodeNotThisHost || r.Code == jaypitch.CodeStopping || r.Code == jaypitch.CodeEvacuated {
		e.avoidUntil = now.Add(avoidDuration)
	}
	if r.Code == jaypitch.CodeUnconfirmed {
		e.avoidUntil = now.Add(avoidUnconfirmed)
	}
	e.updateNetworkTime(r.NetworkTime)
	if longest := longestRetryAfter(r.Code); longest > 0 {
		span := min(max(r.RetryAfter, minRetryAfter), longest)
		at := now.Add(time.Duration((0.5 + c.random()) * float64(span)))
		e.retryAt[rule] = at
		if r.Code == jaypitch.CodeServerLimit {
			e.rankRetryAt[rank] = at
		}
	}
	if r.Execution == jaypitch.Executed {
		c.rule(rule).recordStatus(r.Status)
	}
	if r.Execution == jaypitch.Executed && r.ServiceTime > 0 {
		s := c.rule(rule)
		if s.meanServiceUS == 0 {
			s.meanServiceUS = float64(r.ServiceTime.Microseconds())
		}
		s.meanServiceUS += ruleWeight * (float64(r.ServiceTime.Microseconds()) - s.meanServiceUS)
		s.responseBytes += ruleWeight * (bodyBytes(r) - s.responseBytes)
	}
}

// longestRetryAfter returns the longest time for which a server gets no requests of a rule after a refusal with a code; zero if it gets more.
func longestRetryAfter(c jaypitch.Code) time.Duration {
	switch c {
	case jaypitch.CodeOverloaded, jaypitch.CodeLinkFull:
		return maxRetryAfter
	case jaypitch.CodeServerLimit:
		return maxLimitRetryAfter
	}
	return 0
}

// SharedFailure reports whether so many of a rule's responses are failures that the cause must be something that all servers
// depend on. A retry doesn't help then and adds load to the dependency.
func (c *MeshPicker) SharedFailure(rule string) bool {
	return c.rule(rule).failureShare > sharedFailureThreshold
}

func (s *ruleStats) recordStatus(status int) {
	failed := 0.0
	if status >= http.StatusInternalServerError {
		failed = 1
	}
	s.failureShare += ruleWeight * (failed - s.failureShare)
}

// updateNetworkTime takes over a shorter network time at once and a longer one slowly, since longer ones include waits and pauses
// outside the network.
func (e *serverState) updateNetworkTime(sample time.Duration) {
	us := float64(sample.Microseconds())
	if us <= 0 {
		return
	}
	if e.networkTimeUS == 0 || us < e.networkTimeUS {
		e.networkTimeUS = us
		return
	}
	e.networkTimeUS += networkTimeWeight * (us - e.networkTimeUS)
}

// Prune removes the state of servers that are not in the table and have no attempts in progress.
func (c *MeshPicker) Prune(t *mesh.Table) {
	for id, e := range c.servers {
		if t.Servers[id] == nil && e.inFlight <= 0 {
			delete(c.servers, id)
		}
	}
}

// MeanServiceTime returns the mean service time of a rule's requests over all servers; zero before the first response.
func (c *MeshPicker) MeanServiceTime(rule string) time.Duration {
	return time.Duration(c.rule(rule).meanServiceUS) * time.Microsecond
}

func (c *MeshPicker) server(v *schema.MeshServer, now time.Time) *serverState {
	e := c.servers[v.GetId()]
	if e == nil {
		e = &serverState{server: v, ruleReports: map[string]ruleReport{}, retryAt: map[string]time.Time{}, refusing: map[string]refusingState{}, rankRetryAt: map[int64]time.Time{}, coldUntil: c.coldUntil(v, now)}
		c.servers[v.GetId()] = e
	}
	return e
}

func (c *MeshPicker) rule(name string) *ruleStats {
	s := c.rules[name]
	if s == nil {
		s = &ruleStats{}
		c.rules[name] = s
	}
	return s
}
