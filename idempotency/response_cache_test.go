package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jaypitch/jaypitch"
)

const ttl = 100 * time.Second

var start = time.Unix(1000, 0)

func at(seconds int64) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// okResponse returns a complete response.
func okResponse(body string) *jaypitch.Response {
	return &jaypitch.Response{Code: jaypitch.CodeOK, Body: []byte(body)}
}

// TestRemovedEntryCountsBytes guards against bodies of refusals, which aren't kept, that fill the cache for good.
func TestRemovedEntryCountsBytes(t *testing.T) {
	is := is.New(t)
	c := NewResponseCache("h", 1, start, ttl, 4)
	for i := range 300 {
		e, err := c.Begin(Token{Host: "h", Process: 1, Nonce: uint64(i)}, start)
		is.True(err == nil)
		c.Complete(e, &jaypitch.Response{Code: jaypitch.CodeOverloaded, Body: make([]byte, maxResponseBytes)})
	}
	is.Equal(c.bytes, 0)
}

func TestResponseCache(t *testing.T) {
	token := Token{Host: "h", Process: 1, Epoch: 0, Nonce: 7}
	// Each step has an action and an argument. The argument of first and repeat is the expected result code, or "running" for an
	// attempt in progress; that of wait is in seconds. End and refuse complete the first attempt, empty checks that there are no entries.
	cases := []struct {
		name  string
		steps []string
	}{
		{"a repeat gets the cached response", []string{"first 0", "end", "repeat 0"}},
		{"a repeat of an attempt in progress waits", []string{"first 0", "repeat running"}},
		{"a repeat that arrives first revokes the token", []string{"repeat 120", "first 120"}},
		{"a repeat that arrives first after 60 seconds revokes the token", []string{"wait 60", "repeat 120", "first 120"}},
		{"a first attempt that arrives twice", []string{"first 0", "first 120"}},
		{"a first attempt with an old token", []string{"wait 60", "first 111"}},
		{"a repeat after the response expired", []string{"first 0", "end", "wait 101", "repeat 151"}},
		{"a repeat with a token whose entry may have expired", []string{"wait 100", "repeat 151"}},
		{"an attempt in progress does not expire", []string{"first 0", "wait 500", "repeat running"}},
		{"another process", []string{"restart", "repeat 152", "first 111"}},
		{"a refused first attempt leaves no entry", []string{"first 0", "refuse", "empty", "repeat 120", "first 120"}},
		{"a full cache", []string{"fill", "first 115", "repeat 150"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := NewResponseCache("h", 1, start, ttl, 4)
			now := int64(0)
			var entry *Entry
			for _, s := range tc.steps {
				var what, arg string
				_, _ = fmt.Sscan(s, &what, &arg)
				var number int64
				_, _ = fmt.Sscan(arg, &number)
				switch what {
				case "wait":
					now += number
				case "restart":
					c = NewResponseCache("h", 2, start, ttl, 4)
				case "fill":
					for i := range 4 {
						_, _ = c.Begin(Token{Host: "h", Process: 1, Nonce: uint64(100 + i)}, at(now))
					}
				case "refuse":
					c.Complete(entry, jaypitch.NewRefusal(jaypitch.CodeOverloaded, "x"))
				case "empty":
					is.Equal(c.Len(), 0)
				case "end":
					c.Complete(entry, okResponse("x"))
				case "first":
					e, err := c.Begin(token, at(now))
					assertCode(is, err, number)
					entry = e
				case "repeat":
					e, err := c.Repeat(token, at(now))
					assertRepeat(is, e, err, arg, number)
				}
			}
		})
	}
}

func assertCode(is *is.I, err *jaypitch.Error, code int64) {
	is.Helper()
	if code == 0 {
		is.True(err == nil)
		return
	}
	is.True(err != nil)
	is.Equal(int64(err.Code), code)
}

func assertRepeat(is *is.I, e *Entry, err *jaypitch.Error, arg string, code int64) {
	is.Helper()
	switch {
	case arg == "running":
		is.True(err == nil)
		is.True(e.Response == nil)
	case err != nil:
		is.Equal(int64(err.Code), code)
	default:
		is.Equal(int64(e.Response.Code), code)
	}
}

func TestLargeResponses(t *testing.T) {
	is := is.New(t)
	c := NewResponseCache("h", 1, start, ttl, 1000)
	total := 0
	for i := range 400 {
		e, err := c.Begin(Token{Host: "h", Process: 1, Nonce: uint64(i)}, start)
		is.True(err == nil)
		c.Complete(e, &jaypitch.Response{Body: make([]byte, maxResponseBytes)})
		total += len(e.Response.Body)
	}
	is.True(total <= maxTotalBytes)
	e, err := c.Begin(Token{Host: "h", Process: 1, Nonce: 9999}, start)
	is.True(err == nil)
	c.Complete(e, &jaypitch.Response{Body: make([]byte, maxResponseBytes+1)})
	is.Equal(e.Response.Code, jaypitch.CodeAnswerNotKept)
}

// TestAtMostOnce delivers first attempts and repeats of few tokens in random order, with duplicates, delays and restarts. No token is
// executed twice, and none is executed before or after a repeat returned that it was not executed.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		process, now := uint64(1), int64(0)
		c := NewResponseCache("h", process, at(now), ttl, 3)
		executed, reportedNotExecuted := map[Token]int{}, map[Token]bool{}
		started := now
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			token := Token{Host: "h", Process: rapid.Uint64Range(1, 2).Draw(t, "process"), Epoch: rapid.Int64Range(0, 60).Draw(t, "epoch"), Nonce: rapid.Uint64Range(0, 2).Draw(t, "nonce")}
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				if token.Epoch > now-started {
					continue
				}
				e, err := c.Begin(token, at(now))
				if err != nil {
					continue
				}
				executed[token]++
				if executed[token] > 1 || reportedNotExecuted[token] {
					t.Fatalf("token %s is executed again or after a repeat: executed %d times, reported as not executed %t", token, executed[token], reportedNotExecuted[token])
				}
				if rapid.Bool().Draw(t, "ends") {
					c.Complete(e, okResponse("x"))
				}
			case 3, 4:
				e, err := c.Repeat(token, at(now))
				if err != nil && err.Code.Info().Execution != jaypitch.ExecutionUnknown {
					t.Fatalf("a repeat without an entry returned %s, whose execution isn't unknown", err)
				}
				if err == nil && e.Response != nil && e.Response.Code == jaypitch.CodeTokenNotRun {
					reportedNotExecuted[token] = true
					if executed[token] > 0 {
						t.Fatalf("token %s was executed, and a repeat returned that it was not", token)
					}
				}
			case 5:
				now += rapid.Int64Range(0, 70).Draw(t, "wait")
			case 6:
				process++
				started = now
				c = NewResponseCache("h", process, at(now), ttl, 3)
			}
		}
	})
}

func FuzzParseToken(f *testing.F) {
	f.Add(Token{Host: "h", Process: 1, Epoch: 2, Nonce: 3}.String())
	f.Add("h.1.-1.2")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := ParseToken(text)
		if err != nil {
			return
		}
		if again, err := ParseToken(token.String()); err != nil || again != token {
			t.Fatalf("%q is parsed as %v, and the text of that as %v, %v", text, token, again, err)
		}
	})
}
