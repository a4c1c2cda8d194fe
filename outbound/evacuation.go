package outbound

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// evacuatedRetryAfter is sent if all servers of a service are in evacuated data centres. Nobody knows when an evacuation ends; operators see
// their effect within seconds.
const evacuatedRetryAfter = time.Second

// WithDataCentreCounts makes the dispatcher call begin before each attempt with the data centre of the server, and the function that begin returns
// after it.
func WithDataCentreCounts(begin func(dataCentre string) (end func())) Option {
	return func(d *Dispatcher) { d.beginAttempt = begin }
}

// begin counts an attempt at a server and returns the function that ends it.
func (d *Dispatcher) begin(v *schema.MeshServer) func() {
	if d.beginAttempt == nil {
		return func() {}
	}
	return d.beginAttempt(v.GetDataCentre())
}

// recordEvacuated records the refusal of a request if no server could be chosen since all are in evacuated data centres.
func (d *Dispatcher) recordEvacuated(a *attempts) {
	if !d.replica.Table().AllEvacuated(a.service) {
		return
	}
	a.keepBest(jaypitch.NotExecutedResponse(jaypitch.CodeEvacuated, "all servers of service %q are in evacuated data centres", a.service))
	a.retryAfter = max(a.retryAfter, evacuatedRetryAfter)
}
