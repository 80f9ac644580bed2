package main

import (
	"errors"
	"slices"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
)

func compareCommand() *cobra.Command {
	var shared options
	var build string
	cmd := &cobra.Command{
		Use:   "compare SCENARIO [OTHER]",
		Short: "Compare two scenarios, two settings of one, or two builds, on the same seeds",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			seeds, err := experiment.ParseSeeds(shared.seeds)
			if err != nil {
				return err
			}
			first, second, err := shared.sides(args, build)
			if err != nil {
				return err
			}
			tables, err := experiment.Compare(cmd.Context(), first, second, seeds)
			if err != nil {
				return err
			}
			tables[0].Title += ", version " + experiment.Version()
			if shared.out != "" {
				return experiment.WriteTables(shared.out, "compare", tables)
			}
			return writeTables(cmd.OutOrStdout(), tables)
		},
	}
	shared.addFlags(cmd)
	shared.addSeedsFlag(cmd)
	cmd.Flags().StringArrayVar(&shared.other, "other", nil, "FIELD=VALUE of the other side alone")
	cmd.Flags().StringVar(&build, "with", "", "another build of eidertrail-lab, which plays the other side")
	return cmd
}

// sides are the two sides of a comparison: of scenarios, of settings, or of this build with another where one is named.
func (o *options) sides(paths []string, build string) (first, second experiment.Side, err error) {
	first = experiment.Side{Name: baseName(paths[0]), Path: paths[0]}
	second = experiment.Side{Name: "other", Path: paths[len(paths)-1], Build: build}
	firstSets, err := singleSets(o.sets)
	if err != nil {
		return first, second, err
	}
	secondSets, err := singleSets(slices.Concat(o.sets, o.other))
	if err != nil {
		return first, second, err
	}
	if first.Variant, err = experiment.Load(first.Path, firstSets); err != nil {
		return first, second, err
	}
	if second.Variant, err = experiment.Load(second.Path, secondSets); err != nil {
		return first, second, err
	}
	switch {
	case build != "":
		first.Name, second.Name = "this build", "other build"
	case len(paths) == 2:
		second.Name = baseName(paths[1])
	}
	if first.Variant.ID == second.Variant.ID && build == "" {
		return first, second,
			errors.New("both sides are the same: name another scenario, --other FIELD=VALUE or --with BUILD")
	}
	return first, second, nil
}
