package soak

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/standin"
)

// sequence feeds a checker with events at times in seconds.
type sequence struct {
	*Checker
}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newSequence() *sequence {
	return &sequence{NewChecker(Bounds{Drain: 2 * time.Second, Evacuation: 5 * time.Second, Version: 2 * time.Second, Slack: time.Second, ColdPerSecond: 3,
		RetryRatio: 0.5, RetrySlack: 1, RetryWindow: 10 * time.Second, MemoryBytes: 100}, "east", "west")}
}

func (s *sequence) begin(id string, k Kind, seconds float64) {
	s.Begin(id, k, 0, at(seconds))
}

func (s *sequence) arrive(id string, seconds float64) {
	s.Arrive(0, standin.Arrival{At: at(seconds), ID: id, Outcome: standin.Executed})
}

func (s *sequence) end(id string, status int, seconds float64) {
	s.End(id, Result{Status: status, Complete: status != 0}, at(seconds))
}

// served is a request that is executed and answered at one time.
func (s *sequence) served(id string, seconds float64) {
	s.begin(id, Read, seconds)
	s.arrive(id, seconds)
	s.end(id, 200, seconds)
}

// TestPlantedFaults feeds the checker with one planted fault for each way of breaking a promise. It guards against checks that can't fail.
func TestPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		broken Promise
		events func(s *sequence)
	}{
		"foreign response": {OwnResponse, func(s *sequence) {
			s.begin("a", Read, 0)
			s.arrive("a", 0)
			s.End("a", Result{Status: 200, Complete: true, Foreign: true}, at(0))
		}},
		"made-up response":      {OwnResponse, func(s *sequence) { s.begin("a", Read, 0); s.end("a", 200, 0) }},
		"made-up request":       {OwnResponse, func(s *sequence) { s.arrive("a", 0) }},
		"second execution":      {AtMostOnce, func(s *sequence) { s.begin("a", Write, 0); s.arrive("a", 0); s.arrive("a", 0.1); s.end("a", 200, 1) }},
		"refused after running": {TruthfulRefusal, func(s *sequence) { s.begin("a", Write, 0); s.arrive("a", 0); s.end("a", 503, 1) }},
		"run after refusal":     {TruthfulRefusal, func(s *sequence) { s.begin("a", Write, 0); s.end("a", 408, 1); s.arrive("a", 60) }},
		"drained server":        {ClosedServer, func(s *sequence) { s.Close(0, at(0)); s.served("a", 3.1) }},
		"drained, process paused": {ClosedServer, func(s *sequence) {
			s.Close(0, at(0))
			s.DisturbProcess("p", 0, at(1))
			s.Calm("p", at(5))
			s.served("a", 5)
		}},
		"drained, store healthy again": {ClosedServer, func(s *sequence) {
			s.Close(0, at(0))
			s.Disturb("p", AllHosts, at(1))
			s.Calm("p", at(5))
			s.served("a", 8.1)
		}},
		"evacuated": {Evacuation, func(s *sequence) { s.Evacuate("east", at(0)); s.served("a", 6.1) }},
		"health check after the bound": {Evacuation, func(s *sequence) {
			s.Evacuate("east", at(0))
			s.Arrive(0, standin.Arrival{At: at(7), Outcome: standin.HealthCheck})
		}},
		"cold server": {ColdServer, func(s *sequence) {
			s.Cold(0, at(0), at(3))
			for i := range 4 {
				s.served(fmt.Sprint(i), 1+float64(i)/10)
			}
			s.Settle(at(4))
		}},
		"older version": {VersionInForce, func(s *sequence) { s.SeeVersion(0, 1, 3, at(0)); s.SeeVersion(0, 1, 2, at(1)) }},
		"late version":  {VersionInForce, func(s *sequence) { s.Configure(3, at(0)); s.SeeVersion(0, 1, 2, at(3.1)) }},
		"too many arrivals": {RetryBudget, func(s *sequence) {
			s.begin("a", Read, 0)
			s.arrive("a", 0)
			s.arrive("a", 1)
			s.arrive("a", 2)
			s.end("a", 200, 2)
		}},
		"named limit": {NamedLimit, func(s *sequence) {
			s.Limit(0, 2, at(0))
			for i := range 6 {
				s.served(fmt.Sprint(i), 3+float64(i)/10)
			}
			s.Settle(at(5))
		}},
		"lost in a stop": {PlannedStop, func(s *sequence) { s.begin("a", Read, 0); s.arrive("a", 0); s.Stop(0, at(1)); s.end("a", 0, 2) }},
		"lost as the process ends": {PlannedStop, func(s *sequence) {
			s.begin("a", Read, 0)
			s.arrive("a", 0)
			s.Stop(0, at(1))
			s.Stopped(0, nil, at(2))
			s.end("a", 0, 2.1)
		}},
		"sent on after a lost one": {PlannedStop, func(s *sequence) { s.begin("a", Read, 0); s.Stop(0, at(1)); s.end("a", 0, 2); s.arrive("a", 2.1) }},
		"cut in a stop": {PlannedStop, func(s *sequence) {
			s.begin("a", Read, 0)
			s.arrive("a", 0)
			s.Stop(0, at(1))
			s.End("a", Result{Status: 200}, at(2))
		}},
		"exit status":                {PlannedStop, func(s *sequence) { s.Stop(0, at(0)); s.Stopped(0, errors.New("exit status 2"), at(1)) }},
		"closed connection":          {Answered, func(s *sequence) { s.begin("a", Read, 0); s.end("a", 0, 1) }},
		"no response at all":         {Answered, func(s *sequence) { s.begin("a", Read, 0); s.End("a", Result{GaveUp: true}, at(6)) }},
		"not served again":           {ServedAgain, func(s *sequence) { s.SeeServed(0, false, at(0)) }},
		"too much memory":            {Memory, func(s *sequence) { s.SeeMemory(0, 101, at(0)) }},
		"ended process":              {Alive, func(s *sequence) { s.SeeProcess(0, false, at(0)) }},
		"false evidence":             {Evidence, func(s *sequence) { s.Evacuate("east", at(0)); s.Gone("east", at(1)); s.served("a", 2) }},
		"false evidence on a server": {Evidence, func(s *sequence) { s.Close(0, at(0)); s.GoneServer(0, at(1)); s.served("a", 1.5) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSequence()
			c.events(s)
			is.True(len(s.failures) > 0)
			for _, f := range s.failures {
				is.Equal(f.Promise, c.broken)
			}
		})
	}
}

