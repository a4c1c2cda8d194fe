// Package mesh merges a sidecar's updates of the configuration and the backend servers by the store's revisions, and
// builds the routing table from them. It has no clock and no socket.
package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Replica is a sidecar's copy of the store's content, merged from updates of the store and of other sidecars. It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	revision int64
	config   *schema.MeshConfig
	// earlierConfigs holds up to maxEarlierConfigs versions before config, oldest first, as bases of differences.
	earlierConfigs []*schema.MeshConfig
	// differences caches the differences from earlier versions to config, by earlier version. They are computed on request.
	differences map[int64]*schema.MeshDifference
	// rules is built from config.
	rules   ruleIndex
	servers map[string]*serverEntry
	// removalsKnownAfter is the lowest revision after which all removals are known. A request for changes since an earlier one gets
	// the full state.
	removalsKnownAfter int64
	table              atomic.Pointer[Table]
	// publishedRevision is a copy of revision that is read without the lock.
	publishedRevision atomic.Int64
}

// serverEntry is a backend server, or the tombstone of a removed one.
type serverEntry struct {
	server *schema.MeshServer
	// tombstoneUntil is when the tombstone of a removed server may be deleted.
	tombstoneUntil time.Time
	// usableUntil is the time until which a server removed during an outage of the store stays in use; zero if it doesn't.
	usableUntil time.Time
	// leaving is the process of the server that stated in a response that it is leaving; nil if none did.
	leaving *process
}

// process identifies a process of a server by its start, in milliseconds since 1970; nil if that is unknown.
type process struct {
	bornMS *int64
}

// Change describes what an update changed: the configuration, and the servers that were added, changed or removed.
type Change struct {
	Config  bool
	Servers []*schema.MeshServer
}

const (
	// maxEarlierConfigs is how many earlier versions of the configuration are kept as bases of differences.
	maxEarlierConfigs = 6
	// tombstoneLifetime is how long the tombstone of a removed server is kept. It is longer than any disconnection after which a sidecar
	// still requests changes instead of the full state.
	tombstoneLifetime = 5 * time.Minute
)

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	s := &Replica{servers: map[string]*serverEntry{}}
	s.table.Store(newTable(nil, nil, nil))
	return s
}

// Table returns the current routing table.
func (s *Replica) Table() *Table {
	return s.table.Load()
}

// Revision returns the store's revision up to which the replica is complete.
func (s *Replica) Revision() int64 {
	return s.publishedRevision.Load()
}

// Merge applies the newer entries of an update and replaces the table as a whole if anything changed.
func (s *Replica) Merge(u jaypitch.MeshUpdate, now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Change
	if u.Config != nil && (s.config == nil || u.Config.GetVersion() > s.config.GetVersion()) {
		if s.config != nil {
			s.earlierConfigs = append(s.earlierConfigs, s.config)
			s.earlierConfigs = s.earlierConfigs[max(0, len(s.earlierConfigs)-maxEarlierConfigs):]
		}
		s.config, s.rules, s.differences = u.Config, newRuleIndex(u.Config), map[int64]*schema.MeshDifference{}
		c.Config = true
	}
	for _, v := range u.Servers {
		if s.mergeServer(v, u, now) {
			c.Servers = append(c.Servers, v)
		}
	}
	if u.Full {
		c.Servers = append(c.Servers, s.removeMissing(u, now)...)
		// A full update contains no tombstones of the servers that were removed before its revision.
		s.removalsKnownAfter = max(s.removalsKnownAfter, u.Revision)
	}
	if u.Revision > s.revision {
		s.revision = u.Revision
		s.publishedRevision.Store(u.Revision)
	}
	if c.Config || len(c.Servers) > 0 {
		s.rebuild(now)
	}
	return c
}

// RecordLeaving records that a server stated in a response that it is leaving, whatever its entry says. That holds for the process of the
// server which the given entry is about, so a server that starts again under the same ID is in use again. It reports whether this is new.
func (s *Replica) RecordLeaving(v *schema.MeshServer, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.servers[v.GetId()]
	if e == nil || e.leaving != nil {
		return false
	}
	p := &process{bornMS: v.BornMs}
	if !p.maybe(e.server) {
		return false
	}
	e.leaving = p
	s.rebuild(now)
	return true
}

// maybe reports whether an entry may be about this process: the starts are equal, or one of them is unknown.
func (p *process) maybe(v *schema.MeshServer) bool {
	return p.bornMS == nil || v.BornMs == nil || *p.bornMS == v.GetBornMs()
}

// Expire deletes tombstones past their lifetime, and takes removed servers out of use whose usableUntil has passed. It reports
// whether the table changed.
func (s *Replica) Expire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := false
	for id, e := range s.servers {
		if !e.usableUntil.IsZero() && !now.Before(e.usableUntil) {
			e.usableUntil = time.Time{}
			ended = true
		}
		if e.server.GetGone() && now.After(e.tombstoneUntil) {
			s.removalsKnownAfter = max(s.removalsKnownAfter, e.server.GetRevision())
			delete(s.servers, id)
		}
	}
	if ended {
		s.rebuild(now)
	}
	return ended
}

