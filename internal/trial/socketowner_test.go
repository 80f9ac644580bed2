package trial

import (
	"net"
	"os"
	"testing"
)

// Calls that stood in the killed process of an upgrade were taken for the other one's, which never had them.
func TestSocketOwner_IsTheProcessThatAccepted(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	parent, own := os.Getppid(), os.Getpid()
	if owner := socketOwner(conn, []int{parent, own}); owner != own {
		t.Errorf("accepted by %d, want %d", owner, own)
	}
	if owner := socketOwner(conn, []int{parent}); owner != 0 {
		t.Errorf("accepted by %d, which has not accepted it", owner)
	}
	accepted.Close()
	if owner := socketOwner(conn, []int{own}); owner != 0 {
		t.Errorf("held by %d after its close", owner)
	}
}
