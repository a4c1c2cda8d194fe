package sidecar

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// dataCentres counts the requests at the servers of each data centre, and knows which evacuations were logged. It is safe for concurrent use.
type dataCentres struct {
	// tracker counts the attempts of this sidecar, with the data centre in place of the team.
	tracker *evidence.Tracker

	mu     sync.Mutex
	logged map[string]mesh.Evacuation
}

// evacuationCollector exports the state of the evacuated data centres.
type evacuationCollector struct {
	sidecar                  *Sidecar
	since, requests, lastEnd *prometheus.Desc
}

func newEvacuationCollector(c *Sidecar) *evacuationCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_"+name, help, []string{"data_centre"}, nil)
	}
	return &evacuationCollector{sidecar: c,
		since:    describe("evacuated_since_seconds", "Time at which the sidecar learned that the data centre is evacuated, in seconds since 1970; only for evacuated data centres."),
		requests: describe("evacuated_requests", "Requests in progress at the servers of an evacuated data centre that this sidecar sent or received."),
		lastEnd:  describe("evacuated_last_end_seconds", "End of the last request at the servers of an evacuated data centre that this sidecar sent, in seconds since 1970; 0 if there was none.")}
}

// Describe implements prometheus.Collector.
func (e *evacuationCollector) Describe(out chan<- *prometheus.Desc) {
	out <- e.since
	out <- e.requests
	out <- e.lastEnd
}

// Collect implements prometheus.Collector.
func (e *evacuationCollector) Collect(out chan<- prometheus.Metric) {
	for name, v := range e.sidecar.replica.Table().Evacuations() {
		inProgress, last := e.sidecar.requestsIn(name)
		export := func(d *prometheus.Desc, value float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, name)
		}
		export(e.since, unixSeconds(v.Since))
		export(e.requests, float64(inProgress))
		export(e.lastEnd, unixSeconds(last))
	}
}

// unixSeconds returns a time in seconds since 1970; zero for the zero time.
func unixSeconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixMicro()) / float64(time.Second/time.Microsecond)
}

// beginAttempt counts an attempt at a server of a data centre. It returns the function that ends it.
func (c *Sidecar) beginAttempt(dataCentre string) func() {
	k := evidence.RequestKey{Team: dataCentre}
	c.dataCentres.tracker.Begin(k)
	return func() { c.dataCentres.tracker.End(k, true, c.now()) }
}

// requestsIn returns the number of requests in progress at the servers of a data centre, and when this sidecar's last attempt there ended. If the
// server on this host is there, requests that others sent to it count too.
func (c *Sidecar) requestsIn(dataCentre string) (inProgress int64, last time.Time) {
	inProgress, last = c.dataCentres.tracker.Count(&schema.Subject{Team: dataCentre})
	if dataCentre == c.settings.Load().GetSidecar().GetDataCentre() {
		running, queued, _ := c.receiver.Counts()
		inProgress = max(inProgress, int64(running+queued))
	}
	return inProgress, last
}

// applyEvacuations logs which data centres have been evacuated since the last call, and which are in use again, and refuses queued requests.
func (c *Sidecar) applyEvacuations() {
	d := &c.dataCentres
	d.mu.Lock()
	defer d.mu.Unlock()
	current := c.replica.Table().Evacuations()
	for name, v := range current {
		if _, known := d.logged[name]; known {
			continue
		}
		inProgress, _ := c.requestsIn(name)
		c.log.Info("evacuation", zap.String("data_centre", name), zap.Int64("revision", v.Revision), zap.Int("servers", c.serversIn(name)), zap.Int64("requests_in_progress", inProgress))
	}
	for name, v := range d.logged {
		if _, still := current[name]; !still {
			c.log.Info("evacuation ended", zap.String("data_centre", name), zap.Duration("after", c.now().Sub(v.Since)))
		}
	}
	d.logged = current
	c.receiver.RefuseEvacuated()
}

// serversIn returns the number of servers of a data centre.
func (c *Sidecar) serversIn(dataCentre string) int {
	n := 0
	for _, v := range c.replica.Table().Servers {
		if v.GetDataCentre() == dataCentre {
			n++
		}
	}
	return n
}

// findDataCentre returns this sidecar's finding on a data centre: whether it may send requests there, and those in progress.
func (c *Sidecar) findDataCentre(dataCentre string, f evidence.Finding) evidence.Finding {
	t := c.replica.Table()
	v, evacuated := t.Evacuations()[dataCentre]
	f.Revision, f.Enforced, f.SinceAppliedUS = v.Revision, !evacuated, 0
	inProgress, last := c.requestsIn(dataCentre)
	if evacuated {
		f.InProgress, f.SinceAppliedUS = inProgress, c.now().Sub(v.Since).Microseconds()
	}
	if !last.IsZero() {
		f.LastRequestUS = c.now().Sub(last).Microseconds()
	}
	return f
}

// unconfirmed reports whether the replica may be outdated since the process was paused. It knows of a pause before the ticker does: requests that
// arrived meanwhile are handled as soon as the process resumes.
func (c *Sidecar) unconfirmed() bool {
	if c.unconfirmedSince.Load() != nil {
		return true
	}
	last := time.Duration(c.lastTick.Load())
	return last > 0 && sinceBoot()-last > minPause
}
