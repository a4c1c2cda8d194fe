package node

import (
	"maps"
	"slices"
	"sync"
)

// StopReason is a reason why the backend server of this host takes no new requests. Its value is written to the log and the status.
type StopReason string

// lifecycle counts the requests in progress and holds the reasons to refuse new ones. It is safe for concurrent use.
type lifecycle struct {
	mu              sync.Mutex
	reasons         map[StopReason]bool
	backendRequests int
	clientRequests  int
	// drained is closed once the whole node is stopping and no request is in progress.
	drained chan struct{}
	// onChange is called with the mutex held.
	onChange func(reason StopReason, stopping bool)
}

const (
	// StopSignal stops the whole node, the other reasons only the requests to the backend server.
	StopSignal StopReason = "signal"
	// StopOperator is an operator's command to drain.
	StopOperator StopReason = "operator"
	// StopHostList means that the host list marks this host as draining or no longer contains it.
	StopHostList StopReason = "host_list"
	// StopBackend means that the backend server reports that it is draining.
	StopBackend StopReason = "backend_server"
)

func newLifecycle(onChange func(StopReason, bool)) *lifecycle {
	return &lifecycle{reasons: map[StopReason]bool{}, drained: make(chan struct{}), onChange: onChange}
}

// set adds or removes a reason to stop. StopSignal can't be removed.
func (l *lifecycle) set(r StopReason, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons[r] == stopping || r == StopSignal && !stopping {
		return
	}
	l.reasons[r] = stopping
	l.onChange(r, stopping)
	l.checkDrained()
}

// enterBackend counts a request to the backend server. It returns false, and counts nothing, if there is any reason to stop.
func (l *lifecycle) enterBackend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping() {
		return false
	}
	l.backendRequests++
	return true
}

func (l *lifecycle) leaveBackend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backendRequests--
	l.checkDrained()
}

// enterClient counts a request of a client. It returns false, and counts nothing, if the whole node is stopping.
func (l *lifecycle) enterClient() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons[StopSignal] {
		return false
	}
	l.clientRequests++
	return true
}

func (l *lifecycle) leaveClient() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientRequests--
	l.checkDrained()
}

// backendStopping reports whether the backend server takes no new requests.
func (l *lifecycle) backendStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping()
}

// inProgress returns how many requests to the backend server and of clients are in progress.
func (l *lifecycle) inProgress() (backend, clients int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backendRequests, l.clientRequests
}

// stopReasons returns the present reasons to stop, sorted.
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
	for _, active := range l.reasons {
		if active {
			return true
		}
	}
	return false
}

// checkDrained closes the channel drained once the whole node is stopping and no request is in progress.
func (l *lifecycle) checkDrained() {
	if !l.reasons[StopSignal] || l.backendRequests > 0 || l.clientRequests > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}
