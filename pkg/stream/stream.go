// Package stream copies requests and responses between HTTP connections with
// bounded memory.
package stream

import (
	"io"
	"net/http"
	"sync"
)

// bufferBytes is the size of one copy buffer.
const bufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// CopyBody copies the body to w and flushes after each chunk, so that the data of slow
// streams is not delayed.
func CopyBody(w http.ResponseWriter, body io.Reader) error {
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	control := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if err == nil {
				_ = control.Flush()
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
