// Package meshpeer lets sidecars tell each other, over connect, what they hold of the store.
package meshpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Server tells what this sidecar holds.
type Server struct {
	state *mesh.Replica
	age   func() time.Duration
	find  func(*schema.Subject) evidence.Finding
	burn  func() []burn.Count
	heard func(remote string, revision int64)
}

var _ schemaconnect.MeshPeerHandler = (*Server)(nil)

// NewHandler makes the handler and the path that it stands at; age returns the time since the store confirmed what is held, find
// what this sidecar enforces of a subject, and counts its good and bad requests; heard is told what each asker holds.
func NewHandler(state *mesh.Replica, age func() time.Duration, find func(*schema.Subject) evidence.Finding, counts func() []burn.Count, heard func(remote string, revision int64)) (string, http.Handler) {
	return schemaconnect.NewMeshPeerHandler(&Server{state: state, age: age, find: find, burn: counts, heard: heard}, connect.WithCompressMinBytes(compressFrom))
}

// Held returns everything that changed after a revision of the store.
func (s *Server) Held(_ context.Context, r *connect.Request[schema.HeldRequest]) (*connect.Response[schema.HeldResponse], error) {
	// The age is taken first, so that it is never told of a newer state than it belongs to.
	age := s.age()
	s.heard(r.Peer().Addr, r.Msg.GetAfter())
	out := s.state.ChangesSince(r.Msg.GetAfter(), r.Msg.GetVersion())
	out.SourceAgeUs = age.Microseconds()
	return connect.NewResponse(out), nil
}

// Burn returns this sidecar's counts; it gathers none of others.
func (s *Server) Burn(context.Context, *connect.Request[schema.BurnRequest]) (*connect.Response[schema.BurnResponse], error) {
	return connect.NewResponse(&schema.BurnResponse{Counts: burn.ToProto(s.burn())}), nil
}

// Find says what this sidecar enforces of a subject.
func (s *Server) Find(_ context.Context, r *connect.Request[schema.Subject]) (*connect.Response[schema.MeshFinding], error) {
	f := s.find(r.Msg)
	return connect.NewResponse(&schema.MeshFinding{Version: f.Revision, Enforced: f.Enforced, Confirmed: f.Confirmed, InFlight: f.InProgress,
		HeldUs: f.SinceAppliedUS, LastCallUs: f.LastRequestUS}), nil
}
