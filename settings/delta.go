package settings

import (
	"bytes"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Diff returns the pieces that make text from base, section by section.
func Diff(base, text []byte) []*schema.Piece {
	index := map[string]int{}
	for i, c := range chunks(base) {
		index[string(c)] = i
	}
	var pieces []*schema.Piece
	for _, c := range chunks(text) {
		pieces = appendChunk(pieces, c, index)
	}
	return pieces
}

// Patch makes a text from a base and pieces, and checks it against the digest of the whole.
func Patch(base []byte, pieces []*schema.Piece, digest jaypitch.Digest) ([]byte, error) {
	old := chunks(base)
	var text []byte
	for _, p := range pieces {
		from, count := int(p.GetCopyFrom()), int(p.GetCopyCount())
		if from < 0 || count < 0 || from > len(old) || count > len(old)-from {
			return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "a piece copies sections %d to %d of %d", from, from+count, len(old))
		}
		for _, c := range old[from : from+count] {
			text = append(text, c...)
		}
		text = append(text, p.GetText()...)
		if len(text) > jaypitch.MaxDocumentBytes {
			return nil, jaypitch.Errorf(jaypitch.CodeTooLarge, "the patched text is over %d bytes", jaypitch.MaxDocumentBytes)
		}
	}
	if got := jaypitch.DigestOf(text); got != digest {
		return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the patched text has digest %s, not %s", got, digest)
	}
	return text, nil
}

// appendChunk adds a chunk as a copy where the base has it, joining runs.
func appendChunk(pieces []*schema.Piece, c []byte, index map[string]int) []*schema.Piece {
	i, ok := index[string(c)]
	if !ok {
		return append(pieces, &schema.Piece{Text: c})
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

// chunks cuts a text before each line that begins with a bracket.
func chunks(text []byte) [][]byte {
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
