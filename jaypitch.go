// Package jaypitch holds the data, result codes and interfaces that the parts of a node share.
//
// A node is one process beside each backend server. Its decisions live in packages without
// sockets, goroutines or clocks (settings, spread, route, admit, once, evidence, burn); its
// adapters are named for the peer that they speak to (caller, backend, peer, platform, operator).
package jaypitch

import (
	"context"
	"net/http"
	"time"
)

// Changes is what a source tells about its values.
type Changes struct {
	// Revision is the source's revision at this answer.
	Revision int64
	// Compacted is true if the history after the asked revision is lost.
	Compacted bool
	// Documents are at their newest revisions; a list leaves out their texts.
	Documents []Document
}

// Source reads and watches the platform's values. Nothing can be written to it.
type Source interface {
	// Watch returns what changed after a revision, waiting for a change until the deadline.
	Watch(ctx context.Context, after int64, deadline time.Time) (Changes, error)
	// List returns every key and its newest revision.
	List(ctx context.Context) (Changes, error)
	// Get reads one value at its newest revision.
	Get(ctx context.Context, key string) (Document, error)
}

// HostList reads and watches the platform's lists of live and leaving hosts, one per data centre.
type HostList interface {
	Source
}

// Request is one request on its way to a backend server.
type Request struct {
	Team     string
	Route    string
	Customer string
	// Path is what follows the route in the caller's path, with its query.
	Path   string
	Method string
	Header http.Header
	Body   []byte
	// Deadline is on this process's clock.
	Deadline time.Time
	// Retries is how many further attempts the whole chain of calls may still make.
	Retries int
	// Token names an earlier attempt that this call repeats, or the attempt itself.
	Token string
	// Repeat is true if the caller sent the token.
	Repeat bool
}

// BackendServer passes calls to the backend server on this host.
type BackendServer interface {
	// Do sends a call and returns the answer's head with its body still to be read.
	Do(ctx context.Context, c *Request) (*http.Response, error)
	// Probe asks the health endpoint; draining is true if the backend server says that it is leaving.
	Probe(ctx context.Context) (draining bool, err error)
}

// MeshSource reads and watches the platform's store of a mesh. Nothing can be written to it.
type MeshSource interface {
	// Read returns everything that the store holds.
	Read(ctx context.Context) (MeshUpdate, error)
	// Watch returns what changed after a revision, waiting for a change until the deadline. ErrHistoryGone
	// says that the store can't tell.
	Watch(ctx context.Context, after int64, deadline time.Time) (MeshUpdate, error)
}
