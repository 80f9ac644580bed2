package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"

	"eidertrail/internal/simulation"
)

// Table is a titled table.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Add adds a row.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.4g", v)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

// CSV writes the table.
func (t *Table) CSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(t.Head); err != nil {
		return err
	}
	if err := writer.WriteAll(t.Rows); err != nil {
		return err
	}
	return writer.Error()
}

// Markdown writes the table with its title.
func (t *Table) Markdown(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "## %s\n\n", t.Title)
	text.WriteString(markdownRow(t.Head))
	text.WriteString("|" + strings.Repeat(" --- |", len(t.Head)) + "\n")
	for _, row := range t.Rows {
		text.WriteString(markdownRow(row))
	}
	text.WriteString("\n")
	_, err := io.WriteString(w, text.String())
	return err
}

func markdownRow(cells []string) string {
	escaped := make([]string, len(cells))
	for i, cell := range cells {
		escaped[i] = strings.ReplaceAll(cell, "|", `\|`)
	}
	return "| " + strings.Join(escaped, " | ") + " |\n"
}

// Figure is a figure of a result, with its name in tables.
type Figure struct {
	Name string
	Of   func(r *simulation.Result) float64
}

// Figures are those that sweeps and comparisons show, in the order of the tables.
func Figures() []Figure {
	return []Figure{
		{"service", func(r *simulation.Result) float64 { return r.Service }},
		{"worst_10s", func(r *simulation.Result) float64 { return r.WorstWindow }},
		{"calls", func(r *simulation.Result) float64 { return float64(r.Calls) }},
		{"in_time", func(r *simulation.Result) float64 { return ratio(r.InTime, r.Calls) }},
		{"late", func(r *simulation.Result) float64 { return ratio(r.Late, r.Calls) }},
		{"cut", func(r *simulation.Result) float64 { return ratio(r.Dropped, r.Calls) }},
		{"lost", func(r *simulation.Result) float64 { return ratio(r.Lost, r.Calls) }},
		{"p50_ms", func(r *simulation.Result) float64 { return r.P50 }},
		{"p99_ms", func(r *simulation.Result) float64 { return r.P99 }},
		{"sends_per_call", func(r *simulation.Result) float64 { return ratio(r.Attempts, r.Calls) }},
		{"cold", func(r *simulation.Result) float64 { return r.SlowStartLoad }},
		{"cold_budget", func(r *simulation.Result) float64 { return r.SlowStartBudget }},
		{"srv_lag_ms", func(r *simulation.Result) float64 { return r.RecordLag }},
		{"broken", func(r *simulation.Result) float64 { return float64(r.ViolationCount) }},
	}
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// RunTables are the tables of one run.
func RunTables(r *simulation.Result) []*Table {
	all := &Table{Title: fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed), Head: []string{"figure", "value"}}
	for _, f := range Figures() {
		all.Add(f.Name, f.Of(r))
	}
	all.Add("events", r.Events)
	classes := &Table{Title: "By class", Head: []string{"class", "calls", "service"}}
	for _, c := range r.Class {
		classes.Add(c.Name, c.Calls, c.Service)
	}
	pools := &Table{Title: "By pool", Head: []string{"pool", "set-ups", "found it full", "cold"}}
	for _, p := range r.Pool {
		pools.Add(p.UID, p.Arrivals, p.Overflowed, p.SlowStartLoad)
	}
	course := &Table{
		Title: "By second of the first try",
		Head:  []string{"second", "calls", "in time", "late", "cut", "lost", "service"},
	}
	for i, w := range r.Windows {
		service := 0.0
		if w.OfferedWeight > 0 {
			service = w.ServedWeight / w.OfferedWeight
		}
		course.Add(i, w.Calls, w.InTime, w.Late, w.Dropped, w.Lost, service)
	}
	return []*Table{all, classes, pools, course}
}
