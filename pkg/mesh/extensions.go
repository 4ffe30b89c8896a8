package mesh

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/pkg/evacuation"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// Keys of the extensions of a status, which follow StoreHistory as a map.
const (
	// extensionCold is the number of milliseconds for which the upstream stays cold.
	extensionCold = 1
	// extensionEvacuated is the set of evacuated failure domains.
	extensionEvacuated = 2
	// extensionEvidence is the list of evidence for requests that crash upstreams.
	extensionEvidence = 3
)

const (
	// evidenceFieldCount is the number of fields in the array of one piece of evidence.
	evidenceFieldCount = 4
	// maxEvidenceBytes is the largest encoded size of one piece of evidence.
	maxEvidenceBytes = 1 + 9 + 9 + 5 + 1
	// evidenceHeaderBytes is the largest encoded size of the list without its pieces.
	evidenceHeaderBytes = 1 + 1 + 3
	// maxEvidenceAge is the largest age that a piece of evidence may have.
	maxEvidenceAge = 24 * time.Hour
)

// extended reports whether the status has one of the extensions without which nodes of earlier
// versions get it.
func extended(s roster.Status) bool { return s.Evacuated != nil || s.Upstream.ColdMillis > 0 }

// evacuatedFieldCount is the number of fields in the array of an encoded set of evacuated failure
// domains.
const evacuatedFieldCount = 3

