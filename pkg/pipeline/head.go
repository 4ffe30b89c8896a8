package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
)

// closingFields are the header fields with which a server may close the connection after the request or
// not pass the request to its handler.
var closingFields = []string{"Expect", "Upgrade", "Connection", "Proxy-Connection", "Trailer"}

// parseHead returns the request of a complete head if the server certainly serves it and the requests
// behind it: http.Server rejects some heads that http.ReadRequest accepts.
func parseHead(head []byte) *http.Request {
	if !isPlain(head) {
		return nil
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close {
		return nil
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.RequestURI, "/") {
		return nil
	}
	for _, name := range closingFields {
		if values, ok := r.Header[name]; ok && (name != "Connection" || !isKeepAlive(values)) {
			return nil
		}
	}
	return r
}

func isKeepAlive(values []string) bool {
	return len(values) == 1 && strings.EqualFold(values[0], "keep-alive")
}

// isPlain reports whether all lines of the head are fields with usual names and values, and exactly one of them
// is the host.
func isPlain(head []byte) bool {
	hosts := 0
	for i, line := range bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n")) {
		if bytes.ContainsFunc(line, isControl) {
			return false
		}
		if i == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
			return false
		}
		if hasName(line, "host:") {
			hosts++
			host := bytes.Trim(value, " \t")
			if len(host) == 0 || bytes.ContainsFunc(host, func(r rune) bool { return !isHostRune(r) }) {
				return false
			}
		}
	}
	return hosts == 1
}

func isControl(r rune) bool { return (r < ' ' && r != '\t') || r == 0x7f }

func isAlphanumeric(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
}

func isNameRune(r rune) bool { return isAlphanumeric(r) || r == '-' || r == '_' }

func isHostRune(r rune) bool { return isNameRune(r) || strings.ContainsRune(".:[]", r) }

// sameRequest reports whether two requests without a body have the same head.
func sameRequest(a, b *http.Request) bool {
	if a.Method != b.Method || a.RequestURI != b.RequestURI || a.Host != b.Host || a.Proto != b.Proto || len(a.Header) != len(b.Header) {
		return false
	}
	for name, values := range a.Header {
		if !slices.Equal(values, b.Header[name]) {
			return false
		}
	}
	return true
}
