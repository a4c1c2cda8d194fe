package settings

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Replica shares a State and the current routing table between the parts of a node. It is safe for concurrent use.
type Replica struct {
	now   func() time.Time
	table atomic.Pointer[Table]

	mu    sync.Mutex
	state *State
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	// appliedSequence is the sequence of the state that the current table was built from.
	appliedSequence uint64
	// appliedAt is the time of the last change of a team in the current table, by team.
	appliedAt map[string]time.Time
	// merges counts merges by outcome.
	merges [Conflicting + 1]uint64
}

// NewReplica returns a replica without documents, whose current table is empty.
func NewReplica(now func() time.Time) *Replica {
	s := &Replica{now: now, state: NewState(), changed: make(chan struct{}), appliedAt: map[string]time.Time{}}
	s.table.Store(Build(s.state, nil))
	return s
}

// Table returns the current table.
func (s *Replica) Table() *Table {
	return s.table.Load()
}

// Merge merges documents and returns an outcome for each. It closes the channel of Changed if one changed the state.
func (s *Replica) Merge(docs ...jaypitch.Document) []Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Sequence()
	outcomes := make([]Outcome, len(docs))
	for i, d := range docs {
		outcomes[i] = s.state.Merge(d, s.now())
		s.merges[outcomes[i]]++
	}
	s.notifyChanged(before)
	return outcomes
}

// MergeRefusal records that a peer refused a revision.
func (s *Replica) MergeRefusal(key string, r Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Sequence()
	s.state.MergeRefusal(key, r)
	s.notifyChanged(before)
}

// Apply builds a table from the accepted documents, makes it the current one and returns it. It returns nil if the state hasn't
// changed since the last call.
func (s *Replica) Apply() *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appliedSequence == s.state.Sequence() {
		return nil
	}
	t := Build(s.state, s.table.Load())
	t.Number = s.table.Load().Number + 1
	s.appliedSequence = s.state.Sequence()
	s.recordApplied(t)
	s.table.Store(t)
	return t
}

// Changed returns a channel that is closed at the next change, and the current sequence.
func (s *Replica) Changed() (<-chan struct{}, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.state.Sequence()
}

// ChangedSince returns the wire format of the entries that changed after a sequence, the current sequence, and the digest of the state.
func (s *Replica) ChangedSince(sequence uint64) ([]*schema.Version, uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ChangedSince(sequence), s.state.Sequence(), s.state.Digest()
}

// Digest returns the digest of the state. Replicas with equal content have equal digests.
func (s *Replica) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Digest()
}

// SelectNewer returns those of a peer's or the store's versions that would replace the accepted ones. It also merges the refusals in all of them.
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
	s.notifyChanged(before)
	return wanted
}

// Entry returns a copy of the entry of a key; false if there is none.
func (s *Replica) Entry(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Entry(key)
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Entries returns copies of all entries, ordered by key.
func (s *Replica) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for _, k := range s.state.Keys() {
		entries = append(entries, *s.state.Entry(k))
	}
	return entries
}

// Base returns the current or an earlier text of a key with the given digest, as the base of a delta; false if there is none.
func (s *Replica) Base(key string, d jaypitch.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Base(key, d)
}

// AppliedAt returns when the current revision of a team was first applied, or when the team was removed from the table. It is
// zero for a team that no table has contained.
func (s *Replica) AppliedAt(team string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedAt[team]
}

// Merges returns how many merges had each outcome.
func (s *Replica) Merges() [Conflicting + 1]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merges
}

// recordApplied records the time for teams that a new table adds, changes or removes.
func (s *Replica) recordApplied(t *Table) {
	old := s.table.Load()
	for name, tt := range t.Teams {
		if o := old.Teams[name]; o == nil || o.Revision != tt.Revision {
			s.appliedAt[name] = s.now()
		}
	}
	for name := range old.Teams {
		if t.Teams[name] == nil {
			s.appliedAt[name] = s.now()
		}
	}
}

// notifyChanged closes the channel of Changed if the state's sequence is no longer the one before the merge.
func (s *Replica) notifyChanged(before uint64) {
	if s.state.Sequence() == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
