package admit

import (
	"math"
	"time"
)

// ColdLimits is what a server sustains while it is cold, right after a start under traffic. The zero ColdLimits has no limit.
type ColdLimits struct {
	// Time is how long a server is cold after its start.
	Time time.Duration
	// Rate is the number of requests per second that a cold server sustains; zero if there is no limit.
	Rate float64
	// Overage and Slack bound the requests in any second: at most Rate times Overage, plus Slack.
	Overage, Slack float64
	// CanAsk is true if the server has a health endpoint, whose responses tell the remaining cold time.
	CanAsk bool
}

// ColdState decides whether a server counts as cold. The load pattern that it is for: servers that restart one after the other or all at once while
// requests come at a multiple of what a cold server sustains, so that each second without the limit may end the server again. It isn't safe for
// concurrent use. The zero ColdState has no limits and is never cold.
type ColdState struct {
	limits ColdLimits
	// until is when the server counts as warm.
	until time.Time
	// lost is true from connection failures until the next response. The server counts as cold without end then: its cold time begins when it
	// starts again.
	lost bool
	// failures counts the connections that ended without an answer since the last response, failedAt is when the first of them did.
	failures int
	failedAt time.Time
	// doubtedAt is when something last suggested that the server became cold. What the server said before that counts no more.
	doubtedAt time.Time
	// wantsProbe is true if the server is to be asked how long it stays cold, at nextProbeAt or later.
	wantsProbe  bool
	nextProbeAt time.Time
	entry       coldEntry
}

// coldEntry is what a server's entry in the store tells.
type coldEntry struct {
	id     string
	bornMS int64
	cold   time.Duration
}

const (
	// coldProbeInterval is the least time between two questions to the server, since each counts as a request there.
	coldProbeInterval = time.Second
	// lostFailures is the number of connections in a row that end without an answer after which the server counts as restarted. A single one
	// may be a fault of the network or of one request.
	lostFailures = 2
	// coldSlackShare is the share of the slack that a burst may use. The rest is for requests that arrive at the server later than they start
	// here, and for those from before a restart of this process.
	coldSlackShare = 0.25
	// coldDebt bounds the time for which nothing starts at a server that has just become cold, after more requests than it sustains: the bound holds
	// for windows of a second.
	coldDebt = time.Second
	// survivalTime is how long after a failed connection a response to an earlier request proves that the server's process lives on: a process that
	// ends closes all its connections at once.
	survivalTime = 50 * time.Millisecond
	// unansweredInterval is the least time between two requests to a cold server that has answered none of those of a second. They may all wait for a
	// process that doesn't read yet, and reach it together with those that start then.
	unansweredInterval = time.Second
	// minColdRate bounds the time between two requests to a cold server, in requests per second.
	minColdRate = 0.01
)

// limited reports whether a cold server has a limit.
func (l ColdLimits) limited() bool {
	return l.Rate > 0 && l.Time > 0
}

// pace returns the time between two requests to a cold server and how many may start at once. That many and those of one second at this pace are
// within the bound; without slack only one starts at once.
func (l ColdLimits) pace() (interval time.Duration, burst int) {
	allowed := max(1, int(l.Rate*max(1, l.Overage)+l.Slack))
	burst = min(allowed, 1+int(l.Slack*coldSlackShare))
	perSecond := max(minColdRate, min(l.Rate, float64(allowed-burst+1)))
	return time.Duration(math.Ceil(float64(time.Second) / perSecond)), burst
}

// SetLimits sets the limits of the server's service.
func (c *ColdState) SetLimits(l ColdLimits) {
	c.limits = l
}

