package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
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
	// effectUnsafe is the effect of a class that must not be repeated once it may have run.
	effectUnsafe = "unsafe"
)

// StartError is a process that did not serve.
type StartError struct{ Process, Log string }

func (e *StartError) Error() string {
	return fmt.Sprintf("trial: %s does not serve", e.Process)
}

// Remedy says what to do.
func (e *StartError) Remedy() string { return "read its log: " + e.Log }

// process is one session controller, over all its incarnations. While one replaces another, two of them run.
type process struct {
	world *world
	index int
	name  string
	list  *list

	commands  sync.Mutex // held by an operator until a command and its record are made
	starting  sync.Mutex // held by whoever starts an incarnation
	upgrading sync.Mutex // held while an incarnation is replaced

	mu      sync.Mutex
	current *incarnation // of the front; nil before the first start
	next    *incarnation // it is about to replace the current one; nil: none
	all     map[string]*incarnation
	control string    // the address for operators of the incarnation that was launched last
	lastYes time.Time // when the front was last answered that the controller is ready
	lastNo  time.Time // since when the answer is that it is not; zero: it is ready
	upgrade *upgrade  // under way; nil: none
	// resuming: the end of an operator's drain was called for and is not recorded yet.
	resuming bool
}

func newProcess(w *world, index int) *process {
	return &process{world: w, index: index, name: "n" + strconv.Itoa(index), all: map[string]*incarnation{}}
}

// incarnation names the process's current incarnation.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return p.name + ".0"
	}
	return p.current.name
}

// currentCounts are the counts of the current incarnation; while another one replaces it, what is counted may be
// either's.
func (p *process) currentCounts() *counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upgrade != nil {
		return p.upgrade.counts
	}
	return p.current.counts
}

// logPath and configPath are of the process as it is now.
func (p *process) logPath() string { return filepath.Join(p.world.folder, p.name+".log") }

func (p *process) configPath() string { return filepath.Join(p.world.folder, p.name+".json") }

// temporary is the process's folder for temporary files, which its incarnations share.
func (p *process) temporary() string { return filepath.Join(p.world.folder, p.name+".tmp") }

