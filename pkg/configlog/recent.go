package configlog

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Limits of the records retained for peers. At one change every 20 s they cover
// several minutes.
const (
	maxRecentRecords = 64
	maxRecentBytes   = 1 << 20
)

// recentRecords holds the most recently applied records, in offset order without
// gaps. A peer that is a few records behind receives these instead of the whole
// state, which includes the history and is a hundred times larger.
type recentRecords struct {
	entries []Entry
	bytes   int
}

func (r *recentRecords) add(e Entry) {
	if n := len(r.entries); n > 0 && r.entries[n-1].Offset+1 != e.Offset {
		*r = recentRecords{}
	}
	e.Data = stripCheckpointState(e.Data)
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data)
	for len(r.entries) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.entries[0].Data)
		r.entries = r.entries[1:]
	}
}

// from returns the records of offsets [offset, end), or nil if any is not retained.
func (r *recentRecords) from(offset, end uint64) []Entry {
	if offset >= end || len(r.entries) == 0 || r.entries[0].Offset > offset {
		return nil
	}
	first := offset - r.entries[0].Offset
	if first >= uint64(len(r.entries)) || r.entries[len(r.entries)-1].Offset+1 != end {
		return nil
	}
	return append([]Entry(nil), r.entries[first:]...)
}

// stripCheckpointState removes the state from a checkpoint record. A peer that has
// applied all earlier records does not need it.
func stripCheckpointState(data []byte) []byte {
	rec, err := DecodeRecord(data)
	if err != nil || rec.GetCheckpoint() == nil {
		return data
	}
	stripped, err := proto.Marshal(&pb.Record{Id: rec.Id, Body: &pb.Record_Checkpoint{Checkpoint: &pb.Checkpoint{State: &pb.ConfigState{}}}})
	if err != nil {
		return data
	}
	return stripped
}
