package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
)

// write sends the request. Errors wrap ErrNotSent if no byte was sent.
func write(cn *conn, req *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	if err := req.Header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	switch {
	case req.Rest != nil && req.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case req.Length > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead):
		fmt.Fprintf(&head, "Content-Length: %d\r\n", max(0, req.Length))
	}
	head.WriteString("\r\n")
	if req.Rest == nil {
		head.Write(req.Body)
	}
	if n, err := cn.Write(head.Bytes()); err != nil {
		if n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if req.Rest == nil {
		return nil
	}
	return writeStream(cn, req)
}

// writeStream sends a body that is not buffered as a whole.
func writeStream(cn *conn, req *Request) error {
	body := io.MultiReader(bytes.NewReader(req.Body), req.Rest)
	if req.Length >= 0 {
		if _, err := io.CopyN(cn, body, req.Length); err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return nil
	}
	w := httputil.NewChunkedWriter(cn)
	if _, err := io.Copy(w, body); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if _, err := io.WriteString(cn, "\r\n"); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
