package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch/memory"
)

// inFlightLimit refuses requests over a number of concurrent ones with 503.
type inFlightLimit struct {
	handler http.Handler
	most    int64
	running atomic.Int64
}

// controlLimit reserves the memory of control messages from other sidecars before their bodies are read.
type controlLimit struct {
	handler http.Handler
	budget  *memory.Budget
}

func (l *inFlightLimit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer l.running.Add(-1)
	if l.running.Add(1) > l.most {
		refuseUnavailable(w)
		return
	}
	l.handler.ServeHTTP(w, r)
}

func (l *controlLimit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		l.handler.ServeHTTP(w, r)
		return
	}
	if !l.budget.Reserve(memory.ReceiverBodies, maxControlBytes) {
		refuseUnavailable(w)
		return
	}
	defer l.budget.Release(memory.ReceiverBodies, maxControlBytes)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without this the read deadline of the body would end the request.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.handler.ServeHTTP(w, r)
}

// refuseUnavailable refuses a request that may be sent again after a second.
func refuseUnavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
