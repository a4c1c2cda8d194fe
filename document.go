package jaypitch

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Digest identifies the text of a document: the first 16 bytes of its SHA-256.
type Digest [16]byte

// Document is one value of the store: a team's settings or a data centre's host list.
type Document struct {
	// Key is TeamPrefix followed by a team, or HostListPrefix followed by a data centre.
	Key      string
	Revision int64
	Digest   Digest
	Deleted  bool
	Text     []byte
}

const (
	// TeamPrefix begins the keys of teams' settings.
	TeamPrefix = "teams/"
	// HostListPrefix begins the keys of host lists.
	HostListPrefix = "hosts/"
	// MaxDocumentBytes is the size of the largest value that the store holds.
	MaxDocumentBytes = 1 << 20
)

// NewDocument returns a document with the digest of its text.
func NewDocument(key string, revision int64, text []byte) Document {
	return Document{Key: key, Revision: revision, Digest: DigestOf(text), Text: text}
}

// NewTombstone returns the document that records the deletion of a key.
func NewTombstone(key string, revision int64) Document {
	return Document{Key: key, Revision: revision, Deleted: true}
}

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	s := sha256.Sum256(text)
	return Digest(s[:16])
}

// String returns the first four bytes as eight hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:4])
}

// TeamOfKey returns the team in a document's key, or "" if the key isn't that of a team's settings.
func TeamOfKey(key string) string {
	t, ok := strings.CutPrefix(key, TeamPrefix)
	if !ok {
		return ""
	}
	return t
}

// DataCentreOfKey returns the data centre in a document's key, or "" if the key isn't that of a host list.
func DataCentreOfKey(key string) string {
	d, ok := strings.CutPrefix(key, HostListPrefix)
	if !ok {
		return ""
	}
	return d
}
