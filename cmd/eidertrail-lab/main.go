// Command eidertrail-lab runs experiments: scenarios in the simulator and on the daemon, sweeps, comparisons.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
	"eidertrail/internal/simulation"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail-lab:", err)
		os.Exit(1)
	}
}

// errBroken tells that a trace broke a rule: a run that did is no good, whatever its figures.
var errBroken = errors.New("rules were broken")

// options are the flags that commands share.
type options struct {
	sets, other []string
	seeds, out  string
	seed        uint64
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "eidertrail-lab", Short: "Experiments with the session controller", SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(runCommand(), sweepCommand(), compareCommand(), liveCommand(),
		&cobra.Command{
			Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), experiment.Version()) },
		})
	return root
}

func (o *options) flags(cmd *cobra.Command, single bool) {
	cmd.Flags().StringArrayVar(&o.sets, "set", nil, "FIELD=VALUE in place of the scenario's, such as callers.rate=90 or pool.0.agents=40")
	cmd.Flags().StringVar(&o.out, "out", "", "folder for tables and charts")
	if single {
		cmd.Flags().Uint64Var(&o.seed, "seed", 1, "the seed")
	} else {
		cmd.Flags().StringVar(&o.seeds, "seeds", "1-5", "seeds, such as 1-5,9")
	}
}

// one reads sets of which each has one value.
func one(texts []string) ([]experiment.Set, error) {
	choices, err := experiment.ParseSets(texts)
	if err != nil {
		return nil, err
	}
	grid := experiment.Grid(choices)
	if len(grid) != 1 {
		return nil, fmt.Errorf("--set: several values are for sweep")
	}
	return grid[0], nil
}

// load reads the scenario at path, with the fields set that have one value each.
func (o *options) load(path string) (*experiment.Variant, error) {
	sets, err := one(o.sets)
	if err != nil {
		return nil, err
	}
	return experiment.Load(path, sets)
}

// report writes a run's tables and chart, and fails when a rule was broken.
func report(w io.Writer, r *simulation.Result, o options, name string) error {
	tables := experiment.RunTables(r)
	if o.out == "" {
		for _, t := range tables[:3] {
			if err := t.Markdown(w); err != nil {
				return err
			}
		}
	} else {
		made := fmt.Sprintf("seed %d, version %s", r.Seed, experiment.Version())
		for _, t := range tables {
			t.Title += " (" + made + ")"
		}
		if err := experiment.WriteTables(o.out, name, tables); err != nil {
			return err
		}
		if err := experiment.WriteChart(o.out, name, r.Scenario, made, "second of the first try", "callers", experiment.Course(r)); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: service %.3f, worst 10 s %.3f; tables and chart in %s\n", name, r.Service, r.WorstWindow, o.out)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	if r.ViolationCount > 0 {
		for _, v := range r.Violations[:min(10, len(r.Violations))] {
			fmt.Fprintln(w, "rule broken:", v)
		}
		return fmt.Errorf("%w %d times", errBroken, r.ViolationCount)
	}
	return nil
}

func base(path string) string {
	name := filepath.Base(path)
	return name[:len(name)-len(filepath.Ext(name))]
}

func runCommand() *cobra.Command {
	var o options
	var asJSON bool
	cmd := &cobra.Command{
		Use: "run SCENARIO", Short: "Play a scenario once in the simulator", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := o.load(args[0])
			if err != nil {
				return err
			}
			r, err := simulation.Run(v.Scenario, o.seed)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
			}
			return report(cmd.OutOrStdout(), r, o, base(args[0]))
		},
	}
	o.flags(cmd, true)
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the whole result as JSON")
	return cmd
}

