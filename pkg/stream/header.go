package stream

import (
	"net/http"
	"strings"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// hopByHopHeaders are valid for one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders are used between nodes only. Upstreams must neither receive nor set them.
var internalHeaders = []string{
	outcome.HeaderTargetIncarnation, outcome.HeaderQueue, outcome.HeaderFingerprint,
	outcome.HeaderAttempt, outcome.HeaderLoad, outcome.HeaderReason,
}

// CopyHeader copies all end-to-end headers of src to dst. It replaces headers of the same
// name.
func CopyHeader(dst, src http.Header) {
	hopByHop := map[string]bool{}
	for _, h := range hopByHopHeaders {
		hopByHop[h] = true
	}
	for _, line := range src.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !hopByHop[name] {
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

// AnnounceTrailer declares the trailers of a response. It must be called before the
// header is sent.
func AnnounceTrailer(h, trailer http.Header) {
	for name := range trailer {
		h.Add("Trailer", name)
	}
}

// CopyTrailer adds trailers to the response header h, to be sent after the body. Trailers
// that were not declared are included.
func CopyTrailer(h, trailer http.Header) {
	endToEnd := http.Header{}
	CopyHeader(endToEnd, trailer)
	StripInternal(endToEnd)
	for name, values := range endToEnd {
		h[http.TrailerPrefix+name] = values
	}
}
