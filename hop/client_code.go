package hop

import "github.com/jaypitch/jaypitch"

// translateClientCode replaces a code about the receiver's client, which is this process, by what it means for the request here. Only a process
// that accepted a client's connection can tell that this client left or cut its body; the connection of another process's client would be closed
// without a response. Receivers of older builds send CodeCallerGone when they abort requests at their end.
func translateClientCode(r *jaypitch.MeshResponse) {
	switch {
	case r.Code == jaypitch.CodeBodyCut && r.Execution == jaypitch.NotExecuted:
		r.Code = jaypitch.CodeBodyLate
	case r.Code != jaypitch.CodeCallerGone && r.Code != jaypitch.CodeBodyCut:
	case r.Execution == jaypitch.NotExecuted:
		r.Code = jaypitch.CodeStopping
	default:
		r.Code = jaypitch.CodeUnknown
	}
}
