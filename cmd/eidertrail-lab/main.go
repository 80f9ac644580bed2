// Command eidertrail-lab runs experiments: scenarios in the simulator and on the daemon, sweeps, comparisons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
)

func main() { os.Exit(execute()) }

// execute runs the command line until it ends or a signal stops it, and returns the exit status.
func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail-lab:", err)
		return 1
	}
	return 0
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "eidertrail-lab",
		Short:         "Experiments with the session controller",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(runCommand(), sweepCommand(), compareCommand(), liveCommand(), trialCommand(), versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which build this is",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), experiment.Version())
			return err
		},
	}
}
