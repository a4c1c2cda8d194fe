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
	mu sync.Mutex
	// position is the point of the store's history up to which the replica is complete.
	position jaypitch.Position
	config   *schema.MeshConfig
	// earlierConfigs holds up to maxEarlierConfigs versions before config, oldest first, as bases of differences.
	earlierConfigs []*schema.MeshConfig
	// differences caches the differences from earlier versions to config, by earlier version. They are computed on request.
	differences map[int64]*schema.MeshDifference
	// rules is built from config.
	rules   ruleIndex
	servers map[string]*serverEntry
	// evacuations holds the evacuations and their tombstones by data centre.
	evacuations map[string]*evacuation
	// answering holds the IDs of the servers that answered at addresses of several entries, by address.
	answering map[string]string
	// removalsKnownAfter is the lowest revision after which all removals are known. A request for changes since an earlier one gets
	// the full state.
	removalsKnownAfter int64
	table              atomic.Pointer[Table]
	// published is a copy of position that is read without the lock.
	published atomic.Pointer[jaypitch.Position]
	// restored is true once an update was of a later era than the replica. Positions of unknown era can't be compared then.
	restored atomic.Bool
	// restoredAt is the first time at which the store is known to have been in the replica's era; zero before the first restore.
	restoredAt time.Time
}

// serverEntry is a backend server, or the tombstone of a removed one.
type serverEntry struct {
	// server has a revision of the replica's era, or none if it was taken over from an earlier era.
	server *schema.MeshServer
	// reported is the latest entry that the server itself wrote; nil if the server is only known as removed.
	reported *schema.MeshServer
	// tombstoneUntil is when the tombstone of a removed server may be deleted.
	tombstoneUntil time.Time
	// copied is the entry of the store's copy that is older than what the server reported, and copiedUntil the time from which it applies all the
	// same, since the store would have removed it by then if the server were gone. Both are zero if there is none.
	copied      *schema.MeshServer
	copiedUntil time.Time
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
	// Evacuations holds the evacuations that were requested or, as tombstones, taken back.
	Evacuations []*schema.MeshEvacuation
	// Restored is true if the update is of a later era of the store than the replica was.
	Restored bool
}

const (
	// maxEarlierConfigs is how many earlier versions of the configuration are kept as bases of differences.
	maxEarlierConfigs = 6
	// tombstoneLifetime is how long the tombstone of a removed server is kept. It is longer than any disconnection after which a sidecar
	// still requests changes instead of the full state.
	tombstoneLifetime = 5 * time.Minute
	// relistTime is the time after a restore of the store within which live servers write their entries again.
	relistTime = 2 * time.Second
	// copyExpiry is the time after a restore within which the store removes the copied entry of a server that is gone: three heartbeats
	// of a few seconds.
	copyExpiry = 10 * time.Second
)

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	s := &Replica{servers: map[string]*serverEntry{}, evacuations: map[string]*evacuation{}, answering: map[string]string{}}
	s.table.Store(newTable(nil, nil, nil, nil, nil))
	s.published.Store(&jaypitch.Position{})
	return s
}

// Table returns the current routing table.
func (s *Replica) Table() *Table {
	return s.table.Load()
}

// Position returns the point of the store's history up to which the replica is complete.
func (s *Replica) Position() jaypitch.Position {
	return *s.published.Load()
}

// Revision returns the store's revision up to which the replica is complete.
func (s *Replica) Revision() int64 {
	return s.Position().Revision
}

// Comparable reports whether a position that another sidecar reports can be compared with the replica's. After a restore the positions of
// older builds can't, which don't tell their era.
func (s *Replica) Comparable(p jaypitch.Position) bool {
	return p.Era.Known || !s.restored.Load()
}

// Merge applies the newer entries of an update and replaces the table as a whole if anything changed. Of an update of an earlier era, or of a
// partial one of a later era, it applies only a newer version of the configuration: versions rise through all eras.
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
	c.Restored = s.beginEra(u, now)
	if u.Era.Differs(s.position.Era) {
		u.Servers, u.Evacuations, u.Full, u.Revision = nil, nil, false, 0
	}
	if c.Restored {
		u.KeepMissingUntil = s.restoredAt.Add(relistTime)
	}
	c.Evacuations = s.mergeEvacuations(u, c.Restored, now)
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
	if u.Revision > s.position.Revision {
		s.position.Revision = u.Revision
	}
	if u.Era.Known && u.Revision > 0 {
		s.position.Era = u.Era
	}
	published := s.position
	s.published.Store(&published)
	if c.Config || len(c.Servers)+len(c.Evacuations) > 0 {
		s.endAnswers(c.Servers)
		s.rebuild(now)
	}
	return c
}

