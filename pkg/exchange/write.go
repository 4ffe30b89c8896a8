package exchange

import (
	"bytes"
	"errors"
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
	source := &bodySource{r: req.Rest}
	body := io.MultiReader(bytes.NewReader(req.Body), source)
	var err error
	if req.Length >= 0 {
		_, err = io.CopyN(cn, body, req.Length)
	} else {
		err = writeChunks(cn, body)
	}
	switch {
	case source.err != nil:
		return fmt.Errorf("%w: %w", ErrBodyBroken, source.err)
	case errors.Is(err, io.EOF):
		return fmt.Errorf("%w: shorter than %d bytes", ErrBodyBroken, req.Length)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

func writeChunks(cn *conn, body io.Reader) error {
	w := httputil.NewChunkedWriter(cn)
	if _, err := io.Copy(w, body); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(cn, "\r\n")
	return err
}

// bodySource records the error with which a body breaks off.
type bodySource struct {
	r   io.Reader
	err error
}

func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}
