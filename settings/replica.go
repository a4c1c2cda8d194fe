package settings

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Replica shares a State and the table in force between the parts of a node. It is safe for concurrent use.
type Replica struct {
	now   func() time.Time
	table atomic.Pointer[Table]

	mu      sync.Mutex
	state   *State
	changed chan struct{}
	applied uint64
	since   map[string]time.Time
	merges  [Conflicting + 1]uint64
}

// NewReplica makes a store that holds nothing, with an empty table in force.
func NewReplica(now func() time.Time) *Replica {
	s := &Replica{now: now, state: NewState(), changed: make(chan struct{}), since: map[string]time.Time{}}
	s.table.Store(Build(s.state, nil))
	return s
}

// Table returns the table in force.
func (s *Replica) Table() *Table {
	return s.table.Load()
}

// Merge takes documents in and wakes those who wait for a change.
func (s *Replica) Merge(docs ...jaypitch.Document) []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Sequence()
	outcomes := make([]Outcome, len(docs))
	for i, d := range docs {
		outcomes[i] = s.state.Merge(d, s.now())
		s.merges[outcomes[i]]++
	}
	s.wake(before)
	return outcomes
}

// MergeRefusal takes in that a peer refused a revision.
func (s *Replica) MergeRefusal(key string, r Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Sequence()
	s.state.MergeRefusal(key, r)
	s.wake(before)
}

// Apply puts a table of everything accepted in force; it returns nil if nothing changed.
func (s *Replica) Apply() *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied == s.state.Sequence() {
		return nil
	}
	t := Build(s.state, s.table.Load())
	t.Number = s.table.Load().Number + 1
	s.applied = s.state.Sequence()
	s.noteSince(t)
	s.table.Store(t)
	return t
}

// Changed returns a channel that is closed at the next change, and the sequence now.
func (s *Replica) Changed() (<-chan struct{}, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.state.Sequence()
}

// ChangedSince returns what changed after a sequence, the sequence now, and the digest of all.
func (s *Replica) ChangedSince(sequence uint64) ([]*schema.Version, uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ChangedSince(sequence), s.state.Sequence(), s.state.Digest()
}

// Digest identifies everything held.
func (s *Replica) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Digest()
}

// SelectNewer returns those of the versions that are newer than what is held, and merges refusals.
func (s *Replica) SelectNewer(versions []*schema.Version) []*schema.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Sequence()
	var wanted []*schema.Version
	for _, v := range versions {
		if s.state.IsNewer(v) {
			wanted = append(wanted, v)
		}
		if v.GetRefusedRevision() > 0 {
			s.state.MergeRefusal(v.GetKey(), Refusal{Revision: v.GetRefusedRevision(), Code: jaypitch.Code(v.GetRefusedCode()), Reason: v.GetRefusedReason()})
		}
	}
	s.wake(before)
	return wanted
}

// Entry returns a copy of what is held of a key.
func (s *Replica) Entry(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Entry(key)
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns copies of all that is held, in order of key.
func (s *Replica) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for _, k := range s.state.Keys() {
		entries = append(entries, *s.state.Entry(k))
	}
	return entries
}

// Base returns an accepted text to serve as the base of a delta.
func (s *Replica) Base(key string, d jaypitch.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Base(key, d)
}

// AppliedAt returns when the version of a team in the table in force got there.
func (s *Replica) AppliedAt(team string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since[team]
}

// Merges returns how many merges had each outcome.
func (s *Replica) Merges() [Conflicting + 1]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merges
}

func (s *Replica) noteSince(t *Table) {
	old := s.table.Load()
	for name, tt := range t.Teams {
		if o := old.Teams[name]; o == nil || o.Revision != tt.Revision {
			s.since[name] = s.now()
		}
	}
	for name := range old.Teams {
		if t.Teams[name] == nil {
			s.since[name] = s.now()
		}
	}
}

// wake closes the channel of those who wait if the state changed.
func (s *Replica) wake(before uint64) {
	if s.state.Sequence() == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
