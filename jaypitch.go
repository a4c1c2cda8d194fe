// Package jaypitch holds the data, result codes and interfaces that the proxies of a service mesh share.
//
// A proxy runs as a sidecar beside each backend server. It distributes configuration and forwards requests. There are two
// families of packages. The node family reads teams' documents and host lists: package node, with backend, caller,
// idempotency, operator, peer, settings, source and topology. The sidecar family reads the configuration of a mesh: package
// sidecar, with hop, inbound, link, mesh, meshpeer, outbound, platform and transfer. The other packages serve both. Types of the sidecar
// family that have a counterpart in the node family carry the prefix Mesh. Packages that decide (admit, burn, evidence,
// idempotency, link, mesh, route, settings, topology) have no sockets, goroutines or clocks; adapters are named for their peer or
// protocol.
//
// # Terms
//
// Requests:
//
//   - request: what a client asks of a backend server ("call" in metrics and status)
//   - attempt: one transmission of a request to one server ("pass" in log fields)
//   - retry: a further attempt after one that failed or was refused
//   - hedge: a second attempt beside one whose proxy is unresponsive; the first successful response wins
//   - response: result of an attempt, from the backend server or a refusal ("reply" in headers)
//   - refusal: a response that a proxy makes itself, with a result code
//   - execution: whether the server executed the request: not executed, executed or unknown ("ran" in headers and log fields)
//   - sender, receiver: the proxy that makes an attempt, and the proxy beside the chosen server
//   - target deadline: end of a rule's latency target; the deadline is when the client or the rule times out
//   - complete-by time: when the next best server would have completed the request; a receiver that is slower refuses it
//   - idempotency token, epoch: name of an attempt that must execute at most once; age of its process in seconds
//   - response cache: responses kept by token for repeated requests ("kept answers" in metrics and settings)
//
// Load:
//
//   - slot: one of the requests that a backend server processes at a time
//   - admission: the decision to start, queue or refuse a request; in progress: admitted and not ended ("calls_running" in metrics and status)
//   - rank: priority class of a request; 0 is the most urgent
//   - queue time, service time, network time: time in the queue, at the server, and in neither of them ("waited" and "worked" in log fields)
//   - overhead: time of a request outside the backend server ("added" in log fields)
//   - load report: load and state that a receiver reports with each response
//   - retry-after: time after which a receiver expects room ("come_back" in log fields, "hold off" in headers)
//   - picker: chooses the server of an attempt; it ejects hosts that fail
//   - retry budget: bound on retries in proportion to requests
//   - probe: a health or liveness check; unresponsive: no reply to requests or probes for a while ("silent" in reports)
//   - transfer: a large response that waits for its turn on a host's network link
//   - cold: of a server, sustaining few requests after a start under traffic; warm otherwise
//   - evacuated: of a data centre, whose servers get no requests until the operators take that back
//   - draining, stopping: a server that takes no new requests and finishes the rest; a proxy in the same state
//
// Configuration:
//
//   - store: the platform's key-value store, which is only read ("source" in the node family)
//   - revision, version: number of a change of the store; number of a mesh configuration (schema.Version: the revision and digest of a document)
//   - document: one value of the store, a team's settings or a data centre's host list
//   - refused revision: an invalid revision of a document; the accepted one stays
//   - tombstone: the record of a deleted document or server; compaction: the store's removal of old history
//   - rule, destination: a route of the mesh; one of its services with a weight ("part" in messages)
//   - contested address: an address that the entries of several servers name; the server that answers there decides which one counts
//   - replica: a proxy's copy of the store's content, merged by revision from the store and peers
//   - table: the routing table built from the replica, replaced as a whole; withdrawn: a declared route that can't be served
//   - parent, child: the node that another polls for changes, and the node that polls
//   - process: one run of a proxy, identified by a random number
//   - confirmed: compared with the store or peers since the start or the last pause of the process
//   - evidence, finding: fresh report of every host on whether a route, customer, server or version is in use ("enforced" in reports); one host's part
//   - burn: rate at which a service spends its error budget
package jaypitch

import (
	"context"
	"net/http"
	"time"
)

// Changes is the response of Source.Watch, the documents that changed, or of Source.List, all documents.
type Changes struct {
	// Revision is the store's revision at this response.
	Revision int64
	// Compacted is true if the store no longer holds the history after the requested revision.
	Compacted bool
	// Documents are at their newest revisions. Source.List leaves out their texts.
	Documents []Document
}

// Source reads and watches the documents of the store. It can't write.
type Source interface {
	// Watch returns the documents that changed after a revision. It waits for a change until the deadline.
	Watch(ctx context.Context, after int64, deadline time.Time) (Changes, error)
	// List returns every document without its text.
	List(ctx context.Context) (Changes, error)
	// Get reads one document at its newest revision.
	Get(ctx context.Context, key string) (Document, error)
}

// HostListSource is a Source of host lists: the live and draining hosts, one list per data centre.
type HostListSource interface {
	Source
}

// Request is a request to a backend server.
type Request struct {
	Team     string
	Route    string
	Customer string
	// Path is the part of the client's path after the route, with the query.
	Path   string
	Method string
	Header http.Header
	Body   []byte
	// Deadline is a time of this process's clock.
	Deadline time.Time
	// Retries is how many further attempts the whole chain of requests may make.
	Retries int
	// Token identifies this attempt, or the earlier attempt that the request repeats.
	Token string
	// Repeat is true if the client sent the token.
	Repeat bool
}

// BackendServer sends requests to the backend server on this host.
type BackendServer interface {
	// Do sends a request. It returns once the head of the response is read; the caller reads and closes the body.
	Do(ctx context.Context, r *Request) (*http.Response, error)
	// Probe requests the health endpoint. Draining is true if the backend server reports that it is draining.
	Probe(ctx context.Context) (draining bool, err error)
}

// MeshSource reads and watches the store of a mesh. It can't write.
type MeshSource interface {
	// Read returns everything that the store holds. If that takes several requests, it calls proceed with the result of the first one. If
	// proceed returns false, it ends, and returns that result: an update that isn't full and has no revision.
	Read(ctx context.Context, proceed func(first MeshUpdate) bool) (MeshUpdate, error)
	// Watch returns what changed after a revision. It waits for a change until the deadline. It returns ErrCompacted
	// if the store no longer holds the history after the revision.
	Watch(ctx context.Context, after int64, deadline time.Time) (MeshUpdate, error)
}
