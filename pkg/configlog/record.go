package configlog

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Limits of records, in bytes. The largest record is a checkpoint; the limits in
// state.go bound its state.
const (
	MaxRecordBytes = 2 << 20
	MaxIntentBytes = 256 << 10
	MaxPlanBytes   = 64 << 10
	// MaxNameBytes bounds record ids, node ids, operators and digests.
	MaxNameBytes = 64
)

// RecordError states why a record is invalid. Replay skips invalid records.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "invalid record: " + e.Reason }

// EncodeRecord validates a record and returns its bytes.
func EncodeRecord(rec *pb.Record) ([]byte, error) {
	if err := checkRecord(rec); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, tooLong("record", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord decodes and validates the bytes of a record. It returns a
// *RecordError if they are not a valid record, or a *StateError if they are a
// checkpoint with an invalid state.
func DecodeRecord(data []byte) (*pb.Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, tooLong("record", len(data), MaxRecordBytes)
	}
	rec := &pb.Record{}
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	return rec, checkRecord(rec)
}

func checkRecord(rec *pb.Record) error {
	if err := checkName("id", rec.Id); err != nil {
		return err
	}
	switch body := rec.Body.(type) {
	case *pb.Record_Proposal:
		return checkProposal(body.Proposal)
	case *pb.Record_Confirmation:
		c := body.Confirmation
		return firstError(
			checkName("proposal_id", c.GetProposalId()),
			checkName("plan_digest", c.GetPlanDigest()),
			checkName("operator", c.GetOperator()))
	case *pb.Record_DrainOrder:
		d := body.DrainOrder
		return firstError(checkName("node_id", d.GetNodeId()), checkName("operator", d.GetOperator()))
	case *pb.Record_Checkpoint:
		return checkState(body.Checkpoint.GetState())
	default:
		return &RecordError{Reason: "no known body"}
	}
}

func checkProposal(p *pb.Proposal) error {
	return firstError(
		checkName("plan_digest", p.GetPlanDigest()),
		checkName("operator", p.GetOperator()),
		checkLength("intent_yaml", p.GetIntentYaml(), MaxIntentBytes),
		checkLength("plan_json", p.GetPlanJson(), MaxPlanBytes))
}

func checkName(field, value string) error {
	if value == "" {
		return &RecordError{Reason: field + " is empty"}
	}
	return checkLength(field, value, MaxNameBytes)
}

func checkLength(field, value string, limit int) error {
	if len(value) > limit {
		return tooLong(field, len(value), limit)
	}
	return nil
}

func tooLong(field string, got, limit int) error {
	return &RecordError{Reason: fmt.Sprintf("%s has %d bytes, more than %d", field, got, limit)}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
