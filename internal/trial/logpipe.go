package trial

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// logPipeBytes is how much of a log waits for its reader: as little as the system allows.
	logPipeBytes = 4096
	logMode      = 0o600
)

// logPipe carries the log of an incarnation to its file, unless nobody reads it.
type logPipe struct {
	reader, writer *os.File
	file           *os.File
	closeWriter    sync.Once

	reading sync.Mutex // held while the log is not read
}

func openLogPipe(path string) (*logPipe, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		_ = file.Close() // nothing was written
		return nil, fmt.Errorf("trial: %w", err)
	}
	_, _ = unix.FcntlInt(reader.Fd(), unix.F_SETPIPE_SZ, logPipeBytes) // a longer one blocks later
	return &logPipe{reader: reader, writer: writer, file: file}, nil
}

// copy copies the log to its file until the writers have ended.
func (l *logPipe) copy() {
	defer func() {
		_ = l.reader.Close() // it has ended
		_ = l.file.Close()
	}()
	buffer := make([]byte, logPipeBytes)
	for {
		l.reading.Lock()
		l.reading.Unlock() //nolint:staticcheck // waits while the log is blocked
		n, err := l.reader.Read(buffer)
		if n > 0 {
			_, _ = l.file.Write(buffer[:n]) // the trial's verdict does not need the log
		}
		if err != nil {
			return
		}
	}
}

// block leaves the log unread for a while.
func (l *logPipe) block(ctx context.Context, duration time.Duration) {
	l.reading.Lock()
	defer l.reading.Unlock()
	sleep(ctx, duration)
}

// close gives the writing end up: the process has its own.
func (l *logPipe) close() { l.closeWriter.Do(func() { _ = l.writer.Close() }) }
