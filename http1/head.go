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

// headCheck checks the lines of a head.
type headCheck struct {
	// started is true once the status line was checked.
	started bool
	// withoutChunks is true if the version of the response has no transfer encodings.
	withoutChunks bool
}

const (
	// maxHeadBytes limits the status line and header of a response.
	maxHeadBytes = 64 << 10
	// protocolName is what each status line begins with.
	protocolName = "HTTP/1."
)

var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errStatusLine  = errors.New("the response has a malformed status line")
	errFieldName   = errors.New("the header of the response has a malformed field name")
	// errTransferEncoding is the error of a response that names a transfer encoding in a version without them.
	errTransferEncoding = errors.New("the response of HTTP/1.0 has a transfer encoding")

	statusLineStart = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2}( |$)`)
)

// checkNextHead waits for the whole next head, and returns an error as soon as it is certain that it isn't one of HTTP/1. It consumes nothing, and
// at most maxHeadBytes are held.
//
// http.ReadResponse accepts more than the protocol allows, and a head that is skipped moves the place where the next one is read.
func (c *Conn) checkNextHead() error {
	h := headCheck{}
	// start is where the current line begins, and read the number of bytes that have arrived.
	for start, read := 0, 0; ; {
		if _, err := c.reader.Peek(read + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		for {
			i := bytes.IndexByte(b[read:], '\n')
			if i < 0 {
				break
			}
			line := b[start : read+i]
			read += i + 1
			start = read
			if whole, err := h.next(bytes.TrimSuffix(line, []byte("\r"))); whole || err != nil {
				return err
			}
		}
		if start == 0 && !bytes.HasPrefix(b, []byte(protocolName)[:min(len(b), len(protocolName))]) {
			return errStatusLine
		}
		read = len(b)
		if read >= maxHeadBytes {
			return errHeadTooLong
		}
		if read == c.reader.Size() {
			c.resizeBuffer(min(2*read, maxHeadBytes))
		}
	}
}

// resizeBuffer replaces the read buffer by one of another size. What the old one holds is read first.
func (c *Conn) resizeBuffer(size int) {
	b, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(b), c.source), size)
}

// next checks the next line, without its end. Whole is true if the head ends with it. The library checks the values of fields.
func (h *headCheck) next(line []byte) (whole bool, err error) {
	if !h.started {
		h.started = true
		h.withoutChunks = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		if !validStatusLine(line) {
			return false, errStatusLine
		}
		return false, nil
	}
	if len(line) == 0 {
		return true, nil
	}
	// A line that begins with a blank continues the value of the one before, which RFC 9112 allows to refuse.
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return false, errFieldName
	}
	// The library would take the sizes of the chunks for a part of the body.
	if h.withoutChunks && strings.EqualFold(string(name), "Transfer-Encoding") {
		return false, errTransferEncoding
	}
	return false, nil
}

// validStatusLine reports whether a line without its end is the status line of a response in HTTP/1, with a status code from 100 to 599. The
// reason, and the blank before it, may be missing.
func validStatusLine(line []byte) bool {
	start := statusLineStart.Find(line)
	return start != nil && httpguts.ValidHeaderFieldValue(string(line[len(start):]))
}
