// Package runner carries a rollout out on this machine: it stops and starts controllers' processes through their
// planned-restart path, changes their configurations, reads their counters, and keeps the rollout's state in a
// file, written before and after each step, so that one that was interrupted goes on where it was.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/rollout"
)

// ErrBusy tells that another process carries the rollout out.
var ErrBusy = errors.New("rollout: another process is at it")

// ErrRolledBack tells that the change was stopped and taken back; the state says why.
var ErrRolledBack = errors.New("rollout: stopped and taken back")

// ErrStuck tells that a controller could be brought neither forth nor back.
var ErrStuck = errors.New("rollout: stuck")

const (
	pollEvery = 20 * time.Millisecond
	// askFor bounds one question to a controller.
	askFor = 2 * time.Second
	// reloadIn is how long a controller may take to say that it took a configuration over.
	reloadIn                = 5 * time.Second
	abortSuffix, lockSuffix = ".abort", ".lock"
)

// Run carries the file's rollout out, from where the state file says it is, until it is done, taken back or
// stuck, or ctx is done.
func Run(ctx context.Context, f *File, statePath string, log zerolog.Logger) error {
	lock, err := os.OpenFile(statePath+lockSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	defer lock.Close() // which gives the lock back, as the process's end does
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return ErrBusy
	}
	plan, err := f.Plan()
	if err != nil {
		return err
	}
	s, err := ReadState(statePath)
	switch {
	case errors.Is(err, os.ErrNotExist):
		s = plan.Begin(f.id)
	case err != nil:
		return err
	case s.Plan != f.id:
		return fmt.Errorf("rollout: the state file is of another plan: end that one, or name another file")
	default:
		log.Info().Str("phase", string(s.Phase)).Int("stage", s.Stage+1).Msg("going on")
	}
	r := &run{f: f, path: statePath, log: log}
	for logged := len(s.Log); ; {
		o := r.observe(ctx, s)
		a := plan.Next(s, o)
		if err := r.keep(s); err != nil {
			return err
		}
		if a.Move {
			c := f.Controller[a.Index]
			log.Info().Str("controller", c.Name).Str("to", string(a.To)).Msg("moving")
			err := r.move(ctx, c, a.To)
			if ctx.Err() != nil { // the state says that the move has begun: it is begun again
				return ctx.Err()
			}
			plan.Moved(s, a.Index, a.To, err)
			if err := r.keep(s); err != nil {
				return err
			}
		}
		for _, l := range s.Log[min(logged, len(s.Log)):] {
			log.Info().Msg(l)
		}
		logged = len(s.Log)
		if a.Final {
			break
		}
		if wait := time.Duration(a.Until-time.Now().UnixMilli()) * time.Millisecond; !a.Move && wait > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(wait):
			}
		}
	}
	switch s.Phase {
	case rollout.Aborted:
		os.Remove(statePath + abortSuffix)
		return fmt.Errorf("%w: %s", ErrRolledBack, s.Reason)
	case rollout.Stuck:
		return fmt.Errorf("%w: %s", ErrStuck, s.Reason)
	}
	for _, c := range f.Controller { // the old configurations are wanted no more
		os.Remove(c.Config + keptSuffix)
	}
	return nil
}

// ReadState reads a state file.
func ReadState(path string) (*rollout.State, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	s := &rollout.State{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("rollout: state file: %w", err)
	}
	return s, nil
}

// Abort asks for the rollout to be taken back: by the process that is at it, or by the next one.
func Abort(statePath string) error {
	if _, err := ReadState(statePath); err != nil {
		return err
	}
	return replace(statePath+abortSuffix, nil)
}

type run struct {
	f    *File
	path string
	log  zerolog.Logger
}

func (r *run) keep(s *rollout.State) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err == nil {
		err = replace(r.path, append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("rollout: state file: %w", err)
	}
	return nil
}

// observe asks all controllers at once.
func (r *run) observe(ctx context.Context, s *rollout.State) rollout.Observation {
	_, err := os.Stat(r.path + abortSuffix)
	n := len(r.f.Controller)
	o := rollout.Observation{Figures: make([]rollout.Figures, n), Incarnations: make([]string, n), Abort: err == nil}
	if s.Phase == rollout.Running {
		done := make(chan struct{})
		for i, c := range r.f.Controller {
			go func() {
				defer func() { done <- struct{}{} }()
				if k, err := ask(ctx, c); err == nil {
					o.Figures[i], o.Incarnations[i] = k.figures(), strconv.FormatInt(k.Life, 10)
				}
			}()
		}
		for range n {
			<-done
		}
	}
	o.Now = time.Now().UnixMilli()
	return o
}

// counters are what GET /counters tells.
type counters struct {
	Life     int64            `json:"life"`
	Counters map[string]int64 `json:"counters"`
	Times    map[int64]int64  `json:"times"`
}

func (k counters) figures() rollout.Figures {
	c := k.Counters
	return rollout.Figures{
		InTime: c["answered_in_time"], Late: c["answered"] - c["answered_in_time"], Rejected: c["refused"],
		Failed: c["failed"], Times: k.Times,
	}
}

