package experiment

import (
	"fmt"
	"path/filepath"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// summarize writes the means of each variant over its seeds, and a chart of the service over the first field.
func (s *Sweep) summarize(path, version string) error {
	done, err := s.readRuns(path)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("%s, %d seeds, version %s", filepath.Base(s.Path), len(s.Seeds), version)
	table := &Table{Title: title, Head: s.summaryHead()}
	chart := &lineSet{byName: map[string]*Line{}}
	for position, sets := range Grid(s.Choices) {
		variant, err := Load(s.Path, sets)
		if err != nil {
			return err
		}
		columns := s.figureColumns(done, version, variant)
		table.Add(summaryRow(sets, columns)...)
		x, name := chartPoint(position, sets)
		chart.add(name, x, stat.Mean(columns[0], nil))
	}
	if err := WriteTables(s.Out, "summary", []*Table{table}); err != nil {
		return err
	}
	if len(s.Choices) == 0 {
		return nil
	}
	field := s.Choices[0][0].Field
	return WriteChart(s.Out, "service", title, "version "+version, field, "service, mean", chart.all())
}

func (s *Sweep) summaryHead() []string {
	var head []string
	for _, choice := range s.Choices {
		head = append(head, choice[0].Field)
	}
	for _, figure := range Figures() {
		head = append(head, figure.Name)
	}
	return append(head, "service_sd")
}

// figureColumns are the values of each figure over a variant's seeds.
func (s *Sweep) figureColumns(done map[string][]string, version string, variant *Variant) [][]float64 {
	columns := make([][]float64, len(Figures()))
	for _, seed := range s.Seeds {
		row := done[runKey(version, variant.ID, seed)]
		if row == nil {
			continue
		}
		for i := range columns {
			value, _ := strconv.ParseFloat(row[firstFieldColumn+len(s.Choices)+i], 64)
			columns[i] = append(columns[i], value)
		}
	}
	return columns
}

// summaryRow is a variant's fields, the means of its figures and the standard deviation of the first.
func summaryRow(sets []Set, columns [][]float64) []any {
	row := make([]any, 0, len(sets)+len(columns)+1)
	for _, set := range sets {
		row = append(row, set.Value)
	}
	for _, column := range columns {
		row = append(row, stat.Mean(column, nil))
	}
	deviation := 0.0
	if len(columns[0]) > 1 {
		deviation = stat.StdDev(columns[0], nil)
	}
	return append(row, deviation)
}

// chartPoint is where a variant is in the chart: at the value of its first field if that is a number, else at its
// position, on the line of its other fields.
func chartPoint(position int, sets []Set) (x float64, line string) {
	x, line = float64(position), "service"
	if len(sets) == 0 {
		return x, line
	}
	if value, err := strconv.ParseFloat(sets[0].Value, 64); err == nil {
		x = value
	}
	for _, set := range sets[1:] {
		line = fmt.Sprintf("%s %s=%s", line, set.Field, set.Value)
	}
	return x, line
}

// lineSet collects the lines of a chart, in the order of their first points.
type lineSet struct {
	byName map[string]*Line
	order  []*Line
}

func (l *lineSet) add(name string, x, y float64) {
	line := l.byName[name]
	if line == nil {
		line = &Line{Name: name}
		l.byName[name] = line
		l.order = append(l.order, line)
	}
	line.X, line.Y = append(line.X, x), append(line.Y, y)
}

func (l *lineSet) all() []Line {
	lines := make([]Line, 0, len(l.order))
	for _, line := range l.order {
		lines = append(lines, *line)
	}
	return lines
}
