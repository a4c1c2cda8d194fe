package settings

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/schema"
)

// Outcome says what a merge did.
type Outcome int

// Refusal is a revision that was seen and not accepted.
type Refusal struct {
	Revision int64
	Code     jaypitch.Code
	// Reason holds one problem on each line.
	Reason string
}

// Entry is what is held of one document.
type Entry struct {
	Document jaypitch.Document
	// Parsed is a *schema.TeamSettings or *HostDocument; nil for a tombstone.
	Parsed any
	// AcceptedAt is when the document was accepted here.
	AcceptedAt time.Time
	// Refused is the newest refused revision, if it is newer than the accepted one.
	Refused *Refusal
	// Conflict is true if this revision was seen with two contents.
	Conflict bool

	sequence uint64
	history  []jaypitch.Document
}

// State is everything that a node holds. It is merged by the greatest valid revision of each
// document, so order, duplicates and crossing updates make no difference. It isn't safe for
// concurrent use.
type State struct {
	entries  map[string]*Entry
	sequence uint64
	digest   uint64
}

// The outcomes of a merge.
const (
	// Older documents are ignored.
	Older Outcome = iota
	// Same documents are held already.
	Same
	// Accepted documents replace what was held.
	Accepted
	// Refused documents are invalid; the last accepted one stays.
	Refused
	// Conflicting documents have the held revision and another content, which loses.
	Conflicting
)

// keptTexts is how many earlier texts of a document may serve as bases of deltas.
const keptTexts = 3

// NewState makes a state that holds nothing.
func NewState() *State {
	return &State{entries: map[string]*Entry{}}
}

// Merge takes a document in if it is valid and newer than what is held. Of two contents of one
// revision the one with the greater digest is kept, so that all nodes keep the same.
func (s *State) Merge(d jaypitch.Document, now time.Time) Outcome {
	e := s.entries[d.Key]
	if e != nil {
		if o := e.compare(d); o != Accepted {
			return s.ignored(e, o)
		}
	}
	var parsed any
	if !d.Deleted {
		m, problems := parse(d, parsedOf(e))
		if len(problems) > 0 {
			s.MergeRefusal(d.Key, refusalOf(d.Revision, problems))
			return Refused
		}
		parsed = m
	}
	s.accept(d, parsed, now)
	return Accepted
}

// MergeRefusal takes in that a revision was refused, here or elsewhere. It returns false if
// that was known or no longer matters.
func (s *State) MergeRefusal(key string, r Refusal) bool {
	e := s.entries[key]
	if e == nil {
		e = &Entry{Document: jaypitch.Document{Key: key}}
		s.entries[key] = e
		s.digest ^= e.hash()
	}
	if r.Revision <= e.Document.Revision || e.Refused != nil && r.Revision <= e.Refused.Revision {
		return false
	}
	s.digest ^= e.hash()
	e.Refused = &r
	s.touch(e)
	s.digest ^= e.hash()
	return true
}

// Entry returns what is held of a key, or nil.
func (s *State) Entry(key string) *Entry {
	return s.entries[key]
}

// Keys returns the keys held, in order.
func (s *State) Keys() []string {
	return slices.Sorted(maps.Keys(s.entries))
}

// Digest identifies everything held; two nodes that hold the same have the same digest.
func (s *State) Digest() uint64 {
	return s.digest
}

// Sequence grows with each change of the state.
func (s *State) Sequence() uint64 {
	return s.sequence
}

// ChangedSince returns the versions that changed after a sequence, oldest change first.
func (s *State) ChangedSince(sequence uint64) []*schema.Version {
	var changed []*Entry
	for _, e := range s.entries {
		if e.sequence > sequence {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.sequence, b.sequence) })
	versions := make([]*schema.Version, len(changed))
	for i, e := range changed {
		versions[i] = e.Version()
	}
	return versions
}

