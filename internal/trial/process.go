package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"eidertrail/internal/invariant"
	"eidertrail/internal/platformfile"
)

const (
	// startTimeout bounds the time in which the first processes have to be ready.
	startTimeout = 30 * time.Second
	// maxKillDeadline and killDelay give the earliest SIGKILL after SIGTERM: the longest deadline, counted as
	// maxKillDeadline where it is longer, and killDelay.
	maxKillDeadline, killDelay = 3 * time.Second, 700 * time.Millisecond
	// frontInterval is how often the front asks whether a process is ready, and frontGrace how long it goes on sending new
	// connections after a no.
	frontInterval, frontGrace = 100 * time.Millisecond, 200 * time.Millisecond
	tickNanoseconds           = 5_000_000
	kilobytesPerMB            = 1024
)

// StartError is a process that did not serve.
type StartError struct{ Process, Log string }

func (e *StartError) Error() string {
	return fmt.Sprintf("trial: %s does not serve", e.Process)
}

// Remedy says what to do.
func (e *StartError) Remedy() string { return "read its log: " + e.Log }

// process is one session controller, over all its incarnations.
type process struct {
	world *world
	index int
	name  string
	list  *list

	commands sync.Mutex // held by an operator until a command and its record are made
	starting sync.Mutex // held by whoever starts an incarnation

	mu           sync.Mutex
	counts       *counts // of the current incarnation
	cmd          *exec.Cmd
	incarnations int
	running      bool
	expected     bool      // its end was asked for
	stopped      time.Time // SIGTERM, zero: none
	killed       bool      // by SIGKILL
	exited       chan struct{}
	startAt      time.Time
	restart      bool
	wasReady     bool
	lastYes      time.Time // when the front was last answered that it is ready
	lastNo       time.Time // since when the answer is that it is not; zero: it is ready
}

func newProcess(w *world, index int) *process {
	return &process{world: w, index: index, name: "n" + strconv.Itoa(index), counts: newCounts()}
}

// incarnation names the process's current incarnation.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name + "." + strconv.Itoa(p.incarnations)
}

func (p *process) currentCounts() *counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *process) logPath() string { return filepath.Join(p.world.folder, p.name+".log") }

func (p *process) configPath() string { return filepath.Join(p.world.folder, p.name+".json") }

// writeConfig writes the process's configuration as it is now.
func (p *process) writeConfig() error {
	w := p.world
	known, bulletin := p.list.known()
	document := platformfile.Document{
		Name:     p.name,
		Listen:   w.network.process(p.index),
		Control:  w.network.control(p.index),
		Bulletin: bulletin,
		Seed:     strconv.FormatUint(w.plan.Seed*maxHostsAddition+uint64(p.index)+1, 16),
		Limits:   platformfile.Limits{MemoryMB: w.plan.MemoryMB, Sockets: w.plan.Sockets},
		Known:    known,
		Settings: platformfile.Settings{
			Controllers: w.plan.Processes,
			Index:       p.index,
			Tick:        tickNanoseconds,
			Extra:       platformfile.Extra{ReleaseWait: w.plan.ReleaseWait.Nanoseconds()},
			Caps:        platformfile.Caps{MaxAttempts: maxAttempts},
		},
	}
	for _, class := range w.plan.Classes {
		effect := ""
		if class.Unsafe {
			effect = "unsafe"
		}
		document.Settings.Classes = append(document.Settings.Classes, platformfile.Class{
			Name:             class.Name,
			LatencyObjective: class.Objective.Nanoseconds(),
			Deadline:         class.Deadline.Nanoseconds(),
			PriorityWeight:   1,
			Effect:           effect,
		})
		document.Settings.Extra.MeanHoldingTimes = append(document.Settings.Extra.MeanHoldingTimes,
			w.plan.HoldingTime.Nanoseconds())
	}
	text, err := json.Marshal(document)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	if err := os.WriteFile(p.configPath()+".new", text, 0o600); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	return os.Rename(p.configPath()+".new", p.configPath())
}

// start starts an incarnation of the process.
func (p *process) start(ctx context.Context, restart bool) error {
	if err := p.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer log.Close()
	limit := fmt.Sprintf("ulimit -n %d && exec %q", p.world.plan.Sockets, p.world.program)
	cmd := exec.Command("sh", "-c", limit) //nolint:noctx // end ends it, and knows that it did
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath(), "RELAY_LISTEN=", "RELAY_CONTROL=")
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	p.cmd, p.running, p.expected, p.killed = cmd, true, false, false
	p.incarnations++
	p.startAt, p.restart, p.wasReady, p.stopped = time.Now(), restart, false, time.Time{}
	p.lastYes, p.lastNo = time.Time{}, time.Now()
	p.counts = newCounts()
	exited := make(chan struct{})
	p.exited = exited
	p.world.timeline.add(p.name, fmt.Sprintf("started as %s.%d", p.name, p.incarnations))
	p.world.tasks.Go(func() { p.await(cmd, exited) })
	return nil
}