// ChangesSince returns the changes after a revision for a sidecar that has a version of the configuration. The response is the full
// state if the revision is zero, or if tombstones since then were deleted.
func (s *Replica) ChangesSince(revision, version int64) *schema.HeldResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &schema.HeldResponse{Revision: s.revision, Whole: revision < s.removalsKnownAfter || revision == 0}
	if s.revision == 0 {
		return out
	}
	if out.Whole {
		revision = 0
	}
	if s.config.GetVersion() > version {
		s.addConfig(out, version)
	}
	for _, e := range s.servers {
		if e.server.GetRevision() > revision && !(out.Whole && e.server.GetGone()) {
			out.Servers = append(out.Servers, e.server)
		}
	}
	return out
}

// UpdateFrom converts another sidecar's response into an update. It fails with CodeDigestMismatch if the response holds a difference
// from a version other than the replica's.
func (s *Replica) UpdateFrom(m *schema.HeldResponse) (jaypitch.MeshUpdate, *jaypitch.Error) {
	u := jaypitch.MeshUpdate{Revision: m.GetRevision(), Full: m.GetWhole() && m.GetRevision() > 0, Config: m.GetConfig(), Servers: m.GetServers()}
	if m.GetDifference() == nil {
		return u, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c, e := Patch(s.config, m.GetDifference())
	u.Config = c
	return u, e
}

// addConfig adds the configuration to a response, as a difference if the version that the receiver has is among the earlier ones.
func (s *Replica) addConfig(out *schema.HeldResponse, version int64) {
	if out.Difference = s.differences[version]; out.Difference != nil {
		return
	}
	for _, c := range s.earlierConfigs {
		if c.GetVersion() == version {
			out.Difference = Difference(c, s.config)
			s.differences[version] = out.Difference
			return
		}
	}
	out.Config = s.config
}

func (s *Replica) mergeServer(v *schema.MeshServer, u jaypitch.MeshUpdate, now time.Time) bool {
	e := s.servers[v.GetId()]
	if e != nil && v.GetRevision() <= e.server.GetRevision() {
		return false
	}
	if e == nil {
		e = &serverEntry{}
		s.servers[v.GetId()] = e
	}
	before := e.server
	e.server = v
	e.usableUntil = time.Time{}
	startedAgain := e.endLeaving(before)
	if v.GetGone() {
		e.markRemoved(before, u.KeepMissingUntil, now)
	}
	return before == nil || startedAgain || !sameServer(before, v)
}

// endLeaving forgets that the server is leaving if its new entry is about another process: the starts differ, or they are unknown and the
// server was removed in between. It reports whether it did.
func (e *serverEntry) endLeaving(before *schema.MeshServer) bool {
	if e.leaving == nil || e.server.GetGone() {
		return false
	}
	unknown := e.leaving.bornMS == nil || e.server.BornMs == nil
	if e.leaving.maybe(e.server) && !(unknown && before.GetGone()) {
		return false
	}
	e.leaving = nil
	return true
}

// removeMissing replaces servers that a full update lacks with tombstones, unless they are newer than the update. It returns the tombstones.
func (s *Replica) removeMissing(u jaypitch.MeshUpdate, now time.Time) []*schema.MeshServer {
	listed := make(map[string]bool, len(u.Servers))
	for _, v := range u.Servers {
		listed[v.GetId()] = true
	}
	var removed []*schema.MeshServer
	for id, e := range s.servers {
		if listed[id] || e.server.GetGone() || e.server.GetRevision() > u.Revision {
			continue
		}
		before := e.server
		e.server = &schema.MeshServer{Id: id, Service: before.GetService(), Address: before.GetAddress(), DataCentre: before.GetDataCentre(),
			Slots: before.GetSlots(), Gone: true, Revision: u.Revision}
		e.markRemoved(before, u.KeepMissingUntil, now)
		removed = append(removed, e.server)
	}
	return removed
}

// markRemoved sets the expiry of the tombstone that replaced before. The server stays in use until usableUntil if it was not draining.
func (e *serverEntry) markRemoved(before *schema.MeshServer, usableUntil, now time.Time) {
	e.tombstoneUntil = now.Add(tombstoneLifetime)
	if before == nil || before.GetDraining() || before.GetGone() || !now.Before(usableUntil) {
		return
	}
	e.usableUntil = usableUntil
	e.server.Service, e.server.Address, e.server.DataCentre, e.server.Slots = before.GetService(), before.GetAddress(), before.GetDataCentre(), before.GetSlots()
}

func (s *Replica) rebuild(now time.Time) {
	var usable []*schema.MeshServer
	leaving := map[string]bool{}
	for id, e := range s.servers {
		if !e.server.GetGone() || now.Before(e.usableUntil) {
			usable = append(usable, e.usable())
			if e.leaving != nil {
				leaving[id] = true
			}
		}
	}
	t := newTable(s.config, s.rules, usable)
	t.leaving = leaving
	s.table.Store(t)
}

// usable returns the server for the table: as draining if it stated that it is leaving.
func (e *serverEntry) usable() *schema.MeshServer {
	if e.leaving == nil || e.server.GetDraining() {
		return e.server
	}
	v := proto.CloneOf(e.server)
	v.Draining = true
	return v
}

func sameServer(a, b *schema.MeshServer) bool {
	return (a.BornMs == nil) == (b.BornMs == nil) && a.GetBornMs() == b.GetBornMs() && a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetDraining() == b.GetDraining() &&
		a.GetGone() == b.GetGone() && a.GetSlots() == b.GetSlots() && a.GetDataCentre() == b.GetDataCentre()
}
