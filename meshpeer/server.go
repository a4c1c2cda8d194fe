// Package meshpeer exchanges the store's content, findings and burn counts between sidecars, over the Connect protocol.
package meshpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Server responds to the MeshPeer requests of other sidecars.
type Server struct {
	replica      *mesh.Replica
	sourceAge    func() time.Duration
	find         func(*schema.Subject) evidence.Finding
	burn         func() []burn.Count
	recordSender func(remote string, p jaypitch.Position)
}

var _ schemaconnect.MeshPeerHandler = (*Server)(nil)

// NewHandler returns the path prefix and the handler of the MeshPeer service. SourceAge returns the time since the store confirmed the
// replica, find this sidecar's finding on a subject, and counts its counts of good and bad requests. RecordSender is called with the address
// of each client that requests changes and the position of its replica.
func NewHandler(replica *mesh.Replica, sourceAge func() time.Duration, find func(*schema.Subject) evidence.Finding, counts func() []burn.Count,
	recordSender func(remote string, p jaypitch.Position)) (string, http.Handler) {
	return schemaconnect.NewMeshPeerHandler(&Server{replica: replica, sourceAge: sourceAge, find: find, burn: counts, recordSender: recordSender},
		connect.WithCompressMinBytes(compressMinBytes))
}

// Held implements the MeshPeer RPC Held: it returns what changed after a revision of the store.
func (s *Server) Held(_ context.Context, r *connect.Request[schema.HeldRequest]) (*connect.Response[schema.HeldResponse], error) {
	// The age is read before the changes. It may belong to an older state than the one returned, but never to a newer one, which would
	// confirm changes that the client doesn't get.
	age := s.sourceAge()
	after := jaypitch.Position{Era: jaypitch.NewEra(r.Msg.Era), Revision: r.Msg.GetAfter()}
	s.recordSender(r.Peer().Addr, after)
	out := s.replica.ChangesSince(after, r.Msg.GetVersion())
	out.SourceAgeUs = age.Microseconds()
	return connect.NewResponse(out), nil
}

// Burn returns this sidecar's counts of good and bad requests. It doesn't collect those of other sidecars.
func (s *Server) Burn(context.Context, *connect.Request[schema.BurnRequest]) (*connect.Response[schema.BurnResponse], error) {
	return connect.NewResponse(&schema.BurnResponse{Counts: burn.ToProto(s.burn())}), nil
}

// Find returns this sidecar's finding on a subject.
func (s *Server) Find(_ context.Context, r *connect.Request[schema.Subject]) (*connect.Response[schema.MeshFinding], error) {
	f := s.find(r.Msg)
	return connect.NewResponse(&schema.MeshFinding{Version: f.Revision, Enforced: f.Enforced, Confirmed: f.Confirmed, InFlight: f.InProgress,
		HeldUs: f.SinceAppliedUS, LastCallUs: f.LastRequestUS, DataCentre: r.Msg.GetDataCentre()}), nil
}
