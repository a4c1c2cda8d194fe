package node

import (
	"maps"
	"slices"
	"sync"
)

// StopReason says why the backend server of this host takes no new work.
type StopReason string

// lifecycle counts the work in progress and remembers why no new work is taken. It is safe for concurrent use.
type lifecycle struct {
	mu       sync.Mutex
	reasons  map[StopReason]bool
	backend  int
	callers  int
	quiet    chan struct{}
	onChange func(reason StopReason, stopping bool)
}

// The reasons.
const (
	// StopSignal ends the whole node; the others end only the work for the backend server.
	StopSignal   StopReason = "signal"
	StopOperator StopReason = "operator"
	StopHostList StopReason = "host_list"
	StopBackend  StopReason = "backend_server"
)

func newLifecycle(onChange func(StopReason, bool)) *lifecycle {
	return &lifecycle{reasons: map[StopReason]bool{}, quiet: make(chan struct{}), onChange: onChange}
}

// set records that a reason holds, or holds no longer. The end of the node is final.
func (l *lifecycle) set(r StopReason, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons[r] == stopping || r == StopSignal && !stopping {
		return
	}
	l.reasons[r] = stopping
	l.onChange(r, stopping)
	l.checkQuiet()
}

// enterBackend counts work for the backend server, unless it is stopping.
func (l *lifecycle) enterBackend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping() {
		return false
	}
	l.backend++
	return true
}

func (l *lifecycle) leaveBackend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backend--
	l.checkQuiet()
}

// enterCaller counts a call of a caller, unless the node is ending.
func (l *lifecycle) enterCaller() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons[StopSignal] {
		return false
	}
	l.callers++
	return true
}

func (l *lifecycle) leaveCaller() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers--
	l.checkQuiet()
}

// backendStopping says whether the backend server takes no new work.
func (l *lifecycle) backendStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping()
}

// inProgress returns the work in progress for the backend server and for callers.
func (l *lifecycle) inProgress() (backend, callers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backend, l.callers
}

// stopReasons returns the reasons that hold, in order.
func (l *lifecycle) stopReasons() []StopReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	reasons := []StopReason{}
	for _, r := range slices.Sorted(maps.Keys(l.reasons)) {
		if l.reasons[r] {
			reasons = append(reasons, r)
		}
	}
	return reasons
}

func (l *lifecycle) stopping() bool {
	for _, holds := range l.reasons {
		if holds {
			return true
		}
	}
	return false
}

// checkQuiet closes the channel once the node is ending and nothing is in progress.
func (l *lifecycle) checkQuiet() {
	if !l.reasons[StopSignal] || l.backend > 0 || l.callers > 0 {
		return
	}
	select {
	case <-l.quiet:
	default:
		close(l.quiet)
	}
}
