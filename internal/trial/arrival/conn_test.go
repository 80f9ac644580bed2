package arrival

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection, the second one with its reads timed.
func pair(t *testing.T) (net.Conn, *Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	writer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		writer.Close()
		accepted.Close()
	})
	return writer, New(accepted.(*net.TCPConn))
}

// A message is dated when it was written, though it is read later.
func TestConn_DatesWhatIsReadLateByItsArrival(t *testing.T) {
	writer, reader := pair(t)
	buffer := make([]byte, 64)
	for !reader.timed.Load() { // the kernel begins to time what it receives
		if _, err := io.WriteString(writer, "x"); err != nil {
			t.Fatal(err)
		}
		if _, err := reader.Read(buffer); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	if _, err := io.WriteString(writer, "INVITE"); err != nil {
		t.Fatal(err)
	}
	written := time.Now()
	time.Sleep(50 * time.Millisecond) // the reader is late
	n, err := reader.Read(buffer)
	if err != nil || string(buffer[:n]) != "INVITE" {
		t.Fatalf("%q, %v", buffer[:n], err)
	}
	if at := reader.LastArrival(); at.Before(began.Add(-time.Millisecond)) || at.After(written.Add(time.Millisecond)) {
		t.Errorf("dated %v after the write began, which took %v", at.Sub(began), written.Sub(began))
	}
}

func TestConn_EndsAndDeadlinesAreThoseOfTheConnection(t *testing.T) {
	writer, reader := pair(t)
	if err := reader.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := reader.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("past its deadline: %v", err)
	}
	if err := reader.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	if n, err := reader.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %d bytes, %v", n, err)
	}
}
