package mesh

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// statusFieldCount is the number of fields in the array of an encoded status.
const statusFieldCount = 11

// encodeStatus encodes a status as an array of statusFieldCount fields, which StoreHistory
// and extensions follow.
func encodeStatus(s roster.Status) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(&s); err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	if err := e.EncodeUint(s.StoreHistory); err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	if err := appendExtensions(e, &b, s); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeStatus decodes and checks a status that fills the datagram.
func decodeStatus(b []byte) (roster.Status, error) {
	var s roster.Status
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	n, err := d.DecodeArrayLen()
	if err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	if n != statusFieldCount {
		return s, fmt.Errorf("%w: %d fields", roster.ErrInvalid, n)
	}
	err = d.DecodeMulti(&s.Address, &s.Incarnation, &s.Sequence, &s.Phase, &s.Domain, &s.Service, &s.ConfigVersion, &s.StoreUnavailable, &s.Upstream)
	if err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	if s.Suspects, err = decodeSuspects(d, r); err != nil {
		return s, err
	}
	if err := d.Decode(&s.ReceiverIncarnation); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	if r.Len() > 0 {
		if s.StoreHistory, err = d.DecodeUint64(); err != nil {
			return s, fmt.Errorf("decode status: %w", err)
		}
	}
	if r.Len() > 0 {
		if err := decodeExtensions(d, r, &s); err != nil {
			return s, err
		}
	}
	if r.Len() > 0 {
		return s, fmt.Errorf("%w: %d bytes follow it", roster.ErrInvalid, r.Len())
	}
	return s, s.Validate(time.Now())
}

// decodeSuspects decodes the list of suspects from the decoder, which reads from r. It checks
// the length first, because the decoder allocates lists in their full length.
func decodeSuspects(d *msgpack.Decoder, r *bytes.Reader) ([]suspect.Entry, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, fmt.Errorf("decode suspects: %w", err)
	}
	if n > r.Len() {
		return nil, fmt.Errorf("%w: %d suspects in %d bytes", roster.ErrInvalid, n, r.Len())
	}
	var list []suspect.Entry
	for range n {
		var e suspect.Entry
		if err := d.Decode(&e); err != nil {
			return nil, fmt.Errorf("decode suspects: %w", err)
		}
		list = append(list, e)
	}
	return list, nil
}

// departureFieldCount is the number of fields in the array of an encoded departure. It tells
// departures from statuses.
const departureFieldCount = 3

// readReportFieldCount is the number of fields in the array of an encoded read report, which
// tells it from the other messages. The first one is readReportKind.
const (
	readReportFieldCount = 4
	readReportPrefix     = 0x90 | readReportFieldCount
	readReportKind       = "store-read"
)

// encodeReadReport encodes a read report as an array.
func encodeReadReport(r readReport) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	err := e.EncodeArrayLen(readReportFieldCount)
	if err == nil {
		err = e.EncodeMulti(readReportKind, r.Address, r.AgeMillis, r.Failed)
	}
	if err != nil {
		return nil, fmt.Errorf("encode read report: %w", err)
	}
	return b.Bytes(), nil
}

// decodeReadReport decodes and checks a read report that fills the datagram.
func decodeReadReport(b []byte) (readReport, error) {
	var report readReport
	var kind string
	r := bytes.NewReader(b)
	decoder := msgpack.NewDecoder(r)
	if n, err := decoder.DecodeArrayLen(); err != nil || n != readReportFieldCount {
		return report, fmt.Errorf("%w: read report of %d fields: %w", roster.ErrInvalid, n, err)
	}
	if err := decoder.DecodeMulti(&kind, &report.Address, &report.AgeMillis, &report.Failed); err != nil {
		return report, fmt.Errorf("decode read report: %w", err)
	}
	if kind != readReportKind || r.Len() > 0 {
		return report, fmt.Errorf("%w: message of kind %.20q with %d bytes after it", roster.ErrInvalid, kind, r.Len())
	}
	return report, report.validate()
}

// departurePrefix is the first byte of an encoded departure: an array of that length.
const departurePrefix = 0x90 | departureFieldCount

// encodeDeparture encodes a departure as an array.
func encodeDeparture(d roster.Departure) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(&d); err != nil {
		return nil, fmt.Errorf("encode departure: %w", err)
	}
	return b.Bytes(), nil
}

// decodeDeparture decodes and checks a departure that fills the datagram.
func decodeDeparture(b []byte) (roster.Departure, error) {
	var d roster.Departure
	r := bytes.NewReader(b)
	decoder := msgpack.NewDecoder(r)
	if n, err := decoder.DecodeArrayLen(); err != nil || n != departureFieldCount {
		return d, fmt.Errorf("%w: departure of %d fields: %w", roster.ErrInvalid, n, err)
	}
	if err := decoder.DecodeMulti(&d.Address, &d.Upstream, &d.StartUnixMillis); err != nil {
		return d, fmt.Errorf("decode departure: %w", err)
	}
	if r.Len() > 0 {
		return d, fmt.Errorf("%w: %d bytes follow a departure", roster.ErrInvalid, r.Len())
	}
	return d, d.Validate(time.Now())
}
