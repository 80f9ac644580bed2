package runner

import (
	"os"
	"path/filepath"
)

// replaceFile replaces the file at path completely or not at all, and has it on disk when it returns. Without this, a
// process that is killed while it writes would leave half a file.
func replaceFile(path string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // after the rename there is none to remove
	if _, err = temporary.Write(text); err == nil {
		err = temporary.Sync()
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}
