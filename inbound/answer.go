package inbound

import (
	"net/http"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
)

// WithAnswers makes the receiver pass on what responses show about which server is at its address, instead of recording it in the replica.
func WithAnswers(record func(mesh.Answer)) Option {
	return func(r *Receiver) { r.recordAnswer = record }
}

// observeAnswer records which server responded: the one that the request was for if it executed it, and the one that a refusal as misdirected
// names.
func (r *Receiver) observeAnswer(f *jaypitch.MeshRequest, h http.Header, response *jaypitch.MeshResponse) {
	a := mesh.Answer{Address: r.address, Expected: f.ServerID}
	switch response.Code {
	case jaypitch.CodeOK:
		a.Server = f.ServerID
	case jaypitch.CodeMisdirected:
		a.Server = h.Get(r.names.ServerID)
	default:
		return
	}
	r.recordAnswer(a)
}
