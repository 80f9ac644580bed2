package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"eidertrail/internal/simulation"
)

// upperQuantile is that of a two-sided confidence interval of 95%.
const upperQuantile = 0.975

// Side is one side of a comparison: a variant of a scenario, run by this build or by another.
type Side struct {
	Name    string
	Variant *Variant
	Path    string // of the scenario
	Build   string // another build of the lab, "" for this one
}

// run runs the side's scenario. Another build is run for its result as JSON.
func (s Side) run(ctx context.Context, seed uint64) (*simulation.Result, error) {
	if s.Build == "" {
		return simulation.Run(s.Variant.Scenario, seed)
	}
	args := []string{"run", s.Path, "--seed", strconv.FormatUint(seed, 10), "--json"}
	for _, set := range s.Variant.Sets {
		args = append(args, "--set", set.Field+"="+set.Value)
	}
	cmd := exec.CommandContext(ctx, s.Build, args...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w: %s", ErrLab, s.Build, err, strings.TrimSpace(stderr.String()))
	}
	result := &simulation.Result{}
	if err := json.Unmarshal(out, result); err != nil {
		return nil, fmt.Errorf("%w: %s: its result: %w", ErrLab, s.Build, err)
	}
	return result, nil
}

// pairedResults are the results of both sides, by seed.
type pairedResults struct{ a, b []*simulation.Result }

// Compare runs both sides with the same seeds. Of each figure it returns the means, their difference with its 95%
// confidence interval over the pairs, and whether 0 is outside that; then the counters, of which a build may lack some.
func Compare(ctx context.Context, a, b Side, seeds []uint64) ([]*Table, error) {
	results, err := runPairs(ctx, a, b, seeds)
	if err != nil {
		return nil, err
	}
	figures := &Table{
		Title: fmt.Sprintf("%s against %s, %d seeds", a.Name, b.Name, len(seeds)),
		Head:  []string{"figure", a.Name, b.Name, "difference", "95% interval", "differs"},
	}
	for _, figure := range Figures() {
		figures.Add(results.compare(figure)...)
	}
	counters := &Table{Title: "Counters, means", Head: []string{"counter", a.Name, b.Name}}
	for _, name := range results.counterNames() {
		counters.Add(name, meanCounter(results.a, name), meanCounter(results.b, name))
	}
	return []*Table{figures, counters}, nil
}

// runPairs runs both sides with each seed, as many pairs at a time as there are processors.
func runPairs(ctx context.Context, a, b Side, seeds []uint64) (pairedResults, error) {
	results := pairedResults{make([]*simulation.Result, len(seeds)), make([]*simulation.Result, len(seeds))}
	errs := make([]error, len(seeds))
	slots := make(chan struct{}, runtime.NumCPU())
	var pairs sync.WaitGroup
	for i, seed := range seeds {
		pairs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if results.a[i], errs[i] = a.run(ctx, seed); errs[i] == nil {
				results.b[i], errs[i] = b.run(ctx, seed)
			}
		})
	}
	pairs.Wait()
	return results, errors.Join(errs...)
}

// compare is the row of a figure.
func (p pairedResults) compare(figure Figure) []any {
	n := len(p.a)
	first, second, differences := make([]float64, n), make([]float64, n), make([]float64, n)
	for i := range n {
		first[i], second[i] = figure.Of(p.a[i]), figure.Of(p.b[i])
		differences[i] = second[i] - first[i]
	}
	mean, margin := stat.Mean(differences, nil), math.Inf(1)
	if size := float64(n); n > 1 {
		quantile := distuv.StudentsT{Sigma: 1, Nu: size - 1}.Quantile(upperQuantile)
		margin = quantile * stat.StdDev(differences, nil) / math.Sqrt(size)
	}
	differs := ""
	if math.Abs(mean) > margin {
		differs = "yes"
	}
	interval := fmt.Sprintf("%.4g to %.4g", mean-margin, mean+margin)
	return []any{figure.Name, stat.Mean(first, nil), stat.Mean(second, nil), mean, interval, differs}
}

// counterNames are the names of the counters that any result has.
func (p pairedResults) counterNames() []string {
	names := map[string]bool{}
	for _, result := range slices.Concat(p.a, p.b) {
		for name := range result.Counters {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// meanCounter is the mean of a counter, "-" where no result has it.
func meanCounter(results []*simulation.Result, name string) string {
	sum, found := 0.0, false
	for _, result := range results {
		value, ok := result.Counters[name]
		sum, found = sum+float64(value), found || ok
	}
	if !found {
		return "-"
	}
	return fmt.Sprintf("%.5g", sum/float64(len(results)))
}
