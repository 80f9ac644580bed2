// Package frontendtest has what the characterisation tests of the fronts share: the comparison with recorded files, a
// journal of what happens in a scenario, and pools that end attempts as the scenario says. It is for tests alone.
package frontendtest

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"
)

const (
	// maxShown is the longest text, in bytes, that the recorded files hold as it is.
	maxShown = 400
	// shownBeginning is how much of a longer one they hold.
	shownBeginning = 60
)

// Shown is a text as the recorded files hold it: as it is where that can be read, else quoted; long ones by their
// beginning and digest.
func Shown(text string) string {
	if len(text) > maxShown {
		digest := sha256.Sum256([]byte(text))
		return fmt.Sprintf("%s... (%d bytes, SHA-256 %x)", Shown(text[:shownBeginning]), len(text), digest)
	}
	for _, char := range text {
		if char == utf8.RuneError || !strconv.IsPrint(char) {
			return strconv.Quote(text)
		}
	}
	return text
}

// Journal is what happens in scenarios, in order. It is safe for concurrent use; the zero value is empty.
type Journal struct {
	mu   sync.Mutex
	text strings.Builder
}

// Add adds a line.
func (j *Journal) Add(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.text, format+"\n", values...)
}

// Text is all that was added.
func (j *Journal) Text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.String()
}

// Reset replaces all that was added.
func (j *Journal) Reset(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.text.Reset()
	j.text.WriteString(text)
}

// LockedBuffer is a buffer that is safe for concurrent use, for a log. The zero value is empty.
type LockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *LockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// Take is what was written since it was last called.
func (b *LockedBuffer) Take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buffer.String()
	b.buffer.Reset()
	return text
}
