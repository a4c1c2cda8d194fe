package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// ColdOptions is what a receiver needs to know of cold servers in addition to the configuration.
type ColdOptions struct {
	// Decode returns for how long the server stays cold, by the header of its response, and whether the response tells it.
	Decode func(http.Header) (time.Duration, bool)
	// Bounds returns the factor and the number by which the requests of one second may exceed the cold rate.
	Bounds func() (overage, slack float64)
	// Service is the service of a server whose entry is unknown.
	Service string
	// Record is called when the server begins or ceases to count as cold.
	Record func(serverID string, cold bool)
}

// coldServer is what the receiver knows of its server's cold time. The receiver's lock guards it.
type coldServer struct {
	ColdOptions
	state admit.ColdState
	// limits and path are those of the server's service in table; path is that of its health endpoint.
	limits admit.ColdLimits
	path   string
	table  *mesh.Table
	// evacuated is whether the server's data centre was evacuated in table.
	evacuated bool
	// asking is true while a question to the server is in progress.
	asking bool
	// recorded is whether the server counted as cold at the last call of Record.
	recorded bool
}

// coldProbe asks the server for how long it stays cold. The request holds a slot, since it takes one at the server.
type coldProbe struct {
	receiver *Receiver
	slot     *admit.SlotRequest
	path     string
}

const (
	// coldProbeTimeout bounds a question to the server. Its health endpoint is served like a request, so a slow server takes as long for it.
	coldProbeTimeout = 2 * time.Second
	// maxHealthBody is the size in bytes from which the body of a response to a question isn't read.
	maxHealthBody = 64 << 10
)

// WithCold makes the receiver pace the requests to its server while it is cold, in services whose configuration limits cold servers.
func WithCold(o ColdOptions) Option {
	return func(r *Receiver) { r.cold.ColdOptions = o }
}

// ObserveTable takes over what a new table tells of the server.
func (r *Receiver) ObserveTable() {
	t := r.replica.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeTable(t)
}

// DoubtCold records that the server may have become cold unseen, since this process was paused.
func (r *Receiver) DoubtCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold.state.Doubt(r.now())
	r.applyCold()
	r.startQueued()
}

// Cold returns the time until which the server counts as cold; zero if it is warm.
func (r *Receiver) Cold() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold.state.Until(r.now())
}

// coldServersExpected reports whether the settings allow an excess over the rate of cold servers: they name none where there are no cold servers.
func (r *Receiver) coldServersExpected() bool {
	if r.cold.Bounds == nil {
		return false
	}
	overage, slack := r.cold.Bounds()
	return overage > 1 || slack > 0
}

// observeTable takes over what a table and the settings tell of the server, unless it did so before. The caller holds the lock.
func (r *Receiver) observeTable(t *mesh.Table) {
	if r.cold.Bounds == nil {
		return
	}
	overage, slack := r.cold.Bounds()
	if r.cold.table == t && r.cold.limits.Overage == overage && r.cold.limits.Slack == slack {
		return
	}
	r.cold.table, r.cold.limits.Overage, r.cold.limits.Slack = t, overage, slack
	v := t.ServerAt(r.address)
	service, dataCentre := r.cold.Service, r.dataCentre
	if v != nil {
		service, dataCentre = v.GetService(), v.GetDataCentre()
	}
	r.setColdLimits(t.ServiceLimits(service))
	if v != nil {
		if r.cold.state.ObserveEntry(v.GetId(), v.GetBornMs(), time.Duration(v.GetColdUs())*time.Microsecond, r.now()) && r.serverID != v.GetId() {
			r.resetServer(v.GetId())
		}
	}
	evacuated := t.Evacuated(dataCentre)
	if r.cold.evacuated && !evacuated {
		r.cold.state.Doubt(r.now())
	}
	r.cold.evacuated = evacuated
	r.applyCold()
	r.startQueued()
}

// setColdLimits takes over the limits of the server's service. Once there is a limit for the first time, the server is asked: what its entry told before
// may be from before a restart.
func (r *Receiver) setColdLimits(l *schema.MeshServiceLimits) {
	r.cold.path = l.GetHealthPath()
	c := &r.cold.limits
	before := c.Rate
	c.Time, c.Rate, c.CanAsk = time.Duration(l.GetColdUs())*time.Microsecond, l.GetColdRate(), r.cold.Decode != nil && r.cold.path != ""
	r.cold.state.SetLimits(r.cold.limits)
	if before == 0 && c.Rate > 0 && c.CanAsk {
		r.cold.state.Doubt(r.now())
	}
}

