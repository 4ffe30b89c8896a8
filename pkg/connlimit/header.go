package connlimit

import "bytes"

// headerScanner counts the bytes and lines of a header in the bytes of a connection, and finds its end. The
// zero value is at the start of a header.
type headerScanner struct {
	// lineBytes is the length of the incomplete line, last its last byte.
	lineBytes int
	last      byte
	// began is set after the first line, ended after the empty line at the end.
	began, ended bool
}

// scan consumes bytes up to the end of the header, and returns their number and that of the lines that end
// in them.
func (s *headerScanner) scan(p []byte) (n, lines int64) {
	for rest := p; len(rest) > 0 && !s.ended; {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.lineBytes += len(rest)
			s.last = rest[len(rest)-1]
			return n + int64(len(rest)), lines
		}
		if end > 0 {
			s.lineBytes += end
			s.last = rest[end-1]
		}
		isEmpty := s.lineBytes == 0 || s.lineBytes == 1 && s.last == '\r'
		s.ended = s.began && isEmpty
		s.began, s.lineBytes = true, 0
		rest = rest[end+1:]
		n += int64(end) + 1
		lines++
	}
	return n, lines
}
