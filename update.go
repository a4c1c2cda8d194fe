package jaypitch

import (
	"errors"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// MeshUpdate is a full or partial state of a mesh, from the store or another sidecar.
type MeshUpdate struct {
	// Revision is the store's revision up to which the update is complete; zero if changes may be missing from the update.
	Revision int64
	// Era is the era of the store that the revisions in the update belong to.
	Era Era
	// Full is true if the update holds the whole mesh, so that any server or evacuation missing from it was removed.
	Full    bool
	Config  *schema.MeshConfig
	Servers []*schema.MeshServer
	// Evacuations holds the evacuated data centres, and in a partial update tombstones of evacuations that were taken back. One without a
	// revision changes nothing: its entry can't be decoded, which doesn't end an evacuation.
	Evacuations []*schema.MeshEvacuation
	// KeepMissingUntil is the time until which servers that were removed without draining first stay in use; zero if they don't.
	KeepMissingUntil time.Time
	// EraSeenAt is a time at which the store is known to have been in the era; zero if none is known. What is kept for a time after a restore is kept
	// from then on.
	EraSeenAt time.Time
}

var (
	// ErrCompacted is returned by a watch whose history the store has compacted.
	ErrCompacted = errors.New("the store has compacted the requested history")
	// ErrRestored is returned by a read or a watch during which the store came back from a copy.
	ErrRestored = errors.New("the store was restored from a copy")
	// ErrSuperseded is the cancellation cause of an attempt if another attempt of the same request completed first.
	ErrSuperseded = errors.New("another attempt of the request completed first")
	// ErrStopping is the cancellation cause of a request that is still in progress when its process ends.
	ErrStopping = errors.New("the sidecar stops")
)

// Position returns the position up to which the update is complete.
func (u MeshUpdate) Position() Position {
	return Position{Era: u.Era, Revision: u.Revision}
}
