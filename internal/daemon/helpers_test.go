package daemon

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eidertrail/internal/telemetry"
)

// testTimeout is the bound within which what has to happen is waited for; the machine may be busy.
const testTimeout = 30 * time.Second

// buffer is a log that can be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func newSignals() Signals {
	return Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
}

// serving runs d.serve in the background: the signals it takes, and its end.
func serving(d *Daemon) (Signals, <-chan error) {
	s, ended := newSignals(), make(chan error, 1)
	go func() { ended <- d.Serve(s) }()
	return s, ended
}

// stopping sends SIGTERM and fails t unless the daemon then ends without an error.
func stopping(t *testing.T, s Signals, ended <-chan error) {
	t.Helper()
	s.Terminate <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// reloadRefused writes text to path, sends SIGHUP, waits until the log names field, and fails t unless
// the reload is the first one counted as refused.
func reloadRefused(t *testing.T, d *Daemon, s Signals, log fmt.Stringer, path, text, field string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Reload <- syscall.SIGHUP
	for !strings.Contains(log.String(), field) {
		time.Sleep(10 * time.Millisecond)
	}
	if d.counters.Get(telemetry.BadReloads) != 1 {
		t.Errorf("bad reloads %d", d.counters.Get(telemetry.BadReloads))
	}
}
