package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// pollInterval is the time from one check of a condition to the next.
	pollInterval = 20 * time.Millisecond
	// startGrace is how long a started process may be absent: its PID file is written by the process itself.
	startGrace = 500 * time.Millisecond
)

// startScript writes the shell's own PID to the file named by its first argument, and becomes the program.
const startScript = `echo $$ > "$0" && exec "$@"`

// start starts a controller's process, which outlives this one and ctx. The process writes its PID before it becomes
// the controller: there is no moment at which it runs and its PID is not known.
func start(ctx context.Context, binary string, controller Controller) error {
	log, err := os.OpenFile(controller.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append([]string{"-c", startScript, controller.PIDFile, binary}, controller.Args...)
	command := exec.CommandContext(context.WithoutCancel(ctx), "/bin/sh", args...)
	command.Env = withConfig(controller.Config)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := command.Start(); err != nil {
		return err
	}
	// Without a wait, a process that ends before this one would stay as a zombie. How it ended is in its log.
	go func() { _ = command.Wait() }()
	return nil
}

// withConfig is this process's environment with another configuration file.
func withConfig(path string) []string { return append(os.Environ(), "RELAY_CONFIG="+path) }

// awaitReady waits until a started controller serves.
func awaitReady(ctx context.Context, controller Controller, timeout time.Duration) error {
	startedAt := time.Now()
	return waitUntil(ctx, timeout, func() (bool, error) {
		if time.Since(startedAt) > startGrace && !isAlive(readPID(controller)) {
			return false, fmt.Errorf("it ended at its start: see %s", controller.Log)
		}
		_, err := get(ctx, controller, readyPath)
		return err == nil && isAlive(readPID(controller)), nil
	})
}

// stop ends a controller's process by its planned stop, SIGTERM, and after the timeout by SIGKILL.
func stop(ctx context.Context, controller Controller, timeout time.Duration, log zerolog.Logger) error {
	pid := readPID(controller)
	if !isAlive(pid) {
		return nil
	}
	if err := syscall.Kill(pid, syscall.SIGTERM); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("stop: %w", err)
	}
	ended := func() (bool, error) { return !isAlive(pid), nil }
	if waitUntil(ctx, timeout, ended) == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	log.Warn().Str("controller", controller.Name).Msg("stop timed out, killing the controller")
	_ = syscall.Kill(pid, syscall.SIGKILL) // the wait shows whether it ended
	return waitUntil(ctx, timeout, ended)
}

// waitUntil polls the condition until it holds or fails; errTimedOut if neither happens in time.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() (bool, error)) error {
	startedAt := time.Now()
	for {
		if holds, err := condition(); holds || err != nil {
			return err
		}
		if time.Since(startedAt) > timeout {
			return errTimedOut
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// readPID returns the PID of a controller's process, 0 for none. PID 1 is never a controller's.
func readPID(controller Controller) int {
	text, err := os.ReadFile(controller.PIDFile)
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || pid <= 1 {
		return 0
	}
	return pid
}

// isAlive reports whether a process runs. A zombie does not: it has ended, and nobody has waited for it.
func isAlive(pid int) bool {
	if pid == 0 || syscall.Kill(pid, 0) != nil {
		return false
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	// The state follows the name, which is in parentheses and may itself hold spaces and parentheses (proc(5)).
	_, state, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')'):], []byte(" "))
	zombie, dead := bytes.HasPrefix(state, []byte("Z")), bytes.HasPrefix(state, []byte("X"))
	return !zombie && !dead
}