// ObserveEntry records the server's entry in the store. A new process of the server counts as cold until it says otherwise itself, or the entry's if it can't be
// asked. It reports whether the entry is of another process than the last one.
func (c *ColdState) ObserveEntry(id string, bornMS int64, cold time.Duration, now time.Time) bool {
	before := c.entry
	c.entry = coldEntry{id: id, bornMS: bornMS, cold: cold}
	switch {
	case before == c.entry:
		return false
	case before.id != id || before.bornMS != bornMS:
		started := before.id != "" // this process has seen another one of the server
		c.lost, c.failures, c.wantsProbe, c.until, c.doubtedAt = false, 0, false, now.Add(cold), now
		if c.limits.CanAsk && (cold == 0 || !started) {
			c.doubt(now)
		}
		return true
	case cold > before.cold:
		c.until, c.doubtedAt = later(c.until, now.Add(cold)), now
	}
	return false
}

// Doubt records that the server may have become cold without a sign of it: its data centre was evacuated, or this process was paused.
func (c *ColdState) Doubt(now time.Time) {
	c.doubt(now)
}

func (c *ColdState) doubt(now time.Time) {
	c.until, c.doubtedAt, c.wantsProbe = later(c.until, now.Add(c.limits.Time)), now, true
}

// ObserveFailure records that a connection to the server failed without an answer. Refused is true if none could be established: then no
// process listens at the address.
func (c *ColdState) ObserveFailure(refused bool, now time.Time) {
	if c.failures == 0 {
		c.failedAt = now
	}
	c.failures++
	c.doubtedAt, c.wantsProbe = now, true
	if refused || c.failures >= lostFailures {
		c.lost = true
	}
}

// ObserveResponse records a response to a request that was sent at a time. The cold time of a server that was lost begins with it at the latest, unless
// the request was sent before the first failure: then the process lives on.
func (c *ColdState) ObserveResponse(sentAt, now time.Time) {
	if sentAt.Before(c.doubtedAt) && now.Sub(c.doubtedAt) < survivalTime {
		return
	}
	c.failures = 0
	if c.lost && !sentAt.Before(c.failedAt) {
		c.doubt(now)
	}
	c.lost = false
}

// ObserveCold records that the server said for how long it stays cold, in the response to a request that was sent at a time.
func (c *ColdState) ObserveCold(cold time.Duration, sentAt, now time.Time) {
	if sentAt.Before(c.doubtedAt) {
		c.until = later(c.until, now.Add(cold))
		return
	}
	c.lost, c.failures, c.wantsProbe, c.until = false, 0, false, now.Add(cold)
}

// ObserveSilence records that the server responded to a question without saying for how long it stays cold. Its entry decides then.
func (c *ColdState) ObserveSilence(sentAt, now time.Time) {
	if !sentAt.Before(c.doubtedAt) {
		c.ObserveCold(c.entry.cold, sentAt, now)
	}
}

// Until returns the time from which the server counts as warm, far in the future if that is unknown; zero if it is warm now.
func (c *ColdState) Until(now time.Time) time.Time {
	switch {
	case !c.limits.limited():
		return time.Time{}
	case c.lost:
		return now.Add(time.Hour)
	case c.until.After(now):
		return c.until
	}
	return time.Time{}
}

// ProbeAt returns when the server is to be asked how long it stays cold; zero if it needn't be.
func (c *ColdState) ProbeAt() time.Time {
	if !c.wantsProbe || !c.limits.limited() || !c.limits.CanAsk || c.entry.id == "" {
		return time.Time{}
	}
	return later(c.nextProbeAt, c.doubtedAt)
}

