package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jaypitch/jaypitch"
)

const kept = 100 * time.Second

var start = time.Unix(1000, 0)

func at(seconds int64) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func whole(body string) *jaypitch.Response {
	return &jaypitch.Response{Code: jaypitch.CodeOK, Body: []byte(body)}
}

func TestAnswers(t *testing.T) {
	token := Token{Host: "h", Process: 1, Epoch: 0, Nonce: 7}
	// The steps are first, end, repeat and wait; each first and repeat says what it has to give.
	cases := []struct {
		name  string
		steps []string
	}{
		{"a repeat gets the kept answer", []string{"first 0", "end", "repeat 0"}},
		{"a repeat of one in progress waits", []string{"first 0", "repeat running"}},
		{"a repeat that comes first gives the token up", []string{"repeat 120", "first 120"}},
		{"a repeat long after gives the token up still", []string{"wait 60", "repeat 120", "first 120"}},
		{"a first attempt that comes twice", []string{"first 0", "first 120"}},
		{"a first attempt of an old token", []string{"wait 60", "first 111"}},
		{"a repeat after the answer's time", []string{"first 0", "end", "wait 101", "repeat 151"}},
		{"a repeat of a token that may have been forgotten", []string{"wait 100", "repeat 151"}},
		{"one in progress is not forgotten", []string{"first 0", "wait 500", "repeat running"}},
		{"another process", []string{"restart", "repeat 152", "first 111"}},
		{"a refused first attempt takes no room", []string{"first 0", "refuse", "empty", "repeat 120", "first 120"}},
		{"a full table", []string{"fill", "first 115", "repeat 150"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := NewResponseCache("h", 1, start, kept, 4)
			now := int64(0)
			var entry *Entry
			for _, s := range c.steps {
				var what, arg string
				_, _ = fmt.Sscan(s, &what, &arg)
				var number int64
				_, _ = fmt.Sscan(arg, &number)
				switch what {
				case "wait":
					now += number
				case "restart":
					a = NewResponseCache("h", 2, start, kept, 4)
				case "fill":
					for i := range 4 {
						_, _ = a.Begin(Token{Host: "h", Process: 1, Nonce: uint64(100 + i)}, at(now))
					}
				case "refuse":
					a.Complete(entry, jaypitch.NewRefusal(jaypitch.CodeOverloaded, "x"))
				case "empty":
					is.Equal(a.Len(), 0)
				case "end":
					a.Complete(entry, whole("x"))
				case "first":
					e, err := a.Begin(token, at(now))
					assertCode(is, err, number)
					entry = e
				case "repeat":
					e, err := a.Repeat(token, at(now))
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

func TestLargeAnswers(t *testing.T) {
	is := is.New(t)
	a := NewResponseCache("h", 1, start, kept, 1000)
	total := 0
	for i := range 400 {
		e, err := a.Begin(Token{Host: "h", Process: 1, Nonce: uint64(i)}, start)
		is.True(err == nil)
		a.Complete(e, &jaypitch.Response{Body: make([]byte, maxAnswerBytes)})
		total += len(e.Response.Body)
	}
	is.True(total <= maxTotalBytes)
	e, err := a.Begin(Token{Host: "h", Process: 1, Nonce: 9999}, start)
	is.True(err == nil)
	a.Complete(e, &jaypitch.Response{Body: make([]byte, maxAnswerBytes+1)})
	is.Equal(e.Response.Code, jaypitch.CodeAnswerNotKept)
}

// TestAtMostOnce delivers first attempts and repeats of few tokens in any order, with duplicates, waits and
// restarts: no token ever runs twice, and none runs after a repeat was told that it did not.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		process, now := uint64(1), int64(0)
		a := NewResponseCache("h", process, at(now), kept, 3)
		ran, promised := map[Token]int{}, map[Token]bool{}
		started := now
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			token := Token{Host: "h", Process: rapid.Uint64Range(1, 2).Draw(t, "process"), Epoch: rapid.Int64Range(0, 60).Draw(t, "epoch"), Nonce: rapid.Uint64Range(0, 2).Draw(t, "nonce")}
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				if token.Epoch > now-started {
					continue
				}
				e, err := a.Begin(token, at(now))
				if err != nil {
					continue
				}
				ran[token]++
				if ran[token] > 1 || promised[token] {
					t.Fatalf("token %s runs again: ran %d, promised %t", token, ran[token], promised[token])
				}
				if rapid.Bool().Draw(t, "ends") {
					a.Complete(e, whole("x"))
				}
			case 3, 4:
				e, err := a.Repeat(token, at(now))
				if err != nil && err.Code.Info().Execution != jaypitch.ExecutionUnknown {
					t.Fatalf("a repeat that isn't kept says %s", err)
				}
				if err == nil && e.Response != nil && e.Response.Code == jaypitch.CodeTokenNotRun {
					promised[token] = true
					if ran[token] > 0 {
						t.Fatalf("token %s ran and a repeat was told that it did not", token)
					}
				}
			case 5:
				now += rapid.Int64Range(0, 70).Draw(t, "wait")
			case 6:
				process++
				started = now
				a = NewResponseCache("h", process, at(now), kept, 3)
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
			t.Fatalf("%q reads as %v, then as %v, %v", text, token, again, err)
		}
	})
}
