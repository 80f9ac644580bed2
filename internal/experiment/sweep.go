package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"

	"eidertrail/internal/simulation"
)

// Sweep is a scenario with every combination of some fields' values, and several seeds.
type Sweep struct {
	Path    string
	Choices [][]Set
	Seeds   []uint64
	Out     string // the folder; its runs.csv holds the runs done
	Workers int
}

// job is a run of a sweep that is not done yet.
type job struct {
	variant *Variant
	seed    uint64
}

// Run does the runs that the folder does not have yet, and writes the tables and charts of all. It returns how many
// runs it did, and how many were there. A cancelled sweep leaves the runs that it has done.
func (s *Sweep) Run(ctx context.Context, version string) (ran, had int, err error) {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return 0, 0, fmt.Errorf("%w: %w", ErrLab, err)
	}
	path := filepath.Join(s.Out, runsFile)
	done, err := s.readRuns(path)
	if err != nil {
		return 0, 0, err
	}
	file, err := s.openRuns(path, len(done) == 0)
	if err != nil {
		return 0, 0, err
	}
	defer file.Close()
	jobs, had, err := s.jobs(version, done)
	if err != nil {
		return 0, 0, err
	}
	ran, err = s.work(ctx, jobs, &runWriter{file: file, version: version})
	if err != nil {
		return ran, had, fmt.Errorf("%w: interrupted with %d of %d runs done: %w", ErrLab, had+ran, had+len(jobs), err)
	}
	return ran, had, s.summarize(path, version)
}

// jobs are the runs that are not done, and the number of those that are.
func (s *Sweep) jobs(version string, done map[string][]string) (jobs []job, had int, err error) {
	for _, sets := range Grid(s.Choices) {
		variant, err := Load(s.Path, sets)
		if err != nil {
			return nil, 0, err
		}
		for _, seed := range s.Seeds {
			if _, ok := done[runKey(version, variant.ID, seed)]; ok {
				had++
			} else {
				jobs = append(jobs, job{variant, seed})
			}
		}
	}
	return jobs, had, nil
}

// work does jobs with several workers until all are done, one fails or ctx is done, and returns how many were done.
func (s *Sweep) work(ctx context.Context, jobs []job, runs *runWriter) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan job)
	var workers sync.WaitGroup
	for range max(1, min(s.Workers, runtime.NumCPU())) {
		workers.Go(func() {
			for j := range next {
				if err := j.run(runs); err != nil {
					cancel(err)
					return
				}
			}
		})
	}
	feed(ctx, jobs, next)
	workers.Wait()
	return runs.count, context.Cause(ctx)
}

// feed sends jobs until ctx is done, and closes the channel.
func feed(ctx context.Context, jobs []job, next chan<- job) {
	defer close(next)
	for _, j := range jobs {
		select {
		case next <- j:
		case <-ctx.Done():
			return
		}
	}
}

// run simulates a job and writes its row.
func (j job) run(runs *runWriter) error {
	result, err := simulation.Run(j.variant.Scenario, j.seed)
	if err != nil {
		return err
	}
	return runs.add(j, result)
}

// runWriter appends the rows of runs to a sweep's table. It is safe for concurrent use.
type runWriter struct {
	version string

	mu    sync.Mutex
	file  *os.File
	count int // rows written
}

func (w *runWriter) add(j job, result *simulation.Result) error {
	row := make([]string, 0, firstFieldColumn+len(j.variant.Sets)+len(Figures()))
	row = append(row, w.version, j.variant.ID, strconv.FormatUint(j.seed, 10))
	for _, set := range j.variant.Sets {
		row = append(row, set.Value)
	}
	for _, figure := range Figures() {
		row = append(row, strconv.FormatFloat(figure.Of(result), 'g', runDigits, 64))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := writeRow(w.file, row); err != nil {
		return err
	}
	w.count++
	return nil
}