// TestKeptPromises feeds the checker with sequences at the edge of a promise. It guards against reports of what the sidecars may do.
func TestKeptPromises(t *testing.T) {
	for name, events := range map[string]func(s *sequence){
		"idempotent request twice": func(s *sequence) { s.begin("a", Read, 0); s.arrive("a", 0); s.arrive("a", 1); s.end("a", 200, 1) },
		"refused by the server": func(s *sequence) {
			s.begin("a", Write, 0)
			s.Arrive(0, standin.Arrival{At: at(0), ID: "a", Outcome: standin.Refused})
			s.end("a", 503, 1)
		},
		"visibly cut":              func(s *sequence) { s.begin("a", Read, 0); s.arrive("a", 0); s.End("a", Result{Status: 200}, at(1)) },
		"drained within the bound": func(s *sequence) { s.Close(0, at(0)); s.served("a", 2.9) },
		"drained and ready again":  func(s *sequence) { s.Close(0, at(0)); s.Open(0, at(4)); s.served("a", 4.1) },
		"drained while the store is down": func(s *sequence) {
			s.Close(0, at(0))
			s.Disturb("p", AllHosts, at(2))
			s.served("a", 9)
			s.Calm("p", at(10))
			s.served("b", 12.9)
		},
		"other data centre": func(s *sequence) { s.Evacuate("west", at(0)); s.served("a", 7) },
		"taken back": func(s *sequence) {
			s.Evacuate("east", at(0))
			s.Gone("east", at(1))
			s.Return("east", at(7))
			s.served("a", 7)
		},
		"misdirected": func(s *sequence) {
			s.Evacuate("east", at(0))
			s.Arrive(0, standin.Arrival{At: at(7), ID: "a", Outcome: standin.Misdirected})
		},
		"another process":   func(s *sequence) { s.SeeVersion(0, 1, 3, at(0)); s.SeeVersion(0, 2, 2, at(1)) },
		"without a version": func(s *sequence) { s.Configure(3, at(0)); s.SeeVersion(0, 1, 0, at(10)) },
		"client gave up":    func(s *sequence) { s.begin("a", Read, 0); s.End("a", Result{Status: 200, GaveUp: true}, at(6)) },
		"killed": func(s *sequence) {
			s.begin("a", Read, 0)
			s.arrive("a", 0)
			s.DisturbProcess("k", 0, at(1))
			s.end("a", 0, 1)
		},
		"not read in a stop": func(s *sequence) {
			s.Stop(0, at(0))
			s.DisturbProcess("k", 0, at(0))
			s.begin("a", Read, 1)
			s.end("a", 0, 1)
		},
		"cold, after a stall": func(s *sequence) {
			s.Cold(0, at(0), at(3))
			for i := range 4 {
				s.served(fmt.Sprint(i), 1+float64(i)/100)
			}
			s.Stall(at(0.5), at(1.01))
			s.Settle(at(4))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSequence()
			events(s)
			s.Settle(at(100))
			is.Equal(s.failures, nil)
		})
	}
}

// TestPlan guards against plans that differ for one seed, that lack a kind of fault, and whose faults of one lane overlap at a host.
func TestPlan(t *testing.T) {
	is := is.New(t)
	const hosts, length = 12, 10 * time.Minute
	plan := Plan(5, hosts, length)
	is.Equal(plan, Plan(5, hosts, length))
	is.True(!slices.Equal(plan, Plan(6, hosts, length)))
	is.True(slices.IsSortedFunc(plan, func(a, b Fault) int { return int(a.At - b.At) }))
	for _, l := range lanes {
		until := map[int]time.Duration{}
		for _, f := range plan {
			if !slices.Contains(l.kinds, f.Kind) {
				continue
			}
			is.True(f.At+f.For <= length)
			host := f.Host
			if l.alone {
				host = 0
			}
			is.True(!(l.alone || l.ofHost) || f.At >= until[host])
			until[host] = f.At + f.For
		}
		for _, k := range l.kinds {
			is.True(slices.ContainsFunc(plan, func(f Fault) bool { return f.Kind == k }))
		}
	}
}