// writeConfig writes the process's configuration as it is now, for the incarnation with that address for operators.
func (p *process) writeConfig(known platformfile.Known, control string) error {
	w := p.world
	listAddress := p.list.address()
	document := platformfile.Document{
		Name:     p.name,
		Listen:   w.network.process(p.index),
		Control:  control,
		Bulletin: listAddress,
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
			effect = effectUnsafe
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
	if w.plan.Sites {
		document.Settings.Classes = append(document.Settings.Classes, platformfile.Class{
			Name:             siteClass,
			LatencyObjective: siteDeadline.Nanoseconds() / 2,
			Deadline:         siteDeadline.Nanoseconds(),
			PriorityWeight:   1,
			Effect:           effectUnsafe,
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

// rewriteConfig writes the configuration of the incarnations that run, for a reload. The address for operators is that
// of the latest one: it may not have read the file yet, and the others do not read the address again.
func (p *process) rewriteConfig() error {
	p.mu.Lock()
	control := p.control
	p.mu.Unlock()
	return p.writeConfig(p.list.known(), control)
}

// start starts an incarnation of the process, which none runs of.
func (p *process) start(ctx context.Context, restart bool) error {
	started, err := p.launch(ctx, p.list.known(), restart)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = started
	p.lastYes, p.lastNo = time.Time{}, time.Now()
	return nil
}

// signal sends a signal to the current incarnation, and returns the channel that its end closes; nil where none runs.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upgrade != nil && signal != syscall.SIGHUP {
		p.upgrade.disturbed = true
	}
	return p.current.signal(signal)
}

// stop restarts the process as planned: SIGTERM, SIGKILL at the earliest time, a start.
func (p *process) stop(ctx context.Context) {
	exited := p.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	earliest := time.NewTimer(p.world.earliestKill())
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
	if !p.current.running && p.next != nil && p.next.running {
		p.current = p.next // the one that was about to replace it
	}
	running := p.current.running
	p.mu.Unlock()
	if running {
		return
	}
	if err := p.start(ctx, true); err != nil {
		p.world.checker.ProcessCrashed(p.world.now(), p.name, err.Error())
	}
}

// hangUp sends SIGHUP to every incarnation that runs.
func (p *process) hangUp() {
	p.signal(syscall.SIGHUP)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next != nil {
		p.next.signal(syscall.SIGHUP)
	}
}

// end ends the process with the trial.
func (p *process) end() {
	p.mu.Lock()
	var exited []<-chan struct{}
	for _, one := range p.all {
		if ending := one.signal(syscall.SIGKILL); ending != nil {
			exited = append(exited, ending)
		}
	}
	p.mu.Unlock()
	for _, ending := range exited {
		<-ending
	}
}

// sample records what the incarnations that run hold together, and that each is ready in time.
func (p *process) sample() {
	var running []*incarnation
	p.mu.Lock()
	for _, one := range p.all {
		if one.running {
			running = append(running, one)
		}
	}
	p.mu.Unlock()
	now, total := p.world.now(), invariant.Resources{
		MaxMemoryMB:    p.world.plan.MemoryMB,
		MaxDescriptors: p.world.plan.Sockets,
	}
	for _, one := range running {
		if took, waits := one.unreadyFor(); waits {
			p.world.checker.ProcessReady(now, one.name, took.Microseconds(), one.restart)
		}
		memory, descriptors, err := readResources(one.pid)
		if err != nil {
			return // it has ended just now
		}
		total.MemoryMB += memory
		total.Descriptors += descriptors
	}
	if len(running) > 0 {
		p.world.checker.ProcessSampled(now, p.incarnation(), total)
	}
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

// readinessReported notes what the front was answered. While one incarnation replaces another, either may answer: an
// answer then says nothing about an operator's drain.
func (p *process) readinessReported(incarnation string, requestedAt int64, ready bool, err error) {
	p.mu.Lock()
	one := p.current
	running := one.running && one.stopped.IsZero()
	first := ready && !one.wasReady && p.upgrade == nil
	one.wasReady = one.wasReady || first
	switch {
	case ready:
		p.lastYes, p.lastNo = time.Now(), time.Time{}
	case p.lastNo.IsZero():
		p.lastNo = time.Now()
	}
	upgrading := p.upgrade != nil
	unrecorded := ready && p.resuming
	p.mu.Unlock()
	if first {
		p.world.timeline.add(p.name, "ready")
	}
	if (running || ready) && !upgrading && !unrecorded {
		p.world.checker.ReadinessReported(p.world.now(), requestedAt, incarnation, ready)
	}
	if !ready {
		p.world.timeline.add("front "+p.name, fmt.Sprintf("not ready (%v)", err))
	}
	if err != nil && upgrading {
		p.connectionFailed(err)
	}
}

// inRotation reports whether the front sends new connections to the process.
func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastYes.IsZero() && (p.lastNo.IsZero() || time.Since(p.lastNo) < frontGrace)
}

// accepting are the incarnations that may accept a connection now: the one named, and one that is about to replace it
// or was replaced by it just now.
func (p *process) accepting(name string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{name}
	for _, one := range p.all {
		if one.running && one.name != name {
			names = append(names, one.name)
		}
	}
	return names
}

// holderOf returns which of the incarnations has accepted a connection, "" where that is not to be found. None of them
// gets a signal meanwhile.
func (p *process) holderOf(conn net.Conn, names []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPID := map[int]string{}
	for _, name := range names {
		if one := p.all[name]; one != nil && one.running {
			byPID[one.pid] = name
		}
	}
	return byPID[socketOwner(conn, slices.Collect(maps.Keys(byPID)))]
}

// served is the incarnation under which the process serves what that one holds: one that is about to replace the
// current one counts as that one.
func (p *process) served(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next != nil && p.next.running && p.next.name == name {
		return p.current.name
	}
	return name
}

// endedAny is ended for the first of several incarnations that was killed, or has ended at all.
func (p *process) endedAny(names []string) (exited, killed bool, stopped time.Time) {
	for _, name := range names {
		oneExited, oneKilled, oneStopped := p.ended(name)
		if oneExited && (oneKilled || !exited) {
			exited, killed, stopped = true, oneKilled, oneStopped
		}
	}
	return exited, killed, stopped
}

// ended reports how an incarnation ended: whether it has, by itself after SIGTERM, by SIGKILL, and when SIGTERM came.
// One that was killed too early counts as killed outright.
func (p *process) ended(name string) (exited, killed bool, stopped time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.all[name]
	if one == nil {
		return true, true, time.Time{}
	}
	if one.killedEarly {
		return !one.running, true, time.Time{}
	}
	return !one.running, one.killed, one.stopped
}
