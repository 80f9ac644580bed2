package rendezvous

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// sendTimeout is how long a message may wait for a process that does not read.
const sendTimeout = 200 * time.Millisecond

// offerTimeout is the same for a message that can be sent later.
const offerTimeout = time.Millisecond

// descriptorBytes is the size of a descriptor in a control message.
const descriptorBytes = 4

// ErrForeign reports a process of another user.
var ErrForeign = errors.New("rendezvous: a process of another user")

// Link is a connection between two processes. Its end is the other one's death, or its wish to have no more to do with
// this one.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex // held while a message is sent
}

// newLink checks that the other process is this user's.
func newLink(conn *net.UnixConn) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var credentials *unix.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optionErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return nil, err
	}
	if int(credentials.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("%w: uid %d", ErrForeign, credentials.Uid)
	}
	return &Link{conn: conn}, nil
}

// Send sends a message with descriptors, which stay the caller's. After an error the link is closed.
func (l *Link) Send(message Message, descriptors ...int) error {
	var rights []byte
	if len(descriptors) > 0 {
		rights = unix.UnixRights(descriptors...)
	}
	err := l.write(message, rights, sendTimeout)
	if err != nil {
		l.Close()
	}
	return err
}

// Offer sends a message unless the other process does not read, and reports whether it did.
func (l *Link) Offer(message Message) (sent bool, err error) {
	err = l.write(message, nil, offerTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

// write writes a message, whole or not at all, and waits for so long for a process that does not read.
func (l *Link) write(message Message, rights []byte, timeout time.Duration) error {
	message.Version, message.Process = Version, os.Getpid()
	text, err := message.encode()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, _, err = l.conn.WriteMsgUnix(text, rights, nil)
	return err
}

// Receive waits for the next message. Its files are the caller's.
func (l *Link) Receive() (Message, []*os.File, error) {
	text := make([]byte, maxMessageBytes)
	rights := make([]byte, unix.CmsgSpace(maxDescriptors*descriptorBytes))
	size, rightsSize, _, _, err := l.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return Message{}, nil, err
	}
	files, err := receivedFiles(rights[:rightsSize])
	if err != nil {
		return Message{}, nil, err
	}
	message, err := parseMessage(text[:size])
	if err != nil {
		closeAll(files)
		return Message{}, nil, fmt.Errorf("rendezvous: %w", err)
	}
	return message, files, nil
}

// SetReceiveDeadline bounds the wait of Receive; the zero time removes the bound.
func (l *Link) SetReceiveDeadline(deadline time.Time) error { return l.conn.SetReadDeadline(deadline) }

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() } // what was sent is read all the same

func receivedFiles(rights []byte) ([]*os.File, error) {
	controls, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, os.NewSyscallError("recvmsg", err)
	}
	var files []*os.File
	for i := range controls {
		descriptors, err := unix.ParseUnixRights(&controls[i])
		if err != nil {
			continue // no descriptors
		}
		for _, descriptor := range descriptors {
			files = append(files, os.NewFile(uintptr(descriptor), "listener"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, file := range files {
		_ = file.Close() // it was not used
	}
}
