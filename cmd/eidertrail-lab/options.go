package main

import (
	"errors"
	"path/filepath"

	"github.com/spf13/cobra"

	"eidertrail/internal/experiment"
)

// options are the flags that commands share.
type options struct {
	sets, other []string
	seeds, out  string
	seed        uint64
}

// addFlags adds the flags that every command has.
func (o *options) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringArrayVar(&o.sets, "set", nil,
		"FIELD=VALUE in place of the scenario's, such as callers.rate=90 or pool.0.agents=40")
	cmd.Flags().StringVar(&o.out, "out", "", "folder for tables and charts")
}

// addSeedFlag adds the flag of commands that run a scenario once.
func (o *options) addSeedFlag(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "the seed")
}

// addSeedsFlag adds the flag of commands that run a scenario with several seeds.
func (o *options) addSeedsFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.seeds, "seeds", "1-5", "seeds, such as 1-5,9")
}

// load reads the scenario at path with the fields set, which have one value each.
func (o *options) load(path string) (*experiment.Variant, error) {
	sets, err := singleSets(o.sets)
	if err != nil {
		return nil, err
	}
	return experiment.Load(path, sets)
}

// singleSets reads sets of which each has one value.
func singleSets(texts []string) ([]experiment.Set, error) {
	choices, err := experiment.ParseSets(texts)
	if err != nil {
		return nil, err
	}
	grid := experiment.Grid(choices)
	if len(grid) != 1 {
		return nil, errors.New("--set: several values are for sweep")
	}
	return grid[0], nil
}

// baseName is the name of the file at path without its extension.
func baseName(path string) string {
	name := filepath.Base(path)
	return name[:len(name)-len(filepath.Ext(name))]
}
