package linecodec

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// ReadLine reads one line into buf[:0] and returns it without its line feed. It returns ErrTooLong for a line that is
// longer than MaxLine, and else the reader's error, wrapped. A last line without a line feed is an error: its sender
// did not finish it.
func ReadLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	buf = buf[:0]
	for {
		part, err := r.ReadSlice('\n')
		if len(buf)+len(part) > MaxLine {
			return nil, ErrTooLong
		}
		buf = append(buf, part...)
		if err == nil {
			return bytes.TrimRight(buf, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("jsonl: reading a line: %w", err)
		}
	}
}