func sweepCommand() *cobra.Command {
	var o options
	workers := runtime.NumCPU()
	cmd := &cobra.Command{
		Use: "sweep SCENARIO", Short: "Play a scenario over fields' values and seeds; goes on where it was interrupted",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			choices, err := experiment.ParseSets(o.sets)
			if err != nil {
				return err
			}
			seeds, err := experiment.ParseSeeds(o.seeds)
			if err != nil {
				return err
			}
			if o.out == "" {
				return fmt.Errorf("--out: absent: a sweep keeps its runs in a folder")
			}
			s := &experiment.Sweep{Path: args[0], Choices: choices, Seeds: seeds, Out: o.out, Workers: workers}
			ran, had, err := s.Run(cmd.Context(), experiment.Version())
			fmt.Fprintf(cmd.OutOrStdout(), "%d runs done, %d were there\n", ran, had)
			return err
		},
	}
	o.flags(cmd, false)
	cmd.Flags().IntVar(&workers, "workers", workers, "runs at a time")
	return cmd
}

func compareCommand() *cobra.Command {
	var o options
	var with string
	cmd := &cobra.Command{
		Use: "compare SCENARIO [OTHER]", Short: "Compare two scenarios, two settings of one, or two builds, on the same seeds",
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			seeds, err := experiment.ParseSeeds(o.seeds)
			if err != nil {
				return err
			}
			a, b := experiment.Side{Name: base(args[0]), Path: args[0]}, experiment.Side{Name: "other", Path: args[len(args)-1], Build: with}
			sets, err := one(o.sets)
			if err != nil {
				return err
			}
			other, err := one(slices.Concat(o.sets, o.other))
			if err != nil {
				return err
			}
			if a.Variant, err = experiment.Load(a.Path, sets); err != nil {
				return err
			}
			if b.Variant, err = experiment.Load(b.Path, other); err != nil {
				return err
			}
			switch {
			case with != "":
				a.Name, b.Name = "this build", "other build"
			case len(args) == 2:
				b.Name = base(args[1])
			}
			if a.Variant.ID == b.Variant.ID && with == "" {
				return fmt.Errorf("both sides are the same: name another scenario, --other FIELD=VALUE or --with BUILD")
			}
			tables, err := experiment.Compare(cmd.Context(), a, b, seeds)
			if err != nil {
				return err
			}
			tables[0].Title += ", version " + experiment.Version()
			if o.out != "" {
				return experiment.WriteTables(o.out, "compare", tables)
			}
			for _, t := range tables {
				if err := t.Markdown(cmd.OutOrStdout()); err != nil {
					return err
				}
			}
			return nil
		},
	}
	o.flags(cmd, false)
	cmd.Flags().StringArrayVar(&o.other, "other", nil, "FIELD=VALUE of the other side alone")
	cmd.Flags().StringVar(&with, "with", "", "another build of eidertrail-lab, which plays the other side")
	return cmd
}

func liveCommand() *cobra.Command {
	var o options
	daemon := "bin/eidertrail"
	cmd := &cobra.Command{
		Use: "live SCENARIO", Short: "Play a scenario on the daemon, on loopback and in real time, beside the simulator",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := o.load(args[0])
			if err != nil {
				return err
			}
			played, err := simulation.Run(v.Scenario, o.seed)
			if err != nil {
				return err
			}
			live, err := experiment.Live(cmd.Context(), v, daemon, o.seed)
			if err != nil {
				return err
			}
			t := &experiment.Table{Title: v.Name + ": simulator and daemon, version " + experiment.Version(), Head: []string{"figure", "simulator", "daemon", "difference"}}
			for _, f := range experiment.Figures() {
				t.Add(f.Name, f.Of(played), f.Of(live), f.Of(live)-f.Of(played))
			}
			if o.out != "" {
				if err := experiment.WriteTables(o.out, base(args[0])+"-live", []*experiment.Table{t}); err != nil {
					return err
				}
			}
			if err := t.Markdown(cmd.OutOrStdout()); err != nil {
				return err
			}
			if live.ViolationCount > 0 {
				for _, r := range live.Violations[:min(10, len(live.Violations))] {
					fmt.Fprintln(cmd.OutOrStdout(), "rule broken:", r)
				}
				return fmt.Errorf("%w %d times", errBroken, live.ViolationCount)
			}
			return nil
		},
	}
	o.flags(cmd, true)
	cmd.Flags().StringVar(&daemon, "daemon", daemon, "the daemon's program")
	return cmd
}
