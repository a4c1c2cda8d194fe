package settings

import (
	"bytes"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Diff returns the pieces from which Patch rebuilds text on top of base. Each piece copies a run of sections of base or holds a new section.
func Diff(base, text []byte) []*schema.Piece {
	index := map[string]int{}
	for i, c := range splitSections(base) {
		index[string(c)] = i
	}
	var pieces []*schema.Piece
	for _, c := range splitSections(text) {
		pieces = appendSection(pieces, c, index)
	}
	return pieces
}

// Patch rebuilds a text from a base and the pieces of Diff. It fails with CodeDigestMismatch if a piece copies sections that base
// doesn't have or if the text doesn't match the digest, and with CodeTooLarge if the text exceeds MaxDocumentBytes.
func Patch(base []byte, pieces []*schema.Piece, digest jaypitch.Digest) ([]byte, error) {
	old := splitSections(base)
	var text []byte
	for _, p := range pieces {
		from, count := int(p.GetCopyFrom()), int(p.GetCopyCount())
		if from < 0 || count < 0 || from > len(old) || count > len(old)-from {
			return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "a piece copies sections %d to %d, but the base has %d sections", from, from+count, len(old))
		}
		for _, c := range old[from : from+count] {
			text = append(text, c...)
		}
		text = append(text, p.GetText()...)
		if len(text) > jaypitch.MaxDocumentBytes {
			return nil, jaypitch.Errorf(jaypitch.CodeTooLarge, "the patched text exceeds %d bytes", jaypitch.MaxDocumentBytes)
		}
	}
	if got := jaypitch.DigestOf(text); got != digest {
		return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the patched text has digest %s, expected %s", got, digest)
	}
	return text, nil
}

// appendSection appends a section: as a copy if base has it, extending the last piece where the copies are contiguous, or as text.
// Index maps the text of each section of base to its position there.
func appendSection(pieces []*schema.Piece, section []byte, index map[string]int) []*schema.Piece {
	i, ok := index[string(section)]
	if !ok {
		return append(pieces, &schema.Piece{Text: section})
	}
	if n := len(pieces); n > 0 {
		last := pieces[n-1]
		if len(last.GetText()) == 0 && int(last.GetCopyFrom()+last.GetCopyCount()) == i {
			last.CopyCount++
			return pieces
		}
	}
	return append(pieces, &schema.Piece{CopyFrom: int32(i), CopyCount: 1})
}

// splitSections splits a text before each line that begins with "[". The sections concatenated are the text.
func splitSections(text []byte) [][]byte {
	var out [][]byte
	for len(text) > 0 {
		n := bytes.Index(text[1:], []byte("\n["))
		if n < 0 {
			return append(out, text)
		}
		out = append(out, text[:n+2])
		text = text[n+2:]
	}
	return out
}
