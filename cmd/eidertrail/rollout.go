package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"eidertrail/internal/rollout/runner"
)

// rolloutCommand is eidertrail rollout: a rolling change of the fleet's controllers, in stages.
func rolloutCommand() *cobra.Command {
	var state string
	root := &cobra.Command{Use: "rollout", Short: "Change the program or settings of a fleet's controllers in stages"}
	root.PersistentFlags().StringVar(&state, "state", "rollout.json", "file that holds how far it is")
	root.AddCommand(&cobra.Command{
		Use: "plan FILE", Short: "Say what a rollout would do", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := runner.Load(args[0])
			if err != nil {
				return err
			}
			p, err := f.Plan()
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			from := 0
			for i, to := range p.Stages {
				fmt.Fprintf(out, "stage %d: %s; then %v or more, %d calls of old and new\n", i+1,
					strings.Join(p.Controllers[from:to], " "), f.MinTime, f.MinCalls)
				from = to
			}
			for _, c := range f.Controller {
				restart, why, err := f.Restarts(c)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s (%s)\n", c.Name, map[bool]string{true: "restart", false: "SIGHUP"}[restart], why)
			}
			return nil
		},
	}, &cobra.Command{
		Use: "start FILE", Short: "Carry a rollout out, or go on with one that was interrupted", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := runner.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runner.Run(ctx, f, state, zerolog.New(cmd.OutOrStdout()).With().Timestamp().Logger())
		},
	}, &cobra.Command{
		Use: "status", Short: "Say how far a rollout is", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := runner.ReadState(state)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s, stage %d\n", s.Phase, s.Stage+1)
			if s.Reason != "" {
				fmt.Fprintln(out, s.Reason)
			}
			for _, c := range s.Controllers {
				fmt.Fprintf(out, "%s: %s %s\n", c.Name, c.Version, map[bool]string{true: "(being made " + string(c.Moving) + ")"}[c.Moving != ""])
			}
			for _, l := range s.Log {
				fmt.Fprintln(out, "  "+l)
			}
			return nil
		},
	}, &cobra.Command{
		Use: "abort", Short: "Have a rollout taken back, by the process that is at it or by the next start", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runner.Abort(state) },
	})
	return root
}
