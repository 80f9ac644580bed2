package trial

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"eidertrail/internal/platformfile"
)

// incarnation is one life of a process, from its start to its end. The process's mutex guards what changes.
type incarnation struct {
	process *process
	name    string
	control string // its address for operators
	startAt time.Time
	restart bool
	pid     int
	cmd     *exec.Cmd
	counts  *counts
	log     *logPipe
	exited  chan struct{} // closed at its end

	running  bool
	expected bool // its end was asked for
	wasReady bool
	killed   bool // by SIGKILL
	// killedEarly: SIGKILL came sooner after SIGTERM than the page allows, for another fault of the schedule. What it has
	// not answered by then is not owed, as by a process that was killed outright.
	killedEarly bool
	stopped     time.Time // SIGTERM, zero: none
	shared      bool      // another one has run beside it: what is counted may be either's
}

// launch starts an incarnation.
func (p *process) launch(ctx context.Context, known platformfile.Known, restart bool) (*incarnation, error) {
	p.mu.Lock()
	number := len(p.all) + 1
	p.mu.Unlock()
	one := &incarnation{
		process: p,
		name:    p.name + "." + strconv.Itoa(number),
		control: p.world.network.control(p.index, number),
		restart: restart,
		counts:  newCounts(),
		exited:  make(chan struct{}),
	}
	p.mu.Lock()
	p.control = one.control
	p.mu.Unlock()
	if err := p.writeConfig(known, one.control); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(p.temporary(), temporaryMode); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	arguments, err := p.arguments()
	if err != nil {
		return nil, err
	}
	if one.log, err = openLogPipe(p.logPath()); err != nil {
		return nil, err
	}
	limit := fmt.Sprintf("ulimit -n %d && exec %q", p.world.plan.Sockets, p.world.program) + arguments
	one.cmd = exec.Command("sh", "-c", limit) //nolint:noctx // end ends it, and knows that it did
	one.cmd.Stdout, one.cmd.Stderr = one.log.writer, one.log.writer
	one.cmd.Env = append(os.Environ(),
		"RELAY_CONFIG="+p.configPath(), "RELAY_LISTEN=", "RELAY_CONTROL=", "TMPDIR="+p.temporary())
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		one.log.close()
		return nil, ctx.Err()
	}
	if err := one.cmd.Start(); err != nil {
		one.log.close()
		return nil, fmt.Errorf("trial: %w", err)
	}
	one.running, one.startAt, one.pid = true, time.Now(), one.cmd.Process.Pid
	one.shared = p.upgrade != nil
	p.all[one.name] = one
	p.world.timeline.add(p.name, "started as "+one.name)
	p.world.tasks.Go(one.log.copy)
	p.world.tasks.Go(one.await)
	return one, nil
}

// arguments writes the files that the program's flags name, and returns the flags as a shell reads them.
func (p *process) arguments() (string, error) {
	arguments := ""
	if p.world.verbose {
		arguments += " --verbose"
	}
	if !p.world.plan.Sites {
		return arguments, nil
	}
	if err := p.writeCallControl(); err != nil {
		return "", err
	}
	return arguments + fmt.Sprintf(" --callcontrol %q", p.callControlPath()), nil
}

// temporaryMode is for this user alone.
const temporaryMode = 0o700

// await waits for the incarnation's end.
func (i *incarnation) await() {
	err := i.cmd.Wait()
	i.log.close()
	world := i.process.world
	i.process.mu.Lock()
	i.running = false
	expected := i.expected
	i.process.mu.Unlock()
	world.timeline.add(i.process.name, fmt.Sprintf("%s ended: %v", i.name, err))
	if !expected {
		world.checker.ProcessCrashed(world.now(), i.name, fmt.Sprint(err))
	}
	world.checker.ProcessEnded(i.name)
	close(i.exited)
}

// signal sends a signal, and returns the channel that the incarnation's end closes; nil where it has ended. The caller
// holds the process's mutex.
func (i *incarnation) signal(signal syscall.Signal) <-chan struct{} {
	if !i.running {
		return nil
	}
	switch signal {
	case syscall.SIGTERM:
		i.expected, i.stopped = true, time.Now()
	case syscall.SIGKILL:
		i.expected, i.killed = true, true
		i.killedEarly = time.Since(i.stopped) < i.process.world.earliestKill()
	}
	i.process.world.timeline.add(i.process.name, signal.String()+" to "+i.name)
	_ = i.cmd.Process.Signal(signal) // one that has ended just now needs none
	return i.exited
}

// unreadyFor is for how long the incarnation has run without being ready once, and whether it still waits for that.
func (i *incarnation) unreadyFor() (took time.Duration, waits bool) {
	i.process.mu.Lock()
	defer i.process.mu.Unlock()
	return time.Since(i.startAt), !i.wasReady && i.stopped.IsZero()
}
