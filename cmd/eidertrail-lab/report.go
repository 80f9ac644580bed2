package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"eidertrail/internal/experiment"
	"eidertrail/internal/simulation"
)

const (
	// maxShownViolations bounds the violations that a command prints.
	maxShownViolations = 10
	// shownTables is how many tables of a run are printed; files hold all.
	shownTables = 3
)

// errBroken is the error of a run that violated a rule of the wire: whatever its figures, they do not count.
var errBroken = errors.New("rules were broken")

// report writes a run's tables and chart. It returns an error when a rule was violated.
func report(w io.Writer, result *simulation.Result, shared options, name string) error {
	var text strings.Builder
	if err := writeRun(&text, result, shared.out, name); err != nil {
		return err
	}
	for _, note := range result.Notes {
		fmt.Fprintln(&text, note)
	}
	violated := writeViolations(&text, result)
	if _, err := io.WriteString(w, text.String()); err != nil {
		return err
	}
	return violated
}

// writeRun writes the tables and the chart of a run into a folder, or the first tables to the text where it is "".
func writeRun(text *strings.Builder, result *simulation.Result, folder, name string) error {
	tables := experiment.RunTables(result)
	if folder == "" {
		for _, table := range tables[:shownTables] {
			if err := table.Markdown(text); err != nil {
				return err
			}
		}
		return nil
	}
	origin := fmt.Sprintf("seed %d, version %s", result.Seed, experiment.Version())
	for _, table := range tables {
		table.Title += " (" + origin + ")"
	}
	if err := experiment.WriteTables(folder, name, tables); err != nil {
		return err
	}
	course := experiment.Course(result)
	err := experiment.WriteChart(folder, name, result.Scenario, origin, "second of the first try", "callers", course)
	if err != nil {
		return err
	}
	fmt.Fprintf(text, "%s: service %.3f, worst 10 s %.3f; tables and chart in %s\n",
		name, result.Service, result.WorstWindow, folder)
	return nil
}

// writeViolations writes the first violations, and returns the error for them, nil where there is none.
func writeViolations(text *strings.Builder, result *simulation.Result) error {
	if result.ViolationCount == 0 {
		return nil
	}
	for _, violation := range result.Violations[:min(maxShownViolations, len(result.Violations))] {
		fmt.Fprintln(text, "rule broken:", violation)
	}
	return fmt.Errorf("%w %d times", errBroken, result.ViolationCount)
}

// writeTables writes tables as Markdown.
func writeTables(w io.Writer, tables []*experiment.Table) error {
	for _, table := range tables {
		if err := table.Markdown(w); err != nil {
			return err
		}
	}
	return nil
}
