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

// countPicks picks n times and counts the results by host, by data centre and by the name of the error's code.
func countPicks(p *Picker, v *settings.Service, n int, now time.Time) map[string]int {
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

// reportLoad makes a successful attempt at a host, whose response has a load report.
func reportLoad(p *Picker, host string, t jaypitch.LoadReport) {
	p.Start(host, start)
	p.Finish(host, "urgent", jaypitch.CodeOK, &t, start)
}

// failRequests makes n attempts at a host that get no response.
func failRequests(p *Picker, host string, n int) {
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
		{"the node's data centre first", func(*Picker) {}, service(2, 8), "here", 1000},
		{"elsewhere if none is here", func(*Picker) {}, service(0, 2), "there", 1000},
		{"elsewhere before the retry-after of all local hosts", func(p *Picker) { reportLoad(p, "here_0", jaypitch.LoadReport{RetryAfterUS: 1e6}) }, service(1, 2), "there", 1000},
		{"not to a loaded host of another data centre", func(p *Picker) {
			reportLoad(p, "here_0", jaypitch.LoadReport{RetryAfterUS: 1e6})
			reportLoad(p, "there_1", jaypitch.LoadReport{Load: 0.9})
		}, service(1, 1), "overloaded", 1000},
		{"not to a stopping host", func(p *Picker) { reportLoad(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true}) }, service(2, 0), "here_1", 1000},
		{"no host but a stopping one", func(p *Picker) { reportLoad(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true}) }, service(1, 0), "no_backend", 1000},
		{"not to an ejected host", func(p *Picker) { failRequests(p, "here_0", 3) }, service(4, 0), "here_0", -1},
		{"the only host, though it is ejected", func(p *Picker) { failRequests(p, "here_0", 3) }, service(1, 0), "here_0", 1000},
		{"ejection is ignored above the share", func(p *Picker) {
			for i := range 4 {
				failRequests(p, fmt.Sprintf("here_%d", i), 3)
			}
		}, service(4, 0), "here_0", 150},
		{"fewer requests to a loaded host", func(p *Picker) { reportLoad(p, "here_0", jaypitch.LoadReport{Load: 3}) }, service(2, 0), "here_1", 700},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPicker()
			c.prepare(p)
			got := countPicks(p, c.v, 1000, start)[c.want]
			if c.least < 0 {
				is.Equal(got, 0)
				return
			}
			is.True(got >= c.least)
		})
	}
}

func TestPickRecovers(t *testing.T) {
	t.Run("a stopping host gets requests again after the timeout", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		reportLoad(p, "here_0", jaypitch.LoadReport{Process: 5, Stopping: true})
		is.Equal(countPicks(p, service(1, 0), 10, start.Add(stoppingTimeout))["here_0"], 10)
	})
	t.Run("an ejected host gets requests again after the ejection", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		failRequests(p, "here_0", 3)
		is.True(countPicks(p, service(4, 0), 1000, start.Add(minEjection))["here_0"] > 100)
	})
	t.Run("a new process gets fewer requests during slow start", func(t *testing.T) {
		is := is.New(t)
		p := newPicker()
		reportLoad(p, "here_0", jaypitch.LoadReport{Process: 5, Epoch: 100})
		reportLoad(p, "here_0", jaypitch.LoadReport{Process: 6, Epoch: 1})
		early := countPicks(p, service(2, 0), 1000, start)["here_0"]
		late := countPicks(p, service(2, 0), 1000, start.Add(slowStartDuration))["here_0"]
		is.True(early < 350)
		is.True(late > 400)
	})
}

func TestPickSpreadsAttempts(t *testing.T) {
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
	is.True(most <= 24) // 20 is an even distribution
}

// TestShouldRetry checks for every code that a retry can't execute a request twice unless it is idempotent, and that no request is
// retried at its deadline.
func TestShouldRetry(t *testing.T) {
	for _, info := range jaypitch.Codes {
		if info.Execution == "" {
			continue
		}
		t.Run(info.Name, func(t *testing.T) {
			is := is.New(t)
			policy := func(idempotent bool) *RetryPolicy {
				return &RetryPolicy{Idempotent: idempotent, Deadline: start.Add(time.Second), Retries: 3}
			}
			notIdempotent := policy(false).ShouldRetry(info.Code, NewRetryBudget(), start)
			if info.Execution != jaypitch.NotExecuted {
				is.True(!notIdempotent)
			}
			idempotent := policy(true).ShouldRetry(info.Code, NewRetryBudget(), start)
			is.Equal(idempotent, notIdempotent || info.Execution == jaypitch.ExecutionUnknown)
			late := policy(true)
			late.Deadline = start
			is.True(!late.ShouldRetry(info.Code, NewRetryBudget(), start))
		})
	}
}

func TestRetryBudget(t *testing.T) {
	t.Run("retries are a tenth of the requests if every attempt fails", func(t *testing.T) {
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
	t.Run("a chain of 14 requests makes no more retries than one request", func(t *testing.T) {
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
	t.Run("transparent retries are bounded too", func(t *testing.T) {
		is := is.New(t)
		p := &RetryPolicy{Deadline: start.Add(time.Second), Retries: 3}
		n := 0
		for p.ShouldRetry(jaypitch.CodeStopping, NewRetryBudget(), start) {
			n++
		}
		is.Equal(n, maxTransparentRetries)
	})
}
