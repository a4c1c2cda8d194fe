// Package link decides when the bytes of large responses may use one direction of a host's network link, and which large responses it
// accepts. It answers this load pattern: downloads alone ask for more than the link carries, beside short urgent responses that must not
// wait behind them. The package has no clock, socket or goroutine.
package link

import (
	"slices"
	"time"
)

// Scheduler shares one direction of a link between large responses (transfers) and all else. It keeps the queue of the kernel short: the
// bytes of a transfer are passed on only once those before it have left, as far as the capacity tells (token bucket). Short responses
// are never delayed; they only use up capacity. It isn't safe for concurrent use.
type Scheduler struct {
	// bytesPerSecond is the rate at which the bytes of transfers are passed on.
	bytesPerSecond float64
	// freeAt is when all bytes that were passed on have left.
	freeAt time.Time
	// transfers are those that were accepted and haven't ended, in the order of their target deadlines.
	transfers []*Transfer
	rules     map[string]*ruleStats
}

// Transfer is one large response, from its acceptance to its last byte.
type Transfer struct {
	Rule string
	// Deadline is when the client or the rule times out, TargetDeadline the end of the rule's latency target. A transfer without a deadline is
	// never broken off.
	Deadline, TargetDeadline time.Time
	// Decision is for the caller of Scheduler, which sends whether the bytes that wait may be passed on.
	Decision chan bool

	acceptedAt time.Time
	// passed counts the bytes that were passed on, remaining those that are expected to follow.
	passed, remaining int64
	lengthKnown       bool
	// activeAt is when the response began or bytes were last passed on; zero before.
	activeAt time.Time
	// waiting is the number of bytes that wait to be passed on; zero if none do.
	waiting int64
}

// ruleStats holds moving averages of one rule's transfers.
type ruleStats struct {
	bytes float64
	// startTime is the time from the acceptance of a transfer to its first byte, in seconds.
	startTime float64
}

const (
	// capacityShare is the share of the link's capacity that is passed on. The rest is for the headers of packets, acknowledgements and
	// control messages.
	capacityShare = 0.85
	// depth bounds the time that the bytes passed on need to leave, before a transfer may pass on more. It is how long a short response may
	// wait in the kernel, plus one chunk. A process with a small share of a core is sometimes not scheduled for that long.
	depth = 30 * time.Millisecond
	// queueShare is the share of the time up to the target deadline that an accepted transfer may be expected to wait for the link. Waiting
	// transfers hold memory, and slots of the server, which short calls need. See docs/design/10-links.md.
	queueShare = 0.8
	// maxChargedLag bounds the time for which charged bytes keep those of transfers back. A request with a long body shares the link with them.
	maxChargedLag = 250 * time.Millisecond
	// stallTime is the time without a byte from which a transfer doesn't count for the expected queue time, since its client or its server is slow.
	stallTime = 150 * time.Millisecond
	// initialBytes and initialStartTime are assumed before the first transfer of a rule.
	initialBytes     = 64 << 10
	initialStartTime = 0.05
	// statsWeight is the weight of the latest transfer in the moving averages.
	statsWeight = 0.05
)

// NewScheduler returns a scheduler for a direction of a link with a capacity in megabits per second.
func NewScheduler(megabits float64) *Scheduler {
	return &Scheduler{bytesPerSecond: megabits * 1e6 / 8 * capacityShare, rules: map[string]*ruleStats{}}
}

// Rate returns the rate in bytes per second at which the bytes of transfers are passed on.
func (s *Scheduler) Rate() float64 {
	return s.bytesPerSecond
}

// Charge records bytes that are passed on at once.
func (s *Scheduler) Charge(bytes int64, now time.Time) {
	at := later(s.freeAt, now).Add(s.timeOf(bytes))
	if longest := later(s.freeAt, now.Add(maxChargedLag)); at.After(longest) {
		at = longest
	}
	s.freeAt = at
}

// Admit accepts a transfer, or returns the time after which it may be accepted. A transfer is accepted if it is expected to leave within its
// target, and if no accepted one is expected to miss its target for it. One that would miss its target on an idle link too is accepted if
// it is expected to leave before its deadline, after all others. The length is estimated from those before of its rule.
func (s *Scheduler) Admit(t *Transfer, now time.Time) (retryAfter time.Duration, accepted bool) {
	r := s.rule(t.Rule)
	need := s.timeOf(int64(r.bytes))
	first := now.Add(time.Duration(r.startTime * float64(time.Second)))
	if first.Add(need).After(t.TargetDeadline) {
		if over := later(first, now.Add(s.Backlog(now))).Add(need).Sub(t.Deadline); over > 0 {
			return over, false
		}
		s.accept(t, now)
		return 0, true
	}
	at := later(s.freeAt, now)
	for _, o := range s.transfers {
		if o.TargetDeadline.After(t.TargetDeadline) {
			continue
		}
		at = at.Add(s.timeOf(o.expected(now)))
	}
	latest := now.Add(time.Duration(float64(t.TargetDeadline.Sub(now)) * queueShare))
	if late := latest.Sub(at); late < 0 {
		return -late, false
	}
	if over := later(at, first).Add(need).Sub(t.TargetDeadline); over > 0 {
		return over, false
	}
	if over := s.delays(t, at.Add(need), need, now); over > 0 {
		return over, false
	}
	s.accept(t, now)
	return 0, true
}

