package stream_test

import (
	"net/http"
	"reflect"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// Guards against forwarding headers that apply to one connection only.
func TestCopyHeaderDropsHopByHopHeaders(t *testing.T) {
	src := http.Header{
		"Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"5"},
		"Upgrade": {"x"}, "Trailer": {"X-Sum"}, "Accept": {"a", "b"},
	}
	dst := http.Header{}
	stream.CopyHeader(dst, src)
	if want := (http.Header{"Accept": {"a", "b"}}); !reflect.DeepEqual(dst, want) {
		t.Errorf("got %v, want %v", dst, want)
	}
	dst.Add("Accept", "c")
	if len(src["Accept"]) != 2 {
		t.Error("the copy shares its values with the source")
	}
}
