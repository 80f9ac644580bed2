package main

import (
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"eidertrail/internal/rollout/runner"
)

// newRolloutCommand is eidertrail rollout: a change of a fleet's controllers in stages.
func newRolloutCommand() *cobra.Command {
	var state string
	root := &cobra.Command{Use: "rollout", Short: "Change the program or settings of a fleet's controllers in stages"}
	root.PersistentFlags().StringVar(&state, "state", "rollout.json", "file that holds how far it is")
	root.AddCommand(&cobra.Command{
		Use: "plan FILE", Short: "Say what a rollout would do", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return printPlan(cmd.OutOrStdout(), args[0]) },
	}, &cobra.Command{
		Use: "start FILE", Short: "Carry a rollout out, or go on with one that was interrupted", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return startRollout(cmd, args[0], state) },
	}, &cobra.Command{
		Use: "status", Short: "Say how far a rollout is", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return printStatus(cmd.OutOrStdout(), state) },
	}, &cobra.Command{
		Use: "abort", Short: "Have a rollout taken back, by the process that is at it or by the next start",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runner.Abort(state) },
	})
	return root
}

// printPlan prints the stages of a rollout file, and how each controller would be changed.
func printPlan(out io.Writer, path string) error {
	file, err := runner.Load(path)
	if err != nil {
		return err
	}
	plan, err := file.Plan()
	if err != nil {
		return err
	}
	from := 0
	for i, to := range plan.Stages {
		printf(out, "stage %d: %s; then %v or more, %d calls of old and new\n", i+1,
			strings.Join(plan.Controllers[from:to], " "), file.MinTime, file.MinCalls)
		from = to
	}
	for _, controller := range file.Controllers {
		restart, reason, err := file.Restarts(controller)
		if err != nil {
			return err
		}
		way := "SIGHUP"
		if restart {
			way = "restart"
		}
		printf(out, "%s: %s (%s)\n", controller.Name, way, reason)
	}
	return nil
}

// startRollout carries a rollout out until it is done or a signal ends the command.
func startRollout(cmd *cobra.Command, path, state string) error {
	file, err := runner.Load(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return runner.Run(ctx, file, state, zerolog.New(cmd.OutOrStdout()).With().Timestamp().Logger())
}

// printStatus prints a state file.
func printStatus(out io.Writer, path string) error {
	state, err := runner.ReadState(path)
	if err != nil {
		return err
	}
	printf(out, "%s, stage %d\n", state.Phase, state.Stage+1)
	if state.Reason != "" {
		printf(out, "%s\n", state.Reason)
	}
	for _, controller := range state.Controllers {
		transition := ""
		if controller.TransitionTo != "" {
			transition = "(being made " + string(controller.TransitionTo) + ")"
		}
		printf(out, "%s: %s %s\n", controller.Name, controller.Version, transition)
	}
	for _, line := range state.Log {
		printf(out, "  %s\n", line)
	}
	return nil
}