// await waits for the end of an incarnation.
func (p *process) await(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	incarnation := p.incarnation()
	p.mu.Lock()
	p.running = false
	expected := p.expected
	p.mu.Unlock()
	p.world.timeline.add(p.name, fmt.Sprintf("ended: %v", err))
	if !expected {
		p.world.checker.ProcessCrashed(p.world.now(), incarnation, fmt.Sprint(err))
	}
	p.world.checker.ProcessEnded(incarnation)
	close(exited)
}

// signal sends a signal to the current incarnation, and returns the channel that its end closes; nil where none runs.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		return nil
	}
	switch signal {
	case syscall.SIGTERM:
		p.expected, p.stopped = true, time.Now()
	case syscall.SIGKILL:
		p.expected, p.killed = true, true
	}
	p.world.timeline.add(p.name, signal.String())
	_ = p.cmd.Process.Signal(signal) // one that has ended just now needs none
	return p.exited
}

// stop restarts the process as planned: SIGTERM, SIGKILL at the earliest time, a start.
func (p *process) stop(ctx context.Context) {
	exited := p.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	earliest := time.NewTimer(min(p.world.plan.LongestDeadline(), maxKillDeadline) + killDelay)
	defer earliest.Stop()
	select {
	case <-exited:
	case <-earliest.C:
		p.kill()
	case <-ctx.Done():
		return
	}
	p.startNext(ctx)
}

// killAndStart kills the process outright, and starts it.
func (p *process) killAndStart(ctx context.Context) {
	p.kill()
	p.startNext(ctx)
}

func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// startNext starts another incarnation, unless one runs already.
func (p *process) startNext(ctx context.Context) {
	p.starting.Lock()
	defer p.starting.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	if running {
		return
	}
	if err := p.start(ctx, true); err != nil {
		p.world.checker.ProcessCrashed(p.world.now(), p.name, err.Error())
	}
}

// hangUp sends SIGHUP.
func (p *process) hangUp() { p.signal(syscall.SIGHUP) }

// end ends the process with the trial.
func (p *process) end() { p.kill() }

// sample records what the process holds, and that it is ready in time.
func (p *process) sample() {
	p.mu.Lock()
	running, wasReady, startAt, restart := p.running, p.wasReady, p.startAt, p.restart
	var pid int
	if running {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	if !running {
		return
	}
	incarnation, now := p.incarnation(), p.world.now()
	if !wasReady {
		p.world.checker.ProcessReady(now, incarnation, time.Since(startAt).Microseconds(), restart)
	}
	memory, descriptors, err := readResources(pid)
	if err != nil {
		return // it has ended just now
	}
	p.world.checker.ProcessSampled(now, incarnation, invariant.Resources{
		MemoryMB:       memory,
		MaxMemoryMB:    p.world.plan.MemoryMB,
		Descriptors:    descriptors,
		MaxDescriptors: p.world.plan.Sockets,
	})
}

// errNoMemory is a status without a line about memory: of a process that has just ended.
var errNoMemory = errors.New("trial: no VmRSS")

// readResources reads the resident memory and the number of descriptors of a process.
func readResources(pid int) (memoryMB, descriptors int, err error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("trial: %w", err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("trial: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
		return kilobytes / kilobytesPerMB, len(open), err
	}
	return 0, 0, errNoMemory
}

// front asks the process every 0.1 s whether it is ready, as a load balancer does.
func (p *process) front(ctx context.Context) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for sleep(ctx, frontInterval) {
		incarnation, requestedAt := p.incarnation(), p.world.now()
		ready, err := ping(ctx, &conn, p.world.network.process(p.index))
		if p.incarnation() != incarnation {
			continue
		}
		p.readinessReported(incarnation, requestedAt, ready, err)
	}
}

// readinessReported notes what the front was answered.
func (p *process) readinessReported(incarnation string, requestedAt int64, ready bool, err error) {
	p.mu.Lock()
	running := p.running && p.stopped.IsZero()
	first := ready && !p.wasReady
	p.wasReady = p.wasReady || ready
	switch {
	case ready:
		p.lastYes, p.lastNo = time.Now(), time.Time{}
	case p.lastNo.IsZero():
		p.lastNo = time.Now()
	}
	p.mu.Unlock()
	if first {
		p.world.timeline.add(p.name, "ready")
	}
	if running || ready {
		p.world.checker.ReadinessReported(p.world.now(), requestedAt, incarnation, ready)
	}
	if !ready {
		p.world.timeline.add("front "+p.name, fmt.Sprintf("not ready (%v)", err))
	}
}

// inRotation reports whether the front sends new connections to the process.
func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastYes.IsZero() && (p.lastNo.IsZero() || time.Since(p.lastNo) < frontGrace)
}

// ended reports how an incarnation ended: whether it has, by itself after SIGTERM, by SIGKILL, and when SIGTERM came.
func (p *process) ended(incarnation string) (over, killed bool, stopped time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.name + "." + strconv.Itoa(p.incarnations)
	if incarnation != current {
		return true, true, time.Time{} // an earlier one: how is not known any more
	}
	return !p.running, p.killed, p.stopped
}
