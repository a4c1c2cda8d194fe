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

// serversBeside returns the IDs of a service's servers in the data centre of a server. Once a receiver has said that it is evacuated, the others there
// refuse the request too, though the table doesn't know yet.
func (d *Dispatcher) serversBeside(id, service string) []string {
	t := d.replica.Table()
	s, v := t.Services[service], t.Servers[id]
	if s == nil || v == nil {
		return nil
	}
	var ids []string
	for _, o := range s.Servers {
		if o.GetDataCentre() == v.GetDataCentre() && o.GetId() != id {
			ids = append(ids, o.GetId())
		}
	}
	return ids
}

// recordEvacuated records the refusal of a request if no server could be chosen since all are in evacuated data centres.
func (d *Dispatcher) recordEvacuated(a *attempts) {
	if !d.replica.Table().AllEvacuated(a.service) {
		return
	}
	a.keepBest(jaypitch.NotExecutedResponse(jaypitch.CodeEvacuated, "all servers of service %q are in evacuated data centres", a.service))
	a.retryAfter = max(a.retryAfter, evacuatedRetryAfter)
}