// beginEra takes the replica to the era of a full update if that is later. Revisions of before mean nothing then, so entries lose them and every
// revision of the new era is newer. It reports whether it did.
func (s *Replica) beginEra(u jaypitch.MeshUpdate, now time.Time) bool {
	if !u.Full || !s.isLaterEra(u) {
		return false
	}
	s.position = jaypitch.Position{Era: u.Era}
	s.restored.Store(true)
	s.restoredAt = now
	if !u.EraSeenAt.IsZero() {
		s.restoredAt = u.EraSeenAt
	}
	s.removalsKnownAfter = 0
	s.beginEvacuationEra(now)
	for _, e := range s.servers {
		v := proto.CloneOf(e.server)
		v.Revision = 0
		e.server, e.copied = v, nil
		if v.GetGone() {
			e.tombstoneUntil = now.Add(tombstoneLifetime)
		}
	}
	return true
}

// isLaterEra reports whether an update is of a later era than the replica. If the replica has no era, its content is from sidecars that don't tell
// theirs, and a full update with a lower revision is of a later one.
func (s *Replica) isLaterEra(u jaypitch.MeshUpdate) bool {
	if !s.position.Era.Known {
		return u.Era.Known && u.Revision < s.position.Revision
	}
	return u.Era.Differs(s.position.Era) && u.Era.Number > s.position.Era.Number
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
	if !p.matches(e.server) {
		return false
	}
	e.leaving = p
	s.rebuild(now)
	return true
}

// matches reports whether an entry may be about this process: the starts are equal, or one of them is unknown.
func (p *process) matches(v *schema.MeshServer) bool {
	return p.bornMS == nil || v.BornMs == nil || *p.bornMS == v.GetBornMs()
}

// RemovedAddresses returns the addresses of the removed servers whose tombstones are kept, without those that a server in use has.
func (s *Replica) RemovedAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.Table().byAddress
	var out []string
	for _, e := range s.servers {
		if address := e.reported.GetAddress(); e.server.GetGone() && address != "" && inUse[address] == nil {
			out = append(out, address)
		}
	}
	return out
}

// Expire deletes tombstones past their lifetime, takes removed servers out of use whose usableUntil has passed, applies copied entries
// whose copiedUntil has, and ends evacuations whose heldUntil has. It reports whether the table changed.
func (s *Replica) Expire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.expireEvacuations(now)
	for id, e := range s.servers {
		if !e.usableUntil.IsZero() && !now.Before(e.usableUntil) {
			e.usableUntil = time.Time{}
			ended = true
		}
		if e.copied != nil && !now.Before(e.copiedUntil) {
			e.server, e.copied = e.copied, nil
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

// NextExpiry returns when Expire next changes which servers are in use or which data centres are evacuated; zero if no such time is set.
func (s *Replica) NextExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	observe := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, e := range s.servers {
		observe(e.usableUntil)
		if e.copied != nil {
			observe(e.copiedUntil)
		}
	}
	for _, e := range s.evacuations {
		observe(e.heldUntil)
	}
	return next
}

// ChangesSince returns the changes after a position for a sidecar that has a version of the configuration. The response is the full
// state if the revision is zero or of an earlier era, or if tombstones since then were deleted.
func (s *Replica) ChangesSince(p jaypitch.Position, version int64) *schema.HeldResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &schema.HeldResponse{Revision: s.position.Revision, Era: s.position.Era.Pointer(), Whole: s.needsFull(p), ListsEvacuations: true}
	if s.position.Revision == 0 {
		return out
	}
	revision := p.Revision
	switch {
	case out.Whole:
		revision = 0
	case p.Era.Differs(s.position.Era):
		revision = s.position.Revision // the other sidecar is of a later era
	}
	if s.config.GetVersion() > version {
		s.addConfig(out, version)
	}
	for _, e := range s.servers {
		if e.server.GetRevision() > revision && !(out.Whole && e.server.GetGone()) {
			out.Servers = append(out.Servers, e.server)
		}
	}
	s.addEvacuations(out, revision)
	return out
}

