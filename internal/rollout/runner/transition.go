package runner

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"eidertrail/internal/rollout"
)

// reloadTimeout is how long a controller may take to count that it took a configuration over or rejected it.
const reloadTimeout = 5 * time.Second

// transition makes a controller run a version. It can be begun again at any point: no step depends on whether an
// earlier attempt got past it.
func (r *run) transition(ctx context.Context, controller Controller, version rollout.Version) error {
	binary := r.file.program(version).Binary
	restart, _, err := r.file.Restarts(controller)
	if err != nil {
		return err
	}
	if version == rollout.VersionNew {
		if err := checkConfig(ctx, binary, controller, newConfigPath(controller)); err != nil {
			return fmt.Errorf("%w: %w", rollout.ErrRejected, err)
		}
	}
	if err := installConfig(controller, version); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if !restart && isAlive(readPID(controller)) {
		return reload(ctx, controller)
	}
	return r.restart(ctx, controller, binary)
}

// restart stops a controller's process and starts the program in its place.
func (r *run) restart(ctx context.Context, controller Controller, binary string) error {
	if err := stop(ctx, controller, r.file.StopTimeout, r.log); err != nil {
		return err
	}
	if err := start(ctx, binary, controller); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return awaitReady(ctx, controller, r.file.ReadyTimeout)
}

// reload has a running controller read its configuration again, and waits until it counts the outcome.
func reload(ctx context.Context, controller Controller) error {
	before, err := readCounters(ctx, controller)
	if err != nil {
		return err
	}
	if err := syscall.Kill(readPID(controller), syscall.SIGHUP); err != nil {
		return err
	}
	return waitUntil(ctx, reloadTimeout, func() (bool, error) {
		now, err := readCounters(ctx, controller)
		switch {
		case err != nil:
			return false, nil // it may answer the next poll
		case now.Incarnation != before.Incarnation:
			return false, errEndedAtReload
		case now.Counters[counterBadReloads] > before.Counters[counterBadReloads]:
			return false, errConfigurationFailed
		}
		return now.Counters[counterReloads] > before.Counters[counterReloads], nil
	})
}