// appendExtensions encodes the extensions that the status has into b. Without any, it encodes nothing.
// Evidence that doesn't fit into the datagram is left out.
func appendExtensions(e *msgpack.Encoder, b *bytes.Buffer, s roster.Status) error {
	count := 0
	for _, set := range []bool{s.Evacuated != nil, s.Upstream.ColdMillis > 0, s.Evidence != nil} {
		if set {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	err := e.EncodeMapLen(count)
	if err == nil && s.Upstream.ColdMillis > 0 {
		err = e.EncodeMulti(extensionCold, s.Upstream.ColdMillis)
	}
	if err == nil && s.Evacuated != nil {
		err = e.EncodeInt(extensionEvacuated)
	}
	if err != nil {
		return fmt.Errorf("encode extensions: %w", err)
	}
	if s.Evacuated != nil {
		if err := encodeEvacuated(e, *s.Evacuated); err != nil {
			return err
		}
	}
	if s.Evidence == nil {
		return nil
	}
	room := (maxStatusBytes - b.Len() - evidenceHeaderBytes) / maxEvidenceBytes
	return encodeEvidence(e, s.Evidence[:max(0, min(len(s.Evidence), room))])
}

// encodeEvidence encodes the key of the extension and the list.
func encodeEvidence(e *msgpack.Encoder, list []suspect.Evidence) error {
	err := e.EncodeInt(extensionEvidence)
	if err == nil {
		err = e.EncodeArrayLen(len(list))
	}
	for _, v := range list {
		if err == nil {
			err = e.EncodeArrayLen(evidenceFieldCount)
		}
		if err == nil {
			err = e.EncodeMulti(v.Fingerprint, v.Start, v.Age.Milliseconds(), v.Cleared)
		}
	}
	if err != nil {
		return fmt.Errorf("encode evidence: %w", err)
	}
	return nil
}

// decodeEvidence decodes a list of evidence from the decoder, which reads from r. Later versions may
// add fields to each piece. A piece whose age is out of range is left out. It checks lengths first,
// because a list may claim any.
func decodeEvidence(d *msgpack.Decoder, r *bytes.Reader) ([]suspect.Evidence, error) {
	n, err := d.DecodeArrayLen()
	if err == nil && n > r.Len() {
		err = fmt.Errorf("%w: %d pieces in %d bytes", roster.ErrInvalid, n, r.Len())
	}
	list := []suspect.Evidence{}
	for i := 0; i < n && err == nil; i++ {
		var v suspect.Evidence
		var fields int
		var ageMillis int64
		if fields, err = d.DecodeArrayLen(); err == nil && (fields < evidenceFieldCount || fields > r.Len()) {
			err = fmt.Errorf("%w: %d fields", roster.ErrInvalid, fields)
		}
		if err == nil {
			err = d.DecodeMulti(&v.Fingerprint, &v.Start, &ageMillis, &v.Cleared)
		}
		for j := evidenceFieldCount; j < fields && err == nil; j++ {
			err = d.Skip()
		}
		if ageMillis >= 0 && ageMillis <= maxEvidenceAge.Milliseconds() {
			v.Age = time.Duration(ageMillis) * time.Millisecond
			list = append(list, v)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("decode evidence: %w", err)
	}
	return list, nil
}

// decodeExtensions decodes the extensions of a status from the decoder, which reads from r. It skips
// those of later versions.
func decodeExtensions(d *msgpack.Decoder, r *bytes.Reader, s *roster.Status) error {
	n, err := d.DecodeMapLen()
	if err != nil {
		return fmt.Errorf("decode extensions: %w", err)
	}
	if n < 0 {
		return fmt.Errorf("%w: no map of extensions", roster.ErrInvalid)
	}
	for range n {
		key, err := d.DecodeInt64()
		if err != nil {
			return fmt.Errorf("decode extensions: %w", err)
		}
		switch key {
		case extensionCold:
			if err := d.Decode(&s.Upstream.ColdMillis); err != nil {
				return fmt.Errorf("decode the cold time: %w", err)
			}
		case extensionEvacuated:
			set, err := decodeEvacuated(d, r)
			if err != nil {
				return err
			}
			s.Evacuated = &set
		case extensionEvidence:
			if s.Evidence, err = decodeEvidence(d, r); err != nil {
				return err
			}
		default:
			if err := d.Skip(); err != nil {
				return fmt.Errorf("decode extension %d: %w", key, err)
			}
		}
	}
	return nil
}

// encodeEvacuated encodes a set of evacuated failure domains as an array.
func encodeEvacuated(e *msgpack.Encoder, set evacuation.Set) error {
	err := e.EncodeArrayLen(evacuatedFieldCount)
	if err == nil {
		err = e.EncodeMulti(set.Version.History, set.Version.Offset)
	}
	if err == nil {
		err = e.EncodeArrayLen(len(set.Domains))
	}
	for _, domain := range set.Domains {
		if err == nil {
			err = e.EncodeString(domain)
		}
	}
	if err != nil {
		return fmt.Errorf("encode evacuated failure domains: %w", err)
	}
	return nil
}

// decodeEvacuated decodes and checks a set of evacuated failure domains from the decoder, which
// reads from r. It checks lengths first, because the decoder allocates texts in their full length.
func decodeEvacuated(d *msgpack.Decoder, r *bytes.Reader) (evacuation.Set, error) {
	var set evacuation.Set
	n, err := d.DecodeArrayLen()
	if err == nil && n != evacuatedFieldCount {
		err = fmt.Errorf("%w: %d fields", roster.ErrInvalid, n)
	}
	if err == nil {
		err = d.DecodeMulti(&set.Version.History, &set.Version.Offset)
	}
	if err == nil {
		n, err = d.DecodeArrayLen()
	}
	for i := 0; i < n && err == nil; i++ {
		var name []byte
		if name, err = decodeShortText(d, r); err == nil {
			set.Domains = append(set.Domains, string(name))
		}
	}
	if err == nil {
		err = set.Validate()
	}
	if err != nil {
		return evacuation.Set{}, fmt.Errorf("decode evacuated failure domains: %w", err)
	}
	return set, nil
}

// decodeShortText decodes a text that is not longer than what is left in r.
func decodeShortText(d *msgpack.Decoder, r *bytes.Reader) ([]byte, error) {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > r.Len() {
		return nil, fmt.Errorf("%w: text of %d bytes in %d", roster.ErrInvalid, n, r.Len())
	}
	text := make([]byte, n)
	return text, d.ReadFull(text)
}
