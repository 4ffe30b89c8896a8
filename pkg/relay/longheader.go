package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
)

// Load pattern: long headers of hundreds of callers or responses at once. net/http decodes the
// headers of HTTP/2 before anything counts them, so only short ones are sent as such between nodes.
// A longer header is sent encoded at the beginning of the body. The receiver reads it under a
// limit and counts it in the budget of bodies.

const (
	// longHeaderHeader holds the length of the encoded header at the beginning of the body.
	// Such a call has no callHeader and such a result has no outcomeHeader, so that nodes of
	// earlier versions take them for invalid.
	longHeaderHeader = "Mt-Header-Bytes"
	// hostHeader and statusHeader hold the host of a call and the status of a response in an
	// encoded header.
	hostHeader   = "Mt-Host"
	statusHeader = "Mt-Status"

	// maxShortHeaderBytes bounds the headers that are sent as headers of HTTP/2, which counts
	// fieldOverheadBytes for each field. Headers of ordinary requests take about 1 KB.
	maxShortHeaderBytes = 8 << 10
	// maxLongHeaderBytes bounds an encoded header, counted as for HTTP/2. It has room for the
	// longest header that a node accepts from a caller (128 KB) or an upstream (64 KB, 8,192 fields).
	maxLongHeaderBytes = 320 << 10
	// maxCallHeaderBytes leaves room for the other fields of a call, which repeat the method, the
	// id and the path.
	maxCallHeaderBytes = maxLongHeaderBytes - 4<<10
	fieldOverheadBytes = 32
	// nameBytes is the memory that a name takes in an http.Header besides its fields.
	nameBytes = 128
	// headerBlockBytes is the size of the blocks in which a header is encoded.
	headerBlockBytes = 4 << 10
)

var (
	errHeaderTooLong  = errors.New("header too long")
	errHeaderInvalid  = errors.New("encoded header invalid")
	errHeaderNoMemory = errors.New("no memory for the header")
)

// http2Bytes returns the size of the header as HTTP/2 counts it.
func http2Bytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverheadBytes
		}
	}
	return n
}

// callBytes returns the size of a caller's header as a call to another node has it.
func callBytes(r *http.Request) int {
	return http2Bytes(r.Header) + len(r.Method) + len(r.RequestURI) + len(r.Host)
}

// headerEncoder is a reader of an encoded header: the number of names, and for each the name, the
// number of values and the values. Texts are preceded by their length. It encodes a few KB at a
// time, so that a header takes no more memory while it is sent.
type headerEncoder struct {
	header http.Header
	names  []string
	// value is the index of the next value of the first name.
	value   int
	pending []byte
	buffer  []byte
}

// newHeaderEncoder returns a reader of the encoded header, and its length.
func newHeaderEncoder(h http.Header) (encoder *headerEncoder, length int64) {
	e := &headerEncoder{header: h, names: make([]string, 0, len(h))}
	for name, values := range h {
		// As in HTTP/2, fields that can't be sent are left out.
		if len(values) == 0 || !sendableName(name) || !allValid(values) {
			continue
		}
		e.names = append(e.names, name)
		length += textLen(name) + uvarintLen(len(values))
		for _, v := range values {
			length += textLen(v)
		}
	}
	e.buffer = binary.AppendUvarint(make([]byte, 0, 2*headerBlockBytes), uint64(len(e.names)))
	e.pending = e.buffer
	return e, length + int64(len(e.pending))
}

