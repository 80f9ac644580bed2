package rendezvous

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"syscall"

	"github.com/google/renameio/v2"
)

const (
	fileFormat = "eidertrail-handover"
	// fileMode is for this user alone.
	fileMode     = 0o600
	maxFileBytes = 4 << 10
	othersMode   = 0o077 // the permissions of all others
)

// Why a file is not used.
var (
	errTorn    = errors.New("it is torn")
	errOthers  = errors.New("it is not this user's alone")
	errFormat  = errors.New("it is no file of this program")
	errTooLong = errors.New("it is too long")
)

// NewerError is a file of a later version.
type NewerError struct{ Version int }

func (e *NewerError) Error() string {
	return fmt.Sprintf("version %d, this program knows versions up to %d", e.Version, Version)
}

// FileError is a file, or the folder, that cannot be used.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("rendezvous: %s: %v", e.Path, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy says what an operator can do.
func (e *FileError) Remedy() string {
	return "remove it if no process of this controller uses it; until then this one starts as if it were alone"
}

// announcement is what a process's file says.
type announcement struct {
	Format      string `json:"format"`
	Version     int    `json:"version"`
	Process     int    `json:"process"`
	Listen      string `json:"listen"`
	Socket      string `json:"socket"`       // its name in the folder
	AnnouncedAt int64  `json:"announced_at"` // Unix µs
	Checksum    uint32 `json:"checksum"`     // of the above
}

func (a announcement) sum() uint32 {
	text := fmt.Sprintf("%s|%d|%d|%s|%s|%d", a.Format, a.Version, a.Process, a.Listen, a.Socket, a.AnnouncedAt)
	return crc32.ChecksumIEEE([]byte(text))
}

// write writes the file in one step.
func (a announcement) write(path string) error {
	a.Checksum = a.sum()
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, fileMode)
}

// readAnnouncement reads and checks a file.
func readAnnouncement(path string) (announcement, error) {
	found := announcement{}
	info, err := os.Lstat(path)
	if err != nil {
		return found, err
	}
	if err := checkOwner(info); err != nil {
		return found, err
	}
	if !info.Mode().IsRegular() {
		return found, errFormat
	}
	if info.Size() > maxFileBytes {
		return found, errTooLong
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return found, err
	}
	if err := json.Unmarshal(text, &found); err != nil {
		return found, errTorn
	}
	return found, found.check()
}

func (a announcement) check() error {
	switch {
	case a.Format != fileFormat:
		return errFormat
	case a.Version > Version:
		return &NewerError{Version: a.Version}
	case a.Checksum != a.sum():
		return errTorn
	}
	return nil
}

// checkOwner checks that nobody else may use a file or folder.
func checkOwner(info fs.FileInfo) error {
	status, is := info.Sys().(*syscall.Stat_t)
	if !is || int(status.Uid) != os.Geteuid() || info.Mode().Perm()&othersMode != 0 {
		return errOthers
	}
	return nil
}
