package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrTaken reports an address that another process listens on.
var ErrTaken = errors.New("another process listens on this address")

// MayPass reports whether an address that could not be opened may be so later: another process has it, or the system
// has no descriptor or memory now.
func MayPass(err error) bool {
	for _, passing := range []error{ErrTaken, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Opened is a listener, and what kept it from being shared.
type Opened struct {
	*net.TCPListener
	// NotShareable is why the address cannot be shared with another process; nil: it can.
	NotShareable error
}

// Open listens on an address that no other process listens on. Another process may share it later.
func Open(ctx context.Context, address string) (Opened, error) {
	if err := probe(address, false); errors.Is(err, syscall.EADDRINUSE) {
		return Opened{}, fmt.Errorf("listen tcp %s: %w: %w", address, ErrTaken, err)
	}
	return OpenShared(ctx, address) // whatever else the probe ran into, listening itself decides
}

// OpenShared listens on an address that other processes may listen on, too, if they share it.
func OpenShared(ctx context.Context, address string) (Opened, error) {
	var opened Opened
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		opened.NotShareable = setReusePort(raw) // one that cannot be shared is better than none
		return nil
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.EADDRINUSE) {
			err = fmt.Errorf("%w: %w", ErrTaken, err)
		}
		return Opened{}, err
	}
	tcp, is := listener.(*net.TCPListener)
	if !is {
		listener.Close()
		return Opened{}, fmt.Errorf("listen %s: %w", address, errors.ErrUnsupported)
	}
	opened.TCPListener = tcp
	return opened, nil
}

// Shareable reports whether the processes that listen on an address let another one listen, too.
func Shareable(address string) bool { return probe(address, true) == nil }

// probe binds an address and gives it up at once.
func probe(address string, reusePort bool) error {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || resolved.Port == 0 {
		return err
	}
	family, name := socketAddress(resolved)
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(socket) }() // nothing was done with it
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if reusePort {
		if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			return os.NewSyscallError("setsockopt", err)
		}
	}
	return os.NewSyscallError("bind", unix.Bind(socket, name))
}

// socketAddress is an address as the system takes it.
func socketAddress(address *net.TCPAddr) (family int, name unix.Sockaddr) {
	if address.IP == nil || address.IP.To4() != nil {
		v4 := &unix.SockaddrInet4{Port: address.Port}
		copy(v4.Addr[:], address.IP.To4())
		return unix.AF_INET, v4
	}
	v6 := &unix.SockaddrInet6{Port: address.Port}
	copy(v6.Addr[:], address.IP.To16())
	return unix.AF_INET6, v6
}

func setReusePort(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = os.NewSyscallError("setsockopt",
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	})
	return errors.Join(err, optionErr)
}

func duplicateDescriptor(fd uintptr) (int, error) {
	duplicate, err := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
	return duplicate, os.NewSyscallError("fcntl", err)
}

// FromFile is the listener of a descriptor that another process has passed. It closes the file.
func FromFile(file *os.File) (*net.TCPListener, error) {
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, is := listener.(*net.TCPListener)
	if !is {
		listener.Close()
		return nil, fmt.Errorf("descriptor of %s: %w", listener.Addr(), errors.ErrUnsupported)
	}
	return tcp, nil
}
