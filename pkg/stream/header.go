package stream

import (
	"net/http"
	"strings"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// hopHeaders are valid for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders are used between nodes only.
var internalHeaders = []string{
	outcome.HeaderTargetIncarnation, outcome.HeaderQueue, outcome.HeaderFingerprint,
	outcome.HeaderAttempt, outcome.HeaderLoad, outcome.HeaderReason,
}

// CopyHeader adds all end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) {
	drop := map[string]bool{}
	for _, h := range hopHeaders {
		drop[h] = true
	}
	for _, line := range src.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !drop[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// StripInternal removes the headers that are used between nodes only.
func StripInternal(h http.Header) {
	for _, name := range internalHeaders {
		h.Del(name)
	}
}

// AnnounceTrailer declares the trailers of an answer before its header is sent.
func AnnounceTrailer(h, trailer http.Header) {
	for name := range trailer {
		h.Add("Trailer", name)
	}
}

// CopyTrailer sends the trailers of an answer after its body, also those that
// were not declared.
func CopyTrailer(h, trailer http.Header) {
	end := http.Header{}
	CopyHeader(end, trailer)
	StripInternal(end)
	for name, values := range end {
		h[http.TrailerPrefix+name] = values
	}
}
