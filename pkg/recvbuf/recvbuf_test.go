package recvbuf

import (
	"io"
	"net"
	"testing"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

func TestCheck(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	// A goroutine that waits for bytes must not block the check.
	received := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(server, make([]byte, 1))
		received <- err
	}()
	if s := Check(server); s != Empty {
		t.Errorf("state %d of an idle connection, want %d", s, Empty)
	}
	if _, err := io.WriteString(client, "xy"); err != nil {
		t.Fatal(err)
	}
	if err := <-received; err != nil {
		t.Fatal(err)
	}
	await.Eventually(t, "unread bytes are seen", func() bool { return Check(server) == Readable })
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	await.Eventually(t, "the close is seen", func() bool { return Check(server) == Ended })
}
