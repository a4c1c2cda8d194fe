package jaypitch

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Digest identifies the text of a document: the first half of its SHA-256.
type Digest [16]byte

// Document is one value of the source: a team's subtree or a data centre's host list.
type Document struct {
	// Key is TeamPrefix and a team, or HostPrefix and a data centre.
	Key      string
	Revision int64
	Digest   Digest
	Deleted  bool
	Text     []byte
}

const (
	// TeamPrefix begins the keys of subtrees.
	TeamPrefix = "teams/"
	// HostListPrefix begins the keys of host lists.
	HostListPrefix = "hosts/"
	// MaxDocumentBytes is the largest value that the source holds.
	MaxDocumentBytes = 1 << 20
)

// NewDocument makes a document and works out its digest.
func NewDocument(key string, revision int64, text []byte) Document {
	return Document{Key: key, Revision: revision, Digest: DigestOf(text), Text: text}
}

// NewTombstone makes the document that marks a deleted key.
func NewTombstone(key string, revision int64) Document {
	return Document{Key: key, Revision: revision, Deleted: true}
}

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	s := sha256.Sum256(text)
	return Digest(s[:16])
}

// String returns the first eight hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:4])
}

// TeamOfKey returns the team of a subtree's key, or "".
func TeamOfKey(key string) string {
	t, ok := strings.CutPrefix(key, TeamPrefix)
	if !ok {
		return ""
	}
	return t
}

// DataCentreOfKey returns the data centre of a host list's key, or "".
func DataCentreOfKey(key string) string {
	d, ok := strings.CutPrefix(key, HostListPrefix)
	if !ok {
		return ""
	}
	return d
}
