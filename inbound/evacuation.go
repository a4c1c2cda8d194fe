package inbound

import (
	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// WithDataCentre names the data centre of a server whose entry is unknown.
func WithDataCentre(name string) Option {
	return func(r *Receiver) { r.dataCentre = name }
}

// WithUnconfirmed makes the receiver refuse requests while a function returns true: the process was paused, so that its replica may lack an
// evacuation, and the requests that arrived meanwhile would reach the server before the next change does.
func WithUnconfirmed(unconfirmed func() bool) Option {
	return func(r *Receiver) { r.unconfirmed = unconfirmed }
}

// checkAdmissible refuses a request if the replica may be outdated or lacks the limits of a cold server, or if the server's data centre is
// evacuated. The server is nil if it isn't listed.
func (r *Receiver) checkAdmissible(t *mesh.Table, v *schema.MeshServer) *jaypitch.Error {
	if r.unconfirmed != nil && r.unconfirmed() {
		return jaypitch.Errorf(jaypitch.CodeUnconfirmed, "the process was paused and its replica isn't confirmed yet")
	}
	if t.Version == 0 && r.coldServersExpected() {
		return jaypitch.Errorf(jaypitch.CodeUnconfirmed, "the process has no configuration yet, and the server may be cold")
	}
	dataCentre := r.dataCentre
	if v != nil {
		dataCentre = v.GetDataCentre()
	}
	if t.Evacuated(dataCentre) {
		return jaypitch.Errorf(jaypitch.CodeEvacuated, "data centre %q is evacuated", dataCentre)
	}
	return nil
}

// RefuseEvacuated refuses the queued requests if the server's data centre is evacuated.
func (r *Receiver) RefuseEvacuated() {
	t := r.replica.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	dataCentre := r.dataCentre
	if v := t.Servers[r.serverID]; v != nil {
		dataCentre = v.GetDataCentre()
	}
	if !t.Evacuated(dataCentre) {
		return
	}
	for _, w := range r.slots.TakeQueued() {
		w.Decision <- jaypitch.Errorf(jaypitch.CodeEvacuated, "data centre %q is evacuated", dataCentre)
	}
}
