package main

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
	"eidertrail/internal/simulation"
)

func runCommand() *cobra.Command {
	var shared options
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play a scenario once in the simulator",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			variant, err := shared.load(args[0])
			if err != nil {
				return err
			}
			result, err := simulation.Run(variant.Scenario, shared.seed)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
			}
			return report(cmd.OutOrStdout(), result, shared, baseName(args[0]))
		},
	}
	shared.addFlags(cmd)
	shared.addSeedFlag(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the whole result as JSON")
	return cmd
}

func liveCommand() *cobra.Command {
	var shared options
	daemon := "bin/eidertrail"
	cmd := &cobra.Command{
		Use:   "live SCENARIO",
		Short: "Play a scenario on the daemon, on loopback and in real time, beside the simulator",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			variant, err := shared.load(args[0])
			if err != nil {
				return err
			}
			simulated, err := simulation.Run(variant.Scenario, shared.seed)
			if err != nil {
				return err
			}
			live, err := experiment.Live(cmd.Context(), variant, daemon, shared.seed)
			if err != nil {
				return err
			}
			table := liveTable(variant.Name, simulated, live)
			if shared.out != "" {
				tables := []*experiment.Table{table}
				if err := experiment.WriteTables(shared.out, baseName(args[0])+"-live", tables); err != nil {
					return err
				}
			}
			return reportLive(cmd.OutOrStdout(), table, live)
		},
	}
	shared.addFlags(cmd)
	shared.addSeedFlag(cmd)
	cmd.Flags().StringVar(&daemon, "daemon", daemon, "the daemon's program")
	return cmd
}

// liveTable compares the figures of a simulated run and of one on the daemon.
func liveTable(scenario string, simulated, live *simulation.Result) *experiment.Table {
	table := &experiment.Table{
		Title: scenario + ": simulator and daemon, version " + experiment.Version(),
		Head:  []string{"figure", "simulator", "daemon", "difference"},
	}
	for _, figure := range experiment.Figures() {
		table.Add(figure.Name, figure.Of(simulated), figure.Of(live), figure.Of(live)-figure.Of(simulated))
	}
	return table
}

// reportLive writes the table, and returns an error when a rule was violated on the daemon.
func reportLive(w io.Writer, table *experiment.Table, live *simulation.Result) error {
	var text strings.Builder
	if err := table.Markdown(&text); err != nil {
		return err
	}
	violated := writeViolations(&text, live)
	if _, err := io.WriteString(w, text.String()); err != nil {
		return err
	}
	return violated
}
