package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch/standin"
)

// FaultKind is what a fault does.
type FaultKind string

// Fault is one fault of a plan. Times count from the start of the load.
type Fault struct {
	Kind FaultKind
	// Host is the index of the host; 0 for faults of the store and the configuration.
	Host    int
	At, For time.Duration
	// Behaviour is that of the server of a Misbehave.
	Behaviour standin.Behaviour
	// Link is the link of a link fault.
	Link link
}

// link is one of the proxies of a host.
type link int

// lane is a series of faults that don't overlap at one host, or at all if they aren't about a host.
type lane struct {
	kinds []FaultKind
	// gap is the mean time between two faults. It is shorter with more hosts if the faults are about hosts.
	gap           time.Duration
	short, long   time.Duration
	ofHost, alone bool
}

const (
	// Pause stops a host's sidecar with SIGSTOP and continues it.
	Pause FaultKind = "pause"
	// Kill ends a host's sidecar with SIGKILL and starts it again.
	Kill FaultKind = "kill"
	// Restart does the same with SIGTERM.
	Restart FaultKind = "restart"
	// Misbehave changes the responses of a host's server.
	Misbehave FaultKind = "misbehave"
	// Slow makes a host's server slow.
	Slow FaultKind = "slow_server"
	// Replace starts another server at the address, which is cold.
	Replace FaultKind = "replace"
	// TurnCold makes a server cold that goes on.
	TurnCold FaultKind = "turn_cold"
	// Drain lists a server as draining.
	Drain FaultKind = "drain"
	// Remove removes a server's entry.
	Remove FaultKind = "remove"
	// Leave lets a server state that it is leaving, drains and replaces it.
	Leave FaultKind = "leave"
	// NameLimit lets a server name a rate limit.
	NameLimit FaultKind = "name_limit"
	// Delay delays the bytes of a host's link.
	Delay FaultKind = "delay"
	// Reset resets the connections of a host's link.
	Reset FaultKind = "reset"
	// CutOneWay loses the bytes of one direction of a host's link.
	CutOneWay FaultKind = "cut_one_way"
	// Silence loses the bytes of both directions.
	Silence FaultKind = "silence"
	// Compact removes the store's history.
	Compact FaultKind = "compact"
	// Restore replaces the store's content by an older copy.
	Restore FaultKind = "restore"
	// FailStore answers the store's readers with 503.
	FailStore FaultKind = "fail_store"
	// SlowStore delays the store's responses.
	SlowStore FaultKind = "slow_store"
	// StallStore makes the store's watches return no changes.
	StallStore FaultKind = "stall_store"
	// ResetStore closes the connections of the store's readers.
	ResetStore FaultKind = "reset_store"
	// RefuseHosts answers the reads of every third host with 403.
	RefuseHosts FaultKind = "refuse_hosts"
	// Evacuate evacuates the data centre of a host and takes that back.
	Evacuate FaultKind = "evacuate"
	// Configure writes the next version of the configuration.
	Configure FaultKind = "configure"
	// EndlessHead opens connections with heads that don't end.
	EndlessHead FaultKind = "endless_head"
	// IdleClients opens connections without a request.
	IdleClients FaultKind = "idle_clients"

	linkBackend link = 0
	linkPeers   link = 1
	linkStore   link = 2
	links            = 3

	// hostsPerGap is the number of hosts that the gaps of the lanes are for.
	hostsPerGap = 10
)

var (
	lanes = []lane{
		{kinds: []FaultKind{Pause, Kill, Restart}, gap: 3 * time.Second, short: 300 * time.Millisecond, long: 3 * time.Second, ofHost: true},
		{kinds: []FaultKind{Misbehave, Misbehave, Misbehave, Slow}, gap: 1200 * time.Millisecond, short: 300 * time.Millisecond, long: 2 * time.Second, ofHost: true},
		{kinds: []FaultKind{Replace, TurnCold, Drain, Remove, Leave, NameLimit}, gap: 2 * time.Second, short: 4 * time.Second, long: 7 * time.Second, ofHost: true},
		{kinds: []FaultKind{Delay, Reset, CutOneWay, Silence}, gap: 2 * time.Second, short: 200 * time.Millisecond, long: 2 * time.Second, ofHost: true},
		{kinds: []FaultKind{Compact, Restore, FailStore, SlowStore, StallStore, ResetStore, RefuseHosts}, gap: 12 * time.Second, short: 500 * time.Millisecond, long: 3 * time.Second, alone: true},
		{kinds: []FaultKind{Evacuate}, gap: 4 * time.Second, short: 9 * time.Second, long: 14 * time.Second, alone: true},
		{kinds: []FaultKind{Configure}, gap: 3 * time.Second},
		{kinds: []FaultKind{EndlessHead, IdleClients}, gap: 4 * time.Second, short: time.Second, long: 4 * time.Second},
	}
	behaviours = []standin.Behaviour{standin.Extra, standin.Truncated, standin.Disconnected, standin.Unresponsive, standin.Malformed, standin.Shedding, standin.Failing,
		standin.WrongAttemptID, standin.Unstamped, standin.RepeatedRefusal, standin.AnonymousRefusal, standin.AnonymousMisdirected, standin.EndlessHead, standin.EndlessLine,
		standin.EndlessChunk, standin.EndlessBody, standin.EndlessOther}
)

// Plan draws the faults of a run from its seed. All of them end within the length.
func Plan(seed uint64, hosts int, length time.Duration) []Fault {
	var plan []Fault
	for i, l := range lanes {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		gap := l.gap
		if l.ofHost {
			gap = gap * hostsPerGap / time.Duration(hosts)
		}
		busy := make([]time.Duration, hosts)
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() * float64(gap))
			f := Fault{Kind: l.kinds[r.IntN(len(l.kinds))], Host: r.IntN(hosts), At: at, For: l.short + time.Duration(r.Int64N(int64(l.long-l.short)+1)),
				Behaviour: behaviours[r.IntN(len(behaviours))], Link: link(r.IntN(links))}
			if at >= length {
				break
			}
			if f.At+f.For > length || l.ofHost && busy[f.Host] > at {
				continue
			}
			// A second's pause separates two faults of one lane, so that the end of one isn't taken for the start of the next.
			busy[f.Host] = f.At + f.For + time.Second
			if l.alone {
				at = busy[f.Host]
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// String names a fault in the log of a run.
func (f Fault) String() string {
	s := fmt.Sprintf("%s host %d for %s", f.Kind, f.Host, f.For.Round(time.Millisecond))
	switch f.Kind {
	case Misbehave:
		s += " " + string(f.Behaviour)
	case Delay, Reset, CutOneWay, Silence:
		s += " " + [...]string{"backend", "peers", "store"}[f.Link]
	}
	return s
}
