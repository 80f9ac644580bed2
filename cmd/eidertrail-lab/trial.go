package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
	"eidertrail/internal/trial"
	"eidertrail/internal/trial/plan"
)

// errBrokenTrials is returned when a trial broke a rule or was late twice.
var errBrokenTrials = errors.New("trials broke rules; the table names them")

// trialFlags are the flags of the command trial.
type trialFlags struct {
	seeds    string
	program  string
	folder   string
	faults   string
	with     string
	parallel int
	sites    bool
	verbose  bool
	shrink   bool
	plays    int
	asJSON   bool
}

func trialCommand() *cobra.Command {
	flags := trialFlags{
		seeds:    "1-5",
		program:  "bin/eidertrail",
		folder:   filepath.Join(os.TempDir(), "eidertrail-trials"),
		parallel: 1,
		plays:    2,
	}
	cmd := &cobra.Command{
		Use:   "trial",
		Short: "Play dense trials with seeded faults against processes of the daemon, on loopback and in real time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&flags.seeds, "seeds", flags.seeds, "seeds, such as 1-50,77")
	cmd.Flags().StringVar(&flags.program, "daemon", flags.program, "the daemon's program")
	cmd.Flags().StringVar(&flags.folder, "logs", flags.folder, "folder for configurations and logs")
	cmd.Flags().StringVar(&flags.faults, "faults", "", "kinds of faults, with commas between; none: all")
	cmd.Flags().StringVar(&flags.with, "with", "", "kinds of which each trial has a fault, with commas between")
	cmd.Flags().IntVar(&flags.parallel, "parallel", flags.parallel, "trials at a time")
	cmd.Flags().BoolVar(&flags.sites, "sites", false, "each process also has a site on a WebSocket")
	cmd.Flags().BoolVar(&flags.verbose, "verbose", false, "the logs have the daemon's trace, in milliseconds")
	cmd.Flags().BoolVar(&flags.shrink, "shrink", false, "take faults out of broken trials while the rule still breaks")
	cmd.Flags().IntVar(&flags.plays, "plays", flags.plays, "how often a shrunk trial is played before it counts as passed")
	cmd.Flags().BoolVar(&flags.asJSON, "json", false, "write a JSON line for each trial")
	return cmd
}

func (f *trialFlags) run(ctx context.Context, out io.Writer) error {
	seeds, err := experiment.ParseSeeds(f.seeds)
	if err != nil {
		return err
	}
	kinds, err := parseKinds(f.faults)
	if err != nil {
		return err
	}
	required, err := parseKinds(f.with)
	if err != nil {
		return err
	}
	program, err := filepath.Abs(f.program)
	if err != nil {
		return fmt.Errorf("--daemon: %w", err)
	}
	options := trial.Options{
		Program:  program,
		Folder:   f.folder,
		Kinds:    kinds,
		Required: required,
		Sites:    f.sites,
		Verbose:  f.verbose,
		Parallel: f.parallel,
	}
	var broken []*trial.Result
	played := 0
	err = trial.PlayAll(ctx, seeds, options, func(result *trial.Result) {
		played++
		f.report(out, result, fmt.Sprintf("%d/%d", played, len(seeds)))
		if result.Verdict() != trial.Passed {
			broken = append(broken, result)
		}
	})
	if err != nil {
		return err
	}
	for _, result := range broken {
		if err := f.explain(ctx, out, result, options); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errBrokenTrials
	}
	return nil
}

// parseKinds reads names of kinds with commas between, none for "".
func parseKinds(names string) ([]plan.Kind, error) {
	if names == "" {
		return nil, nil
	}
	return plan.ParseKinds(strings.Split(names, ","))
}

// trialLine is the JSON line of a trial.
type trialLine struct {
	Seed    uint64   `json:"seed"`
	Verdict string   `json:"verdict"`
	Rules   []string `json:"rules"`
	Faults  []string `json:"faults"`
	Calls   int      `json:"calls"`
	Seconds float64  `json:"seconds"`
	StallMS int64    `json:"stall_ms"`
}

// report writes the line of one trial.
func (f *trialFlags) report(out io.Writer, result *trial.Result, progress string) {
	line := trialLine{
		Seed:    result.Plan.Seed,
		Verdict: string(result.Verdict()),
		Rules:   []string{},
		Calls:   result.Calls,
		Seconds: result.Elapsed.Seconds(),
		StallMS: result.Stall.Milliseconds(),
	}
	for _, rule := range result.Rules() {
		line.Rules = append(line.Rules, rule.String())
	}
	for _, fault := range result.Plan.Faults {
		line.Faults = append(line.Faults, fault.Kind.String())
	}
	if f.asJSON {
		text, err := json.Marshal(line)
		if err == nil {
			write(out, string(text)+"\n")
		}
		return
	}
	write(out, fmt.Sprintf("%s seed %d: %s %s| %s | %d calls, %.0f s, own stall %d ms\n",
		progress, line.Seed, line.Verdict, strings.Join(append(line.Rules, ""), "; "), strings.Join(line.Faults, " "),
		line.Calls, line.Seconds, line.StallMS))
}

// explain writes what broke in a trial, how it is played again, and its timeline, shrunk where that is asked for.
func (f *trialFlags) explain(ctx context.Context, out io.Writer, result *trial.Result, options trial.Options) error {
	if f.shrink {
		shrunk, err := trial.Shrink(ctx, result, f.plays, options)
		if err != nil {
			return err
		}
		result = shrunk
	}
	var text strings.Builder
	fmt.Fprintf(&text, "\nseed %d: %s\n", result.Plan.Seed, result.Verdict())
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "  %s: %s\n", violation.Rule, violation)
	}
	for _, fault := range result.Plan.Faults {
		fmt.Fprintf(&text, "  fault: %s\n", fault)
	}
	replay := fmt.Sprintf("eidertrail-lab trial --seeds %d", result.Plan.Seed)
	if f.faults != "" {
		replay += " --faults " + f.faults
	}
	if f.with != "" {
		replay += " --with " + f.with
	}
	if f.sites {
		replay += " --sites"
	}
	fmt.Fprintf(&text, "  replay: %s\n  logs: %s\n\n%s", replay,
		filepath.Join(options.Folder, fmt.Sprintf("seed-%d", result.Plan.Seed)), result.Timeline)
	write(out, text.String())
	return nil
}

// write writes to the command's output. That nobody reads it changes nothing about what the trials have done.
func write(out io.Writer, text string) { _, _ = io.WriteString(out, text) }
