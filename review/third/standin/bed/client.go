package bed

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Attempt is a client attempt and its result.
type Attempt struct {
	ID, Machine, Method, Target string
	SentAt, EndedAt             time.Time
	// Status is zero if the client got no complete answer.
	Status int
	// Stamp is the X-Server-Stamp of the answer.
	Stamp string
	Body  string
	Err   error
}

// Host is the host name of all routes.
const Host = "fair.example"

// Send sends a client attempt to a machine on a new connection and returns its result. The client gives up at the deadline.
func Send(m *Machine, method, target, id, body string, deadline time.Duration) Attempt {
	a := Attempt{ID: id, Machine: m.IP, Method: method, Target: target, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// The connection is used once, so the transport sends nothing twice.
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.AddressOf(m.Ports.Outbound)+target, strings.NewReader(body))
	if err != nil {
		a.Err, a.EndedAt = err, time.Now()
		return a
	}
	r.Host = Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	answer, err := t.RoundTrip(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			a.Status, a.Stamp, a.Body = answer.StatusCode, answer.Header.Get("X-Server-Stamp"), string(text)
		}
	}
	a.Err, a.EndedAt = err, time.Now()
	return a
}

// Promises reports whether a status promises that the request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Route is a route of a configuration.
type Route struct {
	Name, Kind, Prefix, Service string
	TimeoutS, TargetS           float64
	Priority, Attempts          int
}

// Config returns the value of a configuration.
func Config(version int, services []string, routes []Route) map[string]any {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{"name": r.Name, "kind": r.Kind, "targetLatencyS": r.TargetS, "priority": r.Priority,
			"match": map[string]any{"prefix": r.Prefix}, "action": map[string]any{"service": r.Service, "timeoutS": r.TimeoutS, "maxAttempts": r.Attempts}})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": "r" + strconv.Itoa(version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": Host, "routeRules": rules}}, "clusters": clusters}
}
