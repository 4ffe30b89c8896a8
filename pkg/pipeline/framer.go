package pipeline

import (
	"bytes"
	"strconv"
	"strings"
)

// maxFieldBytes is the number of bytes of a line that the framer keeps if the line is split over
// several reads. It covers the fields that it looks at: a name, a colon, spaces and a length.
const maxFieldBytes = 64

// phase is the part of a request that a framer expects next.
type phase int

const (
	inHead phase = iota
	inBody
	// opaque means that the end of the request is not known. It lasts for the rest of the connection.
	opaque
)

// framer finds the ends of requests in the bytes of a connection. It gives up, and becomes opaque,
// at everything whose length it can't tell from a Content-Length: chunked bodies, repeated or odd
// lengths, folded fields and empty lines before a request. The zero value is at the start of a request.
type framer struct {
	phase phase
	// began is set after the request line.
	began bool
	// length is that of the body; hasLength is set if the head has one.
	length    int64
	hasLength bool
	// line holds the beginning of a line that is not complete; lineBytes is the length of the line so far.
	line      [maxFieldBytes]byte
	lineBytes int
}

// atStart reports whether the next byte is the first one of a request.
func (f *framer) atStart() bool { return f.phase == inHead && !f.began && f.lineBytes == 0 }

// next consumes bytes up to the end of the request, or all of them if it is not among them.
func (f *framer) next(b []byte) (n int, ended bool) {
	for n < len(b) {
		switch f.phase {
		case opaque:
			return len(b), false
		case inBody:
			part := min(f.length, int64(len(b)-n))
			f.length -= part
			n += int(part)
			if f.length == 0 {
				*f = framer{}
				return n, true
			}
		case inHead:
			end := bytes.IndexByte(b[n:], '\n')
			if end < 0 {
				f.keep(b[n:])
				return len(b), false
			}
			line := b[n : n+end]
			n += end + 1
			if f.lineBytes > 0 {
				f.keep(line)
				line = f.line[:min(f.lineBytes, maxFieldBytes)]
			}
			ended := f.endLine(line, max(f.lineBytes, len(line)) > maxFieldBytes)
			f.lineBytes = 0
			if ended {
				*f = framer{}
				return n, true
			}
		}
	}
	return n, false
}

// keep adds bytes to the incomplete line.
func (f *framer) keep(b []byte) {
	if f.lineBytes < maxFieldBytes {
		copy(f.line[f.lineBytes:], b)
	}
	f.lineBytes += len(b)
}

// endLine evaluates a line of a head. It reports whether the request ends with it. The end of a
// long line may be missing.
func (f *framer) endLine(line []byte, long bool) (ended bool) {
	if n := len(line); n > 0 && line[n-1] == '\r' && !long {
		line = line[:n-1]
	}
	switch {
	case !f.began:
		f.began = true
		if len(line) == 0 {
			f.phase = opaque
		}
	case len(line) == 0:
		if f.length == 0 {
			return true
		}
		f.phase = inBody
	case line[0] == ' ' || line[0] == '\t':
		f.phase = opaque
	case hasName(line, "transfer-encoding"):
		f.phase = opaque
	case hasName(line, "content-length"):
		length, ok := parseLength(line[len("content-length"):])
		if !ok || long || f.hasLength {
			f.phase = opaque
			return false
		}
		f.length, f.hasLength = length, true
	}
	return false
}

// hasName reports whether the field's name begins with the name.
func hasName(line []byte, name string) bool {
	return len(line) >= len(name) && strings.EqualFold(string(line[:len(name)]), name)
}

// parseLength returns the length after the name of the field.
func parseLength(b []byte) (int64, bool) {
	value, ok := bytes.CutPrefix(b, []byte(":"))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	return int64(n), err == nil
}
