// Package asynclog writes a log without holding up those who log. Lines wait in a bounded queue for one goroutine that
// writes them. Where the log is not read, the oldest lines of the queue are dropped; how many is a line of the log as
// soon as it is read again.
package asynclog

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// queueLines is how many lines wait at most.
	queueLines = 4096
	// flushTimeout bounds how long Close waits for lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// Writer is a log's writer. Its Write never blocks.
type Writer struct {
	queue diode.Writer
}

// New returns a writer of lines to out, which must be closed. Each line is one Write.
func New(out io.Writer) *Writer {
	own := zerolog.New(out).With().Timestamp().Logger()
	return &Writer{queue: diode.NewWriter(writerOnly{out}, queueLines, 0, func(dropped int) {
		own.Warn().Int("lines", dropped).Msg("log lines dropped: the log was not read")
	})}
}

// writerOnly hides other methods of a writer: the queue would close it.
type writerOnly struct{ io.Writer }

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	written, err := w.queue.Write(line)
	if err != nil {
		return written, fmt.Errorf("asynclog: %w", err)
	}
	return written, nil
}

// Close waits until the lines are written, for flushTimeout at most. What is logged later is lost.
func (w *Writer) Close() {
	flushed := make(chan struct{})
	go func() { // it outlives Close only where nobody reads the log
		defer close(flushed)
		_ = w.queue.Close() // the writers that it knows of cannot be closed
	}()
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case <-flushed:
	case <-timeout.C:
	}
}
