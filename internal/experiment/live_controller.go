package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"eidertrail/internal/platformfile"
)

const (
	// startTimeout bounds the time in which a daemon has to serve.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the time from the signal to stop to the kill.
	stopTimeout = 5 * time.Second
	// maxLogLine bounds a line of the daemon's log.
	maxLogLine = 1 << 20
	// The limits that a daemon is given.
	memoryLimitMB, socketLimit = 192, 1024
)

// liveController is a process of the daemon, with a connection of its callers.
type liveController struct {
	name string
	conn net.Conn
}

// writeLine sends a line. The end of the connection is left for its reader to find.
func (c *liveController) writeLine(format string, args ...any) {
	_, _ = fmt.Fprintf(c.conn, format+"\n", args...)
}

// startController starts a process of the daemon and connects callers to it; the end of ctx stops it.
func (l *liveRun) startController(
	ctx context.Context, folder, daemon string, index int, targets []platformfile.Target,
) error {
	name := "n" + strconv.Itoa(index)
	config, err := json.Marshal(newDaemonConfig(l.variant, index, targets))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	listening, err := l.startDaemon(ctx, daemon, path)
	if err != nil {
		return err
	}
	select {
	case address := <-listening:
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrLab, err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		l.controllers = append(l.controllers, &liveController{name, conn})
		l.tasks.Go(func() { l.readAnswers(conn) })
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("%w: %s does not serve", ErrLab, daemon)
	}
}

// startDaemon starts a process of the daemon. The channel gets its address once it serves.
func (l *liveRun) startDaemon(ctx context.Context, daemon, configPath string) (<-chan string, error) {
	cmd := exec.CommandContext(ctx, daemon)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = stopTimeout
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_LISTEN=")
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrLab, daemon, err)
	}
	listening := make(chan string, 1)
	l.tasks.Go(func() {
		readLog(output, listening)
		_ = cmd.Wait() // it ends by our signal
	})
	return listening, nil
}

// readLog reads a daemon's log to its end, and sends the address on which it serves.
func readLog(output io.Reader, listening chan<- string) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line struct{ Message, Listen string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "serving" {
			listening <- line.Listen
		}
	}
}