// StartProbe records that the server is being asked.
func (c *ColdState) StartProbe(now time.Time) {
	c.nextProbeAt = now.Add(coldProbeInterval)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldPacer spaces the requests to a server while it is cold. It counts all requests, so that a server which becomes cold after more requests than it
// sustains gets none until those no longer count.
type coldPacer struct {
	interval, tolerance time.Duration
	// until is when the limit ends; zero if there is none now.
	until  time.Time
	nextAt time.Time
	// unanswered counts the requests that started since the server last answered one, startedAt is when the latest did.
	unanswered, maxUnanswered int
	startedAt                 time.Time
}

// pacers holds the limits of a server: the one that it names, and the one while it is cold. The stricter of both holds.
type pacers struct {
	Pacer
	cold coldPacer
}

// set sets the pace and until when it holds. Without a limit, nothing is counted.
func (p *coldPacer) set(l ColdLimits, until time.Time) {
	if !l.limited() {
		*p = coldPacer{}
		return
	}
	interval, burst := l.pace()
	p.interval, p.tolerance, p.until = interval, time.Duration(burst-1)*interval, until
	p.maxUnanswered = max(1, int(time.Second/interval))
}

// wait is like Pacer.Wait.
func (p *coldPacer) wait(requests int, now time.Time) time.Duration {
	if !now.Before(p.until) {
		return 0
	}
	at := later(p.nextAt, now).Add(time.Duration(requests-1)*p.interval - p.tolerance)
	if p.unanswered >= p.maxUnanswered {
		at = later(at, p.startedAt.Add(unansweredInterval))
	}
	return max(0, min(at.Sub(now), p.until.Sub(now)))
}

func (p *coldPacer) start(now time.Time) {
	if p.interval == 0 {
		return
	}
	p.unanswered, p.startedAt = p.unanswered+1, now
	p.nextAt = later(p.nextAt, now).Add(p.interval)
	if latest := now.Add(p.tolerance + coldDebt); p.nextAt.After(latest) {
		p.nextAt = latest
	}
}

// coldAt reports whether the limit of a cold server holds at a time.
func (p *pacers) coldAt(now time.Time) bool {
	return now.Before(p.cold.until)
}

// limitedAt reports whether any limit holds at a time.
func (p *pacers) limitedAt(now time.Time) bool {
	return p.Limited() || now.Before(p.cold.until)
}

// intervalAt returns the time between two requests at the stricter limit; zero without one.
func (p *pacers) intervalAt(now time.Time) time.Duration {
	interval := p.Interval()
	if now.Before(p.cold.until) {
		interval = max(interval, p.cold.interval)
	}
	return interval
}

// backlogTime returns the time until a number of queued requests have started, by the limits alone.
func (p *pacers) backlogTime(requests int, now time.Time) time.Duration {
	own := time.Duration(requests) * p.Interval()
	if !now.Before(p.cold.until) {
		return own
	}
	return max(own, min(time.Duration(requests)*p.cold.interval, p.cold.until.Sub(now)))
}

// Wait is that of the limit that makes the request wait longer.
func (p *pacers) Wait(requests int, now time.Time) time.Duration {
	return max(p.Pacer.Wait(requests, now), p.cold.wait(requests, now))
}

// Start records the start of a request.
func (p *pacers) Start(now time.Time) {
	p.Pacer.Start(now)
	p.cold.start(now)
}

// SetCold sets what the server sustains while it is cold, and until when it counts as cold; zero if it is warm. A queued request waits no longer than
// until then.
func (s *Slots) SetCold(l ColdLimits, until time.Time) {
	s.pacer.cold.set(l, until)
}

// ObserveAnswer records that no request waits unread at the server: it has answered one, or a connection to it failed.
func (s *Slots) ObserveAnswer() {
	s.pacer.cold.unanswered = 0
}

// RateLimit returns the requests per second that the server takes by its own limit or while it is cold, whichever is stricter, and whether there
// is a limit.
func (s *Slots) RateLimit(now time.Time) (perSecond float64, limited bool) {
	if !s.pacer.limitedAt(now) {
		return 0, false
	}
	return float64(time.Second) / float64(max(1, s.pacer.intervalAt(now))), true
}

// StartProbe takes a slot for a question to the server, if one is free and the limits allow a request to start. The caller ends it with Finish.
func (s *Slots) StartProbe(now time.Time) *SlotRequest {
	if !s.free(now) {
		return nil
	}
	w := &SlotRequest{arrived: now}
	s.start(w, now)
	return w
}

// StartWait returns the time until the limits allow a request to start that comes before all queued ones.
func (s *Slots) StartWait(now time.Time) time.Duration {
	return s.pacer.Wait(1, now)
}
