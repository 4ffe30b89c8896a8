// Package stream copies requests and answers between HTTP connections with
// bounded memory.
package stream

import (
	"io"
	"net/http"
	"sync"
)

// bufferBytes is the size of one copy buffer.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// hopHeaders are valid for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds all end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) {
	drop := map[string]bool{}
	for _, h := range hopHeaders {
		drop[h] = true
	}
	for _, v := range src.Values("Connection") {
		drop[http.CanonicalHeaderKey(v)] = true
	}
	for name, values := range src {
		if !drop[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// CopyBody copies the body to w and flushes after each piece, so that slow
// streams are not held back.
func CopyBody(w http.ResponseWriter, body io.Reader) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	flush := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if err == nil {
				_ = flush.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
