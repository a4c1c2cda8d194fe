// Package mesh holds what a sidecar believes of the configuration and of the backend servers, merged by
// the store's revisions, and the table that follows from it. It has no clock and no socket.
package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Replica merges what the store and other sidecars tell. It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	revision int64
	config   *schema.MeshConfig
	// earlier holds the versions before config, as bases of differences.
	earlier []*schema.MeshConfig
	// differences holds what leads from earlier versions to config, as far as it was asked for.
	differences map[int64]*schema.MeshDifference
	// rules follow from config.
	rules   ruleIndex
	servers map[string]*entry
	// forgotten is the newest revision before which removals are not all known; an asker from before it needs everything.
	forgotten int64
	table     atomic.Pointer[Table]
	held      atomic.Int64
}

// entry is a backend server with the time until which its mark is kept, or its removal put off.
type entry struct {
	server *schema.MeshServer
	// keepUntil is when the mark of a removed server may be dropped.
	keepUntil time.Time
	// usableUntil is until when a server that vanished during an outage of the store is still used.
	usableUntil time.Time
}

// Change is what an update changed.
type Change struct {
	Config  bool
	Servers []*schema.MeshServer
}

const (
	// earlierKept is how many versions of the configuration are kept as bases of differences.
	earlierKept = 6
	// markLasts is how long the mark of a removed server is kept; longer than any sidecar is cut off and still asks for less than everything.
	markLasts = 5 * time.Minute
)

// NewReplica makes an empty state.
func NewReplica() *Replica {
	s := &Replica{servers: map[string]*entry{}}
	s.table.Store(newTable(nil, nil, nil))
	return s
}

// Table returns the table in force.
func (s *Replica) Table() *Table {
	return s.table.Load()
}

// Revision returns the revision of the store up to which everything is held.
func (s *Replica) Revision() int64 {
	return s.held.Load()
}

// Merge takes an update in and puts the table that follows in force, whole.
func (s *Replica) Merge(u jaypitch.MeshUpdate, now time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Change
	if u.Config != nil && (s.config == nil || u.Config.GetVersion() > s.config.GetVersion()) {
		if s.config != nil {
			s.earlier = append(s.earlier, s.config)
			s.earlier = s.earlier[max(0, len(s.earlier)-earlierKept):]
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
		c.Servers = append(c.Servers, s.removeAbsent(u, now)...)
		// What came and went before this revision was never told.
		s.forgotten = max(s.forgotten, u.Revision)
	}
	if u.Revision > s.revision {
		s.revision = u.Revision
		s.held.Store(u.Revision)
	}
	if c.Config || len(c.Servers) > 0 {
		s.rebuild(now)
	}
	return c
}

// Expire ends what was put off until now; it returns true if the table changed.
func (s *Replica) Expire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := false
	for id, e := range s.servers {
		if !e.usableUntil.IsZero() && !now.Before(e.usableUntil) {
			e.usableUntil = time.Time{}
			ended = true
		}
		if e.server.GetGone() && now.After(e.keepUntil) {
			s.forgotten = max(s.forgotten, e.server.GetRevision())
			delete(s.servers, id)
		}
	}
	if ended {
		s.rebuild(now)
	}
	return ended
}

// ChangesSince returns everything that changed after a revision, for a holder of a version of the configuration.
func (s *Replica) ChangesSince(revision, version int64) *schema.HeldResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &schema.HeldResponse{Revision: s.revision, Whole: revision < s.forgotten || revision == 0}
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

// UpdateFrom turns another sidecar's answer into an update.
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

// addConfig adds the configuration, as a difference if the holder's version is still known.
func (s *Replica) addConfig(out *schema.HeldResponse, version int64) {
	if out.Difference = s.differences[version]; out.Difference != nil {
		return
	}
	for _, c := range s.earlier {
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
		e = &entry{}
		s.servers[v.GetId()] = e
	}
	before := e.server
	e.server = v
	e.usableUntil = time.Time{}
	if v.GetGone() {
		e.vanish(before, u.KeepMissingUntil, now)
	}
	return before == nil || !sameServer(before, v)
}

// removeAbsent marks servers that a whole update lacks, unless they are newer than the update.
func (s *Replica) removeAbsent(u jaypitch.MeshUpdate, now time.Time) []*schema.MeshServer {
	told := make(map[string]bool, len(u.Servers))
	for _, v := range u.Servers {
		told[v.GetId()] = true
	}
	var gone []*schema.MeshServer
	for id, e := range s.servers {
		if told[id] || e.server.GetGone() || e.server.GetRevision() > u.Revision {
			continue
		}
		before := e.server
		e.server = &schema.MeshServer{Id: id, Service: before.GetService(), Address: before.GetAddress(), DataCentre: before.GetDataCentre(),
			Slots: before.GetSlots(), Gone: true, Revision: u.Revision}
		e.vanish(before, u.KeepMissingUntil, now)
		gone = append(gone, e.server)
	}
	return gone
}

// vanish notes a removal. A server that said that it was leaving is not used any longer.
func (e *entry) vanish(before *schema.MeshServer, usableUntil, now time.Time) {
	e.keepUntil = now.Add(markLasts)
	if before == nil || before.GetDraining() || before.GetGone() || !now.Before(usableUntil) {
		return
	}
	e.usableUntil = usableUntil
	e.server.Service, e.server.Address, e.server.DataCentre, e.server.Slots = before.GetService(), before.GetAddress(), before.GetDataCentre(), before.GetSlots()
}

func (s *Replica) rebuild(now time.Time) {
	var usable []*schema.MeshServer
	for _, e := range s.servers {
		if !e.server.GetGone() || now.Before(e.usableUntil) {
			usable = append(usable, e.server)
		}
	}
	s.table.Store(newTable(s.config, s.rules, usable))
}

func sameServer(a, b *schema.MeshServer) bool {
	return a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetDraining() == b.GetDraining() &&
		a.GetGone() == b.GetGone() && a.GetSlots() == b.GetSlots() && a.GetDataCentre() == b.GetDataCentre()
}
