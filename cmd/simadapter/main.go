// Command simadapter hosts controllers behind the wire of the platform's simulator: batches on standard input, one
// reply a batch on standard output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"eidertrail/internal/simwire"
)

// initialLineSize is the size of the buffer that lines are read into; longer lines are read all the same.
const initialLineSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends or a line is invalid.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, initialLineSize)
	host := simwire.NewHost()
	var reply []byte
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			var invalid error
			if reply, invalid = host.Batch(text, reply[:0]); invalid != nil {
				return fmt.Errorf("line %d: %w", number, invalid)
			}
			if _, invalid = out.Write(reply); invalid != nil {
				return fmt.Errorf("line %d: writing the reply: %w", number, invalid)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: reading: %w", number, err)
		}
	}
}
