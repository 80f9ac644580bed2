// Package arrival reads TCP connections with the times at which the kernel received what is read. On loopback that is
// when the other side wrote it, however late the reader runs.
package arrival

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// controlBytes is room for the control messages of one read.
	controlBytes = 128
	// timespecBytes is the size of a struct timespec of two 64-bit numbers.
	timespecBytes, secondsBytes = 16, 8
)

// Conn is a TCP connection whose reads are timed. One goroutine reads it.
type Conn struct {
	*net.TCPConn
	raw  syscall.RawConn
	last atomic.Int64 // ns of Unix time
	// timed: the kernel has timed the latest read. It begins to do so some time after the first socket asks for that.
	timed atomic.Bool
}

// New returns the connection with its reads timed. Where the kernel cannot time them, the time of a read is that at
// which it returned.
func New(conn *net.TCPConn) *Conn {
	timed := &Conn{TCPConn: conn}
	raw, err := conn.SyscallConn()
	if err != nil {
		return timed
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err == nil && failed == nil {
		timed.raw = raw
	}
	return timed
}

// LastArrival returns when the last byte of the latest read was received. Earlier bytes of that read may have been
// received earlier.
func (c *Conn) LastArrival() time.Time { return time.Unix(0, c.last.Load()) }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.raw == nil {
		n, err := c.TCPConn.Read(buffer)
		c.last.Store(time.Now().UnixNano())
		return n, err
	}
	control := make([]byte, controlBytes)
	var n, controlRead int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		n, controlRead, failed = receive(int(fd), buffer, control)
		return !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", failed)}
	case n == 0 && len(buffer) > 0:
		return 0, io.EOF
	}
	at, timed := arrivalOf(control[:controlRead])
	c.last.Store(at)
	c.timed.Store(timed)
	return n, nil
}

// receive reads once, and again where a signal interrupts it.
func receive(fd int, buffer, control []byte) (n, controlRead int, err error) {
	for {
		n, controlRead, _, _, err = syscall.Recvmsg(fd, buffer, control, 0)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), max(controlRead, 0), err
		}
	}
}

// arrivalOf returns the time in a read's control messages in ns of Unix time, the present one where there is none.
func arrivalOf(control []byte) (at int64, timed bool) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now().UnixNano(), false
	}
	for _, message := range messages {
		if message.Header.Type == syscall.SCM_TIMESTAMPNS && len(message.Data) >= timespecBytes {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[secondsBytes:])
			return time.Unix(int64(seconds), int64(nanoseconds)).UnixNano(), true
		}
	}
	return time.Now().UnixNano(), false
}
