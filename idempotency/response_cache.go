// Package idempotency prevents requests that are not idempotent from being executed twice. Each attempt has a token that names the host
// and the process that may execute it, and that process's age when the token was created. It has no clock and no socket: times are
// passed in.
package idempotency

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Token identifies one attempt.
type Token struct {
	Host    string
	Process uint64
	// Epoch is the age of the process in seconds, as last reported to the sender.
	Epoch int64
	Nonce uint64
}

// ResponseCache holds the attempts of one process by token, with their responses. It isn't safe for concurrent use.
type ResponseCache struct {
	host        string
	process     uint64
	started     time.Time
	ttl         time.Duration
	maxEntries  int
	bytes       int // total size of the cached bodies
	maxBytes    int
	entries     map[Token]*Entry
	expiryOrder []Token // tokens by expiry, including some whose entry was removed
}

// Entry is one attempt: in progress, or ended with a response.
type Entry struct {
	// Done is closed when the attempt has ended.
	Done chan struct{}
	// Response is nil until Done is closed.
	Response *jaypitch.Response

	token        Token
	firstAttempt bool // false if the entry was created by a repeat
	expiresAt    time.Time
	size         int // of the cached body, in bytes
}

const (
	// maxResponseBytes is the size of the largest response body that is cached.
	maxResponseBytes = 64 << 10
	// maxTotalBytes bounds the size of the cached bodies of all entries.
	maxTotalBytes = 16 << 20
	tokenParts    = 4
	// minStaleTokens is by how many the tokens without an entry may outnumber the entries before they are removed from the expiry order.
	minStaleTokens = 1024
)

// String returns the token as it is sent: host, process, epoch and nonce, separated by dots. Epoch is decimal, process and nonce are hexadecimal.
func (t Token) String() string {
	return fmt.Sprintf("%s.%016x.%d.%016x", t.Host, t.Process, t.Epoch, t.Nonce)
}

// ParseToken parses the text that String returns.
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

// NewResponseCache returns the cache of a process that started at a time. Entries expire after ttl. A token is accepted for a first
// attempt until its age exceeds half of ttl. The cache holds at most maxEntries entries.
func NewResponseCache(host string, process uint64, started time.Time, ttl time.Duration, maxEntries int) *ResponseCache {
	return &ResponseCache{host: host, process: process, started: started, ttl: ttl, maxEntries: maxEntries, maxBytes: maxTotalBytes, entries: map[Token]*Entry{}}
}

// Begin adds a first attempt. The attempt may be executed if there is no error. Errors have codes that mean "not executed": a sender
// sends each token only once as a first attempt, so a refused attempt is certainly never executed.
func (c *ResponseCache) Begin(t Token, now time.Time) (*Entry, *jaypitch.Error) {
	c.expire(now)
	if t.Host != c.host || t.Process != c.process {
		return nil, jaypitch.Errorf(jaypitch.CodeOtherProcess, "the attempt is for process %016x of host %q", t.Process, t.Host)
	}
	if c.entries[t] != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeTokenNotRun, "the token was used or revoked before this attempt arrived")
	}
	if age := c.age(now) - time.Duration(t.Epoch)*time.Second; age > c.ttl/2 {
		return nil, jaypitch.Errorf(jaypitch.CodeOtherProcess, "the token is %s old; at most %s is allowed", age, c.ttl/2)
	}
	e := c.add(t, now)
	if e == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeAnswersFull, "the response cache is full with %d entries", len(c.entries))
	}
	e.firstAttempt = true
	return e, nil
}

// Repeat looks up the first attempt of a repeated request, which is never executed. It returns the entry of the first attempt, or an
// error if the attempt's execution is unknown. If the first attempt has not arrived, Repeat revokes the token, so that the attempt is
// refused if it arrives later, and returns an entry with the refusal CodeTokenNotRun.
func (c *ResponseCache) Repeat(t Token, now time.Time) (*Entry, *jaypitch.Error) {
	c.expire(now)
	if t.Host != c.host || t.Process != c.process {
		return nil, jaypitch.Errorf(jaypitch.CodeProcessGone, "process %016x of host %q has ended", t.Process, t.Host)
	}
	if e := c.entries[t]; e != nil {
		return e, nil
	}
	if c.age(now)-time.Duration(t.Epoch)*time.Second >= c.ttl {
		return nil, jaypitch.Errorf(jaypitch.CodeTokenExpired, "responses are cached for %s", c.ttl)
	}
	e := c.add(t, now)
	if e == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnknown, "the response cache is full, so the token can't be revoked")
	}
	c.Complete(e, jaypitch.NewRefusal(jaypitch.CodeTokenNotRun, "the first attempt did not arrive"))
	return e, nil
}

// Complete records the response of an attempt and closes Done. A response that is streamed or too large to cache is replaced by the
// refusal CodeAnswerNotKept. The entry of a first attempt that was not executed is removed: the attempt is sent only once, and a
// repeat revokes the token and returns that it was not executed.
func (c *ResponseCache) Complete(e *Entry, response *jaypitch.Response) {
	removed := e.firstAttempt && response.Code.Info().Execution == jaypitch.NotExecuted
	if removed {
		delete(c.entries, e.token)
	}
	size := len(response.Body)
	if response.Stream != nil || size > maxResponseBytes || c.bytes+size > c.maxBytes {
		response = jaypitch.NewRefusal(jaypitch.CodeAnswerNotKept, "the response was too large to cache")
		size = 0
	}
	if !removed {
		e.size = size
		c.bytes += size
	}
	e.Response = response
	close(e.Done)
}

// Len returns the number of entries.
func (c *ResponseCache) Len() int {
	return len(c.entries)
}

// Epoch returns the age of the process in whole seconds.
func (c *ResponseCache) Epoch(now time.Time) int64 {
	return int64(c.age(now) / time.Second)
}

// add creates an entry. It returns nil if the cache is full.
func (c *ResponseCache) add(t Token, now time.Time) *Entry {
	if len(c.entries) >= c.maxEntries {
		return nil
	}
	e := &Entry{Done: make(chan struct{}), token: t, expiresAt: now.Add(c.ttl)}
	c.entries[t] = e
	c.expiryOrder = append(c.expiryOrder, t)
	if len(c.expiryOrder) > 2*len(c.entries)+minStaleTokens {
		c.expiryOrder = slices.DeleteFunc(c.expiryOrder, func(t Token) bool { return c.entries[t] == nil })
	}
	return e
}

// expire removes entries that have ended and expired. It stops at the first attempt in progress, so that no attempt in progress is
// removed; entries that expire later stay until it has ended.
func (c *ResponseCache) expire(now time.Time) {
	n := 0
	for n < len(c.expiryOrder) {
		e := c.entries[c.expiryOrder[n]]
		if e != nil && (now.Before(e.expiresAt) || e.Response == nil) {
			break
		}
		if e != nil {
			c.bytes -= e.size
			delete(c.entries, c.expiryOrder[n])
		}
		n++
	}
	c.expiryOrder = c.expiryOrder[n:]
}

// age returns the age of the process.
func (c *ResponseCache) age(now time.Time) time.Duration {
	return now.Sub(c.started)
}

func badToken(text string) *jaypitch.Error {
	return jaypitch.Errorf(jaypitch.CodeBadToken, "token %q does not have the form HOST.PROCESS.EPOCH.NONCE", text)
}
