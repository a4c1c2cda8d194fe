package jaypitch

import "cmp"

// Era numbers the lives of the store: it rises when the store comes back from a copy that lacks its latest changes. Revisions of different
// eras can't be compared. Known is false for a store, or a sidecar of an older build, that doesn't tell its era.
type Era struct {
	Number int64
	Known  bool
}

// Position is a point in the store's history.
type Position struct {
	Era      Era
	Revision int64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive number if p is after q. A position of
// unknown era counts as one of the other's era.
func (p Position) Compare(q Position) int {
	if p.Era.Differs(q.Era) {
		return cmp.Compare(p.Era.Number, q.Era.Number)
	}
	return cmp.Compare(p.Revision, q.Revision)
}

// Differs reports whether two eras are known and not the same.
func (e Era) Differs(o Era) bool {
	return e.Known && o.Known && e.Number != o.Number
}

// NewEra returns the era with a number; an unknown one if the number is nil.
func NewEra(number *int64) Era {
	if number == nil {
		return Era{}
	}
	return Era{Number: *number, Known: true}
}

// Pointer returns the number of the era; nil if it is unknown.
func (e Era) Pointer() *int64 {
	if !e.Known {
		return nil
	}
	return &e.Number
}
