// Package once keeps calls that are not idempotent from running twice. Each attempt has a token that
// names the host and the process that may run it, and that process's age when the token was made. It
// has no clock and no socket.
package once

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Token names one attempt.
type Token struct {
	Host    string
	Process uint64
	// Epoch is the age of the process, in seconds, that the sender last heard of.
	Epoch int64
	Nonce uint64
}

// ResponseCache is what one process remembers of its attempts. It isn't safe for concurrent use.
type ResponseCache struct {
	host     string
	process  uint64
	started  time.Time
	kept     time.Duration
	limit    int
	bytes    int
	maxBytes int
	entries  map[Token]*Entry
	order    []Token
}

// Entry is one attempt: in progress, or ended with an answer.
type Entry struct {
	// Done is closed when the attempt has ended.
	Done chan struct{}
	// Response is nil until Done is closed.
	Response *jaypitch.Response

	token Token
	first bool
	until time.Time
	size  int
}

const (
	// maxAnswerBytes is the largest answer that is kept whole.
	maxAnswerBytes = 64 << 10
	// maxTotalBytes bounds the answers of all entries.
	maxTotalBytes = 16 << 20
	tokenParts    = 4
	// minCompaction is how many forgotten tokens may stand in the order of expiry at least.
	minCompaction = 1024
)

// String returns the token as it crosses the wire.
func (t Token) String() string {
	return fmt.Sprintf("%s.%016x.%d.%016x", t.Host, t.Process, t.Epoch, t.Nonce)
}

// ParseToken reads a token.
func ParseToken(text string) (Token, *jaypitch.Error) {
	parts := strings.Split(text, ".")
	if len(parts) != tokenParts || parts[0] == "" {
		return Token{}, badToken(text)
	}
	process, err1 := strconv.ParseUint(parts[1], 16, 64)
	epoch, err2 := strconv.ParseInt(parts[2], 10, 64)
	nonce, err3 := strconv.ParseUint(parts[3], 16, 64)
	if err1 != nil || err2 != nil || err3 != nil || epoch < 0 {
		return Token{}, badToken(text)
	}
	return Token{Host: parts[0], Process: process, Epoch: epoch, Nonce: nonce}, nil
}

// NewResponseCache makes the memory of a process that started at a time. An answer is kept for a time;
// first attempts are taken for half of it.
func NewResponseCache(host string, process uint64, started time.Time, kept time.Duration, limit int) *ResponseCache {
	return &ResponseCache{host: host, process: process, started: started, kept: kept, limit: limit, maxBytes: maxTotalBytes, entries: map[Token]*Entry{}}
}

// Begin takes in a first attempt. It may run if there is no error. A sender sends each token once as
// a first attempt, so refusing one here is certain.
func (a *ResponseCache) Begin(t Token, now time.Time) (*Entry, *jaypitch.Error) {
	a.expire(now)
	if t.Host != a.host || t.Process != a.process {
		return nil, jaypitch.Errorf(jaypitch.CodeOtherProcess, "the attempt is for process %016x of host %q", t.Process, t.Host)
	}
	if a.entries[t] != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeTokenNotRun, "the token was used or given up before this attempt arrived")
	}
	if age := a.age(now) - time.Duration(t.Epoch)*time.Second; age > a.kept/2 {
		return nil, jaypitch.Errorf(jaypitch.CodeOtherProcess, "the token is %s old; at most %s is allowed", age, a.kept/2)
	}
	e := a.add(t, now)
	if e == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeAnswersFull, "%d answers are kept", len(a.entries))
	}
	e.first = true
	return e, nil
}

// Repeat takes in a repeat. It never runs the work: it returns the entry of the first attempt, or says
// what is known. A token that never arrived is given up, so that a late first attempt is refused.
func (a *ResponseCache) Repeat(t Token, now time.Time) (*Entry, *jaypitch.Error) {
	a.expire(now)
	if t.Host != a.host || t.Process != a.process {
		return nil, jaypitch.Errorf(jaypitch.CodeProcessGone, "process %016x of host %q has ended", t.Process, t.Host)
	}
	if e := a.entries[t]; e != nil {
		return e, nil
	}
	if a.age(now)-time.Duration(t.Epoch)*time.Second >= a.kept {
		return nil, jaypitch.Errorf(jaypitch.CodeTokenExpired, "answers are kept for %s", a.kept)
	}
	e := a.add(t, now)
	if e == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnknown, "the table of kept answers is full, so that the token can't be given up")
	}
	a.Complete(e, jaypitch.NewRefusal(jaypitch.CodeTokenNotRun, "the first attempt never arrived"))
	return e, nil
}

// Complete records the answer of an attempt. An answer that is too large is remembered without its body. A first
// attempt that didn't run is forgotten: it is sent only once, and a repeat finds that it never ran.
func (a *ResponseCache) Complete(e *Entry, answer *jaypitch.Response) {
	if e.first && answer.Code.Info().Execution == jaypitch.NotExecuted {
		delete(a.entries, e.token)
	}
	size := len(answer.Body)
	if answer.Stream != nil || size > maxAnswerBytes || a.bytes+size > a.maxBytes {
		answer = jaypitch.NewRefusal(jaypitch.CodeAnswerNotKept, "the answer was too large to keep")
		size = 0
	}
	e.size = size
	a.bytes += size
	e.Response = answer
	close(e.Done)
}

// Len returns the number of entries.
func (a *ResponseCache) Len() int {
	return len(a.entries)
}

// Epoch returns the age of the process in whole seconds.
func (a *ResponseCache) Epoch(now time.Time) int64 {
	return int64(a.age(now) / time.Second)
}

func (a *ResponseCache) add(t Token, now time.Time) *Entry {
	if len(a.entries) >= a.limit {
		return nil
	}
	e := &Entry{Done: make(chan struct{}), token: t, until: now.Add(a.kept)}
	a.entries[t] = e
	a.order = append(a.order, t)
	if len(a.order) > 2*len(a.entries)+minCompaction {
		a.order = slices.DeleteFunc(a.order, func(t Token) bool { return a.entries[t] == nil })
	}
	return e
}

// expire forgets ended attempts whose time is over. One in progress holds up those behind it, so that
// nothing in progress is ever forgotten.
func (a *ResponseCache) expire(now time.Time) {
	n := 0
	for n < len(a.order) {
		e := a.entries[a.order[n]]
		if e != nil && (now.Before(e.until) || e.Response == nil) {
			break
		}
		if e != nil {
			a.bytes -= e.size
			delete(a.entries, a.order[n])
		}
		n++
	}
	a.order = a.order[n:]
}

func (a *ResponseCache) age(now time.Time) time.Duration {
	return now.Sub(a.started)
}

func badToken(text string) *jaypitch.Error {
	return jaypitch.Errorf(jaypitch.CodeBadToken, "%q is not a token", text)
}