// IsNewer says whether a version announced by a peer or the source is newer than what is held.
func (s *State) IsNewer(v *schema.Version) bool {
	e := s.entries[v.GetKey()]
	if e == nil {
		return v.GetRevision() > 0
	}
	if e.Refused != nil && v.GetRevision() == e.Refused.Revision {
		return false
	}
	return e.compare(headOf(v)) == Accepted
}

// Base returns an accepted text of the key with the digest, to serve as the base of a delta.
func (s *State) Base(key string, d jaypitch.Digest) ([]byte, bool) {
	e := s.entries[key]
	if e == nil {
		return nil, false
	}
	if e.Document.Digest == d && !e.Document.Deleted && e.Document.Revision > 0 {
		return e.Document.Text, true
	}
	for _, h := range e.history {
		if h.Digest == d {
			return h.Text, true
		}
	}
	return nil, false
}

// Version returns the wire form of an entry.
func (e *Entry) Version() *schema.Version {
	v := &schema.Version{Key: e.Document.Key, Revision: e.Document.Revision, Deleted: e.Document.Deleted}
	if !e.Document.Deleted {
		v.Digest = e.Document.Digest[:]
	}
	if e.Refused != nil {
		v.RefusedRevision = e.Refused.Revision
		v.RefusedCode = int32(e.Refused.Code)
		v.RefusedReason = e.Refused.Reason
	}
	return v
}

// compare says what merging a valid d would do.
func (e *Entry) compare(d jaypitch.Document) Outcome {
	switch {
	case d.Revision < e.Document.Revision || d.Revision == 0:
		return Older
	case d.Revision > e.Document.Revision:
		return Accepted
	case d.Digest == e.Document.Digest && d.Deleted == e.Document.Deleted:
		return Same
	case bytes.Compare(d.Digest[:], e.Document.Digest[:]) > 0:
		return Accepted
	}
	return Conflicting
}

// hash covers what has to be the same on two nodes.
func (e *Entry) hash() uint64 {
	b := append([]byte(e.Document.Key), 0)
	b = strconv.AppendInt(b, e.Document.Revision, 10)
	b = strconv.AppendBool(b, e.Document.Deleted)
	b = append(b, e.Document.Digest[:]...)
	if e.Refused != nil {
		b = strconv.AppendInt(b, e.Refused.Revision, 10)
	}
	return xxhash.Sum64(b)
}

// parsedOf returns the parsed form of what is held, if anything is.
func parsedOf(e *Entry) any {
	if e == nil {
		return nil
	}
	return e.Parsed
}

func (s *State) ignored(e *Entry, o Outcome) Outcome {
	if o == Conflicting {
		e.Conflict = true
	}
	return o
}

func (s *State) accept(d jaypitch.Document, parsed any, now time.Time) {
	e := s.entries[d.Key]
	if e == nil {
		e = &Entry{}
		s.entries[d.Key] = e
	} else {
		s.digest ^= e.hash()
		e.keepText()
	}
	e.Conflict = e.Document.Revision == d.Revision
	e.Document = d
	e.Parsed = parsed
	e.AcceptedAt = now
	if e.Refused != nil && e.Refused.Revision <= d.Revision {
		e.Refused = nil
	}
	s.touch(e)
	s.digest ^= e.hash()
}

// keepText remembers the text that is about to be replaced.
func (e *Entry) keepText() {
	if e.Document.Deleted || e.Document.Revision == 0 {
		return
	}
	e.history = append(e.history, e.Document)
	if len(e.history) > keptTexts {
		e.history = slices.Delete(e.history, 0, len(e.history)-keptTexts)
	}
}

func (s *State) touch(e *Entry) {
	s.sequence++
	e.sequence = s.sequence
}

func refusalOf(revision int64, problems ini.Problems) Refusal {
	return Refusal{Revision: revision, Code: problems[0].Code, Reason: problems.Error()}
}

func headOf(v *schema.Version) jaypitch.Document {
	d := jaypitch.Document{Key: v.GetKey(), Revision: v.GetRevision(), Deleted: v.GetDeleted()}
	copy(d.Digest[:], v.GetDigest())
	return d
}
