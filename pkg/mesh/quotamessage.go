package mesh

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/pkg/quota"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// quotaFieldCount is the number of fields in the array of an encoded quota message, which tells it
// from the other messages. The first one is quotaKind.
const (
	quotaFieldCount = 8
	quotaPrefix     = 0x90 | quotaFieldCount
	quotaKind       = "quota"
	// reportFields and replyFields are the numbers of values of each report and reply.
	reportFields = 6
	replyFields  = 7
)

// encodeQuota encodes a message on quotas as an array. Reports and replies are flat lists of values.
func encodeQuota(m *quota.Message) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	err := e.EncodeArrayLen(quotaFieldCount)
	if err == nil {
		err = e.EncodeMulti(quotaKind, m.From, m.Incarnation, m.Sequence, m.Echo, m.EchoIncarnation)
	}
	if err == nil {
		err = e.EncodeArrayLen(len(m.Reports) * reportFields)
	}
	for i := 0; err == nil && i < len(m.Reports); i++ {
		r := m.Reports[i]
		err = e.EncodeMulti(uint64(r.Key), r.Spent, r.Held, r.Want, r.Arrived, r.SharePermille)
	}
	if err == nil {
		err = e.EncodeArrayLen(len(m.Replies) * replyFields)
	}
	for i := 0; err == nil && i < len(m.Replies); i++ {
		r := m.Replies[i]
		err = e.EncodeMulti(uint64(r.Key), r.NotOwner, r.Held, r.Overdraft, r.IntervalMillis, r.SharePermille, r.RetryMillis)
	}
	if err != nil {
		return nil, fmt.Errorf("encode quota message: %w", err)
	}
	return b.Bytes(), nil
}

// decodeQuota decodes and checks a message on quotas that fills the datagram.
func decodeQuota(b []byte) (*quota.Message, error) {
	m := &quota.Message{}
	var kind string
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	if n, err := d.DecodeArrayLen(); err != nil || n != quotaFieldCount {
		return nil, fmt.Errorf("%w: quota message of %d fields: %w", roster.ErrInvalid, n, err)
	}
	if err := d.DecodeMulti(&kind, &m.From, &m.Incarnation, &m.Sequence, &m.Echo, &m.EchoIncarnation); err != nil {
		return nil, fmt.Errorf("decode quota message: %w", err)
	}
	err := decodeGroups(d, reportFields, func() error {
		var e quota.Report
		err := d.DecodeMulti((*uint64)(&e.Key), &e.Spent, &e.Held, &e.Want, &e.Arrived, &e.SharePermille)
		m.Reports = append(m.Reports, e)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = decodeGroups(d, replyFields, func() error {
		var e quota.Reply
		err := d.DecodeMulti((*uint64)(&e.Key), &e.NotOwner, &e.Held, &e.Overdraft, &e.IntervalMillis, &e.SharePermille, &e.RetryMillis)
		m.Replies = append(m.Replies, e)
		return err
	})
	if err != nil {
		return nil, err
	}
	if kind != quotaKind || r.Len() > 0 {
		return nil, fmt.Errorf("%w: message of kind %.20q with %d bytes after it", roster.ErrInvalid, kind, r.Len())
	}
	if err := roster.ValidateAddress(m.From); err != nil {
		return nil, err
	}
	return m, m.Validate()
}

// decodeGroups decodes a list whose values form groups of the given size.
func decodeGroups(d *msgpack.Decoder, size int, decode func() error) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode quota message: %w", err)
	}
	if n < 0 || n%size != 0 || n/size > quota.MaxEntries {
		return fmt.Errorf("%w: list of %d values in a quota message", roster.ErrInvalid, n)
	}
	for range n / size {
		if err := decode(); err != nil {
			return fmt.Errorf("decode quota message: %w", err)
		}
	}
	return nil
}
