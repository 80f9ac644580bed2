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
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// testTimeout is the bound within which what has to happen is waited for; the machine may be busy.
const testTimeout = 30 * time.Second

// anyAddress is a listen address on loopback at a port of the system's choice.
const anyAddress = "127.0.0.1:0"

// nobody is the address of a pool that is not there.
const nobody = "127.0.0.1:1"

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// writeConfiguration writes the configuration of a daemon with one pool, and returns its path.
func writeConfiguration(t *testing.T, pool string) string {
	t.Helper()
	return daemontest.WriteFile(t, "config.json", daemontest.Configuration(anyAddress, pool))
}

// withEndpointList is the configuration with the address of an endpoint list.
func withEndpointList(configuration, address string) string {
	return strings.Replace(configuration, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, address), 1)
}

// answeringPool is a pool that answers every set-up.
func answeringPool() *fakeplatform.Pool {
	return &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method == "INVITE" {
			request.Answer(200, "", "hello\r\n")
		}
	}}
}

func newSignals() Signals {
	return Signals{
		Terminate:   make(chan os.Signal, 1),
		LogCounters: make(chan os.Signal, 1),
		Reload:      make(chan os.Signal, 1),
	}
}

// serve runs Serve in the background: the signals it takes, and its end.
func serve(d *Daemon) (Signals, <-chan error) {
	signals, ended := newSignals(), make(chan error, 1)
	go func() { ended <- d.Serve(signals) }()
	return signals, ended
}

// terminate sends SIGTERM and fails t unless the daemon then ends without an error.
func terminate(t *testing.T, signals Signals, ended <-chan error) {
	t.Helper()
	signals.Terminate <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// reloadRejected writes text to path, sends SIGHUP, waits until the log names field, and fails t unless
// the reload is the first one counted as refused.
func reloadRejected(t *testing.T, d *Daemon, signals Signals, log fmt.Stringer, path, text, field string) {
	t.Helper()
	rewrite(t, path, text)
	signals.Reload <- syscall.SIGHUP
	for !strings.Contains(log.String(), field) {
		time.Sleep(10 * time.Millisecond)
	}
	if d.counters.Get(telemetry.BadReloads) != 1 {
		t.Errorf("bad reloads %d", d.counters.Get(telemetry.BadReloads))
	}
}

// rewrite replaces the text of a file.
func rewrite(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
