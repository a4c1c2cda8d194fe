package jaypitch

import (
	"errors"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// MeshUpdate is what the store, or another sidecar, tells of a mesh.
type MeshUpdate struct {
	// Revision of the store up to which everything is told; zero says nothing of what is absent.
	Revision int64
	// Full is true if what the update lacks is gone.
	Full    bool
	Config  *schema.MeshConfig
	Servers []*schema.MeshServer
	// KeepMissingUntil is until when servers that are told as gone without a word of leaving are still used; zero for no time.
	KeepMissingUntil time.Time
}

var (
	// ErrCompacted says that the store has dropped the history that a watch asked for.
	ErrCompacted = errors.New("the store has dropped this history")
	// ErrSuperseded says that a second hand-over of the same request was answered first.
	ErrSuperseded = errors.New("another sidecar answered first")
)
