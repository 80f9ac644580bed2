// Command simadapter hosts controllers behind the simulator's wire: batches on
// standard input, one reply a batch on standard output.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	host := simwire.NewHost()
	var reply []byte
	for number := 1; ; number++ {
		line, err := r.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			var bad error
			if reply, bad = host.Batch(text, reply[:0]); bad != nil {
				return fmt.Errorf("line %d: %w", number, bad)
			}
			if _, bad = out.Write(reply); bad != nil {
				return fmt.Errorf("line %d: writing the reply: %w", number, bad)
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
