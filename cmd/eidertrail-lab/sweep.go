package main

import (
	"errors"
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
)

func sweepCommand() *cobra.Command {
	var shared options
	workers := runtime.NumCPU()
	cmd := &cobra.Command{
		Use:   "sweep SCENARIO",
		Short: "Play a scenario over fields' values and seeds; goes on where it was interrupted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			choices, err := experiment.ParseSets(shared.sets)
			if err != nil {
				return err
			}
			seeds, err := experiment.ParseSeeds(shared.seeds)
			if err != nil {
				return err
			}
			if shared.out == "" {
				return errors.New("--out: absent: a sweep keeps its runs in a folder")
			}
			sweep := &experiment.Sweep{
				Path:    args[0],
				Choices: choices,
				Seeds:   seeds,
				Out:     shared.out,
				Workers: workers,
			}
			ran, had, err := sweep.Run(cmd.Context(), experiment.Version())
			if _, writeErr := fmt.Fprintf(cmd.OutOrStdout(), "%d runs done, %d were there\n", ran, had); err == nil {
				err = writeErr
			}
			return err
		},
	}
	shared.addFlags(cmd)
	shared.addSeedsFlag(cmd)
	cmd.Flags().IntVar(&workers, "workers", workers, "runs at a time")
	return cmd
}
