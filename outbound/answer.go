package outbound

import (
	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// WithAnswers makes the dispatcher pass on what receivers report about which server is at an address, instead of recording it in the replica.
func WithAnswers(record func(mesh.Answer)) Option {
	return func(d *Dispatcher) { d.recordAnswer = record }
}

// observeAnswer records which server is at the address of an attempt's server: the one that the receiver reports, or a different one if the server
// refused the request as misdirected and the receiver doesn't report which it is.
func (d *Dispatcher) observeAnswer(v *schema.MeshServer, r *jaypitch.MeshResponse) {
	if r.LoadReport.Answering != "" || r.Code == jaypitch.CodeMisdirected {
		d.recordAnswer(mesh.Answer{Address: v.GetAddress(), Expected: v.GetId(), Server: r.LoadReport.Answering})
	}
}