// needsFull reports whether a sidecar at a position needs the full state to follow this replica.
func (s *Replica) needsFull(p jaypitch.Position) bool {
	if p.Era.Differs(s.position.Era) {
		return p.Era.Number < s.position.Era.Number
	}
	return p.Revision < s.removalsKnownAfter || p.Revision == 0 || s.restored.Load() && !p.Era.Known
}

// UpdateFrom converts another sidecar's response into an update. That of an older build, which doesn't tell of evacuations, is complete up to
// no revision. It fails with CodeDigestMismatch if the response holds a difference
// from a version that the replica no longer holds.
func (s *Replica) UpdateFrom(m *schema.HeldResponse) (jaypitch.MeshUpdate, *jaypitch.Error) {
	u := jaypitch.MeshUpdate{Revision: m.GetRevision(), Era: jaypitch.NewEra(m.Era), Full: m.GetWhole() && m.GetRevision() > 0, Config: m.GetConfig(), Servers: m.GetServers(),
		Evacuations: m.GetEvacuations()}
	if !m.GetListsEvacuations() {
		u.Revision, u.Full = 0, false
	}
	if m.GetDifference() == nil {
		return u, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c, e := Patch(s.configOrEarlier(m.GetDifference().GetBase()), m.GetDifference())
	u.Config = c
	return u, e
}

// configOrEarlier returns the configuration of a version if it is among the earlier ones, otherwise the current one. Responses of several
// sidecars may be in progress at the same time, so the version may have risen since the request.
func (s *Replica) configOrEarlier(version int64) *schema.MeshConfig {
	for _, c := range s.earlierConfigs {
		if c.GetVersion() == version {
			return c
		}
	}
	return s.config
}

// addConfig adds the configuration to a response, as a difference if the version that the receiver has is among the earlier ones.
func (s *Replica) addConfig(out *schema.HeldResponse, version int64) {
	if out.Difference = s.differences[version]; out.Difference != nil {
		return
	}
	if c := s.configOrEarlier(version); c.GetVersion() == version {
		out.Difference = Difference(c, s.config)
		s.differences[version] = out.Difference
		return
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
	if e.isOlderCopy(v) {
		e.server = proto.CloneOf(before)
		e.server.Revision = v.GetRevision()
		e.copied, e.copiedUntil = v, s.restoredAt.Add(copyExpiry)
		return false
	}
	e.server = v
	e.copied = nil
	if !v.GetGone() {
		e.reported = v
	}
	e.usableUntil = time.Time{}
	startedAgain := e.endLeaving(before)
	if v.GetGone() {
		e.markRemoved(before, u.KeepMissingUntil, now)
	}
	return before == nil || startedAgain || !sameServer(before, v) || before.GetColdUs() != v.GetColdUs() && s.limitsColdServers(v.GetService())
}

// limitsColdServers reports whether the configuration limits the requests to cold servers of a service. The cold time of others, which every report
// of a server that has started changes, is no reason to build the table again.
func (s *Replica) limitsColdServers(service string) bool {
	for _, l := range s.config.GetServiceLimits() {
		if l.GetService() == service {
			return l.GetColdRate() > 0
		}
	}
	return false
}

// isOlderCopy reports whether an entry is from the copy from which the store was restored, and older than what the server reported since: it then
// doesn't undo that the server drains or was removed.
func (e *serverEntry) isOlderCopy(v *schema.MeshServer) bool {
	r := e.reported
	if r == nil || e.server.GetRevision() != 0 || v.GetGone() {
		return false
	}
	if r.BornMs != nil && v.BornMs != nil && r.GetBornMs() != v.GetBornMs() {
		return v.GetBornMs() < r.GetBornMs()
	}
	if r.Seq != nil && v.Seq != nil {
		return v.GetSeq() <= r.GetSeq()
	}
	return v.GetRevision() <= r.GetRevision()
}

// endLeaving forgets that the server is leaving if its new entry is about another process: the starts differ, or they are unknown and the
// server was removed in between. It reports whether it did.
func (e *serverEntry) endLeaving(before *schema.MeshServer) bool {
	if e.leaving == nil || e.server.GetGone() {
		return false
	}
	unknown := e.leaving.bornMS == nil || e.server.BornMs == nil
	if e.leaving.matches(e.server) && !(unknown && before.GetGone()) {
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
		if !listed[id] {
			e.copied = nil
		}
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
	t := newTable(s.config, s.rules, usable, s.answering, s.currentEvacuations())
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
