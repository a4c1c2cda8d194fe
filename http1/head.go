package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"regexp"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes limits the status line and header of a response.
const maxHeadBytes = 64 << 10

var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errStatusLine  = errors.New("the response has a malformed status line")
	errFieldName   = errors.New("the header of the response has a malformed field name")
	// errTransferEncoding is the error of a response that names a transfer encoding in a version without them.
	errTransferEncoding = errors.New("the response of HTTP/1.0 has a transfer encoding")

	statusLineStart = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2}( |$)`)
)

// checkNextHead waits for the whole next head and returns an error unless it is one of HTTP/1. It consumes nothing.
//
// http.ReadResponse accepts more than the protocol allows, and a head that is skipped moves the place where the next one is read.
func (c *Conn) checkNextHead() error {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	return checkHead(head)
}

// peekHead returns the bytes of the next head, without consuming them. At most maxHeadBytes are held.
func (c *Conn) peekHead() ([]byte, error) {
	for searched := 0; ; {
		if _, err := c.reader.Peek(searched + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		// The last line may have been searched in part, with a line end before it.
		if n := headLength(b, max(0, searched-2)); n > 0 {
			return b[:n], nil
		}
		searched = len(b)
		if searched >= maxHeadBytes {
			return nil, errHeadTooLong
		}
		if searched == c.reader.Size() {
			c.resizeBuffer(min(2*searched, maxHeadBytes))
		}
	}
}

// resizeBuffer replaces the read buffer by one of another size. What the old one holds is read first.
func (c *Conn) resizeBuffer(size int) {
	b, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(b), c.source), size)
}

// headLength returns the length of the head that b begins with, including the empty line at its end; zero if b has only a part of it. The
// empty line doesn't begin before from.
func headLength(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// checkHead returns an error if a complete head has a status line or names of fields that RFC 9112 doesn't allow. The library checks the values.
func checkHead(head []byte) error {
	line, rest := cutLine(head)
	if !validStatusLine(line) {
		return errStatusLine
	}
	// HTTP/1.0 has no chunks, so the library would take their sizes for a part of the body.
	chunks := !bytes.HasPrefix(line, []byte("HTTP/1.0"))
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		// A line that begins with a blank continues the value of the one before, which RFC 9112 allows to refuse.
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return errFieldName
		}
		if !chunks && strings.EqualFold(string(name), "Transfer-Encoding") {
			return errTransferEncoding
		}
	}
	return nil
}

// cutLine returns the first line of b without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// validStatusLine reports whether a line without its end is the status line of a response in HTTP/1, with a status code from 100 to 599. The
// reason, and the blank before it, may be missing.
func validStatusLine(line []byte) bool {
	start := statusLineStart.Find(line)
	return start != nil && httpguts.ValidHeaderFieldValue(string(line[len(start):]))
}