// applyCold makes the slots keep to the pace of a cold server, as long as the server counts as cold. The caller holds the lock.
func (r *Receiver) applyCold() {
	until := r.cold.state.Until(r.now())
	r.slots.SetCold(r.cold.limits, until)
	if cold := !until.IsZero(); cold != r.cold.recorded && r.cold.Record != nil {
		r.cold.recorded = cold
		r.cold.Record(r.serverID, cold)
	}
}

// observeFailure records a request to the server that failed without a response, unless its sender or its deadline ended it.
func (r *Receiver) observeFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var e *http1.Error
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.ObserveAnswer()
	r.cold.state.ObserveFailure(errors.As(err, &e) && !e.Sent, r.now())
	r.applyCold()
}

// observeResponse records a response of the server to a request that was sent at a time.
func (r *Receiver) observeResponse(h http.Header, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.ObserveAnswer()
	r.cold.state.ObserveResponse(sentAt, r.now())
	if r.cold.Decode != nil {
		if cold, ok := r.cold.Decode(h); ok {
			r.cold.state.ObserveCold(cold, sentAt, r.now())
		}
	}
	r.applyCold()
}

// startProbe asks the server how long it stays cold, if that is due and a slot is free. It sends nothing to a server that gets no requests. The caller
// holds the lock.
func (r *Receiver) startProbe() {
	at := r.cold.state.ProbeAt()
	now := r.now()
	if at.IsZero() || now.Before(at) || r.cold.asking || r.stopping || r.cold.evacuated {
		return
	}
	w := r.slots.StartProbe(now)
	if w == nil {
		return
	}
	r.cold.asking = true
	r.cold.state.StartProbe(now)
	go (&coldProbe{receiver: r, slot: w, path: r.cold.path}).run()
}

func (p *coldProbe) run() {
	r := p.receiver
	ctx, cancel := context.WithTimeout(context.Background(), coldProbeTimeout)
	defer cancel()
	sentAt := r.now()
	a, err := r.pool.Do(ctx, r.address, &http1.Request{Method: http.MethodGet, Target: p.path, Host: r.address, AcceptsResponse: func(got http.Header) bool {
		// One with an ID is a late response to a request that the connection carried before.
		return got.Get(r.names.RequestID) == ""
	}})
	if err != nil {
		r.observeFailure(ctx, err)
	} else {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHealthBody)) // only the header counts
		_ = a.Body.Close()
		r.observeResponse(a.Header, sentAt)
		if a.StatusCode < http.StatusInternalServerError {
			p.observeSilence(a.Header, sentAt)
		}
	}
	r.mu.Lock()
	r.cold.asking = false
	r.mu.Unlock()
	r.releaseSlot(p.slot, 0)
}

// observeSilence records that the server doesn't say for how long it stays cold, if that is so.
func (p *coldProbe) observeSilence(h http.Header, sentAt time.Time) {
	r := p.receiver
	if _, ok := r.cold.Decode(h); ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold.state.ObserveSilence(sentAt, r.now())
	r.applyCold()
}

// observeUnlisted records that a request names another server than before, whose entry this process doesn't have if it is nil.
func (r *Receiver) observeUnlisted(v *schema.MeshServer) {
	if v == nil && r.cold.Bounds != nil {
		r.cold.state.Doubt(r.now())
	}
	r.applyCold()
}

// nextWake returns when the next queued request, or a question to the server, may start; zero if nothing waits for a time.
func (r *Receiver) nextWake(now time.Time) time.Time {
	at := r.slots.NextStart(now)
	probe := r.cold.state.ProbeAt()
	if probe.IsZero() || r.cold.asking || r.stopping || r.cold.evacuated || !probe.After(now) && r.slots.InProgress() >= r.slots.Size() {
		return at
	}
	probe = probe.Add(r.slots.StartWait(now))
	if at.IsZero() || probe.Before(at) {
		return probe
	}
	return at
}

// resetServer discards the measurements of the server before, since the address belongs to another one.
func (r *Receiver) resetServer(id string) {
	r.serverID = id
	r.slots.Reset()
	clear(r.failing)
	r.refusals.Reset()
	r.notice, r.noticed = jaypitch.ServerNotice{}, false
}
