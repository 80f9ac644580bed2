package trial

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/mdlayher/netlink"
	"golang.org/x/sys/unix"
)

// The layout of a request and a response of sock_diag(7) for TCP over IPv4: bytes, and offsets of fields.
const (
	diagFamilyRequest              = 20 // SOCK_DIAG_BY_FAMILY
	diagRequestSize                = 56
	diagStates                     = 4
	diagSourcePort, diagRemotePort = 8, 10
	diagSource, diagRemote         = 12, 28
	diagCookie                     = 48
	diagInode, diagResponseSize    = 68, 72
	anyState, anyCookie            = 1<<32 - 1, 1<<64 - 1
)

var (
	errNotIPv4     = errors.New("trial: no TCP connection over IPv4")
	errShortAnswer = errors.New("trial: the kernel's answer about a socket is too short")
)

// socketOwner returns which of the processes has accepted a TCP connection over IPv4 of this program, 0 where none of
// them has it open.
func socketOwner(conn net.Conn, pids []int) (pid int) {
	inode, err := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	if err != nil { // its accepting end is gone
		return 0
	}
	for _, pid := range pids {
		if hasSocket(pid, inode) {
			return pid
		}
	}
	return 0
}

// socketInode returns the inode of the socket with those addresses. It asks for that socket alone: the table of all
// sockets takes longer to read than a process may live.
func socketInode(local, remote net.Addr) (uint32, error) {
	request, err := diagRequest(local, remote)
	if err != nil {
		return 0, err
	}
	kernel, err := netlink.Dial(unix.NETLINK_SOCK_DIAG, nil)
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	defer func() { _ = kernel.Close() }() // it holds nothing that a failure could lose
	answers, err := kernel.Execute(netlink.Message{
		Header: netlink.Header{Type: diagFamilyRequest, Flags: netlink.Request},
		Data:   request,
	})
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	if len(answers) != 1 || len(answers[0].Data) < diagResponseSize {
		return 0, errShortAnswer
	}
	return binary.NativeEndian.Uint32(answers[0].Data[diagInode:]), nil
}

// diagRequest encodes the request for one socket.
func diagRequest(local, remote net.Addr) ([]byte, error) {
	source, isSource := local.(*net.TCPAddr)
	destination, isDestination := remote.(*net.TCPAddr)
	if !isSource || !isDestination || source.IP.To4() == nil || destination.IP.To4() == nil {
		return nil, errNotIPv4
	}
	request := make([]byte, diagRequestSize)
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStates:], anyState)
	binary.BigEndian.PutUint16(request[diagSourcePort:], uint16(source.Port))
	binary.BigEndian.PutUint16(request[diagRemotePort:], uint16(destination.Port))
	copy(request[diagSource:], source.IP.To4())
	copy(request[diagRemote:], destination.IP.To4())
	binary.NativeEndian.PutUint64(request[diagCookie:], anyCookie)
	return request, nil
}

// hasSocket reports whether a process has the socket of that inode open.
func hasSocket(pid int, inode uint32) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	name := fmt.Sprintf("socket:[%d]", inode)
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil && target == name {
			return true
		}
	}
	return false
}
