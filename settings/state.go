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

// Outcome is the result of a merge.
type Outcome int

// Refusal is a refused revision: it is invalid and was not accepted.
type Refusal struct {
	Revision int64
	Code     jaypitch.Code
	// Reason holds one problem on each line.
	Reason string
}

// Entry is the state of one document.
type Entry struct {
	// Document is the accepted document. Its revision is 0 if only a refusal is known.
	Document jaypitch.Document
	// Parsed is a *schema.TeamSettings or *HostDocument; nil for a tombstone.
	Parsed any
	// AcceptedAt is when this replica accepted the document.
	AcceptedAt time.Time
	// Refused is the newest refused revision, if it is newer than the accepted one.
	Refused *Refusal
	// Conflict is true if the accepted revision was received with two different contents.
	Conflict bool

	// sequence is the state's sequence at the last change of the entry.
	sequence uint64
	// earlierTexts are previously accepted documents, oldest first, as bases of deltas.
	earlierTexts []jaypitch.Document
}

// State is the content of a replica. Documents merge by their greatest valid revision, so the result doesn't depend on the order
// of updates or on duplicates. It isn't safe for concurrent use.
type State struct {
	entries  map[string]*Entry
	sequence uint64
	// digest is the XOR of the hashes of all entries.
	digest uint64
}

// The outcomes of a merge.
const (
	// Older means that the document has a lower revision than the accepted one, or revision 0, and was ignored.
	Older Outcome = iota
	// Same means that the document equals the accepted one.
	Same
	// Accepted means that the document replaced the accepted one, if any.
	Accepted
	// Refused means that the document is invalid; the accepted one stays.
	Refused
	// Conflicting means that the document has the accepted revision, but another content with a lesser digest, and was ignored.
	Conflicting
)

// maxEarlierTexts is how many earlier texts of a document are stored as bases of deltas.
const maxEarlierTexts = 3

// NewState returns a state without documents.
func NewState() *State {
	return &State{entries: map[string]*Entry{}}
}

// Merge accepts a document if it is valid and newer than the accepted one. Of two contents of one revision the one with the
// greater digest wins, so that all nodes converge on the same. Now is the time of acceptance.
func (s *State) Merge(d jaypitch.Document, now time.Time) Outcome {
	e := s.entries[d.Key]
	if e != nil {
		if o := e.compare(d); o != Accepted {
			return s.recordConflict(e, o)
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

// MergeRefusal records that this node or a peer refused a revision. It reports whether the revision is newer than both the
// accepted one and the newest refused one; otherwise the refusal isn't recorded.
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
	s.markChanged(e)
	s.digest ^= e.hash()
	return true
}

// Entry returns the entry of a key, or nil.
func (s *State) Entry(key string) *Entry {
	return s.entries[key]
}

// Keys returns the keys of all entries, sorted.
func (s *State) Keys() []string {
	return slices.Sorted(maps.Keys(s.entries))
}

// Digest returns a digest of all entries. States with equal content have equal digests.
func (s *State) Digest() uint64 {
	return s.digest
}

// Sequence returns the number of changes of the state so far.
func (s *State) Sequence() uint64 {
	return s.sequence
}

// ChangedSince returns the wire format of the entries that changed after a sequence, oldest change first.
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

// IsNewer reports whether a version announced by a peer or the store would replace the accepted one. It is false for the newest
// refused revision.
func (s *State) IsNewer(v *schema.Version) bool {
	e := s.entries[v.GetKey()]
	if e == nil {
		return v.GetRevision() > 0
	}
	if e.Refused != nil && v.GetRevision() == e.Refused.Revision {
		return false
	}
	return e.compare(documentOf(v)) == Accepted
}

// Base returns the current or an earlier text of a key with the given digest, as the base of a delta; false if there is none.
func (s *State) Base(key string, d jaypitch.Digest) ([]byte, bool) {
	e := s.entries[key]
	if e == nil {
		return nil, false
	}
	if e.Document.Digest == d && !e.Document.Deleted && e.Document.Revision > 0 {
		return e.Document.Text, true
	}
	for _, h := range e.earlierTexts {
		if h.Digest == d {
			return h.Text, true
		}
	}
	return nil, false
}

// Version returns the wire format of the entry, without its text.
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

// compare returns the outcome of merging d into the entry, provided that d is valid.
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

// hash covers the fields that are equal on two nodes with equal content: key, revision, deletion, digest and refused revision.
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

// parsedOf returns the parsed form of an entry's document, or nil if the entry is nil.
func parsedOf(e *Entry) any {
	if e == nil {
		return nil
	}
	return e.Parsed
}

// recordConflict marks the entry if a document that isn't accepted conflicts with it. It returns the outcome unchanged.
func (s *State) recordConflict(e *Entry, o Outcome) Outcome {
	if o == Conflicting {
		e.Conflict = true
	}
	return o
}

// accept replaces the document of an entry, and drops a refusal that isn't newer.
func (s *State) accept(d jaypitch.Document, parsed any, now time.Time) {
	e := s.entries[d.Key]
	if e == nil {
		e = &Entry{}
		s.entries[d.Key] = e
	} else {
		s.digest ^= e.hash()
		e.archiveText()
	}
	e.Conflict = e.Document.Revision == d.Revision
	e.Document = d
	e.Parsed = parsed
	e.AcceptedAt = now
	if e.Refused != nil && e.Refused.Revision <= d.Revision {
		e.Refused = nil
	}
	s.markChanged(e)
	s.digest ^= e.hash()
}

// archiveText stores the current document among the earlier texts before it is replaced, and drops the oldest beyond maxEarlierTexts.
func (e *Entry) archiveText() {
	if e.Document.Deleted || e.Document.Revision == 0 {
		return
	}
	e.earlierTexts = append(e.earlierTexts, e.Document)
	if len(e.earlierTexts) > maxEarlierTexts {
		e.earlierTexts = slices.Delete(e.earlierTexts, 0, len(e.earlierTexts)-maxEarlierTexts)
	}
}

// markChanged gives an entry the next sequence.
func (s *State) markChanged(e *Entry) {
	s.sequence++
	e.sequence = s.sequence
}

func refusalOf(revision int64, problems ini.Problems) Refusal {
	return Refusal{Revision: revision, Code: problems[0].Code, Reason: problems.Error()}
}

// documentOf returns the document of a version, without its text.
func documentOf(v *schema.Version) jaypitch.Document {
	d := jaypitch.Document{Key: v.GetKey(), Revision: v.GetRevision(), Deleted: v.GetDeleted()}
	copy(d.Digest[:], v.GetDigest())
	return d
}
