package rendezvous

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
)

const (
	// folderMode is for this user alone.
	folderMode = 0o700
	// maxSocketName is the longest path that a Unix socket may have, in bytes.
	maxSocketName = 107
	// maxEntries bounds the folder's entries that are looked at.
	maxEntries = 256

	fileSuffix, socketSuffix = ".json", ".sock"

	network = "unixpacket"
)

// ErrNobody reports that no process of the controller was found.
var ErrNobody = errors.New("rendezvous: no process was found")

// Folder is where the processes of the controller with one listen address find each other.
type Folder struct {
	path    string
	listen  string
	entered *os.File // the folder, where its path is too long for a socket; nil: it is not
	log     zerolog.Logger
	server  *Server // this process's; nil: it has none
}

// Open makes the folder in the one for temporary files, and checks that it is this user's.
func Open(temporary, listen string, log zerolog.Logger) (*Folder, error) {
	path := filepath.Join(temporary, fmt.Sprintf("eidertrail-%d", os.Geteuid()))
	if err := os.Mkdir(path, folderMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, &FileError{Path: path, Err: err}
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	if !info.IsDir() {
		return nil, &FileError{Path: path, Err: errFormat}
	}
	if err := checkOwner(info); err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	folder := &Folder{path: path, listen: listen, log: log}
	if len(filepath.Join(path, folder.prefix()))+maxNumberLength+len(socketSuffix) > maxSocketName {
		if folder.entered, err = os.Open(path); err != nil {
			return nil, &FileError{Path: path, Err: err}
		}
	}
	return folder, nil
}

// prefix begins the names of the controller's files.
func (f *Folder) prefix() string { return url.PathEscape(f.listen) + "." }

// socketAddress is the address of a socket in the folder.
func (f *Folder) socketAddress(name string) *net.UnixAddr {
	path := filepath.Join(f.path, name)
	if f.entered != nil {
		path = fmt.Sprintf("/proc/self/fd/%d/%s", f.entered.Fd(), name)
	}
	return &net.UnixAddr{Name: path, Net: network}
}

// Find connects to the process that was announced last. It returns ErrNobody where there is none.
func (f *Folder) Find() (*Link, error) {
	for _, found := range f.announcements() {
		conn, err := net.DialUnix(network, nil, f.socketAddress(found.Socket))
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ENOENT) {
			f.remove(found) // its process is dead
			continue
		}
		var link *Link
		if err == nil {
			link, err = newLink(conn)
		}
		if err != nil {
			f.log.Warn().Err(err).Int("process", found.Process).Msg("process not reached for a handover")
			continue
		}
		return link, nil
	}
	return nil, ErrNobody
}

// announcements are those of other processes, the latest first.
func (f *Folder) announcements() []announcement {
	names, err := f.names()
	if err != nil {
		f.log.Warn().Err(err).Msg("handover files not read")
	}
	var found []announcement
	for _, name := range names {
		path := filepath.Join(f.path, name)
		if f.server != nil && path == f.server.filePath() {
			continue
		}
		one, err := readAnnouncement(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // its process has just ended
		}
		if err != nil {
			f.log.Warn().Err(&FileError{Path: path, Err: err}).Msg("handover file not used")
			continue
		}
		if one.Listen == f.listen && one.Socket == filepath.Base(one.Socket) {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b announcement) int { return cmp.Compare(b.AnnouncedAt, a.AnnouncedAt) })
	return found
}

// names are the names of the controller's announcements.
func (f *Folder) names() ([]string, error) {
	folder, err := os.Open(f.path)
	if err != nil {
		return nil, &FileError{Path: f.path, Err: err}
	}
	defer func() { _ = folder.Close() }() // it was only read
	all, err := folder.Readdirnames(maxEntries)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, &FileError{Path: f.path, Err: err}
	}
	var names []string
	for _, name := range all {
		if strings.HasPrefix(name, f.prefix()) && strings.HasSuffix(name, fileSuffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// remove removes what a dead process has left.
func (f *Folder) remove(left announcement) {
	f.log.Info().Int("process", left.Process).Msg("handover files of a dead process removed")
	base := strings.TrimSuffix(left.Socket, socketSuffix)
	_ = os.Remove(filepath.Join(f.path, base+fileSuffix)) // what is left is tried again by the next process
	_ = os.Remove(filepath.Join(f.path, left.Socket))
}

// Close gives the folder up.
func (f *Folder) Close() {
	if f.server != nil {
		f.server.close()
	}
	if f.entered != nil {
		_ = f.entered.Close() // it was only read
	}
}
