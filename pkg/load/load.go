// Package load encodes the load of an upstream for the header that sidecars add to
// their responses.
package load

import (
	"encoding/base64"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// maxHeaderBytes bounds an encoded load.
const maxHeaderBytes = 256

// Encode returns the header value of a load, or "" if it cannot be encoded.
func Encode(l *pb.Load) string {
	b, err := proto.Marshal(l)
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// Decode parses a header value.
func Decode(s string) (*pb.Load, error) {
	if len(s) > maxHeaderBytes {
		return nil, fmt.Errorf("load header has %d bytes, limit is %d", len(s), maxHeaderBytes)
	}
	b, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("decode base64 of load header: %w", err)
	}
	var l pb.Load
	if err := proto.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("unmarshal load header: %w", err)
	}
	return &l, nil
}