// Read implements io.Reader.
func (e *headerEncoder) Read(p []byte) (int, error) {
	if len(e.pending) == 0 {
		e.encode()
	}
	if len(e.pending) == 0 {
		return 0, io.EOF
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

// encode encodes the next block.
func (e *headerEncoder) encode() {
	b := e.buffer[:0]
	for len(e.names) > 0 && len(b) < headerBlockBytes {
		values := e.header[e.names[0]]
		if e.value == 0 {
			b = binary.AppendUvarint(appendText(b, e.names[0]), uint64(len(values)))
		}
		b = appendText(b, values[e.value])
		if e.value++; e.value == len(values) {
			e.names, e.value = e.names[1:], 0
		}
	}
	e.pending, e.buffer = b, b
}

// moveHeader makes the result one whose header is sent before its body.
func (r *Result) moveHeader() {
	r.Header.Set(statusHeader, strconv.Itoa(r.Status))
	encoder, n := newHeaderEncoder(r.Header)
	r.encoded = encoder
	r.Status, r.Header = http.StatusOK, http.Header{longHeaderHeader: {strconv.FormatInt(n, 10)}}
	if r.Length >= 0 {
		r.Length += n
	}
}

// restLength returns the length of a body after its encoded header, or -1 if it is not known.
func restLength(body int64, header string) int64 {
	n, err := strconv.ParseInt(header, 10, 64)
	if err != nil || body < n {
		return -1
	}
	return body - n
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func textLen(s string) int64 { return uvarintLen(len(s)) + int64(len(s)) }

func uvarintLen(n int) int64 {
	var b [binary.MaxVarintLen64]byte
	return int64(binary.PutUvarint(b[:], uint64(n)))
}

// headerDecoder decodes an encoded header.
type headerDecoder struct {
	text string
	// buffer counts the memory of the header.
	buffer *bodybuf.Buffer
	// counted is the size so far as HTTP/2 counts it.
	counted int
}

// readLongHeader reads an encoded header from the beginning of a body. length is the value of
// longHeaderHeader. The header counts in the budget until the buffer is released.
func readLongHeader(body io.Reader, length string, bodies *bodybuf.Budget) (http.Header, *bodybuf.Buffer, error) {
	n, err := strconv.ParseInt(length, 10, 64)
	if err != nil || n < 0 {
		return nil, nil, fmt.Errorf("%w: length %q", errHeaderInvalid, length)
	}
	if n > maxLongHeaderBytes {
		return nil, nil, errHeaderTooLong
	}
	// The limit is one more than the length, so that the end is noticed.
	buffer, err := bodies.Read(io.LimitReader(body, n), n+1)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errHeaderInvalid, err)
	}
	if !buffer.Complete {
		buffer.Release()
		return nil, nil, errHeaderNoMemory
	}
	if int64(len(buffer.Bytes)) < n {
		buffer.Release()
		return nil, nil, fmt.Errorf("%w: %d of %d bytes", errHeaderInvalid, len(buffer.Bytes), n)
	}
	// All names and values share the memory of one string.
	d := &headerDecoder{text: string(buffer.Bytes), buffer: buffer}
	buffer.Bytes = nil
	h, err := d.decode()
	if err != nil {
		buffer.Release()
		return nil, nil, err
	}
	return h, buffer, nil
}

func (d *headerDecoder) decode() (http.Header, error) {
	names, err := d.number()
	h := http.Header{}
	for i := 0; i < names && err == nil; i++ {
		err = d.decodeName(h)
	}
	if err != nil {
		return nil, err
	}
	if d.text != "" {
		return nil, fmt.Errorf("%w: %d more bytes", errHeaderInvalid, len(d.text))
	}
	return h, nil
}

// decodeName adds the next name with its values to the header.
func (d *headerDecoder) decodeName(h http.Header) error {
	name, err := d.takeText()
	if err != nil {
		return err
	}
	n, err := d.number()
	if err != nil {
		return err
	}
	if d.counted += n * (len(name) + fieldOverheadBytes); d.counted > maxLongHeaderBytes {
		return errHeaderTooLong
	}
	if !d.buffer.Extend(int64(nameBytes + n*fieldOverheadBytes)) {
		return errHeaderNoMemory
	}
	if n == 0 || len(h[name]) > 0 || !sendableName(name) {
		return fmt.Errorf("%w: name %.40q with %d values", errHeaderInvalid, name, n)
	}
	values := make([]string, n)
	for i := range values {
		if values[i], err = d.takeText(); err != nil {
			return err
		}
	}
	if !allValid(values) {
		return fmt.Errorf("%w: value of %.40q", errHeaderInvalid, name)
	}
	h[name] = values
	return nil
}

// number takes a number. None is larger than the number of bytes that follow it.
func (d *headerDecoder) number() (int, error) {
	var n uint64
	for shift, i := 0, 0; i < len(d.text) && i < binary.MaxVarintLen32; shift, i = shift+7, i+1 {
		n |= uint64(d.text[i]&0x7f) << shift
		if d.text[i] >= 0x80 {
			continue
		}
		if d.text = d.text[i+1:]; n > uint64(len(d.text)) {
			break
		}
		return int(n), nil
	}
	return 0, fmt.Errorf("%w: number", errHeaderInvalid)
}

func (d *headerDecoder) takeText() (string, error) {
	n, err := d.number()
	if err != nil {
		return "", err
	}
	s := d.text[:n]
	d.text = d.text[n:]
	return s, nil
}

// sendableName reports whether a name is a token (RFC 9110, section 5.6.2) in canonical form that
// does not belong to a single connection.
func sendableName(name string) bool {
	invalid := func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
	return name != "" && !strings.ContainsFunc(name, invalid) && name == textproto.CanonicalMIMEHeaderKey(name) && !slices.Contains(hopByHopHeaders, name)
}

// allValid reports whether no value has a control character except tabs.
func allValid(values []string) bool {
	return !slices.ContainsFunc(values, func(v string) bool {
		return strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
	})
}
