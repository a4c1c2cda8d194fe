package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

var start = time.Unix(0, 0)

func service(local, remote int) *settings.Service {
	v := &settings.Service{Name: "entry"}
	for i := range local + remote {
		dc := "here"
		if i >= local {
			dc = "there"
		}
		v.Hosts = append(v.Hosts, &settings.Host{Name: fmt.Sprintf("%s_%d", dc, i), DataCentre: dc, Service: "entry"})
	}
	return v
}

func newPicker() *Picker {
	r := rand.New(rand.NewPCG(1, 2))
	return NewPicker("here", r.IntN)
}

// picks makes a number of picks and counts them by host and by data centre.
func picks(p *Picker, v *settings.Service, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		c, err := p.Pick(v, "urgent", nil, now)
		if err != nil {
			counts[err.Code.Info().Name]++
			continue
		}
		counts[c.Host.Name]++
		counts[c.Host.DataCentre]++
	}
	return counts
}

func told(p *Picker, host string, t jaypitch.LoadReport) {
	p.Start(host, start)
	p.Finish(host, "urgent", jaypitch.CodeOK, &t, start)
}

func fails(p *Picker, host string, n int) {
	for range n {
		p.Start(host, start)
		p.Finish(host, "urgent", jaypitch.CodeUnknown, nil, start)
	}
}

func TestPick(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(p *Picker)
		v       *settings.Service
		want    string
		least   int
	}{
		{"own data centre first", func(*Picker) {}, service(2, 8), "here", 1000},
		{"elsewhere if none is here", func(*Picker) {}, service(0, 2), "there", 1000},
		{"elsewhere if all here are held off", func(p *Picker) { told(p, "here_0", jaypitch.LoadReport{RetryAfterUS: 1e6}) }, service(1, 2), "there", 1000},
		{"not where there is no room", func(p *Picker) {
			told(p, "here_0", jaypitch.LoadReport{RetryAfterUS: 1e6})
			told(p, "there_1", jaypitch.LoadReport{Load: 0.9})
		}, service(1, 1), "overloaded", 1000},
		{"not to a stopping host", func(p *Picker) { told(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true}) }, service(2, 0), "here_1", 1000},
		{"no host left", func(p *Picker) { told(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true}) }, service(1, 0), "no_backend", 1000},
		{"not to an ejected host", func(p *Picker) { fails(p, "here_0", 3) }, service(4, 0), "here_0", -1},
		{"the only host isn't given up", func(p *Picker) { fails(p, "here_0", 3) }, service(1, 0), "here_0", 1000},
		{"no more than the share is ejected", func(p *Picker) {
			for i := range 4 {
				fails(p, fmt.Sprintf("here_%d", i), 3)
			}
		}, service(4, 0), "here_0", 150},
		{"less to a loaded host", func(p *Picker) { told(p, "here_0", jaypitch.LoadReport{Load: 3}) }, service(2, 0), "here_1", 700},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPicker()
			c.prepare(p)
			got := picks(p, c.v, 1000, start)[c.want]
			if c.least < 0 {
				is.Equal(got, 0)
				return
			}
			is.True(got >= c.least)
		})
	}
}

func TestTimePasses(t *testing.T) {
	t.Run("a stopping host is tried again", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		told(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true})
		is.Equal(picks(p, service(1, 0), 10, start.Add(stoppingLasts))["here_0"], 10)
	})
	t.Run("an ejected host comes back", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		fails(p, "here_0", 3)
		is.True(picks(p, service(4, 0), 1000, start.Add(minEjection))["here_0"] > 100)
	})
	t.Run("a new process gets its share slowly", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		told(p, "here_0", jaypitch.LoadReport{Process: 5, Epoch: 100})
		told(p, "here_0", jaypitch.LoadReport{Process: 6, Epoch: 1})
		cold := picks(p, service(2, 0), 1000, start)["here_0"]
		warm := picks(p, service(2, 0), 1000, start.Add(slowStart))["here_0"]
		is.True(cold < 350)
		is.True(warm > 400)
	})
}

func TestSpread(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	v := service(10, 0)
	most := 0
	for range 200 {
		c, err := p.Pick(v, "urgent", nil, start)
		is.True(err == nil)
		p.Start(c.Host.Name, start)
		most = max(most, p.InProgress(c.Host.Name))
	}
	is.True(most <= 24) // 20 would be even
}

// TestAgain states for every code whether a call is tried elsewhere.
func TestAgain(t *testing.T) {
	for _, info := range jaypitch.Codes {
		if info.Execution == "" {
			continue
		}
		t.Run(info.Name, func(t *testing.T) {
			is := is.New(t)
			policy := func(idempotent bool) *RetryPolicy {
				return &RetryPolicy{Idempotent: idempotent, Deadline: start.Add(time.Second), Retries: 3}
			}
			other := policy(false).ShouldRetry(info.Code, NewRetryBudget(), start)
			if info.Execution != jaypitch.NotExecuted {
				is.True(!other)
			}
			idempotent := policy(true).ShouldRetry(info.Code, NewRetryBudget(), start)
			is.Equal(idempotent, other || info.Execution == jaypitch.ExecutionUnknown)
			late := policy(true)
			late.Deadline = start
			is.True(!late.ShouldRetry(info.Code, NewRetryBudget(), start))
		})
	}
}

func TestBudget(t *testing.T) {
	t.Run("retries stay a tenth of the calls when everything fails", func(t *testing.T) {
		is := is.New(t)
		b := NewRetryBudget()
		attempts := 0
		for range 10000 {
			b.RecordRequest()
			p := &RetryPolicy{Idempotent: true, Deadline: start.Add(time.Second), Retries: 3}
			attempts++
			for p.ShouldRetry(jaypitch.CodeShed, b, start) {
				attempts++
			}
		}
		is.True(attempts <= 11010)
	})
	t.Run("a chain of 14 calls makes no more further attempts than one", func(t *testing.T) {
		is := is.New(t)
		left, attempts := jaypitch.DefaultRetries, 0
		for range 14 {
			p := &RetryPolicy{Idempotent: true, Deadline: start.Add(time.Second), Retries: left}
			for p.ShouldRetry(jaypitch.CodeShed, NewRetryBudget(), start) {
				attempts++
			}
			left = p.Retries
		}
		is.Equal(attempts, jaypitch.DefaultRetries)
	})
	t.Run("redirects are bounded too", func(t *testing.T) {
		is := is.New(t)
		p := &RetryPolicy{Deadline: start.Add(time.Second), Retries: 3}
		n := 0
		for p.ShouldRetry(jaypitch.CodeStopping, NewRetryBudget(), start) {
			n++
		}
		is.Equal(n, maxRedirects)
	})
}