func get(ctx context.Context, c Controller, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Health+path, nil)
	if err != nil {
		return nil, err
	}
	q.Close = true
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", a.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}

func ask(ctx context.Context, c Controller) (counters, error) {
	var k counters
	text, err := get(ctx, c, "/counters")
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	return k, err
}

// ---- moves ----

// move makes a controller run a version. It may be begun again at any point.
func (r *run) move(ctx context.Context, c Controller, to rollout.Version) error {
	program := r.f.Old
	if to == rollout.New {
		program = r.f.New
	}
	restart, _, err := r.f.Restarts(c)
	if err != nil {
		return err
	}
	if to == rollout.New {
		path := c.Config
		if c.NewConfig != "" {
			path = c.NewConfig
		}
		if err := check(ctx, program.Binary, c, path); err != nil {
			return fmt.Errorf("%w: %w", rollout.ErrRejected, err)
		}
	}
	if err := configure(c, to); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if !restart && alive(pid(c)) {
		return reload(ctx, c)
	}
	if err := r.stop(ctx, c); err != nil {
		return err
	}
	if err := start(program.Binary, c); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return r.ready(ctx, c)
}

// check has the program look at a configuration: one that it would not start with stops nothing.
func check(ctx context.Context, binary string, c Controller, config string) error {
	ctx, cancel := context.WithTimeout(ctx, askFor*5)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, append([]string{"check"}, c.Args...)...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("check: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

// configure puts the version's configuration in place; the old one is kept beside it.
func configure(c Controller, to rollout.Version) error {
	if c.NewConfig == "" {
		return nil
	}
	old, err := os.ReadFile(kept(c))
	if err != nil {
		return err
	}
	if to == rollout.Old {
		return replace(c.Config, old)
	}
	if err := replace(c.Config+keptSuffix, old); err != nil {
		return err
	}
	new, err := os.ReadFile(c.NewConfig)
	if err != nil {
		return err
	}
	return replace(c.Config, new)
}

// reload has a running controller read its configuration again, and waits for its word on it.
func reload(ctx context.Context, c Controller) error {
	before, err := ask(ctx, c)
	if err != nil {
		return err
	}
	if err := syscall.Kill(pid(c), syscall.SIGHUP); err != nil {
		return err
	}
	return poll(ctx, reloadIn, func() (bool, error) {
		now, err := ask(ctx, c)
		switch {
		case err != nil:
			return false, nil
		case now.Life != before.Life:
			return false, fmt.Errorf("it ended at the reload")
		case now.Counters["bad_reloads"] > before.Counters["bad_reloads"]:
			return false, fmt.Errorf("it refused the configuration: see its log")
		}
		return now.Counters["reloads"] > before.Counters["reloads"], nil
	})
}

// stop ends a controller's process as the platform's page says: SIGTERM, and SIGKILL if it does not end.
func (r *run) stop(ctx context.Context, c Controller) error {
	p := pid(c)
	if !alive(p) {
		return nil
	}
	if err := syscall.Kill(p, syscall.SIGTERM); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("stop: %w", err)
	}
	gone := func() (bool, error) { return !alive(p), nil }
	if poll(ctx, r.f.StopTimeout, gone) == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.log.Warn().Str("controller", c.Name).Msg("does not end, is killed")
	syscall.Kill(p, syscall.SIGKILL)
	return poll(ctx, r.f.StopTimeout, gone)
}

// start starts a controller's process, which outlives this one. Its number is written by itself, before it becomes
// the controller: there is no moment at which it runs and is not known.
func start(binary string, c Controller) error {
	out, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", append([]string{"-c", `echo $$ > "$0" && exec "$@"`, c.PIDFile, binary}, c.Args...)...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+c.Config)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	go cmd.Wait() // takes its end, if that comes before this process's
	return nil
}

// ready waits until a controller that was started serves.
func (r *run) ready(ctx context.Context, c Controller) error {
	began := time.Now()
	return poll(ctx, r.f.ReadyTimeout, func() (bool, error) {
		if time.Since(began) > time.Second/2 && !alive(pid(c)) {
			return false, fmt.Errorf("it ended at its start: see %s", c.Log)
		}
		_, err := get(ctx, c, "/ready")
		return err == nil && alive(pid(c)), nil
	})
}

var errSlow = errors.New("it takes too long")

func poll(ctx context.Context, within time.Duration, done func() (bool, error)) error {
	for began := time.Now(); ; {
		if ok, err := done(); ok || err != nil {
			return err
		}
		if time.Since(began) > within {
			return errSlow
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}

// pid is the controller's process, 0 for none.
func pid(c Controller) int {
	text, err := os.ReadFile(c.PIDFile)
	if err != nil {
		return 0
	}
	p, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || p <= 1 {
		return 0
	}
	return p
}

// alive tells whether a process runs: one that has ended and that nobody has asked for does not.
func alive(p int) bool {
	if p == 0 || syscall.Kill(p, 0) != nil {
		return false
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	// The state comes after the name, which is in parentheses and may hold any.
	_, rest, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')'):]), " ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}