// delays returns by how much a transfer would make an accepted one miss its target; zero if none. Those with a later target deadline than t
// begin at a time instead of need before.
func (s *Scheduler) delays(t *Transfer, at time.Time, need time.Duration, now time.Time) time.Duration {
	for _, o := range s.transfers {
		if !o.TargetDeadline.After(t.TargetDeadline) {
			continue
		}
		at = at.Add(s.timeOf(o.expected(now)))
		if over := at.Sub(o.TargetDeadline); over > 0 && over <= need {
			return over
		}
	}
	return 0
}

// Begin adds a transfer that can't be refused any more, with its length in bytes; negative if the length is unknown.
func (s *Scheduler) Begin(t *Transfer, length int64, now time.Time) {
	s.accept(t, now)
	s.SetLength(t, length, now)
}

// SetLength records that a response begins, and its length; negative if it is unknown.
func (s *Scheduler) SetLength(t *Transfer, length int64, now time.Time) {
	r := s.rule(t.Rule)
	t.activeAt = now
	r.startTime += statsWeight * (now.Sub(t.acceptedAt).Seconds() - r.startTime)
	if length >= 0 {
		t.remaining, t.lengthKnown = length-t.passed, true
	}
}

// Wait makes bytes of a transfer wait until they may be passed on. Next decides about them.
func (s *Scheduler) Wait(t *Transfer, bytes int64) {
	t.waiting = bytes
}

// Next returns the transfers whose waiting bytes may be passed on now, and those that are to be broken off, since they can't end before
// their deadline any more. The earliest target deadline goes first among those that can still meet it.
func (s *Scheduler) Next(now time.Time) (pass, breakOff []*Transfer) {
	for _, t := range s.transfers {
		if t.waiting > 0 && s.hopeless(t, now) {
			t.waiting = 0
			breakOff = append(breakOff, t)
		}
	}
	for s.freeAt.Sub(now) <= depth {
		t := s.first(now)
		if t == nil {
			break
		}
		s.freeAt = later(s.freeAt, now).Add(s.timeOf(t.waiting))
		t.activeAt = now
		t.passed += t.waiting
		t.remaining = max(0, t.remaining-t.waiting)
		t.waiting = 0
		pass = append(pass, t)
	}
	return pass, breakOff
}

// NextAt returns when Next has to be called again at the latest; zero if no bytes wait.
func (s *Scheduler) NextAt() time.Time {
	for _, t := range s.transfers {
		if t.waiting > 0 {
			return s.freeAt.Add(-depth)
		}
	}
	return time.Time{}
}

// End removes a transfer. Its length counts towards the mean of its rule if it is complete.
func (s *Scheduler) End(t *Transfer, complete bool) {
	i := slices.Index(s.transfers, t)
	if i < 0 {
		return
	}
	s.transfers = slices.Delete(s.transfers, i, i+1)
	t.waiting = 0
	if complete {
		r := s.rule(t.Rule)
		r.bytes += statsWeight * (float64(t.passed) - r.bytes)
	}
}

// EndShort removes a transfer whose bytes were charged instead of passed on, since they were few.
func (s *Scheduler) EndShort(t *Transfer, bytes int64, complete bool) {
	t.passed = bytes
	s.End(t, complete)
}

// Backlog returns the time until all that was accepted or passed on has left.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	sum := int64(0)
	for _, t := range s.transfers {
		sum += t.expected(now)
	}
	return later(s.freeAt, now).Sub(now) + s.timeOf(sum)
}

// Queued returns the number of bytes that were accepted and not passed on yet.
func (s *Scheduler) Queued() int64 {
	sum := int64(0)
	for _, t := range s.transfers {
		sum += t.remaining
	}
	return sum
}

// Transfers returns the number of transfers that were accepted and haven't ended.
func (s *Scheduler) Transfers() int {
	return len(s.transfers)
}

// expected returns the number of bytes that are expected to follow soon.
func (t *Transfer) expected(now time.Time) int64 {
	if t.waiting == 0 && !t.activeAt.IsZero() && now.Sub(t.activeAt) > stallTime {
		return 0
	}
	return t.remaining
}

// first returns the transfer whose waiting bytes are passed on next; nil if none wait.
func (s *Scheduler) first(now time.Time) *Transfer {
	var late *Transfer
	for _, t := range s.transfers {
		if t.waiting == 0 {
			continue
		}
		if !now.Add(s.timeOf(t.remaining)).After(t.TargetDeadline) {
			return t
		}
		if late == nil {
			late = t
		}
	}
	return late
}

// hopeless reports whether a transfer can't end before its deadline even if it has the whole link for itself.
func (s *Scheduler) hopeless(t *Transfer, now time.Time) bool {
	if t.Deadline.IsZero() {
		return false
	}
	rest := time.Duration(0)
	if t.lengthKnown {
		rest = time.Duration(float64(s.timeOf(t.remaining)) * capacityShare)
	}
	return now.Add(rest).After(t.Deadline)
}

// accept adds a transfer with the length that is expected of its rule.
func (s *Scheduler) accept(t *Transfer, now time.Time) {
	t.remaining, t.acceptedAt = int64(s.rule(t.Rule).bytes), now
	i, _ := slices.BinarySearchFunc(s.transfers, t, func(a, b *Transfer) int {
		if a.TargetDeadline.After(b.TargetDeadline) {
			return 1
		}
		return -1
	})
	s.transfers = slices.Insert(s.transfers, i, t)
}

func (s *Scheduler) rule(name string) *ruleStats {
	r := s.rules[name]
	if r == nil {
		r = &ruleStats{bytes: initialBytes, startTime: initialStartTime}
		s.rules[name] = r
	}
	return r
}

// timeOf returns the time in which a number of bytes leaves.
func (s *Scheduler) timeOf(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
